// Decides whether the configuration of this process is recent enough to accept
// API keys.
//
// A revoked key must be refused everywhere after a fixed time, also by a
// process that can no longer read the configuration. So a process accepts keys
// only while its newest read of the configuration, counted from when the read
// was sent, is younger than that time. Times are of a clock that also runs
// while the machine is suspended.
//
// A store that was restored from an older copy may have lost a revocation that
// it acknowledged and that no process has read. The operator writes its state
// again, but a read before that shows nothing about revocations. So after a
// restoration reads do not count until the configuration was written again, or
// for the revocation time if it is not, as when the copy lacked no change.
//
// Example:
//   routing::KeyFreshness freshness({
//       .max_revocation_delay = std::chrono::seconds(5), .is_strict = true});
//   freshness.RecordCurrentAt(sent_at);
//   if (!freshness.MayAccept(boot_clock.Now())) Refuse();
#ifndef JACKDAWSHUNT_ROUTING_KEY_FRESHNESS_H_
#define JACKDAWSHUNT_ROUTING_KEY_FRESHNESS_H_

#include <algorithm>

#include "jackdawshunt/kernel/clock.h"

namespace jackdawshunt::routing {

struct KeyFreshnessSettings {
  // Time after which a revoked key must be refused everywhere.
  kernel::Duration max_revocation_delay = std::chrono::seconds(5);
  // If false, keys are accepted however old the configuration is.
  bool is_strict = true;
};

class KeyFreshness {
 public:
  explicit KeyFreshness(KeyFreshnessSettings settings) : settings_(settings) {}

  // Records that this process read the active configuration as the newest one
  // at `time`.
  void RecordReadAt(kernel::TimePoint time) {
    if (time >= reads_count_from_) {
      RecordCurrentAt(time);
    }
  }
  // Records that the active configuration was the newest one at `time`, by a
  // read of another process that counted there. Times before the recorded one
  // are ignored.
  void RecordCurrentAt(kernel::TimePoint time) {
    current_as_of_ = std::max(current_as_of_, time);
  }
  // Records that the store was found to be restored from an older copy.
  void OnStoreRestored(kernel::TimePoint now) {
    reads_count_from_ = now + settings_.max_revocation_delay;
  }
  // Records that the active configuration was written since the restoration.
  void OnConfigurationWritten() { reads_count_from_ = {}; }

  // Returns whether API keys may be accepted.
  bool MayAccept(kernel::TimePoint now) const {
    return !settings_.is_strict ||
           now - current_as_of_ <
               settings_.max_revocation_delay - kForwardingMargin;
  }
  // Returns the latest recorded time.
  kernel::TimePoint current_as_of() const { return current_as_of_; }
  // Returns the time since current_as_of().
  kernel::Duration Age(kernel::TimePoint now) const {
    return now - current_as_of_;
  }

 private:
  // Time for forwarding the request to the upstream.
  static constexpr kernel::Duration kForwardingMargin =
      std::chrono::milliseconds(300);

  KeyFreshnessSettings settings_;
  kernel::TimePoint current_as_of_{};
  kernel::TimePoint reads_count_from_{};
};

}  // namespace jackdawshunt::routing

#endif  // JACKDAWSHUNT_ROUTING_KEY_FRESHNESS_H_
