// Orders from the side to its upstream: loads the models that the upstream's
// record names and the upstream has not loaded.
//
// Orders are sent under a lease, so that of two side processes of one upstream
// only one gives orders. An upstream that checks fencing numbers refuses the
// orders of an earlier holder; for one that does not, a new holder waits until
// the old lease has lapsed and the longest order is over. A holder that is
// paused between its check of the lease and the send can still send an order
// late; only an upstream that checks fencing numbers can refuse that one.
//
// Example:
//   side::Orders orders(loop, loop.clock(), platform, store, driver, self);
//   orders.TakeReport(load_report);
//
// Not thread-safe; runs on the loop's thread.
#ifndef JACKDAWSHUNT_SIDE_ORDERS_H_
#define JACKDAWSHUNT_SIDE_ORDERS_H_

#include <memory>
#include <optional>
#include <string>

#include "jackdawshunt/configuration/store.h"
#include "jackdawshunt/kernel/event_loop.h"
#include "jackdawshunt/object_api/client.h"
#include "jackdawshunt/protocol/messages.h"
#include "jackdawshunt/side/lease.h"
#include "jackdawshunt/side/upstream_driver.h"

namespace jackdawshunt::side {

// Duration of the lease; an order must not outlive the lease that it was sent
// under.
inline constexpr kernel::Duration kOrdersLeaseDuration =
    kOrderTimeout + std::chrono::seconds(30);

class Orders {
 public:
  Orders(kernel::EventLoop& loop,
         const kernel::Clock& clock,
         object_api::Client& platform,
         const configuration::Store& store,
         UpstreamDriver& driver,
         const protocol::PeerInfo& self);

  // Sends at most one order at a time. The lease is acquired when the first
  // order is due, so that an upstream without orders costs no platform calls.
  void TakeReport(const LoadReport& report);
  // Gives up the lease.
  void Stop();
  // What the lease's timer does; for tests with a paused clock.
  void TickLease();

 private:
  std::optional<Order> NextOrder(const LoadReport& report) const;
  void Send(const Order& order);

  kernel::EventLoop& loop_;
  const kernel::Clock& clock_;
  object_api::Client& platform_;
  const configuration::Store& store_;
  UpstreamDriver& driver_;
  const std::string upstream_;
  const std::string holder_;
  std::unique_ptr<Lease> lease_;
  bool is_order_pending_ = false;
  kernel::TimePoint not_before_{};
};

}  // namespace jackdawshunt::side

#endif  // JACKDAWSHUNT_SIDE_ORDERS_H_
