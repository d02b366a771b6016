#include "jackdawshunt/routing/overload.h"

#include <algorithm>

namespace jackdawshunt::routing {
namespace {

// From this mean lag on requests are refused, and at kFullLag nearly all are. A
// request passes through the loop five times or more before its upstream has
// it, and plain services have objectives of 100 to 200 ms.
constexpr kernel::Duration kFirstLag = std::chrono::milliseconds(20);
constexpr kernel::Duration kFullLag = std::chrono::milliseconds(120);
// Weight of one measurement in the mean.
constexpr double kSmoothing = 0.1;
// One long lag, as after a pause of the machine, counts as this much.
constexpr kernel::Duration kHighestLag = std::chrono::milliseconds(400);
// A lag that lasts so long does not go by itself. Longer than one of
// kHighestLag takes to decay.
constexpr kernel::Duration kLastingLag = std::chrono::milliseconds(800);
// The balancer notices after two checks, one a second.
constexpr kernel::Duration kFirstWithdrawal = std::chrono::seconds(8);
constexpr kernel::Duration kLongestWithdrawal = std::chrono::seconds(32);
// An instance that was back for so long starts anew.
constexpr kernel::Duration kForgetWithdrawal = std::chrono::seconds(20);
// Some requests are always taken, so that the lag is known to have gone.
constexpr double kMostRefused = 0.9;
constexpr uint64_t kHashSteps = 1000;

}  // namespace

void OverloadGauge::OnLag(kernel::Duration lag, kernel::TimePoint now) {
  const kernel::Duration counted = std::min(lag, kHighestLag);
  lag_ += kernel::Duration(static_cast<int64_t>(
      kSmoothing * static_cast<double>((counted - lag_).count())));
  if (lag_ <= kFirstLag) {
    lagging_since_ = kernel::TimePoint::max();
    return;
  }
  lagging_since_ = std::min(lagging_since_, now);
  if (now - lagging_since_ < kLastingLag || IsWithdrawn(now)) {
    return;
  }
  const bool is_again = now - withdrawn_until_ < kForgetWithdrawal;
  last_withdrawal_ = is_again
                         ? std::min(2 * last_withdrawal_, kLongestWithdrawal)
                         : kFirstWithdrawal;
  withdrawn_until_ = now + last_withdrawal_;
}

bool OverloadGauge::ShouldRefuse(uint64_t request_hash, bool is_return) const {
  if (lag_ <= kFirstLag) {
    return false;
  }
  double part = std::min(
      kMostRefused, static_cast<double>((lag_ - kFirstLag).count()) /
                        static_cast<double>((kFullLag - kFirstLag).count()));
  if (is_return) {
    part /= 2;
  }
  return static_cast<double>(request_hash % kHashSteps) < part * kHashSteps;
}

}  // namespace jackdawshunt::routing
