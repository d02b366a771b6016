// Decides whether a request is admitted or refused at once, and when a refused
// caller should retry.
//
// Example:
//   routing::AdmissionInput input;
//   input.cost = cost;
//   input.remaining_objective = std::chrono::milliseconds(900);
//   routing::AdmissionDecision decision =
//       routing::DecideAdmission(input, policy);
//   if (!decision.is_admitted) RefuseWith(decision.retry_after);
//
// Handles more prompts than the engines can prefill. A request that joins a
// queue which it cannot leave in time is late itself and delays all behind it.
// When it is refused at once, its caller can retry while the objective can
// still be met. A workspace beyond its fair share is refused at a shorter wait,
// which leaves capacity for the others; while engines are idle no request is
// refused.
#ifndef JACKDAWSHUNT_ROUTING_ADMISSION_H_
#define JACKDAWSHUNT_ROUTING_ADMISSION_H_

#include <cstdint>
#include <string_view>

#include "jackdawshunt/kernel/clock.h"
#include "jackdawshunt/routing/engine_estimate.h"

namespace jackdawshunt::routing {

struct AdmissionPolicy {
  // Fraction of the remaining latency objective within which the first event
  // must be expected.
  double objective_fraction = 0.5;
  // A wait up to this fraction of the latency objective is accepted even for a
  // long prompt whose prefill takes the whole objective, so that prompts of all
  // sizes are served alike.
  double long_prompt_wait_fraction = 0.2;
  // Waits up to this are accepted from workspaces within their share; shorter
  // ones are not worth a refusal.
  kernel::Duration negligible_wait = std::chrono::milliseconds(30);
  // Maximum wait of a workspace beyond its share, and maximum
  // EngineCost::ahead_of_pace, before ShareFactor() is applied. They do not
  // depend on the route's objective, or such a workspace would get its share
  // mostly on the routes with long objectives.
  kernel::Duration max_wait_beyond_share = std::chrono::milliseconds(400);
  kernel::Duration max_ahead_of_pace = std::chrono::milliseconds(1000);
};

struct AdmissionInput {
  EngineCost cost;               // At the chosen engine.
  kernel::Duration objective{};  // The route's latency objective.
  // Less than `objective` if the caller was refused before.
  kernel::Duration remaining_objective{};
  kernel::Duration time_to_deadline{};
  // Admitted tokens of the workspace divided by its fair share; above 1 it
  // exceeds its share.
  double share_used = 0;
  // See FairShare::FleetHasSpareCapacity().
  bool fleet_has_spare_capacity = true;
  uint64_t request_hash = 0;  // Spreads the retries.
};

// What decides that a request is refused.
enum class RefusalRule {
  kNone,
  kWait,           // Its prefill would begin too late.
  kPace,           // The engine's claims exceed what it sustains by too much.
  kFleetFull,      // Beyond its share, while the fleet has no spare capacity.
  kEngineNotIdle,  // Beyond its share, while the engine has work.
};
std::string_view RefusalRuleName(RefusalRule rule);

struct AdmissionDecision {
  bool is_admitted = true;
  RefusalRule rule = RefusalRule::kNone;
  kernel::Duration retry_after{};  // Set only for a refusal.
};

// Returns the factor applied to the accepted wait: up to 1.7 for a workspace
// well below its fair share, 1 near its share or when `share_used` is 0, and
// less beyond it, down to 0 far beyond it. At 0 a request is admitted only if
// the engine has been idle for RequiredIdleTime() and the fleet has spare
// capacity.
double ShareFactor(double share_used);

// Returns how long an engine must have been idle before a workspace far beyond
// its fair share may use it; the time grows with the share used. Without it, a
// workspace that tries more often would take more of the short moments between
// two requests, and leave none to workspaces that lack their share.
kernel::Duration RequiredIdleTime(double share_used);

// Returns whether the request is admitted for the expected cost in `input`
// and, if not, when its caller should retry.
AdmissionDecision DecideAdmission(const AdmissionInput& input,
                                  const AdmissionPolicy& policy);

// Returns the delay after which a refused caller should retry. This is
// `excess`, by which the wait is too long, limited to 100 ms to 2 s and
// lengthened by 0 to 50 % depending on `request_hash`, so that retries do not
// arrive together. The result is at most a third of `time_to_deadline` and not
// negative.
kernel::Duration RetryDelay(kernel::Duration excess,
                            kernel::Duration time_to_deadline,
                            uint64_t request_hash);

}  // namespace jackdawshunt::routing

#endif  // JACKDAWSHUNT_ROUTING_ADMISSION_H_
