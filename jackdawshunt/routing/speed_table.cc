#include "jackdawshunt/routing/speed_table.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "jackdawshunt/routing/prompt.h"

namespace jackdawshunt::routing {
namespace {

// Bounds on what is kept; the fleet has up to 7,700 upstreams.
constexpr size_t kMaxStarts = 8192;
constexpr size_t kMaxOrigins = 256;
constexpr kernel::Duration kMaxAge = std::chrono::minutes(2);
// Weight of one statement in the mean of a service and software version.
constexpr double kOriginWeight = 0.05;
constexpr double kMinPaceFactor = 0.5;
constexpr double kMaxPaceFactor = 2.0;
// Smaller differences are taken for those of the measurement.
constexpr double kAlike = 0.1;

void AddToMean(double value, double& mean) {
  if (value > 0) {
    mean += mean <= 0 ? value : kOriginWeight * (value - mean);
  }
}

double ClampedFactor(double rate, double mean) {
  const double factor = rate / mean;
  return std::abs(factor - 1) < kAlike
             ? 1
             : std::clamp(factor, kMinPaceFactor, kMaxPaceFactor);
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
    found->second.service = HashOf(upstream.service);
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
  struct Sum {
    double value = 0;
    double count = 0;
  };
  std::erase_if(starts_, [now](const auto& row) {
    return now - row.second.at > kMaxAge;
  });
  std::unordered_map<uint64_t, Sum> rates;
  for (const auto& [id, start] : starts_) {
    Sum& sum = rates[start.service];
    sum.value += start.speed.prefill_tokens_per_ms;
    sum.count += 1;
  }
  std::unordered_map<uint64_t, Sum> factors;
  for (auto& [id, start] : starts_) {
    const Sum& rate = rates[start.service];
    start.pace_factor = ClampedFactor(start.speed.prefill_tokens_per_ms,
                                      rate.value / rate.count);
    Sum& sum = factors[start.service];
    sum.value += start.pace_factor;
    sum.count += 1;
  }
  // The bounds must not change the sum over all engines.
  for (auto& [id, start] : starts_) {
    const Sum& sum = factors[start.service];
    start.pace_factor *= sum.count / sum.value;
  }
}

Speed SpeedTable::PriorOf(const Upstream& upstream) const {
  const auto start = starts_.find(upstream.start);
  if (start != starts_.end()) {
    return start->second.speed;
  }
  const auto origin = origins_.find(upstream.origin);
  return origin == origins_.end() ? Speed{} : origin->second;
}

double SpeedTable::PaceFactor(uint64_t start) const {
  const auto found = starts_.find(start);
  return found == starts_.end() ? 1 : found->second.pace_factor;
}

}  // namespace jackdawshunt::routing
