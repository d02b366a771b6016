#include "jackdawshunt/entry/service_rate.h"

#include <algorithm>
#include <cmath>

namespace jackdawshunt::entry {
namespace {

constexpr double kWindowSeconds = 10;
constexpr double kMinimumSeconds = 1;
constexpr double kMaximumSeconds = 60;

double Decay(kernel::TimePoint from, kernel::TimePoint to) {
  const std::chrono::duration<double> age = to - from;
  return std::exp(-age.count() / kWindowSeconds);
}

}  // namespace

void ServiceRate::CountStart(kernel::TimePoint now) {
  decayed_starts_ = decayed_starts_ * Decay(last_start_at_, now) + 1;
  last_start_at_ = now;
}

double ServiceRate::PerSecond(kernel::TimePoint now) const {
  return decayed_starts_ * Decay(last_start_at_, now) / kWindowSeconds;
}

std::chrono::seconds ServiceRate::RetryAfter(size_t waiting,
                                             kernel::TimePoint now) const {
  const double rate = PerSecond(now);
  const double seconds = rate > 0 ? static_cast<double>(waiting) / rate
                                  : static_cast<double>(waiting);
  return std::chrono::seconds(static_cast<int64_t>(
      std::ceil(std::clamp(seconds, kMinimumSeconds, kMaximumSeconds))));
}

}  // namespace jackdawshunt::entry
