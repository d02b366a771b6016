// Limits a rate over any span of time: at most `capacity` plus the rate times
// the span.
//
// Example:
//   routing::TokenBucket bucket;
//   bucket.SetRate(/*per_second=*/1.7, /*capacity=*/1, now);
//   if (bucket.TryTake(now)) { Send(); } else { Wait(bucket.TimeToNext(now)); }
//
// Not thread-safe.
#ifndef JACKDAWSHUNT_ROUTING_TOKEN_BUCKET_H_
#define JACKDAWSHUNT_ROUTING_TOKEN_BUCKET_H_

#include "jackdawshunt/kernel/clock.h"

namespace jackdawshunt::routing {

class TokenBucket {
 public:
  // Starts without tokens. Requires positive values.
  void SetRate(double per_second, double capacity, kernel::TimePoint now);
  bool TryTake(kernel::TimePoint now);
  // Returns the time until TryTake() succeeds, at most a day; zero if it does
  // now.
  kernel::Duration TimeToNext(kernel::TimePoint now);
  kernel::TimePoint last_used() const { return updated_at_; }

 private:
  void Fill(kernel::TimePoint now);

  double per_second_ = 0;
  double capacity_ = 0;
  double tokens_ = 0;
  kernel::TimePoint updated_at_{};
};

}  // namespace jackdawshunt::routing

#endif  // JACKDAWSHUNT_ROUTING_TOKEN_BUCKET_H_
