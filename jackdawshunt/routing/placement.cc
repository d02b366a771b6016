#include "jackdawshunt/routing/placement.h"

#include <algorithm>
#include <limits>
#include <tuple>

#include "jackdawshunt/routing/prompt.h"

namespace jackdawshunt::routing {
namespace {

// Expected times of plain upstreams within this factor of the least count as
// equal. In a slow period they are 2.5 times as long.
constexpr double kSlowFactor = 1.5;

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

// Returns the least of the known expected times, in microseconds; 0 if none is
// known.
double LeastExpectedTime(const std::vector<PlainCandidate>& candidates) {
  kernel::Duration least{};
  for (const PlainCandidate& candidate : candidates) {
    if (candidate.expected_time > kernel::Duration::zero() &&
        (least == kernel::Duration::zero() ||
         candidate.expected_time < least)) {
      least = candidate.expected_time;
    }
  }
  return static_cast<double>(least.count());
}

// Returns the expected time in microseconds, where each round of requests
// beyond the slots adds the time of one.
double TimeWithQueue(const PlainCandidate& candidate, double unknown_time) {
  const double time = candidate.expected_time > kernel::Duration::zero()
                          ? static_cast<double>(candidate.expected_time.count())
                          : unknown_time;
  const double slots = std::max<uint32_t>(candidate.slots, 1);
  const double beyond_slots =
      static_cast<double>(candidate.in_flight) + 1 - slots;
  return time * (1 + std::max(beyond_slots, 0.0) / slots);
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
  const double unknown_time = LeastExpectedTime(candidates);
  double least_time = std::numeric_limits<double>::max();
  for (const PlainCandidate& candidate : candidates) {
    if (!candidate.is_avoided) {
      least_time = std::min(least_time, TimeWithQueue(candidate, unknown_time));
    }
  }
  const auto rank = [&](const PlainCandidate& candidate) {
    const bool is_slow =
        TimeWithQueue(candidate, unknown_time) / kSlowFactor > least_time;
    const bool is_full = candidate.in_flight >= candidate.slots;
    return std::make_tuple(
        candidate.is_avoided, is_slow, is_full,
        is_full ? candidate.in_flight : 0, candidate.in_flight,
        !candidate.is_same_data_centre,
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
