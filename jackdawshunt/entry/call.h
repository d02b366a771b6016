// State machine of one request at the entry. Decides what follows from each
// event; the dispatcher carries the decision out. Does no I/O.
//
//   claiming -> waiting -> started -> running -> finished
//                  ^          |  \        |
//                  |          v   v       v
//                  +------ reconnecting / querying
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
  kRunning,       // The side runs it.
  kReconnecting,  // The link to the side is down.
  kQuerying,      // A query or an attach awaits its answer.
  kFinished,
};
std::string_view CallStateName(CallState state);

enum class NextStep {
  kNone,
  kRequeue,   // Back to the queue, as a new attempt.
  kQuery,     // Ask the side for the outcome.
  kAttach,    // Ask the side for the stream from next_offset() on.
  kComplete,  // The answer is complete.
  kFail,      // Answer the caller with `error`.
};

struct Decision {
  NextStep step = NextStep::kNone;
  base::ErrorKind error = base::ErrorKind::kInternal;  // kFail.
  base::Ran ran = base::Ran::kUnknown;                 // kFail.
  std::string why;                                     // kRequeue, kFail.
  bool was_refused = false;  // kRequeue: certainly not run.
};

struct CallLimits {
  int32_t max_attempts = 3;
  kernel::Duration progress_limit = std::chrono::seconds(10);
};

// Longest wait for a new link to the side, or for the answer to a query.
inline constexpr kernel::Duration kRecoveryLimit = std::chrono::seconds(5);
// Longest wait for a new link when the request can be run elsewhere: several
// attempts to dial, and a shorter pause for the caller than kRecoveryLimit.
inline constexpr kernel::Duration kRelinkLimit = std::chrono::seconds(1);

class Call {
 public:
  Call(Submit spec, kernel::TimePoint now);
  // A stream that another entry, or an earlier caller, started.
  Call(const Join& join, kernel::TimePoint now);

  const Submit& spec() const { return spec_; }
  CallState state() const { return state_; }
  int32_t attempt() const { return attempt_; }
  const std::string& side() const { return side_; }
  const base::Incarnation& side_incarnation() const { return incarnation_; }
  uint64_t grant() const { return grant_; }
  // Token (models) or byte (services) that is expected next.
  int64_t next_offset() const { return next_offset_; }
  // True while a side may hold the request.
  bool is_at_side() const;
  bool is_attached() const { return is_attached_; }
  // True once an attempt may have reached an upstream.
  bool may_have_run() const { return may_have_run_; }

  void SetClaiming() { state_ = CallState::kClaiming; }
  void SetWaiting() { state_ = CallState::kWaiting; }
  void SetFinished() { state_ = CallState::kFinished; }
  void SetStarted(std::string side,
                  const base::Incarnation& incarnation,
                  uint64_t grant,
                  kernel::TimePoint now);
  // A new caller takes the stream from `offset` on.
  Decision Rejoin(int64_t offset, kernel::TimePoint now);
  void SetConsumed(int64_t offset);

  Decision OnAccepted(int32_t attempt, kernel::TimePoint now);
  Decision OnRefused(int32_t attempt,
                     std::string_view reason,
                     const CallLimits& limits);
  Decision OnFailed(const protocol::Failed& failed, const CallLimits& limits);
  Decision OnDone(const protocol::Done& done, kernel::TimePoint now);

  struct ChunkResult {
    bool is_taken = false;
    int64_t skip = 0;  // Leading units that were received before.
    Decision decision;
  };
  // `count` is the number of tokens or bytes of the chunk.
  ChunkResult OnChunk(int32_t attempt,
                      int64_t offset,
                      int64_t count,
                      kernel::TimePoint now);

  Decision OnLinkDown(kernel::TimePoint now);
  Decision OnLinkUp(const base::Incarnation& incarnation,
                    const CallLimits& limits,
                    kernel::TimePoint now);
  Decision OnSideGone(std::string_view why, const CallLimits& limits);
  // The request waited in the queue for too long.
  Decision OnWaitLimit();
  Decision OnTick(const CallLimits& limits, kernel::TimePoint now);

 private:
  bool IsCurrent(int32_t attempt) const;
  Decision Requeue(std::string_view why, bool was_refused);
  Decision NotRun(std::string_view why, const CallLimits& limits);
  Decision Fail(base::ErrorKind error, base::Ran ran, std::string_view why);
  Decision Ask(NextStep step, kernel::TimePoint now);

  Submit spec_;
  CallState state_ = CallState::kWaiting;
  int32_t attempt_ = 1;
  std::string side_;
  base::Incarnation incarnation_;
  uint64_t grant_ = 0;
  int64_t next_offset_ = 0;
  int64_t consumed_ = 0;
  int64_t first_offset_ = 0;  // next_offset_ at the start of the request.
  bool is_attached_ = false;
  // An earlier attempt may have run, so that "not run" must not be reported.
  bool may_have_run_ = false;
  kernel::TimePoint last_progress_;
  kernel::TimePoint deadline_;        // kReconnecting and kQuerying.
  NextStep asked_ = NextStep::kNone;  // kQuerying: kQuery or kAttach.
};

}  // namespace jackdawshunt::entry

#endif  // JACKDAWSHUNT_ENTRY_CALL_H_
