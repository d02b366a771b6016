// Decides how long a connection to an upstream may have been idle for a request
// that cannot be repeated.
//
// An upstream may forget an idle connection without notice, and the request
// that is sent on it next is lost. Opening a connection for each such request
// instead costs the upstream and the caller a round trip. So requests that can
// be repeated use connections of any age, and show for each service which ages
// are safe; the others follow.
//
// Example:
//   routing::IdleLimits limits;
//   limits.OnReused("ledger", idle_time, /*was_lost=*/false, now);
//   kernel::Duration most = limits.MaxIdle("ledger", now);
//
// Answers the load in which many gateways each send one request in seconds to
// each of many upstreams.
//
// Not thread-safe.
#ifndef JACKDAWSHUNT_ROUTING_IDLE_LIMITS_H_
#define JACKDAWSHUNT_ROUTING_IDLE_LIMITS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "jackdawshunt/kernel/clock.h"

namespace jackdawshunt::routing {

class IdleLimits {
 public:
  // Accepted before anything is known, and the longest time accepted.
  static constexpr kernel::Duration kInitial = std::chrono::milliseconds(1500);
  static constexpr kernel::Duration kLongest = std::chrono::seconds(5);

  // Records that a request was sent on a connection to an upstream of the
  // service after it had been idle, and whether the connection was lost at
  // once.
  void OnReused(std::string_view service,
                kernel::Duration idle,
                bool was_lost,
                kernel::TimePoint now);
  // Returns the longest idle time for a request that cannot be repeated.
  kernel::Duration MaxIdle(std::string_view service,
                           kernel::TimePoint now) const;

 private:
  struct State {
    // Reuses after more than kInitial without a loss since the last one.
    uint32_t long_reuses = 0;
    kernel::Duration shortest_loss = kernel::Duration::max();
    kernel::TimePoint lost_at{};
  };

  std::map<std::string, State, std::less<>> services_;
};

}  // namespace jackdawshunt::routing

#endif  // JACKDAWSHUNT_ROUTING_IDLE_LIMITS_H_
