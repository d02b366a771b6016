// Holds a lease in the platform's object API, with a fencing number.
//
// The value of the lease's object is {"holder": "<name>"}; every acquisition
// and renewal is a conditional update. The fencing number is the object version
// of the acquisition, so a later holder always has a greater one. Clocks of
// different processes are not compared: a waiting process takes over when it
// has seen the same version for the lease's duration by its own clock.
//
// Example:
//   side::Lease lease(loop, loop.clock(), platform, "leases/engine-1",
//                     "side-1/18c2-4f", side::LeaseOptions{});
//   lease.Start();
//   if (auto fencing = lease.FencingNumber(std::chrono::seconds(1))) {
//     Send(*fencing);
//   }
//
// Not thread-safe; use on the loop's thread only.
#ifndef JACKDAWSHUNT_SIDE_LEASE_H_
#define JACKDAWSHUNT_SIDE_LEASE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "jackdawshunt/kernel/clock.h"
#include "jackdawshunt/kernel/event_loop.h"
#include "jackdawshunt/object_api/client.h"

namespace jackdawshunt::side {

struct LeaseOptions {
  kernel::Duration duration = std::chrono::seconds(6);
  // Additional wait before an expired lease of another holder is taken over, so
  // that work begun under it can end. Needed when the resource does not check
  // fencing numbers.
  kernel::Duration takeover_delay{0};
};

class Lease {
 public:
  // `clock` is the loop's clock, or a manual clock in tests, which then call
  // Tick() themselves. `loop`, `clock` and `client` must outlive the lease.
  Lease(kernel::EventLoop& loop,
        const kernel::Clock& clock,
        object_api::Client& client,
        std::string key,
        std::string holder,
        LeaseOptions options);

  // Starts to acquire and renew the lease, with a Tick() at once and three per
  // duration. May be called again after Release().
  void Start();
  // Starts one attempt to acquire or renew the lease. Does nothing while a call
  // is pending or the lease is not started.
  void Tick();
  void set_takeover_delay(kernel::Duration delay) {
    options_.takeover_delay = delay;
  }

  // Returns the fencing number if the lease is held and stays valid for longer
  // than `margin` by this process's clock, otherwise nullopt.
  std::optional<uint64_t> FencingNumber(kernel::Duration margin) const;

  bool is_started() const { return !is_released_; }

  // Releases the lease and stops renewing it, so that the next holder need not
  // wait.
  void Release();

 private:
  void Read();
  void Observe(const object_api::Object& object);
  void Write(uint64_t expected);
  void WriteRelease(uint64_t version);
  void OnWritten(const absl::StatusOr<uint64_t>& version,
                 kernel::TimePoint sent_at);

  kernel::EventLoop& loop_;
  const kernel::Clock& clock_;
  object_api::Client& client_;
  const std::string key_;
  const std::string holder_;
  LeaseOptions options_;
  kernel::Timer timer_;
  bool is_call_pending_ = false;
  bool is_released_ = true;

  // Object version that this process wrote last; 0 when it does not hold the
  // lease.
  uint64_t held_version_ = 0;
  uint64_t fencing_ = 0;
  kernel::TimePoint valid_until_{};
  // Send time of a write whose response was lost; nullopt when there is none.
  std::optional<kernel::TimePoint> unconfirmed_write_sent_at_;
  // Object version of another holder, and since when it has been unchanged.
  uint64_t observed_version_ = 0;
  kernel::TimePoint observed_since_{};
};

}  // namespace jackdawshunt::side

#endif  // JACKDAWSHUNT_SIDE_LEASE_H_
