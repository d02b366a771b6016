// Splits a text/event-stream into whole events.
//
// Example:
//   gateway::EventSplitter splitter;
//   std::string_view whole = splitter.Feed(bytes);  // Ends after an event.
//   if (splitter.last_event_id()) { ... }
//
// Not thread-safe.
#ifndef JACKDAWSHUNT_GATEWAY_EVENT_SPLITTER_H_
#define JACKDAWSHUNT_GATEWAY_EVENT_SPLITTER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jackdawshunt::gateway {

class EventSplitter {
 public:
  // Returns the events that are complete with `data`; valid until the next
  // call. An event above kMaxEventBytes is handed out in pieces.
  std::string_view Feed(std::string_view data);

  // Drops the beginning of an event, after its stream broke off.
  void DropPartial();
  // Bytes of an event that is not complete.
  std::string_view partial() const;
  // Id of the last event that was handed out.
  std::optional<uint64_t> last_event_id() const { return last_event_id_; }
  uint64_t events() const { return events_; }

 private:
  static constexpr size_t kMaxEventBytes = size_t{256} * 1024;

  void ReadEventId(std::string_view event);

  std::string buffer_;
  size_t handed_out_ = 0;  // Bytes at the front that the last call returned.
  std::optional<uint64_t> last_event_id_;
  uint64_t events_ = 0;
};

}  // namespace jackdawshunt::gateway

#endif  // JACKDAWSHUNT_GATEWAY_EVENT_SPLITTER_H_
