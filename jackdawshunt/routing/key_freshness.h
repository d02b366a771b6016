// Decides whether the configuration of this process is recent enough to accept
// API keys.
//
// A revoked key must be refused everywhere after a fixed time, also by a
// process that can no longer read the configuration. So a process accepts keys
// only while its newest read of the configuration, counted from when the read
// was sent, is younger than that time. Times are of a clock that also runs
// while the machine is suspended.
//
// Example:
//   routing::KeyFreshness freshness({.revocation = 5s, .is_strict = true});
//   freshness.OnCurrentAsOf(sent);
//   if (!freshness.MayAccept(boot_clock.Now())) Refuse();
#ifndef JACKDAWSHUNT_ROUTING_KEY_FRESHNESS_H_
#define JACKDAWSHUNT_ROUTING_KEY_FRESHNESS_H_

#include <algorithm>

#include "jackdawshunt/kernel/clock.h"

namespace jackdawshunt::routing {

struct KeyFreshnessSettings {
  kernel::Duration revocation = std::chrono::seconds(5);
  bool is_strict = true;
};

class KeyFreshness {
 public:
  explicit KeyFreshness(KeyFreshnessSettings settings) : settings_(settings) {}

  // Records that the active configuration was the newest one at `time`. Earlier
  // times than the recorded one have no effect.
  void OnCurrentAsOf(kernel::TimePoint time) {
    as_of_ = std::max(as_of_, time);
  }

  bool MayAccept(kernel::TimePoint now) const {
    return !settings_.is_strict ||
           now - as_of_ < settings_.revocation - kForwardingMargin;
  }
  kernel::TimePoint as_of() const { return as_of_; }
  kernel::Duration Age(kernel::TimePoint now) const { return now - as_of_; }

 private:
  // Time for forwarding the request to the upstream.
  static constexpr kernel::Duration kForwardingMargin =
      std::chrono::milliseconds(300);

  KeyFreshnessSettings settings_;
  kernel::TimePoint as_of_{};
};

}  // namespace jackdawshunt::routing

#endif  // JACKDAWSHUNT_ROUTING_KEY_FRESHNESS_H_
