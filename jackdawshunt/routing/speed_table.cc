#include "jackdawshunt/routing/speed_table.h"

#include <chrono>

namespace jackdawshunt::routing {
namespace {

// Bounds on what is kept; the fleet has up to 7,700 upstreams.
constexpr size_t kMaxStarts = 8192;
constexpr size_t kMaxOrigins = 256;
constexpr kernel::Duration kMaxAge = std::chrono::minutes(2);
// Weight of one statement in the mean of a service and software version.
constexpr double kOriginWeight = 0.05;

void AddToMean(double value, double& mean) {
  if (value > 0) {
    mean += mean <= 0 ? value : kOriginWeight * (value - mean);
  }
}

}  // namespace

void SpeedTable::Observe(const Upstream& upstream,
                         const Speed& speed,
                         kernel::TimePoint now) {
  if (speed.prefill_tokens_per_ms <= 0) {
    return;
  }
  auto found = starts_.find(upstream.start);
  if (found == starts_.end()) {
    if (starts_.size() >= kMaxStarts) {
      return;
    }
    found = starts_.emplace(upstream.start, Start{}).first;
  }
  found->second.speed = speed;
  found->second.at = now;
  if (origins_.size() >= kMaxOrigins && !origins_.contains(upstream.origin)) {
    origins_.clear();
  }
  Speed& origin = origins_[upstream.origin];
  AddToMean(speed.prefill_tokens_per_ms, origin.prefill_tokens_per_ms);
  AddToMean(speed.event_ms, origin.event_ms);
}

void SpeedTable::Update(kernel::TimePoint now) {
  std::erase_if(starts_, [now](const auto& row) {
    return now - row.second.at > kMaxAge;
  });
}

Speed SpeedTable::PriorOf(const Upstream& upstream) const {
  const auto start = starts_.find(upstream.start);
  if (start != starts_.end()) {
    return start->second.speed;
  }
  const auto origin = origins_.find(upstream.origin);
  return origin == origins_.end() ? Speed{} : origin->second;
}

}  // namespace jackdawshunt::routing
