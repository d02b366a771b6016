// Recent rate at which the queue of a model is served, and the Retry-After that
// follows from it. Does no I/O.
//
// Example:
//   rate.Count(now);
//   std::chrono::seconds wait = rate.RetryAfter(queue_length, now);
#ifndef JACKDAWSHUNT_ENTRY_SERVICE_RATE_H_
#define JACKDAWSHUNT_ENTRY_SERVICE_RATE_H_

#include <chrono>
#include <cstddef>

#include "jackdawshunt/kernel/clock.h"

namespace jackdawshunt::entry {

class ServiceRate {
 public:
  // One request left the queue for a side.
  void Count(kernel::TimePoint now);
  // Requests per second, averaged over about the last 10 s.
  double PerSecond(kernel::TimePoint now) const;
  // Time until `waiting` requests are served, between 1 s and 60 s.
  std::chrono::seconds RetryAfter(size_t waiting, kernel::TimePoint now) const;

 private:
  double weight_ = 0;  // Starts, decayed to last_.
  kernel::TimePoint last_;
};

}  // namespace jackdawshunt::entry

#endif  // JACKDAWSHUNT_ENTRY_SERVICE_RATE_H_
