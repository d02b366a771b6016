// The clock interface. Production code uses SteadyClock; tests use ManualClock,
// which advances only when the test says so.
//
// Example:
//   kernel::ManualClock clock;
//   clock.Advance(std::chrono::milliseconds(500));
#ifndef JACKDAWSHUNT_KERNEL_CLOCK_H_
#define JACKDAWSHUNT_KERNEL_CLOCK_H_

#include <chrono>

namespace jackdawshunt::kernel {

using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// A monotonic clock. Not thread-safe unless a subclass states it.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual TimePoint Now() const = 0;
};

// Reads std::chrono::steady_clock. Thread-safe.
class SteadyClock final : public Clock {
 public:
  TimePoint Now() const override {
    return std::chrono::time_point_cast<Duration>(
        std::chrono::steady_clock::now());
  }
};

// Changes only by Advance().
class ManualClock final : public Clock {
 public:
  TimePoint Now() const override { return now_; }
  void Advance(Duration by) { now_ += by; }

 private:
  TimePoint now_{std::chrono::hours(1)};
};

}  // namespace jackdawshunt::kernel

#endif  // JACKDAWSHUNT_KERNEL_CLOCK_H_
