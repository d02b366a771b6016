#include "jackdawshunt/routing/permits.h"

#include <algorithm>

namespace jackdawshunt::routing {
namespace {

// Times whose permits may be saved for a burst.
constexpr double kBurstSeconds = 0.5;
constexpr double kColdBurstSeconds = PermitCounter::kMaxColdExcess - 1;
constexpr kernel::Duration kMaxUnusedTime = std::chrono::seconds(120);
constexpr size_t kMaxCounts = 8192;
constexpr kernel::Duration kFullWait = std::chrono::seconds(1);

// In 4 s an upstream may get 6 times its limit and 5 requests. A board gives
// out at most 4.5 times the limit. If each of n gateways without a board saves
// up one permit and gets a quarter of its share, they send n and once the
// limit.
constexpr double kFallbackShare = 0.25;
constexpr double kToleratedGatewaysPerLimit = 0.5;
constexpr double kToleratedGateways = 5;
// A gateway that does not know their number assumes this many, so that a small
// fleet without boards still reaches its upstreams.
constexpr uint32_t kAssumedGateways = 5;

}  // namespace

Permit PermitCounter::Take(uint64_t start,
                           const PermitRate& rate,
                           kernel::TimePoint now) {
  if (buckets_.size() >= kMaxCounts && !buckets_.contains(start)) {
    return {.is_granted = false, .wait = kFullWait};
  }
  TokenBucket& bucket = buckets_[start];
  const double burst_seconds = rate.is_cold ? kColdBurstSeconds : kBurstSeconds;
  bucket.SetRate(rate.per_second,
                 std::max(1.0, rate.per_second * burst_seconds), now);
  if (bucket.TryTake(now)) {
    return {.is_granted = true};
  }
  return {.is_granted = false, .wait = bucket.TimeToNext(now)};
}

void PermitCounter::DropExpired(kernel::TimePoint now) {
  std::erase_if(buckets_, [now](const auto& row) {
    return now - row.second.last_used() > kMaxUnusedTime;
  });
}

Permit PermitFallback::Take(uint64_t start,
                            const PermitRate& rate,
                            uint32_t gateways,
                            kernel::TimePoint now) {
  const uint32_t count = gateways == 0 ? kAssumedGateways : gateways;
  if (rate.is_cold || count > kToleratedGatewaysPerLimit * rate.per_second +
                                  kToleratedGateways) {
    return {.is_granted = false, .wait = kFullWait};
  }
  return counter_.Take(
      start, {.per_second = kFallbackShare * rate.per_second / count}, now);
}

}  // namespace jackdawshunt::routing
