// Counts what the prefill of a prompt costs the requests beside it.
//
// An engine prefills prompts in chunks between the tokens of the streams that
// run there, so each running stream pauses for the whole prefill. Streams at an
// engine that prefills most of the time reach their deadline before their end,
// although their first events were in time. Answers the load of long prompts
// beside short ones with long outputs, on engines of different speed:
//
// - The cost of an engine includes the delay of the streams that run there, so
//   that long prompts go where they delay few.
// - A prompt without a shared prefix, which no engine has cached, is compared
//   with further engines when those asked first would let it wait.
//
// Nothing is reserved: while any engine is idle, both kinds use it.
//
// Example:
//   routing::PrefillInterferenceSettings settings{.is_enabled = true};
//   candidate.penalty += routing::DelayOfRunning(cost, slots, settings);
//   if (routing::ShouldCompareFurther(cost, settings)) QueryMoreBoards();
#ifndef JACKDAWSHUNT_ROUTING_PREFILL_INTERFERENCE_H_
#define JACKDAWSHUNT_ROUTING_PREFILL_INTERFERENCE_H_

#include <cstdint>

#include "jackdawshunt/kernel/clock.h"
#include "jackdawshunt/routing/engine_estimate.h"

namespace jackdawshunt::routing {

struct PrefillInterferenceSettings {
  bool is_enabled = false;
  // Weight of the delay of running streams against the request's own time, when
  // all slots of the engine are used. At 1 more long prompts were refused where
  // boards do not know the speed of their engine, for few more short streams in
  // time.
  double delay_factor = 0.7;
  // Further engines are compared when the request would wait longer than this.
  // A shorter one costs more queries and spreads no better.
  kernel::Duration compared_wait = std::chrono::milliseconds(100);
};

// Returns the delay that the prefill of a prompt brings to the streams at an
// engine with `slots` slots, weighted by the part of the slots that is used.
// Returns zero when the feature is disabled or `slots` is 0, which means that
// they are unknown.
kernel::Duration DelayOfRunning(const EngineCost& cost,
                                uint32_t slots,
                                const PrefillInterferenceSettings& settings);

// Returns whether a prompt without a shared prefix should be compared with
// further engines, where `cost` is that at the best engine so far.
bool ShouldCompareFurther(const EngineCost& cost,
                          const PrefillInterferenceSettings& settings);

}  // namespace jackdawshunt::routing

#endif  // JACKDAWSHUNT_ROUTING_PREFILL_INTERFERENCE_H_
