#include "jackdawshunt/entry/call.h"

#include <algorithm>
#include <array>
#include <utility>

namespace jackdawshunt::entry {
namespace {

constexpr std::array<std::string_view, 7> kStateNames = {
    "claiming",     "waiting",  "started", "running",
    "reconnecting", "querying", "finished"};

// Faults of the request itself, which another attempt would repeat.
bool IsCallersFault(base::ErrorKind kind) {
  return kind == base::ErrorKind::kBadRequest ||
         kind == base::ErrorKind::kBodyTooLarge ||
         kind == base::ErrorKind::kModelNotAllowed;
}

}  // namespace

std::string_view CallStateName(CallState state) {
  return kStateNames[static_cast<size_t>(state)];
}

Call::Call(Submit spec, kernel::TimePoint now)
    : spec_(std::move(spec)),
      next_offset_(spec_.resume_tokens),
      consumed_(spec_.resume_tokens),
      first_offset_(spec_.resume_tokens),
      last_progress_(now) {}

Call::Call(const Join& join, kernel::TimePoint now)
    : state_(CallState::kReconnecting),
      attempt_(0),
      side_(join.side),
      next_offset_(join.offset),
      consumed_(join.offset),
      first_offset_(join.offset),
      is_attached_(true),
      may_have_run_(true),
      last_progress_(now),
      deadline_(now + kRecoveryLimit) {
  spec_.request = join.request;
  spec_.workspace = join.workspace;
  spec_.is_stream = true;
}

bool Call::is_at_side() const {
  return state_ == CallState::kStarted || state_ == CallState::kRunning ||
         state_ == CallState::kReconnecting || state_ == CallState::kQuerying;
}

void Call::SetStarted(std::string side,
                      const base::Incarnation& incarnation,
                      uint64_t grant,
                      kernel::TimePoint now) {
  state_ = CallState::kStarted;
  side_ = std::move(side);
  incarnation_ = incarnation;
  grant_ = grant;
  last_progress_ = now;
}

Decision Call::Rejoin(int64_t offset, kernel::TimePoint now) {
  next_offset_ = offset;
  consumed_ = offset;
  first_offset_ = offset;
  // In the other states the attach follows from the answer to a query.
  const bool can_attach =
      state_ == CallState::kRunning || state_ == CallState::kStarted ||
      (state_ == CallState::kQuerying && asked_ == NextStep::kAttach);
  return can_attach ? Ask(NextStep::kAttach, now) : Decision{};
}

void Call::SetConsumed(int64_t offset) {
  consumed_ = std::max(consumed_, offset);
}

// The first answer tells an attached stream which attempt it follows.
bool Call::IsCurrent(int32_t attempt) const {
  return is_at_side() &&
         (attempt == attempt_ || (is_attached_ && attempt_ == 0));
}

Decision Call::Ask(NextStep step, kernel::TimePoint now) {
  state_ = CallState::kQuerying;
  asked_ = step;
  deadline_ = now + kRecoveryLimit;
  return {.step = step};
}

Decision Call::Fail(base::ErrorKind error,
                    base::Ran ran,
                    std::string_view why) {
  state_ = CallState::kFinished;
  return {.step = NextStep::kFail,
          .error = error,
          .ran = ran,
          .why = std::string(why)};
}

Decision Call::Requeue(std::string_view why, bool was_refused) {
  state_ = CallState::kWaiting;
  ++attempt_;
  if (spec_.kind == protocol::StartKind::kService) {
    next_offset_ = 0;
    consumed_ = 0;
  }
  return {.step = NextStep::kRequeue,
          .why = std::string(why),
          .was_refused = was_refused};
}

Decision Call::NotRun(std::string_view why, const CallLimits& limits) {
  if (is_attached_) {
    return Fail(base::ErrorKind::kStreamLost, base::Ran::kUnknown, why);
  }
  if (attempt_ < limits.max_attempts) {
    return Requeue(why, !may_have_run_);
  }
  if (next_offset_ > first_offset_) {
    return Fail(base::ErrorKind::kStreamLost, base::Ran::kYes, why);
  }
  return may_have_run_
             ? Fail(base::ErrorKind::kUpstreamFailed, base::Ran::kUnknown, why)
             : Fail(base::ErrorKind::kNoCapacity, base::Ran::kNo, why);
}

Decision Call::OnSideGone(std::string_view why, const CallLimits& limits) {
  if (!is_at_side()) {
    return {};
  }
  may_have_run_ = true;
  if (!spec_.repeatable) {
    return Fail(base::ErrorKind::kOutcomeUnknown, base::Ran::kUnknown, why);
  }
  return NotRun(why, limits);
}

Decision Call::OnAccepted(int32_t attempt, kernel::TimePoint now) {
  if (!IsCurrent(attempt)) {
    return {};
  }
  attempt_ = attempt;
  last_progress_ = now;
  const bool was_query =
      state_ == CallState::kQuerying && asked_ == NextStep::kQuery;
  state_ = CallState::kRunning;
  // After a query the side still sends to the old connection.
  return {.step = was_query ? NextStep::kAttach : NextStep::kNone};
}

Decision Call::OnRefused(int32_t attempt,
                         std::string_view reason,
                         const CallLimits& limits) {
  // A refusal of a running request contradicts what the side said before.
  if (!IsCurrent(attempt) || state_ == CallState::kRunning) {
    return {};
  }
  return NotRun(reason, limits);
}

Decision Call::OnFailed(const protocol::Failed& failed,
                        const CallLimits& limits) {
  if (!IsCurrent(failed.attempt)) {
    return {};
  }
  if (is_attached_ || IsCallersFault(failed.kind)) {
    return Fail(failed.kind, failed.ran, failed.message);
  }
  const std::string why = failed.message.empty()
                              ? std::string(base::ErrorKindName(failed.kind))
                              : failed.message;
  return failed.ran == base::Ran::kNo ? NotRun(why, limits)
                                      : OnSideGone(why, limits);
}

Decision Call::OnDone(const protocol::Done& done, kernel::TimePoint now) {
  if (!IsCurrent(done.attempt)) {
    return {};
  }
  attempt_ = done.attempt;
  if (next_offset_ < done.length) {
    return Ask(NextStep::kAttach, now);
  }
  state_ = CallState::kFinished;
  return {.step = NextStep::kComplete};
}

Call::ChunkResult Call::OnChunk(int32_t attempt,
                                int64_t offset,
                                int64_t count,
                                kernel::TimePoint now) {
  if (!IsCurrent(attempt)) {
    return {};
  }
  if (offset > next_offset_) {
    // An attach that is under way already asks for the missing part.
    return {.decision = state_ == CallState::kQuerying
                            ? Decision{}
                            : Ask(NextStep::kAttach, now)};
  }
  attempt_ = attempt;
  last_progress_ = now;
  state_ = CallState::kRunning;
  const int64_t skip = next_offset_ - offset;
  if (skip >= count) {
    return {};
  }
  next_offset_ = offset + count;
  return {.is_taken = true, .skip = skip};
}

Decision Call::OnLinkDown(kernel::TimePoint now) {
  if (is_at_side() && state_ != CallState::kReconnecting) {
    state_ = CallState::kReconnecting;
    const bool can_move = spec_.repeatable && !is_attached_;
    deadline_ = now + (can_move ? kRelinkLimit : kRecoveryLimit);
  }
  return {};
}

Decision Call::OnLinkUp(const base::Incarnation& incarnation,
                        const CallLimits& limits,
                        kernel::TimePoint now) {
  if (state_ != CallState::kReconnecting) {
    return {};
  }
  if (is_attached_ && incarnation_ == base::Incarnation{}) {
    incarnation_ = incarnation;
  }
  if (incarnation != incarnation_) {
    return OnSideGone("the side was replaced", limits);
  }
  return Ask(is_attached_ ? NextStep::kAttach : NextStep::kQuery, now);
}

Decision Call::OnWaitLimit() {
  constexpr std::string_view kWhy = "waited too long for a free slot";
  if (next_offset_ > first_offset_) {
    return Fail(base::ErrorKind::kStreamLost, base::Ran::kYes, kWhy);
  }
  return may_have_run_
             ? Fail(base::ErrorKind::kUpstreamFailed, base::Ran::kUnknown, kWhy)
             : Fail(base::ErrorKind::kWaitLimit, base::Ran::kNo, kWhy);
}

Decision Call::OnTick(const CallLimits& limits, kernel::TimePoint now) {
  switch (state_) {
    case CallState::kReconnecting:
      return now < deadline_ ? Decision{}
                             : OnSideGone("no link to the side", limits);
    case CallState::kQuerying:
      return now < deadline_ ? Decision{}
                             : OnSideGone("no answer from the side", limits);
    case CallState::kStarted:
      if (grant_ == 0) {
        return {};  // A pushed start waits in the side's own queue.
      }
      [[fallthrough]];
    case CallState::kRunning:
      // A stream that waits for its caller makes no progress either.
      if (consumed_ < next_offset_ ||
          now - last_progress_ < limits.progress_limit) {
        return {};
      }
      return Ask(is_attached_ ? NextStep::kAttach : NextStep::kQuery, now);
    default:
      return {};
  }
}

}  // namespace jackdawshunt::entry
