// A clock of the time since boot that, unlike the steady clock, also advances
// while the machine is suspended. For time limits that must hold across a
// suspension.
//
// Example:
//   kernel::TimePoint read_at = kernel::BootClock().Now();
#ifndef JACKDAWSHUNT_KERNEL_BOOT_CLOCK_H_
#define JACKDAWSHUNT_KERNEL_BOOT_CLOCK_H_

#include <ctime>

#include "jackdawshunt/kernel/clock.h"

namespace jackdawshunt::kernel {

// Reads CLOCK_BOOTTIME. Values must not be compared with those of SteadyClock.
// Thread-safe.
class BootClock final : public Clock {
 public:
  TimePoint Now() const override {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return TimePoint(std::chrono::duration_cast<Duration>(
        std::chrono::seconds(now.tv_sec) +
        std::chrono::nanoseconds(now.tv_nsec)));
  }
};

}  // namespace jackdawshunt::kernel

#endif  // JACKDAWSHUNT_KERNEL_BOOT_CLOCK_H_
