// Splits a text/event-stream into complete events.
//
// Example:
//   gateway::EventSplitter splitter(/*last_event_id=*/std::nullopt);
//   std::string_view complete = splitter.Feed(bytes);  // Ends after an event.
//   std::optional<uint64_t> id = splitter.last_event_id();
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
  // Splits a stream that continues after the event `last_event_id`, if any.
  explicit EventSplitter(std::optional<uint64_t> last_event_id = std::nullopt)
      : last_event_id_(last_event_id) {}

  // Appends `data` and returns the events that are now complete; the view is
  // valid until the next call. An event larger than kMaxEventBytes is returned
  // in pieces, and so is each after StopKeeping(). Nothing is returned from an
  // event on whose id is not above that of an earlier one, or in whose place
  // the head of an answer stands; see is_out_of_order(). The cost is linear in
  // the bytes of the stream, whatever the pieces.
  std::string_view Feed(std::string_view data);

  // Releases the memory of what the last call of Feed() returned.
  void ReleaseReturned();
  // Keeps no incomplete event from the next call on.
  void StopKeeping() { max_event_bytes_ = 0; }

  // Returns whether the bytes so far end inside an event.
  bool is_inside_event() const {
    return has_split_event_ || !partial().empty();
  }
  // Returns whether a piece of the event at the end has been returned, so that
  // the stream cannot be continued after a whole event.
  bool has_split_event() const { return has_split_event_; }

  // Returns whether an event was not returned because of its id or since it is
  // the head of an answer, so that the bytes are not the stream's.
  bool is_out_of_order() const { return is_out_of_order_; }

  // Returns the bytes of the incomplete event; valid until the next call.
  std::string_view partial() const;
  // Returns the id of the last event returned that has a numeric one, or else
  // that of the constructor.
  std::optional<uint64_t> last_event_id() const { return last_event_id_; }
  // Returns the number of complete events returned so far.
  uint64_t event_count() const { return event_count_; }

 private:
  static constexpr size_t kMaxEventBytes = size_t{256} * 1024;
  // Bytes of a line that are enough to read its id.
  static constexpr size_t kMaxIdLineBytes = 128;

  // Returns a piece of the event at the end of `buffer_` with what the current
  // call returns.
  void SplitEvent();
  // Records the id of the event, or of a piece of one, if it is numeric and
  // higher than those of earlier events. Sets `is_out_of_order_` and returns
  // false if it is not higher, or if the event is the head of an answer.
  bool ApplyEvent(std::string_view event);
  // Does the same for one line; `previous` is the id of the event before.
  bool ApplyLine(std::string_view line, std::optional<uint64_t> previous);

  size_t max_event_bytes_ = kMaxEventBytes;
  std::string buffer_;
  size_t returned_bytes_ = 0;  // Leading bytes of `buffer_` that the last call
                               // returned.
  bool has_split_event_ = false;
  // The beginning of the line in which the last piece of an event ended.
  std::string split_line_;
  bool is_out_of_order_ = false;
  std::optional<uint64_t> last_event_id_;
  uint64_t event_count_ = 0;
};

}  // namespace jackdawshunt::gateway

#endif  // JACKDAWSHUNT_GATEWAY_EVENT_SPLITTER_H_
