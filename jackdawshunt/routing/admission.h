// Whether a request is taken or refused at once, and when its caller should
// return.
//
// Example:
//   routing::AdmissionInput input{.cost = cost, .objective_left = 900ms, ...};
//   routing::AdmissionDecision decision = routing::Decide(input, policy);
//   if (!decision.is_admitted) RefuseWith(decision.retry_after);
//
// Answers the load pattern "more arrives than the engines can read": a request
// that joins a queue it cannot leave in time is late itself and makes all
// behind it late. Refused at once, its caller returns while the objective can
// still be met. A workspace beyond its fair share is refused at a shorter wait,
// so that others find room; with engines idle nobody is refused.
#ifndef JACKDAWSHUNT_ROUTING_ADMISSION_H_
#define JACKDAWSHUNT_ROUTING_ADMISSION_H_

#include <cstdint>

#include "jackdawshunt/kernel/clock.h"
#include "jackdawshunt/routing/engine_estimate.h"

namespace jackdawshunt::routing {

struct AdmissionPolicy {
  // Part of the objective that the expected first event may take.
  double objective_share = 0.5;
  // A long prompt may take the whole objective to read; it is still admitted
  // behind a wait up to this part of it, so that sizes are served alike.
  double long_prompt_wait_share = 0.2;
  // Part of the objective by which an engine may be ahead of its pace.
  double ahead_share = 1.0;
  // Waits below this are not worth a refusal.
  kernel::Duration negligible_wait = std::chrono::milliseconds(30);
};

struct AdmissionInput {
  EngineCost cost;  // At the engine chosen.
  kernel::Duration objective{};
  // What is left of the objective; the caller may have been refused before.
  kernel::Duration objective_left{};
  kernel::Duration deadline_left{};
  // Received over allowed service of the workspace; 1 is its fair share.
  double share_used = 0;
  // All engines together admit less than the operator states.
  bool fleet_has_spare_capacity = true;
  uint64_t request_hash = 0;  // Spreads the returns.
};

struct AdmissionDecision {
  bool is_admitted = true;
  kernel::Duration retry_after{};  // Only for a refusal.
};

// Factor on the wait that is accepted: a workspace below its share waits
// longer before it is refused, one beyond it finds room only in engines that
// are nearly idle. One far beyond it finds room only in engines that have
// nothing to read, and none while the fleet has no room: the more often it
// tries, the more of the short moments with room it would take.
double ShareFactor(double share_used);

AdmissionDecision Decide(const AdmissionInput& input,
                         const AdmissionPolicy& policy);

// When a refused caller should return: when the wait should have shortened
// enough, spread over half that time again, and early enough to be served
// before its deadline.
kernel::Duration RetryDelay(kernel::Duration excess,
                            kernel::Duration deadline_left,
                            uint64_t request_hash);

}  // namespace jackdawshunt::routing

#endif  // JACKDAWSHUNT_ROUTING_ADMISSION_H_
