#include "jackdawshunt/entry/call.h"

#include <algorithm>
#include <array>
#include <utility>

namespace jackdawshunt::entry {
namespace {

constexpr std::array<std::string_view, 7> kStateNames = {
    "claiming",     "waiting",  "started", "running",
    "reconnecting", "querying", "finished"};

// Returns true for errors of the request itself, which another attempt would
// repeat.
bool IsCallerError(base::ErrorKind kind) {
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
      start_offset_(spec_.resume_tokens),
      last_progress_(now) {}

Call::Call(const ResumeStream& resume, kernel::TimePoint now)
    : state_(CallState::kReconnecting),
      attempt_(0),
      side_(resume.side),
      next_offset_(resume.offset),
      consumed_(resume.offset),
      start_offset_(resume.offset),
      is_attached_(true),
      may_have_executed_(true),
      last_progress_(now),
      deadline_(now + kRecoveryLimit) {
  spec_.request = resume.request;
  spec_.workspace = resume.workspace;
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

Decision Call::ResumeAt(int64_t offset, kernel::TimePoint now) {
  next_offset_ = offset;
  consumed_ = offset;
  start_offset_ = offset;
  // In the other states the attach follows the reply to a query.
  const bool can_attach =
      state_ == CallState::kRunning || state_ == CallState::kStarted ||
      (state_ == CallState::kQuerying && pending_query_ == NextStep::kAttach);
  return can_attach ? StartQuery(NextStep::kAttach, now) : Decision{};
}

void Call::SetConsumed(int64_t offset) {
  consumed_ = std::max(consumed_, offset);
}

// An attached stream takes its attempt from the first message of the side.
bool Call::IsCurrent(int32_t attempt) const {
  return is_at_side() &&
         (attempt == attempt_ || (is_attached_ && attempt_ == 0));
}

Decision Call::StartQuery(NextStep step, kernel::TimePoint now) {
  state_ = CallState::kQuerying;
  pending_query_ = step;
  deadline_ = now + kRecoveryLimit;
  return {.step = step};
}

Decision Call::Fail(base::ErrorKind error,
                    base::Executed executed,
                    std::string_view reason) {
  state_ = CallState::kFinished;
  return {.step = NextStep::kFail,
          .error = error,
          .executed = executed,
          .reason = std::string(reason)};
}

Decision Call::Requeue(std::string_view reason, bool not_executed) {
  state_ = CallState::kWaiting;
  ++attempt_;
  if (spec_.kind == protocol::StartKind::kService) {
    next_offset_ = 0;
    consumed_ = 0;
  }
  return {.step = NextStep::kRequeue,
          .reason = std::string(reason),
          .not_executed = not_executed};
}

Decision Call::RetryOrFail(std::string_view reason, const CallLimits& limits) {
  if (is_attached_) {
    return Fail(base::ErrorKind::kStreamLost, base::Executed::kUnknown, reason);
  }
  if (attempt_ < limits.max_attempts) {
    return Requeue(reason, !may_have_executed_);
  }
  if (next_offset_ > start_offset_) {
    return Fail(base::ErrorKind::kStreamLost, base::Executed::kYes, reason);
  }
  return may_have_executed_
             ? Fail(base::ErrorKind::kUpstreamFailed, base::Executed::kUnknown,
                    reason)
             : Fail(base::ErrorKind::kNoCapacity, base::Executed::kNo, reason);
}

Decision Call::OnSideLost(std::string_view reason, const CallLimits& limits) {
  if (!is_at_side()) {
    return {};
  }
  may_have_executed_ = true;
  if (!spec_.repeatable) {
    return Fail(base::ErrorKind::kOutcomeUnknown, base::Executed::kUnknown,
                reason);
  }
  return RetryOrFail(reason, limits);
}

Decision Call::OnAccepted(int32_t attempt, kernel::TimePoint now) {
  if (!IsCurrent(attempt)) {
    return {};
  }
  attempt_ = attempt;
  last_progress_ = now;
  const bool was_query =
      state_ == CallState::kQuerying && pending_query_ == NextStep::kQuery;
  state_ = CallState::kRunning;
  // After a query the side still sends to the earlier connection.
  return {.step = was_query ? NextStep::kAttach : NextStep::kNone};
}

Decision Call::OnRefused(int32_t attempt,
                         std::string_view reason,
                         const CallLimits& limits) {
  // A refusal of a running request contradicts the earlier Accepted.
  if (!IsCurrent(attempt) || state_ == CallState::kRunning) {
    return {};
  }
  return RetryOrFail(reason, limits);
}

Decision Call::OnFailed(const protocol::Failed& failed,
                        const CallLimits& limits) {
  if (!IsCurrent(failed.attempt)) {
    return {};
  }
  if (is_attached_ || IsCallerError(failed.kind)) {
    return Fail(failed.kind, failed.ran, failed.message);
  }
  const std::string reason = failed.message.empty()
                                 ? std::string(base::ErrorKindName(failed.kind))
                                 : failed.message;
  return failed.ran == base::Executed::kNo ? RetryOrFail(reason, limits)
                                           : OnSideLost(reason, limits);
}

Decision Call::OnDone(const protocol::Done& done, kernel::TimePoint now) {
  if (!IsCurrent(done.attempt)) {
    return {};
  }
  attempt_ = done.attempt;
  if (next_offset_ < done.length) {
    return StartQuery(NextStep::kAttach, now);
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
    // A pending attach already requests the missing part.
    return {.decision = state_ == CallState::kQuerying
                            ? Decision{}
                            : StartQuery(NextStep::kAttach, now)};
  }
  attempt_ = attempt;
  last_progress_ = now;
  state_ = CallState::kRunning;
  const int64_t skip = next_offset_ - offset;
  if (skip >= count) {
    return {};
  }
  next_offset_ = offset + count;
  return {.is_accepted = true, .skip = skip};
}

Decision Call::OnLinkDown(kernel::TimePoint now) {
  if (is_at_side() && state_ != CallState::kReconnecting) {
    state_ = CallState::kReconnecting;
    const bool can_move = spec_.repeatable && !is_attached_;
    deadline_ = now + (can_move ? kRepeatableReconnectLimit : kRecoveryLimit);
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
    return OnSideLost("the side was replaced", limits);
  }
  return StartQuery(is_attached_ ? NextStep::kAttach : NextStep::kQuery, now);
}

Decision Call::OnWaitLimit() {
  constexpr std::string_view kWhy = "waited too long for a free slot";
  if (next_offset_ > start_offset_) {
    return Fail(base::ErrorKind::kStreamLost, base::Executed::kYes, kWhy);
  }
  return may_have_executed_
             ? Fail(base::ErrorKind::kUpstreamFailed, base::Executed::kUnknown,
                    kWhy)
             : Fail(base::ErrorKind::kWaitLimit, base::Executed::kNo, kWhy);
}

Decision Call::OnTick(const CallLimits& limits, kernel::TimePoint now) {
  switch (state_) {
    case CallState::kReconnecting:
      return now < deadline_ ? Decision{}
                             : OnSideLost("no link to the side", limits);
    case CallState::kQuerying:
      return now < deadline_ ? Decision{}
                             : OnSideLost("no answer from the side", limits);
    case CallState::kStarted:
      if (grant_ == 0) {
        return {};  // A pushed start waits in the queue of the side.
      }
      [[fallthrough]];
    case CallState::kRunning:
      // A stream that is limited by its caller may stop without a fault at the
      // side.
      if (consumed_ < next_offset_ ||
          now - last_progress_ < limits.progress_limit) {
        return {};
      }
      return StartQuery(is_attached_ ? NextStep::kAttach : NextStep::kQuery,
                        now);
    default:
      return {};
  }
}

}  // namespace jackdawshunt::entry
