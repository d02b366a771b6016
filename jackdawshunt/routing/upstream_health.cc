#include "jackdawshunt/routing/upstream_health.h"

#include <algorithm>
#include <array>

namespace jackdawshunt::routing {
namespace {

constexpr std::array<std::string_view, 8> kOutcomeNames = {
    "success", "server_error", "overloaded",     "unreachable",
    "lost",    "silent",       "wrong_instance", "withdrawn"};

// Weight of one outcome in the failure share, which covers about ten requests.
constexpr double kOutcomeWeight = 0.1;
// Above this failure share, after kMinSamples requests, an upstream is avoided.
// Plain services answer up to one request in seven with an error of their own.
constexpr double kAvoidShare = 0.35;
constexpr uint32_t kMinSamples = 6;
// Hard failures without a success in between after which an upstream is avoided
// at once.
constexpr uint32_t kHardFailureThreshold = 2;
constexpr kernel::Duration kMinBackoff = std::chrono::milliseconds(500);
constexpr kernel::Duration kMaxBackoff = std::chrono::seconds(4);

struct OutcomeClass {
  bool is_failure;
  bool is_hard;  // The upstream is unusable now.
};
constexpr std::array kOutcomeClasses = {
    OutcomeClass{false, false}, OutcomeClass{true, false},
    OutcomeClass{false, false}, OutcomeClass{true, true},
    OutcomeClass{true, false},  OutcomeClass{true, true},
    OutcomeClass{true, true},   OutcomeClass{false, false},
};

}  // namespace

std::string_view OutcomeName(Outcome outcome) {
  return kOutcomeNames.at(static_cast<size_t>(outcome));
}

bool MayHaveExecuted(Outcome outcome) {
  return outcome != Outcome::kOverloaded && outcome != Outcome::kUnreachable &&
         outcome != Outcome::kWrongInstance && outcome != Outcome::kWithdrawn;
}

void UpstreamHealth::Record(std::string_view id,
                            Outcome outcome,
                            kernel::TimePoint now) {
  if (outcome == Outcome::kOverloaded || outcome == Outcome::kWithdrawn) {
    return;  // Shows nothing about whether the upstream works.
  }
  State& state = states_[std::string(id)];
  const OutcomeClass& row = kOutcomeClasses.at(static_cast<size_t>(outcome));
  state.failure_share +=
      kOutcomeWeight * ((row.is_failure ? 1.0 : 0.0) - state.failure_share);
  ++state.samples;
  if (!row.is_failure) {
    state.hard_failures = 0;
    state.avoided_until = {};
    if (state.failure_share < kAvoidShare / 2) {
      state.backoff = {};
    }
    return;
  }
  state.hard_failures += row.is_hard ? 1 : 0;
  const bool fails_often =
      state.samples >= kMinSamples && state.failure_share > kAvoidShare;
  if (state.hard_failures >= kHardFailureThreshold || fails_often) {
    Avoid(state, now);
  }
}

void UpstreamHealth::Avoid(State& state, kernel::TimePoint now) {
  if (now < state.avoided_until) {
    return;  // The request was sent before the upstream was avoided.
  }
  state.backoff = std::clamp(state.backoff * 2, kMinBackoff, kMaxBackoff);
  AvoidUntil(state, now + state.backoff);
}

void UpstreamHealth::AvoidUntil(State& state, kernel::TimePoint time) {
  state.avoided_until = time;
  last_avoided_until_ = std::max(last_avoided_until_, time);
}

void UpstreamHealth::AvoidUnreachable(std::string_view id,
                                      kernel::TimePoint now) {
  State& state = states_[std::string(id)];
  AvoidUntil(state, std::max(state.avoided_until, now + kMinBackoff));
}

void UpstreamHealth::Remove(std::string_view id) {
  states_.erase(std::string(id));
}

bool UpstreamHealth::IsAvoided(std::string_view id,
                               kernel::TimePoint now) const {
  const auto found = states_.find(std::string(id));
  return found != states_.end() && now < found->second.avoided_until;
}

double UpstreamHealth::FailureShare(std::string_view id) const {
  const auto found = states_.find(std::string(id));
  return found == states_.end() ? 0.0 : found->second.failure_share;
}

void UpstreamHealth::StartTrial(std::string_view id, kernel::TimePoint now) {
  const auto found = states_.find(std::string(id));
  if (found == states_.end() || found->second.backoff.count() == 0 ||
      found->second.hard_failures < kHardFailureThreshold) {
    return;
  }
  // Other requests avoid the upstream until the outcome is known.
  AvoidUntil(found->second, now + kMinBackoff);
}

}  // namespace jackdawshunt::routing
