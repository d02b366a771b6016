// Keeps one kind of record current: lists it, then watches for changes.
//
// Example:
//   gateway::RecordFollower follower(loop, store, RecordKind::kUpstream, wait,
//                                    callbacks);
//   follower.Start();
//
// After a failure it tries again at once, then at growing intervals, always
// over a new connection. When the store dropped the history it lists again. Not
// thread-safe.
#ifndef JACKDAWSHUNT_GATEWAY_RECORD_FOLLOWER_H_
#define JACKDAWSHUNT_GATEWAY_RECORD_FOLLOWER_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "jackdawshunt/kernel/boot_clock.h"
#include "jackdawshunt/kernel/event_loop.h"
#include "jackdawshunt/platform/record_source.h"

namespace jackdawshunt::gateway {

struct RecordFollowerCallbacks {
  // All records of the kind.
  std::function<void(const std::vector<platform::Record>&)> on_list;
  // Records that changed since the last call.
  std::function<void(const std::vector<platform::Record>&)> on_change;
  // What was reported is the newest as of this time of the boot clock.
  std::function<void(kernel::TimePoint as_of)> on_current;
  // The store answers again after a failure; comes before what it says.
  std::function<void(kernel::Duration gap)> on_regained;
};

class RecordFollower {
 public:
  RecordFollower(kernel::EventLoop& loop,
                 const http::Address& store,
                 platform::RecordKind kind,
                 std::chrono::milliseconds wait,
                 RecordFollowerCallbacks callbacks);
  RecordFollower(const RecordFollower&) = delete;
  RecordFollower& operator=(const RecordFollower&) = delete;

  void Start();
  // Asks for changes without waiting, beside the watch, which may have gone
  // silent. Nothing while such a question is open.
  void ReadNow();

  bool is_connected() const { return failures_ == 0 && revision_ != 0; }
  // Revision of the store up to which all changes are known here.
  uint64_t revision() const { return revision_; }
  // At which the last change was seen.
  uint64_t changed_revision() const { return changed_revision_; }
  uint64_t calls() const { return source_.calls() + now_source_.calls(); }

 private:
  void List();
  void Watch(std::chrono::milliseconds wait);
  void OnAnswer(bool is_list,
                kernel::TimePoint sent,
                const absl::StatusOr<platform::RecordList>& answer);
  void OnReadNow(kernel::TimePoint sent,
                 const absl::StatusOr<platform::RecordList>& answer);
  // Takes over what a list or a watch brought.
  void Apply(bool is_list, const platform::RecordList& list);
  void OnFailure(const absl::Status& status);

  kernel::EventLoop& loop_;
  const platform::RecordKind kind_;
  const std::chrono::milliseconds wait_;
  const RecordFollowerCallbacks callbacks_;
  kernel::BootClock boot_clock_;
  platform::RecordSource source_;      // Lists and watches.
  platform::RecordSource now_source_;  // Questions without a wait.
  bool is_reading_now_ = false;
  kernel::Timer retry_timer_;
  uint64_t revision_ = 0;  // 0 before the first list.
  uint64_t changed_revision_ = 0;
  uint32_t failures_ = 0;  // In a row.
  kernel::TimePoint lost_since_{};
};

}  // namespace jackdawshunt::gateway

#endif  // JACKDAWSHUNT_GATEWAY_RECORD_FOLLOWER_H_
