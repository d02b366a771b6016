// Keeps how long the starts of plain upstreams take for an answer.
//
// Answers the load of upstreams with few slots that are at times 2.5 times
// slower for about 600 ms: a free slot there is worse than one that is free
// soon at another upstream.
//
// Example:
//   routing::AnswerTimes times;
//   times.Record(upstream.start, now - sent_at, now);
//   kernel::Duration time = times.Expected(upstream.start, now);
//
// Not thread-safe.
#ifndef JACKDAWSHUNT_ROUTING_ANSWER_TIMES_H_
#define JACKDAWSHUNT_ROUTING_ANSWER_TIMES_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "jackdawshunt/kernel/clock.h"

namespace jackdawshunt::routing {

class AnswerTimes {
 public:
  // Records a complete answer of a start that took `time` from its request.
  void Record(uint64_t start, kernel::Duration time, kernel::TimePoint now);
  // Returns the time that an answer is expected to take: as the latest ones, or
  // as usual when there was none for the length of a slow period. 0 if there
  // was none for 5 s.
  kernel::Duration Expected(uint64_t start, kernel::TimePoint now) const;
  // Drops starts without a recent answer.
  void DropExpired(kernel::TimePoint now);

  size_t size() const { return starts_.size(); }

 private:
  struct Start {
    double recent_us = 0;
    double usual_us = 0;
    kernel::TimePoint at{};
  };

  std::unordered_map<uint64_t, Start> starts_;
};

}  // namespace jackdawshunt::routing

#endif  // JACKDAWSHUNT_ROUTING_ANSWER_TIMES_H_
