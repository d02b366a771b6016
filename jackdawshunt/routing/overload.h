// Whether this instance itself is short of processor time.
//
// A small instance that takes every request answers all of them late. When its
// event loop lags, it refuses a part of the requests before it spends anything
// on them; a caller that returns is led to another instance. When the lag
// lasts, the instance withdraws from the balancer for a while, twice as long
// each time, since the callers that overload it are led to it again when it is
// back. Answers the load patterns "one data centre gets most of the traffic,
// and its small instances as much of it as its large ones" and "the callers of
// one workspace are all led to the same small instance".
//
// Example:
//   routing::OverloadGauge gauge;
//   gauge.OnLag(lag, now);                  // From a periodic timer.
//   if (gauge.ShouldRefuse(request_hash, /*is_return=*/false)) Refuse();
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
  // How much later than planned a periodic timer fired.
  void OnLag(kernel::Duration lag, kernel::TimePoint now);

  // A caller that was refused before is refused half as often.
  bool ShouldRefuse(uint64_t request_hash, bool is_return) const;

  // Whether new connections are better led to other instances.
  bool IsWithdrawn(kernel::TimePoint now) const {
    return now < withdrawn_until_;
  }

  kernel::Duration lag() const { return lag_; }

 private:
  kernel::Duration lag_{};  // Mean of some ten measurements.
  kernel::TimePoint lagging_since_ = kernel::TimePoint::max();
  kernel::TimePoint withdrawn_until_{};
  kernel::Duration last_withdrawal_{};
};

}  // namespace jackdawshunt::routing

#endif  // JACKDAWSHUNT_ROUTING_OVERLOAD_H_
