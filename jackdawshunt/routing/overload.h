// Detects that this instance is short of processor time.
//
// A small instance that admits every request answers all of them late. When its
// event loop lags, it refuses a fraction of the requests before it spends
// processor time on them; the balancer sends a caller that retries to another
// instance. When the lag persists, the instance withdraws from the balancer, at
// first for 8 s. If it has to withdraw again soon, it does so for twice as
// long, up to 32 s, because the balancer sends it the same callers again
// afterwards.
//
// Such an overload occurs when one data centre gets most of the traffic and its
// small instances get as much of it as its large ones, or when the balancer
// sends all callers of one workspace to the same small instance.
//
// Example:
//   routing::OverloadGauge gauge;
//   gauge.OnLag(lag, now);                  // From a periodic timer.
//   if (gauge.ShouldRefuse(request_hash, /*is_retry=*/false)) Refuse();
//   bool is_ready = !gauge.IsWithdrawn(now);
//
// Not thread-safe.
#ifndef JACKDAWSHUNT_ROUTING_OVERLOAD_H_
#define JACKDAWSHUNT_ROUTING_OVERLOAD_H_

#include <cstdint>

#include "jackdawshunt/kernel/clock.h"

namespace jackdawshunt::routing {

class OverloadGauge {
 public:
  // Records how much later than planned a periodic timer fired.
  void OnLag(kernel::Duration lag, kernel::TimePoint now);

  // Returns whether to refuse a request. A caller that was refused before is
  // refused half as often.
  bool ShouldRefuse(uint64_t request_hash, bool is_retry) const;

  // Returns whether the balancer should send new connections to other
  // instances.
  bool IsWithdrawn(kernel::TimePoint now) const {
    return now < withdrawn_until_;
  }

  kernel::Duration lag() const { return lag_; }

 private:
  kernel::Duration lag_{};  // Moving average over about ten measurements.
  kernel::TimePoint lagging_since_ = kernel::TimePoint::max();
  kernel::TimePoint withdrawn_until_{};
  kernel::Duration last_withdrawal_{};
};

}  // namespace jackdawshunt::routing

#endif  // JACKDAWSHUNT_ROUTING_OVERLOAD_H_
