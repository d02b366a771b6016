#include "jackdawshunt/testing/platform/soak_disturbances.h"

#include <algorithm>

namespace jackdawshunt::testing {

bool WasDisturbed(const std::vector<Disturbance>& disturbances,
                  kernel::TimePoint from,
                  kernel::TimePoint to,
                  bool counts_planned) {
  return std::any_of(disturbances.begin(), disturbances.end(),
                     [&](const Disturbance& span) {
                       return span.from <= to && span.to + kContact >= from &&
                              (counts_planned || !span.is_planned);
                     });
}

bool MustKnow(const std::vector<Disturbance>& disturbances,
              kernel::TimePoint since,
              kernel::TimePoint at) {
  if (at < since) {
    return false;
  }
  // Only these times can be the first one.
  std::vector<kernel::TimePoint> times = {since};
  for (const Disturbance& span : disturbances) {
    const kernel::TimePoint in_contact =
        span.to + kContact + kernel::Duration(1);
    if (in_contact > since && in_contact <= at) {
      times.push_back(in_contact);
    }
  }
  return std::any_of(times.begin(), times.end(), [&](kernel::TimePoint time) {
    return !WasDisturbed(disturbances, time, time);
  });
}

}  // namespace jackdawshunt::testing
