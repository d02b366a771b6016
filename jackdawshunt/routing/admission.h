// Decides whether a request is admitted or refused at once, and when a refused
// caller should retry.
//
// Example:
//   routing::AdmissionInput input{.cost = cost, .remaining_objective = 900ms,
//   ...}; routing::AdmissionDecision decision = routing::DecideAdmission(input,
//   policy); if (!decision.is_admitted) RefuseWith(decision.retry_after);
//
// Covers the load pattern "more prompts arrive than the engines can prefill": a
// request that joins a queue which it cannot leave in time is late itself and
// delays all behind it. When it is refused at once, its caller can retry while
// the objective can still be met. A workspace beyond its fair share is refused
// at a shorter wait, which leaves capacity for the others; while engines are
// idle no request is refused.
#ifndef JACKDAWSHUNT_ROUTING_ADMISSION_H_
#define JACKDAWSHUNT_ROUTING_ADMISSION_H_

#include <cstdint>

#include "jackdawshunt/kernel/clock.h"
#include "jackdawshunt/routing/engine_estimate.h"

namespace jackdawshunt::routing {

struct AdmissionPolicy {
  // Part of the remaining objective within which the first event must be
  // expected.
  double objective_share = 0.5;
  // Prefill of a long prompt may take the whole objective; it is still admitted
  // behind a wait up to this part of the objective, so that prompts of all
  // sizes are served alike.
  double long_prompt_wait_share = 0.2;
  // Part of the objective by which claims at an engine may be ahead of its
  // pace.
  double ahead_of_pace_share = 1.0;
  // Lower bound of the accepted wait, before ShareFactor(); shorter waits are
  // not worth a refusal.
  kernel::Duration negligible_wait = std::chrono::milliseconds(30);
};

struct AdmissionInput {
  EngineCost cost;  // At the chosen engine.
  kernel::Duration objective{};
  // Less than the objective if the caller was refused before.
  kernel::Duration remaining_objective{};
  kernel::Duration time_to_deadline{};
  // Admitted tokens of the workspace divided by its fair share; above 1 it
  // exceeds its share.
  double share_used = 0;
  // See FairShare::FleetHasSpareCapacity().
  bool fleet_has_spare_capacity = true;
  uint64_t request_hash = 0;  // Spreads the retries.
};

struct AdmissionDecision {
  bool is_admitted = true;
  kernel::Duration retry_after{};  // Set only for a refusal.
};

// Returns the factor on the accepted wait. A workspace below its share may wait
// longer before it is refused; one beyond it is admitted only by engines that
// are nearly idle. One far beyond it is admitted only by engines with nothing
// to prefill, and by none while the fleet has no spare capacity: otherwise, the
// more often it tried, the more of the short moments of spare capacity it would
// take.
double ShareFactor(double share_used);

AdmissionDecision DecideAdmission(const AdmissionInput& input,
                                  const AdmissionPolicy& policy);

// Returns the delay after which a refused caller should retry: the time in
// which the wait should shorten by `excess`, spread over half that time again,
// and short enough to be served before its deadline.
kernel::Duration RetryDelay(kernel::Duration excess,
                            kernel::Duration time_to_deadline,
                            uint64_t request_hash);

}  // namespace jackdawshunt::routing

#endif  // JACKDAWSHUNT_ROUTING_ADMISSION_H_
