#include "jackdawshunt/routing/admission.h"

#include <algorithm>
#include <array>

namespace jackdawshunt::routing {
namespace {

// Bounds of the delay before a refused caller retries.
constexpr kernel::Duration kMinRetryDelay = std::chrono::milliseconds(100);
constexpr kernel::Duration kMaxRetryDelay = std::chrono::milliseconds(2000);
// Callers obey a retry delay of up to a third of the time until their deadline.
constexpr int kRetryDelayDivisor = 3;

struct ShareStep {
  double below;  // Upper bound of the used share, exclusive.
  double factor;
};
constexpr std::array kShareSteps = {ShareStep{0.5, 1.7},  ShareStep{0.85, 1.4},
                                    ShareStep{1.0, 1.0},  ShareStep{1.1, 0.5},
                                    ShareStep{1.2, 0.25}, ShareStep{1.3, 0.1}};
constexpr double kFarBeyondShareFactor = 0;
// Idle time required for each share used, up to the maximum.
constexpr kernel::Duration kIdleTimePerShare = std::chrono::milliseconds(60);
constexpr kernel::Duration kMaxRequiredIdleTime =
    std::chrono::milliseconds(400);

constexpr std::array<std::string_view, 5> kRefusalRuleNames = {
    "none", "wait", "pace", "fleet_full", "engine_not_idle"};

kernel::Duration Scale(kernel::Duration duration, double factor) {
  return kernel::Duration(
      static_cast<int64_t>(static_cast<double>(duration.count()) * factor));
}

}  // namespace

std::string_view RefusalRuleName(RefusalRule rule) {
  return kRefusalRuleNames.at(static_cast<size_t>(rule));
}

double ShareFactor(double share_used) {
  if (share_used <= 0) {
    return 1.0;  // Every workspace gets its share.
  }
  for (const ShareStep& step : kShareSteps) {
    if (share_used < step.below) {
      return step.factor;
    }
  }
  return kFarBeyondShareFactor;
}

kernel::Duration RequiredIdleTime(double share_used) {
  return std::min(Scale(kIdleTimePerShare, share_used), kMaxRequiredIdleTime);
}

AdmissionDecision DecideAdmission(const AdmissionInput& input,
                                  const AdmissionPolicy& policy) {
  const double factor = ShareFactor(input.share_used);
  const kernel::Duration max_timely_wait =
      Scale(input.remaining_objective, policy.objective_fraction) -
      input.cost.prefill_time;
  const kernel::Duration max_long_prompt_wait =
      Scale(input.objective, policy.long_prompt_wait_fraction);
  const kernel::Duration max_own_wait =
      std::max({policy.negligible_wait, max_timely_wait, max_long_prompt_wait});
  const kernel::Duration max_wait =
      factor >= 1
          ? Scale(max_own_wait, factor)
          : std::min(max_own_wait, Scale(policy.max_wait_beyond_share, factor));
  const kernel::Duration max_ahead = Scale(policy.max_ahead_of_pace, factor);
  const kernel::Duration excess_wait = input.cost.wait - max_wait;
  const kernel::Duration excess_pace = input.cost.ahead_of_pace - max_ahead;
  RefusalRule rule = RefusalRule::kNone;
  if (excess_wait > kernel::Duration::zero()) {
    rule = RefusalRule::kWait;
  } else if (excess_pace > kernel::Duration::zero()) {
    rule = RefusalRule::kPace;
  } else if (factor <= 0 && !input.fleet_has_spare_capacity) {
    rule = RefusalRule::kFleetFull;
  } else if (factor <= 0 &&
             input.cost.idle_time < RequiredIdleTime(input.share_used)) {
    rule = RefusalRule::kEngineNotIdle;
  }
  if (rule == RefusalRule::kNone) {
    return {};
  }
  return {
      .is_admitted = false,
      .rule = rule,
      .retry_after = RetryDelay(std::max(excess_wait, excess_pace),
                                input.time_to_deadline, input.request_hash)};
}

kernel::Duration RetryDelay(kernel::Duration excess,
                            kernel::Duration time_to_deadline,
                            uint64_t request_hash) {
  const kernel::Duration base =
      std::clamp(excess, kMinRetryDelay, kMaxRetryDelay);
  constexpr uint64_t kSteps = 1000;
  const double spread =
      0.5 * static_cast<double>(request_hash % kSteps) / kSteps;
  const kernel::Duration wanted = Scale(base, 1.0 + spread);
  return std::max(std::min(wanted, time_to_deadline / kRetryDelayDivisor),
                  kernel::Duration::zero());
}

}  // namespace jackdawshunt::routing
