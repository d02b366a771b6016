// Exchanges state between gateways through the boards several times a second:
// the workspaces' tokens, the number of gateways, the age of the configuration,
// the time when watches were renewed, and facts about prompt parts and
// upstreams.
//
// Example:
//   gateway::FleetExchange exchange(loop, router, boards, freshness, renewal);
//   exchange.Start([&] { return upstreams.changed_revision(); },
//                  [&] { return evacuations.changed_revision(); });
//
// A gateway whose own connection to the store is slow or broken can still
// accept API keys, based on the reads that other gateways report, while its
// configuration is the newest one. Not thread-safe.
#ifndef JACKDAWSHUNT_GATEWAY_FLEET_EXCHANGE_H_
#define JACKDAWSHUNT_GATEWAY_FLEET_EXCHANGE_H_

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

#include "jackdawshunt/gateway/board_client.h"
#include "jackdawshunt/gateway/fact_sync.h"
#include "jackdawshunt/gateway/totals_source.h"
#include "jackdawshunt/kernel/boot_clock.h"
#include "jackdawshunt/kernel/event_loop.h"
#include "jackdawshunt/routing/key_freshness.h"
#include "jackdawshunt/routing/router.h"
#include "jackdawshunt/routing/watch_renewal.h"

namespace jackdawshunt::gateway {

class FleetExchange {
 public:
  FleetExchange(kernel::EventLoop& loop,
                routing::Router& router,
                BoardClient& boards,
                routing::KeyFreshness& freshness,
                routing::WatchRenewal& renewal);
  FleetExchange(const FleetExchange&) = delete;
  FleetExchange& operator=(const FleetExchange&) = delete;

  // Starts the periodic updates. The functions return the store's revisions of
  // the latest change of upstreams, and of evacuations, that this gateway has
  // read.
  using RevisionFunction = std::function<routing::StoreRevision()>;
  void Start(RevisionFunction upstreams_revision,
             RevisionFunction evacuations_revision);

  // Returns the number of gateways, this one included; 0 if unknown.
  uint32_t gateways() const { return gateways_; }
  // Returns whether a board has replied within the last second, and no gateway
  // has reported a newer list of upstreams than this one has.
  bool IsListCurrent() const;
  // Returns the newest revision of upstreams that any gateway has reported.
  routing::StoreRevision fleet_upstreams_revision() const {
    return fleet_upstreams_revision_;
  }
  // Returns the newest revision of evacuations that any gateway has reported.
  routing::StoreRevision fleet_evacuations_revision() const {
    return fleet_evacuations_revision_;
  }
  // Returns the newest configuration version that any gateway has reported.
  uint64_t fleet_configuration_version() const {
    return fleet_configuration_version_;
  }

 private:
  // A reading of a board's clock, and the local time at which it arrived.
  struct BoardClock {
    uint64_t board = 0;  // Incarnation of the board.
    uint64_t board_time_us = 0;
    kernel::TimePoint received_at{};
  };

  // Sends updates and schedules the next ones.
  void SendUpdates();
  // Sends the next update of facts to the board at `ip`, if there is one.
  void SendFacts(const std::string& ip);
  void OnFacts(const std::string& ip, const board::FactReply& reply);
  void OnTotals(const std::string& ip, const board::ShareTotals& totals);
  void MergeStoreState(const std::string& ip, const board::ShareTotals& totals);
  // Returns the local time of a board's time that its reply states, or nullopt
  // if it states none. Never later than it was.
  std::optional<kernel::TimePoint> LocalTime(const board::ShareTotals& totals,
                                             uint64_t board_time_us) const;
  // Returns the state of the store as known here, with times of the clock of
  // the board at `ip`.
  board::StoreState StoreStateFor(const std::string& ip) const;

  kernel::EventLoop& loop_;
  routing::Router& router_;
  BoardClient& boards_;
  routing::KeyFreshness& freshness_;
  routing::WatchRenewal& renewal_;
  const kernel::BootClock boot_clock_;
  RevisionFunction upstreams_revision_;
  RevisionFunction evacuations_revision_;
  kernel::Timer timer_;
  std::unordered_map<std::string, BoardClock> clocks_;  // By the board's IP.
  const uint64_t incarnation_;
  uint64_t sequence_ = 0;  // Of the last update.
  // Times at which the latest updates were sent, by sequence modulo size.
  std::array<kernel::TimePoint, 8> sent_at_{};
  TotalsSource source_;
  std::unordered_map<std::string, FactSync> fact_syncs_;  // By board's IP.
  // Sequence of the last reply whose totals were merged.
  uint64_t merged_sequence_ = 0;
  uint32_t gateways_ = 0;
  kernel::TimePoint last_reply_at_{};  // Of boot_clock_.
  routing::StoreRevision fleet_upstreams_revision_;
  routing::StoreRevision fleet_evacuations_revision_;
  uint64_t fleet_configuration_version_ = 0;
};

}  // namespace jackdawshunt::gateway

#endif  // JACKDAWSHUNT_GATEWAY_FLEET_EXCHANGE_H_
