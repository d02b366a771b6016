// Sends the upstream orders to load the models that its record names and that
// it has not loaded.
//
// Orders are sent under a lease, so that only one of two side processes of an
// upstream sends orders. An upstream that checks fencing numbers refuses the
// orders of an earlier holder; for one that does not, a new holder waits until
// the old lease has expired and the timeout of an order has passed. A holder
// that is paused between its check of the lease and the send can still send an
// order late, which only an upstream that checks fencing numbers can refuse.
//
// Example:
//   side::Orders orders(loop, loop.clock(), platform, store, driver, self);
//   orders.OnLoadReport(load_report);
//
// Not thread-safe; use on the loop's thread only.
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

// Duration of the lease. Longer than kOrderTimeout, as an order must not
// outlive the lease that it was sent under.
inline constexpr kernel::Duration kOrdersLeaseDuration =
    kOrderTimeout + std::chrono::seconds(30);

class Orders {
 public:
  // All references except `self` must outlive this object.
  Orders(kernel::EventLoop& loop,
         const kernel::Clock& clock,
         object_api::Client& platform,
         const configuration::Store& store,
         UpstreamDriver& driver,
         const protocol::PeerInfo& self);

  // Sends the next order that the report calls for, if the lease is held. Sends
  // at most one order at a time. The lease is acquired when an order is due and
  // released when none is, so that an upstream without orders costs no platform
  // calls.
  void OnLoadReport(const LoadReport& report);
  // Releases the lease, unless an order is in flight.
  void ReleaseLease();
  // Runs the lease's timer callback; for tests with a manual clock.
  void TickLease();

 private:
  // Returns the order for the first model that is not loaded, without a fencing
  // number; nullopt when no order is due or the upstream does not report
  // models.
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
  kernel::TimePoint next_order_at_{};
};

}  // namespace jackdawshunt::side

#endif  // JACKDAWSHUNT_SIDE_ORDERS_H_
