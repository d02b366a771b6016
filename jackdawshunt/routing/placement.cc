#include "jackdawshunt/routing/placement.h"

#include <tuple>

#include "jackdawshunt/routing/prompt.h"

namespace jackdawshunt::routing {
namespace {

double Score(const EngineCandidate& candidate,
             const PlacementWeights& weights) {
  const double uncached = static_cast<double>(candidate.cost.uncached_tokens);
  const double shared =
      static_cast<double>(candidate.cost.uncached_shared_tokens);
  const double prefill_time =
      static_cast<double>(candidate.cost.prefill_time.count());
  const double shared_prefill =
      uncached > 0 ? prefill_time * (weights.shared_prefill_factor - 1) *
                         shared / uncached
                   : 0;
  const double distance =
      candidate.is_same_data_centre
          ? 0
          : static_cast<double>(weights.other_data_centre_cost.count());
  return static_cast<double>(candidate.cost.paced_wait().count()) +
         prefill_time + shared_prefill + distance +
         static_cast<double>(candidate.penalty.count());
}

}  // namespace

size_t PickEngine(const std::vector<EngineCandidate>& candidates,
                  uint64_t affinity_key,
                  const PlacementWeights& weights) {
  std::vector<double> scores;
  scores.reserve(candidates.size());
  for (const EngineCandidate& candidate : candidates) {
    scores.push_back(Score(candidate, weights));
  }
  double least = scores.front();
  for (const double score : scores) {
    least = std::min(least, score);
  }
  const double limit = least + static_cast<double>(weights.tie_margin.count());
  size_t best = 0;
  uint64_t best_weight = 0;
  bool has_best = false;
  for (size_t i = 0; i < candidates.size(); ++i) {
    if (scores[i] > limit) {
      continue;
    }
    const uint64_t weight =
        RendezvousWeight(affinity_key, candidates[i].upstream_hash);
    if (!has_best || weight > best_weight) {
      best = i;
      best_weight = weight;
      has_best = true;
    }
  }
  return best;
}

size_t PickPlain(const std::vector<PlainCandidate>& candidates,
                 uint64_t request_hash) {
  const auto rank = [request_hash](const PlainCandidate& candidate) {
    const bool is_full = candidate.in_flight >= candidate.slots;
    return std::make_tuple(
        candidate.is_avoided, is_full, is_full ? candidate.in_flight : 0,
        candidate.in_flight, !candidate.is_same_data_centre,
        RendezvousWeight(request_hash, candidate.upstream_hash));
  };
  size_t best = 0;
  for (size_t i = 1; i < candidates.size(); ++i) {
    if (rank(candidates[i]) < rank(candidates[best])) {
      best = i;
    }
  }
  return best;
}

}  // namespace jackdawshunt::routing
