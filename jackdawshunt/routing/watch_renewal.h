// Decides when a gateway renews its watches of the platform's store.
//
// The answer to a watch can be lost while its connection stays open, at all
// gateways at once. The gateway then waits in vain: neither its own connection
// nor a comparison with the others shows that it misses changes. So some
// gateway sends its watches again whenever none has done so for a while. The
// others learn from it which changes they have missed. Times are of a clock
// that also runs while the machine is suspended.
//
// Example:
//   routing::WatchRenewal renewal(std::chrono::seconds(2));
//   if (renewal.IsDue(boot_clock.Now())) {
//     ReadStore([&] {
//       SendWatchesAgain();
//       renewal.RecordRenewedAt(boot_clock.Now());
//     });
//   }
//   renewal.RecordRenewedAt(time_of_another_gateway);
//
// Performs no input or output. Not thread-safe.
#ifndef JACKDAWSHUNT_ROUTING_WATCH_RENEWAL_H_
#define JACKDAWSHUNT_ROUTING_WATCH_RENEWAL_H_

#include <algorithm>
#include <chrono>

#include "jackdawshunt/kernel/clock.h"

namespace jackdawshunt::routing {

class WatchRenewal {
 public:
  // Range of the ages at which gateways renew. The maximum is below the time
  // for which the store must have been undisturbed before changes are due in
  // time.
  static constexpr kernel::Duration kMinAge = std::chrono::milliseconds(1700);
  static constexpr kernel::Duration kMaxAge = std::chrono::milliseconds(2500);

  // Renewals are due when the last one of the fleet is older than `max_age`.
  // With different values the gateways do not renew all at the same time.
  explicit WatchRenewal(kernel::Duration max_age) : max_age_(max_age) {}

  // Records that this or another gateway sent its watches again at `time`,
  // while the store answered. Earlier times than the recorded one are ignored.
  void RecordRenewedAt(kernel::TimePoint time) {
    renewed_at_ = std::max(renewed_at_, time);
  }
  bool IsDue(kernel::TimePoint now) const {
    return now - renewed_at_ > max_age_;
  }
  // Returns the latest recorded time.
  kernel::TimePoint renewed_at() const { return renewed_at_; }

 private:
  const kernel::Duration max_age_;
  kernel::TimePoint renewed_at_{};
};

}  // namespace jackdawshunt::routing

#endif  // JACKDAWSHUNT_ROUTING_WATCH_RENEWAL_H_
