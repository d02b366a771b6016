// Time since boot that goes on while the machine is suspended, unlike the
// steady clock. For limits that bind a process also through a freeze.
//
// Example:
//   kernel::TimePoint read_at = kernel::BootClock().Now();
#ifndef JACKDAWSHUNT_KERNEL_BOOT_CLOCK_H_
#define JACKDAWSHUNT_KERNEL_BOOT_CLOCK_H_

#include <ctime>

#include "jackdawshunt/kernel/clock.h"

namespace jackdawshunt::kernel {

// Thread-safe. Its values do not compare with those of SteadyClock.
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
