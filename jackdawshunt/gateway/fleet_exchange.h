// What the gateways tell each other through the boards, twice or more a second:
// the workspaces' tokens, how many gateways there are, and how current the
// configuration is.
//
// Example:
//   gateway::FleetExchange exchange(loop, router, boards, freshness);
//   exchange.Start([&] { return follower.changed_revision(); });
//
// A gateway whose own path to the store is slow or cut stays current through
// the reads of the others. Not thread-safe.
#ifndef JACKDAWSHUNT_GATEWAY_FLEET_EXCHANGE_H_
#define JACKDAWSHUNT_GATEWAY_FLEET_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

#include "jackdawshunt/gateway/board_client.h"
#include "jackdawshunt/kernel/boot_clock.h"
#include "jackdawshunt/kernel/event_loop.h"
#include "jackdawshunt/routing/key_freshness.h"
#include "jackdawshunt/routing/router.h"

namespace jackdawshunt::gateway {

class FleetExchange {
 public:
  FleetExchange(kernel::EventLoop& loop,
                routing::Router& router,
                BoardClient& boards,
                routing::KeyFreshness& freshness);
  FleetExchange(const FleetExchange&) = delete;
  FleetExchange& operator=(const FleetExchange&) = delete;

  // `upstreams_revision` gives the revision of the store at which the last
  // change of upstreams was seen here.
  void Start(std::function<uint64_t()> upstreams_revision);

  // Gateways that share the reads, this one included; 0: not known.
  uint32_t gateways() const { return gateways_; }
  // The newest that any gateway has seen.
  uint64_t fleet_upstreams_revision() const {
    return fleet_upstreams_revision_;
  }
  uint64_t fleet_configuration() const { return fleet_configuration_; }

 private:
  // The board's clock at a time of ours.
  struct BoardClock {
    uint64_t board = 0;
    uint64_t board_time_us = 0;
    kernel::TimePoint received{};
  };

  void SendUpdates();
  void OnTotals(const std::string& ip, const board::ShareTotals& totals);
  board::StoreState StoreStateFor(const std::string& ip) const;

  kernel::EventLoop& loop_;
  routing::Router& router_;
  BoardClient& boards_;
  routing::KeyFreshness& freshness_;
  const kernel::BootClock boot_clock_;
  std::function<uint64_t()> upstreams_revision_;
  kernel::Timer timer_;
  std::unordered_map<std::string, BoardClock> clocks_;  // By the board's IP.
  const uint64_t incarnation_;
  uint64_t sequence_ = 0;
  kernel::TimePoint sent_{};  // Of the update with this sequence.
  bool are_totals_taken_ = false;
  uint32_t gateways_ = 0;
  uint64_t fleet_upstreams_revision_ = 0;
  uint64_t fleet_configuration_ = 0;
};

}  // namespace jackdawshunt::gateway

#endif  // JACKDAWSHUNT_GATEWAY_FLEET_EXCHANGE_H_
