// Follows the records of one kind in the store: lists them, then watches for
// changes.
//
// Example:
//   gateway::RecordFollower follower(
//       loop, store, platform::RecordKind::kUpstream, watch_wait, callbacks);
//   follower.Start();
//
// After a failure the follower retries at once, then at growing intervals,
// always over a new connection and in turn with the other followers. If the
// store no longer has the history since the last revision, or was restored from
// an older copy, the follower lists again. Not thread-safe.
#ifndef JACKDAWSHUNT_GATEWAY_RECORD_FOLLOWER_H_
#define JACKDAWSHUNT_GATEWAY_RECORD_FOLLOWER_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "jackdawshunt/kernel/boot_clock.h"
#include "jackdawshunt/kernel/event_loop.h"
#include "jackdawshunt/platform/record_source.h"
#include "jackdawshunt/routing/store_probe.h"

namespace jackdawshunt::gateway {

struct RecordFollowerCallbacks {
  // Receives all records of the kind. `is_restored` tells that it is the first
  // list after the store was restored from an older copy.
  std::function<void(const std::vector<platform::Record>&, bool is_restored)>
      on_list;
  // Receives the records that changed since the last call.
  std::function<void(const std::vector<platform::Record>&)> on_change;
  // Called when the records reported so far were current at `as_of`, a time of
  // the boot clock.
  std::function<void(kernel::TimePoint as_of)> on_current;
  // Called when the store answers again after being unavailable for `gap`,
  // before the records of that answer are reported.
  std::function<void(kernel::Duration gap)> on_reconnected;
};

struct RecordFollowerTimes {
  // Time for which the store may hold a watch when there are no changes.
  std::chrono::milliseconds watch_wait = std::chrono::seconds(25);
  // Time from a change to the next watch. Changes come in groups, and each
  // watch that returns is a call of every instance; the time must be short
  // compared with the one in which a change has to be in effect.
  kernel::Duration change_grouping = std::chrono::milliseconds(400);
  // Longest time between two retries.
  kernel::Duration max_retry_delay = std::chrono::milliseconds(400);
};

class RecordFollower {
 public:
  // `probe` is shared by all followers of the store and must outlive them.
  RecordFollower(kernel::EventLoop& loop,
                 const http::Address& store,
                 platform::RecordKind kind,
                 RecordFollowerTimes times,
                 routing::StoreProbe& probe,
                 RecordFollowerCallbacks callbacks);
  RecordFollower(const RecordFollower&) = delete;
  RecordFollower& operator=(const RecordFollower&) = delete;

  // Sends the first list request.
  void Start();
  // Requests the pending changes for an immediate reply, in addition to the
  // watch; use when the watch may have failed. Does nothing before the first
  // list, while an earlier such request is pending or while calls are retried.
  void ReadNow();
  // Sends the watch again, so that it delivers later changes although the
  // answer to the one before may be lost. Does nothing while no watch is
  // pending.
  void RenewWatch();
  // Calls `done` with true once the callbacks have received all changes up to
  // now, or with false if the store does not answer; possibly before it
  // returns.
  using ReadCallback = std::function<void(bool is_read)>;
  void Read(ReadCallback done);

  // Returns whether a list was received and the last list or watch succeeded.
  bool is_connected() const {
    return consecutive_failures_ == 0 && cursor_.has_list();
  }
  // Returns the store's revision up to which all changes have been received.
  routing::StoreRevision revision() const { return cursor_.position(); }
  // Returns the revision of the last answer that brought changes.
  routing::StoreRevision changed_revision() const { return changed_revision_; }
  // Returns the number of answers that were older than earlier ones.
  uint64_t outdated_answers() const { return outdated_answers_; }
  // Returns the number of requests sent to the store.
  uint64_t calls() const { return source_.calls() + immediate_source_.calls(); }

 private:
  void List();
  void Watch(std::chrono::milliseconds wait);
  void OnAnswer(bool is_list,
                kernel::TimePoint sent,
                const absl::StatusOr<platform::RecordList>& answer);
  void OnReadNow(kernel::TimePoint sent,
                 const absl::StatusOr<platform::RecordList>& answer);
  // Reports the records of a list or a watch and advances the revision, or
  // returns why the answer cannot be applied.
  routing::AnswerUse ApplyRecords(bool is_list,
                                  const platform::RecordList& list);
  // Logs an answer that is not applied, or the first list after a restoration.
  void LogUnusualAnswer(routing::AnswerUse use,
                        bool is_list,
                        const platform::RecordList& list,
                        routing::StoreRevision before);
  // Calls back the readers whose changes an answer to a request sent at this
  // time of the boot clock holds.
  void NotifyReaders(kernel::TimePoint sent);
  void FailReaders();
  void OnFailure(const absl::Status& status);
  // Retries in `delay`, or later if the store does not answer other followers.
  void RetryAfter(kernel::Duration delay, bool is_answered);

  kernel::EventLoop& loop_;
  const platform::RecordKind kind_;
  const RecordFollowerTimes times_;
  routing::StoreProbe& probe_;
  const RecordFollowerCallbacks callbacks_;
  kernel::BootClock boot_clock_;
  platform::RecordSource source_;            // Lists and watches.
  platform::RecordSource immediate_source_;  // Requests without a wait.
  bool is_reading_now_ = false;
  struct Reader {
    kernel::TimePoint asked_at{};  // Of the boot clock.
    ReadCallback done;
  };
  std::vector<Reader> readers_;
  kernel::Timer retry_timer_;
  routing::StoreCursor cursor_;
  routing::StoreRevision changed_revision_;
  uint64_t outdated_answers_ = 0;
  uint32_t consecutive_failures_ = 0;  // Since the last answer.
  kernel::TimePoint unavailable_since_{};
};

}  // namespace jackdawshunt::gateway

#endif  // JACKDAWSHUNT_GATEWAY_RECORD_FOLLOWER_H_
