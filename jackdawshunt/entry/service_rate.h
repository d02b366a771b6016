// Measures the recent rate at which requests of a model leave the queue, and
// computes Retry-After from it. Does no I/O.
//
// Example:
//   rate.CountStart(now);
//   std::chrono::seconds wait = rate.RetryAfter(queue_length, now);
#ifndef JACKDAWSHUNT_ENTRY_SERVICE_RATE_H_
#define JACKDAWSHUNT_ENTRY_SERVICE_RATE_H_

#include <chrono>
#include <cstddef>

#include "jackdawshunt/kernel/clock.h"

namespace jackdawshunt::entry {

// Not thread-safe.
class ServiceRate {
 public:
  // Counts one request that was sent from the queue to a side.
  void CountStart(kernel::TimePoint now);
  // Returns the requests per second, averaged over about the last 10 s.
  double PerSecond(kernel::TimePoint now) const;
  // Returns the expected time until `waiting` requests have been started,
  // between 1 s and 60 s.
  std::chrono::seconds RetryAfter(size_t waiting, kernel::TimePoint now) const;

 private:
  double decayed_starts_ = 0;  // Exponentially decayed to last_start_at_.
  kernel::TimePoint last_start_at_;
};

}  // namespace jackdawshunt::entry

#endif  // JACKDAWSHUNT_ENTRY_SERVICE_RATE_H_
