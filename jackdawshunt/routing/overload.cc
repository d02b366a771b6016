#include "jackdawshunt/routing/overload.h"

#include <algorithm>

namespace jackdawshunt::routing {
namespace {

// Above this mean lag requests are refused, and at kMaxRefusalLag nearly all
// are. A request passes through the loop five times or more before its upstream
// receives it, and plain services have objectives of 100 to 200 ms.
constexpr kernel::Duration kMinRefusalLag = std::chrono::milliseconds(20);
constexpr kernel::Duration kMaxRefusalLag = std::chrono::milliseconds(120);
// Weight of one measurement in the mean.
constexpr double kSmoothing = 0.1;
// A longer lag, such as after a pause of the machine, counts as this much.
constexpr kernel::Duration kMaxCountedLag = std::chrono::milliseconds(400);
// The instance withdraws after the mean lag has been too high for this time.
// Longer than a single lag of kMaxCountedLag takes to decay.
constexpr kernel::Duration kLagBeforeWithdrawal =
    std::chrono::milliseconds(800);
// The balancer notices a withdrawal after two checks, one per second.
constexpr kernel::Duration kMinWithdrawal = std::chrono::seconds(8);
constexpr kernel::Duration kMaxWithdrawal = std::chrono::seconds(32);
// A withdrawal that starts at least this long after the end of the previous one
// lasts kMinWithdrawal again.
constexpr kernel::Duration kWithdrawalResetTime = std::chrono::seconds(20);
// Some requests are always admitted, so that the instance notices the end of
// the lag.
constexpr double kMaxRefusedShare = 0.9;
constexpr uint64_t kHashSteps = 1000;

}  // namespace

void OverloadGauge::OnLag(kernel::Duration lag, kernel::TimePoint now) {
  const kernel::Duration counted = std::min(lag, kMaxCountedLag);
  lag_ += kernel::Duration(static_cast<int64_t>(
      kSmoothing * static_cast<double>((counted - lag_).count())));
  if (lag_ <= kMinRefusalLag) {
    lagging_since_ = kernel::TimePoint::max();
    return;
  }
  lagging_since_ = std::min(lagging_since_, now);
  if (now - lagging_since_ < kLagBeforeWithdrawal || IsWithdrawn(now)) {
    return;
  }
  const bool is_again = now - withdrawn_until_ < kWithdrawalResetTime;
  last_withdrawal_ = is_again ? std::min(2 * last_withdrawal_, kMaxWithdrawal)
                              : kMinWithdrawal;
  withdrawn_until_ = now + last_withdrawal_;
}

bool OverloadGauge::ShouldRefuse(uint64_t request_hash, bool is_retry) const {
  if (lag_ <= kMinRefusalLag) {
    return false;
  }
  double fraction = std::min(
      kMaxRefusedShare,
      static_cast<double>((lag_ - kMinRefusalLag).count()) /
          static_cast<double>((kMaxRefusalLag - kMinRefusalLag).count()));
  if (is_retry) {
    fraction /= 2;
  }
  return static_cast<double>(request_hash % kHashSteps) < fraction * kHashSteps;
}

}  // namespace jackdawshunt::routing
