#include "jackdawshunt/routing/token_bucket.h"

#include <algorithm>

namespace jackdawshunt::routing {
namespace {

using Seconds = std::chrono::duration<double>;

// Covers the rounding of times to microseconds.
constexpr double kRounding = 1e-4;
constexpr Seconds kMaxTimeToNext{24 * 3600};

}  // namespace

void TokenBucket::SetRate(double per_second,
                          double capacity,
                          kernel::TimePoint now) {
  Fill(now);
  per_second_ = per_second;
  capacity_ = capacity;
  tokens_ = std::min(tokens_, capacity_);
}

void TokenBucket::Fill(kernel::TimePoint now) {
  const double elapsed = Seconds(now - updated_at_).count();
  tokens_ = std::min(capacity_, tokens_ + per_second_ * std::max(elapsed, 0.0));
  updated_at_ = now;
}

bool TokenBucket::TryTake(kernel::TimePoint now) {
  Fill(now);
  if (tokens_ + kRounding < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

kernel::Duration TokenBucket::TimeToNext(kernel::TimePoint now) {
  Fill(now);
  return std::chrono::duration_cast<kernel::Duration>(std::min(
      Seconds(std::max(1 - tokens_, 0.0) / per_second_), kMaxTimeToNext));
}

}  // namespace jackdawshunt::routing
