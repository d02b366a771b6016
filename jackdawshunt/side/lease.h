// A lease in the platform's object API, with a fencing number.
//
// The object holds {"holder": "<name>"}; every acquisition and renewal is a
// conditional update. The fencing number is the object version of the
// acquisition, so a later holder always has a greater one. Nobody's wall clock
// is compared: a waiting process takes over when it has seen the same version
// for the lease's duration by its own clock.
//
// Example:
//   side::Lease lease(loop, platform, "leases/engine-1", "side-1/18c2-4f", {});
//   lease.Start();
//   if (auto fencing = lease.FencingNumber(margin)) { ... }
//
// Not thread-safe; runs on the loop's thread.
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
  // Waited after the old lease has lapsed, for work that its holder began
  // before; needed where the resource does not check fencing numbers.
  kernel::Duration takeover_delay{0};
};

class Lease {
 public:
  // `clock` is the loop's clock, or a paused one in tests, which then call
  // Tick() themselves instead of Start().
  Lease(kernel::EventLoop& loop,
        const kernel::Clock& clock,
        object_api::Client& client,
        std::string key,
        std::string holder,
        LeaseOptions options);

  // Acquires and then renews the lease, three times per duration. May be called
  // again after Release().
  void Start();
  void Tick();
  void set_takeover_delay(kernel::Duration delay) {
    options_.takeover_delay = delay;
  }

  // The fencing number, when the lease is held and stays valid for at least
  // `margin` by this process's clock.
  std::optional<uint64_t> FencingNumber(kernel::Duration margin) const;

  bool is_started() const { return !is_released_; }

  // Gives the lease up, so that the next holder need not wait.
  void Release();

 private:
  void Read();
  void Observe(const object_api::Object& object);
  void Write(uint64_t expected);
  void GiveUp(uint64_t version);
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

  // The version that this process wrote last; 0 when it does not hold the
  // lease.
  uint64_t held_version_ = 0;
  uint64_t fencing_ = 0;
  kernel::TimePoint valid_until_{};
  // When the write whose answer was lost was sent.
  std::optional<kernel::TimePoint> unsettled_write_;
  // Another holder's version, and since when it has been seen unchanged.
  uint64_t observed_version_ = 0;
  kernel::TimePoint observed_since_{};
};

}  // namespace jackdawshunt::side

#endif  // JACKDAWSHUNT_SIDE_LEASE_H_
