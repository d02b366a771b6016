// Times in which faults disturbed a gateway or an upstream, and what a soak may
// expect of it around them.
//
// Example:
//   if (!WasDisturbed(spans, run.began, run.began)) { ... }
//   if (MustKnow(spans, evacuated_at + bound, arrival.at)) { ... }
#ifndef JACKDAWSHUNT_TESTING_PLATFORM_SOAK_DISTURBANCES_H_
#define JACKDAWSHUNT_TESTING_PLATFORM_SOAK_DISTURBANCES_H_

#include <vector>

#include "jackdawshunt/kernel/clock.h"

namespace jackdawshunt::testing {

// A gateway keeps its time limits once it was undisturbed for so long.
inline constexpr kernel::Duration kContact = std::chrono::seconds(4);

struct Disturbance {
  kernel::TimePoint from{};
  kernel::TimePoint to{};
  bool is_planned = false;  // Part of the ordinary running of the system.
};

// Returns whether one was in the span or less than kContact before it.
bool WasDisturbed(const std::vector<Disturbance>& disturbances,
                  kernel::TimePoint from,
                  kernel::TimePoint to,
                  bool counts_planned = true);

// Returns whether a gateway must know at `at` what the store has said since
// `since`: from then on there was a time at which it had been undisturbed for
// kContact. Faults after that time are no excuse, since it keeps what it knows
// while the store is away, and reads it again after a restart.
bool MustKnow(const std::vector<Disturbance>& disturbances,
              kernel::TimePoint since,
              kernel::TimePoint at);

}  // namespace jackdawshunt::testing

#endif  // JACKDAWSHUNT_TESTING_PLATFORM_SOAK_DISTURBANCES_H_
