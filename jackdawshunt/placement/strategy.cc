#include "jackdawshunt/placement/strategy.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <memory>
#include <tuple>
#include <utility>

#include "absl/random/random.h"
#include "jackdawshunt/kernel/registry.h"

namespace jackdawshunt::placement {
namespace {

// One of this many bids goes to a side that was not chosen by affinity. With
// all bids at the hashed sides, a frequent prefix would leave other sides idle.
constexpr size_t kHashedPerOther = 4;

using Ranked = std::vector<std::pair<uint64_t, const Candidate*>>;

// Returns the sides in descending order of the hash of (key, side). A side that
// is added or removed changes only the choices of that side.
Ranked Rendezvous(std::string_view key,
                  uint64_t seed,
                  const std::vector<const Candidate*>& sides) {
  const uint64_t key_hash = XXH3_64bits_withSeed(key.data(), key.size(), seed);
  Ranked ranked;
  ranked.reserve(sides.size());
  for (const Candidate* side : sides) {
    ranked.emplace_back(
        XXH3_64bits_withSeed(side->side.data(), side->side.size(), key_hash),
        side);
  }
  std::sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) {
    return std::tie(a.first, b.second->side) >
           std::tie(b.first, a.second->side);
  });
  return ranked;
}

class LateBinding final : public Strategy {
 public:
  LateBinding() : seed_(absl::Uniform<uint64_t>(absl::BitGen())) {}

  bool uses_bids() const override { return true; }

  std::vector<std::string> BidTargets(std::string_view affinity,
                                      const std::vector<Candidate>& candidates,
                                      size_t fanout) override {
    std::vector<std::string> result;
    std::vector<const Candidate*> rest;
    rest.reserve(candidates.size());
    for (const Candidate& candidate : candidates) {
      rest.push_back(&candidate);
    }
    if (rest.size() <= fanout) {
      Append(rest, rest.size(), result);
      return result;
    }
    const bool any_idle = std::any_of(rest.begin(), rest.end(), &IsIdle);
    const size_t others =
        fanout == 1 && !any_idle
            ? 0
            : (fanout + kHashedPerOther - 1) / kHashedPerOther;
    rest = Sorted(affinity, /*seed=*/0, rest);
    Append(rest, fanout - others, result);
    rest.erase(rest.begin(),
               std::next(rest.begin(), static_cast<ptrdiff_t>(result.size())));
    // The seed differs between processes and is constant within one: entries
    // spread over different sides, and repeated calls do not move the bids.
    rest = Sorted(affinity, seed_, rest);
    std::stable_partition(rest.begin(), rest.end(), &IsIdle);
    Append(rest, others, result);
    return result;
  }

  std::optional<std::string> NextPushTarget(
      std::string_view,
      const std::vector<Candidate>&) override {
    return std::nullopt;
  }

 private:
  static bool IsIdle(const Candidate* side) {
    return side->free_slots > 0 && !side->has_bids;
  }

  static std::vector<const Candidate*> Sorted(
      std::string_view key,
      uint64_t seed,
      const std::vector<const Candidate*>& sides) {
    std::vector<const Candidate*> result;
    for (const auto& [hash, side] : Rendezvous(key, seed, sides)) {
      result.push_back(side);
    }
    return result;
  }

  static void Append(const std::vector<const Candidate*>& sides,
                     size_t count,
                     std::vector<std::string>& result) {
    for (size_t i = 0; i < std::min(count, sides.size()); ++i) {
      result.push_back(sides[i]->side);
    }
  }

  const uint64_t seed_;
};

class PushStrategy : public Strategy {
 public:
  bool uses_bids() const override { return false; }

  std::vector<std::string> BidTargets(std::string_view,
                                      const std::vector<Candidate>&,
                                      size_t) override {
    return {};
  }
};

// Pushes even when no side reports a free slot: the request then waits at the
// side, as it does behind a common load balancer.
class LeastLoaded final : public PushStrategy {
 public:
  std::optional<std::string> NextPushTarget(
      std::string_view,
      const std::vector<Candidate>& candidates) override {
    if (candidates.empty()) {
      return std::nullopt;
    }
    // The start rotates, so that requests spread over equally loaded sides.
    const size_t start = turn_++ % candidates.size();
    const Candidate* best = &candidates[start];
    for (size_t i = 1; i < candidates.size(); ++i) {
      const Candidate& other = candidates[(start + i) % candidates.size()];
      if (Free(other) > Free(*best)) {
        best = &other;
      }
    }
    return best->side;
  }

 private:
  static int32_t Free(const Candidate& side) {
    return side.free_slots - side.sent_since_heartbeat;
  }

  size_t turn_ = 0;
};

// Stores the last side by name, so that a change of the list neither skips nor
// favours a side.
class RoundRobin final : public PushStrategy {
 public:
  std::optional<std::string> NextPushTarget(
      std::string_view model,
      const std::vector<Candidate>& candidates) override {
    if (candidates.empty()) {
      return std::nullopt;
    }
    std::string& last = last_[std::string(model)];
    const Candidate* first = &candidates.front();
    const Candidate* next = nullptr;
    for (const Candidate& candidate : candidates) {
      if (candidate.side < first->side) {
        first = &candidate;
      }
      if (candidate.side > last &&
          (next == nullptr || candidate.side < next->side)) {
        next = &candidate;
      }
    }
    last = (next == nullptr ? first : next)->side;
    return last;
  }

 private:
  std::map<std::string, std::string> last_;  // By model.
};

const kernel::Registration<Strategy> kLateBinding("late_binding", [] {
  return std::make_unique<LateBinding>();
});
const kernel::Registration<Strategy> kLeastLoaded("least_loaded", [] {
  return std::make_unique<LeastLoaded>();
});
const kernel::Registration<Strategy> kRoundRobin("round_robin", [] {
  return std::make_unique<RoundRobin>();
});

}  // namespace
}  // namespace jackdawshunt::placement
