#include "jackdawshunt/routing/admission.h"

#include <algorithm>
#include <array>

namespace jackdawshunt::routing {
namespace {

// Bounds of the time after which a refused caller returns.
constexpr kernel::Duration kMinReturn = std::chrono::milliseconds(100);
constexpr kernel::Duration kMaxReturn = std::chrono::milliseconds(2000);
// Callers obey a return time of up to a third of the time they have left.
constexpr int kObeyedShare = 3;

struct ShareStep {
  double below;  // Of the fair share.
  double factor;
};
constexpr std::array kShareSteps = {ShareStep{0.85, 1.4}, ShareStep{1.0, 1.0},
                                    ShareStep{1.1, 0.5}, ShareStep{1.2, 0.25},
                                    ShareStep{1.4, 0.1}};
constexpr double kFarBeyondShare = 0;

kernel::Duration Scale(kernel::Duration duration, double factor) {
  return kernel::Duration(
      static_cast<int64_t>(static_cast<double>(duration.count()) * factor));
}

}  // namespace

double ShareFactor(double share_used) {
  if (share_used <= 0) {
    return 1.0;  // All that is asked is served.
  }
  for (const ShareStep& step : kShareSteps) {
    if (share_used < step.below) {
      return step.factor;
    }
  }
  return kFarBeyondShare;
}

AdmissionDecision Decide(const AdmissionInput& input,
                         const AdmissionPolicy& policy) {
  const double factor = ShareFactor(input.share_used);
  const kernel::Duration in_time =
      Scale(input.objective_left, policy.objective_share) -
      input.cost.prefill_time;
  const kernel::Duration for_long_prompts =
      Scale(input.objective, policy.long_prompt_wait_share);
  const kernel::Duration most_wait = Scale(
      std::max({policy.negligible_wait, in_time, for_long_prompts}), factor);
  const kernel::Duration most_ahead =
      Scale(input.objective, policy.ahead_share * factor);
  const kernel::Duration excess = std::max(
      input.cost.wait - most_wait, input.cost.ahead_of_pace - most_ahead);
  const bool is_open = factor > 0 || input.fleet_has_spare_capacity;
  if (excess <= kernel::Duration::zero() && is_open) {
    return {};
  }
  return {.is_admitted = false,
          .retry_after =
              RetryDelay(excess, input.deadline_left, input.request_hash)};
}

kernel::Duration RetryDelay(kernel::Duration excess,
                            kernel::Duration deadline_left,
                            uint64_t request_hash) {
  const kernel::Duration base = std::clamp(excess, kMinReturn, kMaxReturn);
  constexpr uint64_t kSteps = 1000;
  const double spread =
      0.5 * static_cast<double>(request_hash % kSteps) / kSteps;
  const kernel::Duration wanted = Scale(base, 1.0 + spread);
  return std::max(std::min(wanted, deadline_left / kObeyedShare),
                  kernel::Duration::zero());
}

}  // namespace jackdawshunt::routing
