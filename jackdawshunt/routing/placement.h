// Chooses the upstream for a request.
//
// Example:
//   std::vector<routing::EngineCandidate> candidates(2);
//   size_t best = routing::PickEngine(candidates, affinity_key, weights);
//
// PickEngine() chooses the engine with the lowest cost, which is the expected
// time to the first event plus penalties. Prefill of shared parts has a higher
// weight, since repeating it takes capacity from all other requests. Between
// engines of equal cost, rendezvous hashing of the shared prefix decides, so
// that all instances prefer the same engine without communication when many
// prompts share few long prefixes.
//
// PickPlain() prefers upstreams that are not avoided, then those with a free
// slot, then the fewest requests in flight, then the own data centre. Remaining
// ties are broken by the request's hash, so that instances do not all choose
// the same upstream.
#ifndef JACKDAWSHUNT_ROUTING_PLACEMENT_H_
#define JACKDAWSHUNT_ROUTING_PLACEMENT_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "jackdawshunt/kernel/clock.h"
#include "jackdawshunt/routing/engine_estimate.h"

namespace jackdawshunt::routing {

struct EngineCandidate {
  uint64_t upstream_hash = 0;
  EngineCost cost;
  bool is_same_data_centre = false;
  // Extra time charged for recent failures.
  kernel::Duration penalty{};
};

struct PlacementWeights {
  // Factor on the prefill time of uncached shared parts.
  double shared_prefill_factor = 3.0;
  // Extra cost of an engine in another data centre, since traffic between data
  // centres costs money.
  kernel::Duration other_data_centre_cost = std::chrono::milliseconds(10);
  // Costs within this much of the least count as equal.
  kernel::Duration tie_margin = std::chrono::milliseconds(20);
};

// Returns the index of the best candidate. Requires a non-empty list.
size_t PickEngine(const std::vector<EngineCandidate>& candidates,
                  uint64_t affinity_key,
                  const PlacementWeights& weights);

struct PlainCandidate {
  uint64_t upstream_hash = 0;
  size_t in_flight = 0;
  uint32_t slots = 1;
  bool is_same_data_centre = false;
  bool is_avoided = false;  // See UpstreamHealth::IsAvoided().
};

// Returns the index of the best candidate. Requires a non-empty list.
size_t PickPlain(const std::vector<PlainCandidate>& candidates,
                 uint64_t request_hash);

}  // namespace jackdawshunt::routing

#endif  // JACKDAWSHUNT_ROUTING_PLACEMENT_H_
