// The runtime's clock. Production code uses SteadyClock; tests use ManualClock,
// which stands still until the test advances it.
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

// Monotonic time. Not thread-safe unless a subclass says so.
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

// Moves only by Advance().
class ManualClock final : public Clock {
 public:
  TimePoint Now() const override { return now_; }
  void Advance(Duration by) { now_ += by; }

 private:
  TimePoint now_{std::chrono::hours(1)};
};

}  // namespace jackdawshunt::kernel

#endif  // JACKDAWSHUNT_KERNEL_CLOCK_H_
