// State machine of one request at the entry. Returns the next step for each
// event; the dispatcher executes it. Does no I/O.
//
//   claiming -> waiting -> started -> running -> finished
//                  ^          |  \        |
//                  |          v   v       v
//                  +------ reconnecting / querying
//
// From reconnecting and querying, a request also returns to running or
// finishes.
//
// Example:
//   entry::Call call(submit, now);
//   call.SetStarted("side-1", incarnation, grant, now);
//   entry::Decision decision = call.OnRefused(1, "expired", limits);
#ifndef JACKDAWSHUNT_ENTRY_CALL_H_
#define JACKDAWSHUNT_ENTRY_CALL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "jackdawshunt/entry/messages.h"
#include "jackdawshunt/kernel/clock.h"

namespace jackdawshunt::entry {

enum class CallState {
  kClaiming,      // The idempotency claim is being acquired.
  kWaiting,       // In the queue.
  kStarted,       // The start was sent; the side has not answered.
  kRunning,       // The side accepted the request.
  kReconnecting,  // The link to the side is down.
  kQuerying,      // A query or an attach awaits its reply.
  kFinished,
};
std::string_view CallStateName(CallState state);

enum class NextStep {
  kNone,
  kRequeue,   // Return to the queue, as a new attempt.
  kQuery,     // Query the outcome at the side.
  kAttach,    // Request the stream from next_offset() on from the side.
  kComplete,  // The answer is complete.
  kFail,      // Answer the caller with `error`.
};

struct Decision {
  NextStep step = NextStep::kNone;
  base::ErrorKind error = base::ErrorKind::kInternal;  // kFail.
  base::Executed executed = base::Executed::kUnknown;  // kFail.
  std::string reason;                                  // kRequeue, kFail.
  bool not_executed = false;  // kRequeue: no attempt was executed.
};

struct CallLimits {
  int32_t max_attempts = 3;
  // Longest time without progress at the side before it is queried.
  kernel::Duration progress_limit = std::chrono::seconds(10);
};

// Longest wait for a new link to the side, or for the reply to a query.
inline constexpr kernel::Duration kRecoveryLimit = std::chrono::seconds(5);
// Longest wait for a new link when another side can execute the request. Leaves
// time for several dial attempts, and delays the caller for less than
// kRecoveryLimit.
inline constexpr kernel::Duration kRepeatableReconnectLimit =
    std::chrono::seconds(1);

// One request at the entry. Not thread-safe.
class Call {
 public:
  Call(Submit spec, kernel::TimePoint now);
  // Creates a call attached to a stream that another entry, or an earlier
  // caller, started.
  Call(const ResumeStream& resume, kernel::TimePoint now);

  const Submit& spec() const { return spec_; }
  CallState state() const { return state_; }
  int32_t attempt() const { return attempt_; }
  const std::string& side() const { return side_; }
  const base::Incarnation& side_incarnation() const { return incarnation_; }
  uint64_t grant() const { return grant_; }
  // Index of the next expected token (models) or byte (services).
  int64_t next_offset() const { return next_offset_; }
  // Returns true while the request is assigned to a side.
  bool is_at_side() const;
  // Returns true for a stream that was started by another entry or caller.
  bool is_attached() const { return is_attached_; }
  // Returns true once an upstream may have executed an attempt.
  bool may_have_executed() const { return may_have_executed_; }

  void SetClaiming() { state_ = CallState::kClaiming; }
  void SetWaiting() { state_ = CallState::kWaiting; }
  void SetFinished() { state_ = CallState::kFinished; }
  void SetStarted(std::string side,
                  const base::Incarnation& incarnation,
                  uint64_t grant,
                  kernel::TimePoint now);
  // Continues the stream from `offset` on for a new caller.
  Decision ResumeAt(int64_t offset, kernel::TimePoint now);
  // Records that the caller has received all units, tokens or bytes, below
  // `offset`.
  void SetConsumed(int64_t offset);

  Decision OnAccepted(int32_t attempt, kernel::TimePoint now);
  Decision OnRefused(int32_t attempt,
                     std::string_view reason,
                     const CallLimits& limits);
  Decision OnFailed(const protocol::Failed& failed, const CallLimits& limits);
  Decision OnDone(const protocol::Done& done, kernel::TimePoint now);

  struct ChunkResult {
    bool is_accepted = false;
    int64_t skip = 0;  // Leading units that were already received.
    Decision decision;
  };
  // Accepts the units from next_offset() on of a chunk of `count` tokens or
  // bytes. When units before `offset` are missing, the decision is kAttach, or
  // kNone while a query or an attach awaits its reply.
  ChunkResult OnChunk(int32_t attempt,
                      int64_t offset,
                      int64_t count,
                      kernel::TimePoint now);

  Decision OnLinkDown(kernel::TimePoint now);
  Decision OnLinkUp(const base::Incarnation& incarnation,
                    const CallLimits& limits,
                    kernel::TimePoint now);
  Decision OnSideLost(std::string_view reason, const CallLimits& limits);
  // Fails a request that exceeded the longest wait in the queue.
  Decision OnWaitLimit();
  Decision OnTick(const CallLimits& limits, kernel::TimePoint now);

 private:
  bool IsCurrent(int32_t attempt) const;
  Decision Requeue(std::string_view reason, bool not_executed);
  Decision RetryOrFail(std::string_view reason, const CallLimits& limits);
  Decision Fail(base::ErrorKind error,
                base::Executed executed,
                std::string_view reason);
  Decision StartQuery(NextStep step, kernel::TimePoint now);

  Submit spec_;
  CallState state_ = CallState::kWaiting;
  int32_t attempt_ = 1;
  std::string side_;
  base::Incarnation incarnation_;
  uint64_t grant_ = 0;
  int64_t next_offset_ = 0;
  int64_t consumed_ = 0;
  int64_t start_offset_ = 0;  // Initial value of next_offset_.
  bool is_attached_ = false;
  // True when an earlier attempt may have been executed, so that "not executed"
  // must not be reported.
  bool may_have_executed_ = false;
  kernel::TimePoint last_progress_;
  kernel::TimePoint deadline_;                // kReconnecting and kQuerying.
  NextStep pending_query_ = NextStep::kNone;  // kQuerying: kQuery or kAttach.
};

}  // namespace jackdawshunt::entry

#endif  // JACKDAWSHUNT_ENTRY_CALL_H_
