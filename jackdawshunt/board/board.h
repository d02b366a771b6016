// Handles the messages of a board, without input or output.
//
// A board runs beside one engine. All gateways report the requests that they
// send to the engine, so the board estimates its queue and KV cache better than
// any single gateway can. The board also sums the tokens of each workspace over
// the gateways that report to it, keeps the origins of some streams of all
// engines, hands on the facts that gateways learn of parts and upstreams, and
// counts the requests to upstreams that name a limit.
//
// Example:
//   board::Board board(incarnation);
//   std::optional<board::Message> reply = board.Handle(message, now);
//
// All times are of a clock that continues while the machine is suspended.
//
// Not thread-safe.
#ifndef JACKDAWSHUNT_BOARD_BOARD_H_
#define JACKDAWSHUNT_BOARD_BOARD_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>

#include "jackdawshunt/board/messages.h"
#include "jackdawshunt/kernel/clock.h"
#include "jackdawshunt/routing/engine_estimate.h"
#include "jackdawshunt/routing/fleet_facts.h"
#include "jackdawshunt/routing/permits.h"
#include "jackdawshunt/routing/stream_origins.h"

namespace jackdawshunt::board {

class Board {
 public:
  // `incarnation` identifies this run of the process.
  explicit Board(uint64_t incarnation) : incarnation_(incarnation) {}

  // Applies `message`. Returns the reply to its sender; nullopt when there
  // is none, such as to a Claim, to a duplicate ShareUpdate, or to a Query
  // whose lists differ in length.
  std::optional<Message> Handle(const Message& message, kernel::TimePoint now);
  // Merges the engine's own report; ignored until there is an estimate.
  void OnReport(const routing::EngineReport& report, kernel::TimePoint now);
  // Drops expired claims, gateways and origins; call every second.
  void DropExpired(kernel::TimePoint now);

  // Returns the estimate of the engine; null until the first valid Query or
  // Claim.
  const routing::EngineEstimate* engine() const { return engine_.get(); }
  // Returns the number of gateways that report to this board.
  size_t gateways() const { return gateways_.size(); }
  const routing::StreamOrigins& origins() const { return origins_; }
  const routing::FactStore& facts() const { return facts_; }

 private:
  // State of one gateway that reports to this board.
  struct Gateway {
    kernel::TimePoint last_received{};
    uint64_t sequence = 0;
    // Totals known to the gateway, its own reports included, by workspace.
    std::map<uint64_t, routing::ShareCount> last_sent;
  };

  // Handle() calls the overload for the type of its message. Offers, totals,
  // origin replies, fact replies and permit replies are messages to gateways
  // and are ignored.
  std::optional<Message> On(const Query& query, kernel::TimePoint now);
  std::optional<Message> On(const Offer& offer, kernel::TimePoint now);
  std::optional<Message> On(const Claim& claim, kernel::TimePoint now);
  std::optional<Message> On(const ProgressReport& report,
                            kernel::TimePoint now);
  std::optional<Message> On(const ShareUpdate& update, kernel::TimePoint now);
  std::optional<Message> On(const ShareTotals& totals, kernel::TimePoint now);
  std::optional<Message> On(const OriginRecord& record, kernel::TimePoint now);
  std::optional<Message> On(const OriginQuery& query, kernel::TimePoint now);
  std::optional<Message> On(const OriginReply& reply, kernel::TimePoint now);
  std::optional<Message> On(const FactUpdate& update, kernel::TimePoint now);
  std::optional<Message> On(const FactReply& reply, kernel::TimePoint now);
  std::optional<Message> On(const PermitQuery& query, kernel::TimePoint now);
  std::optional<Message> On(const PermitReply& reply, kernel::TimePoint now);
  // Starts a new estimate if `engine` is another incarnation than that of the
  // current estimate, and updates the sustained throughput. Returns false and
  // changes nothing if it is an earlier one.
  bool EnsureEngine(const EngineIdentity& engine);
  // Returns whether the querying gateway may try the engine: always while the
  // engine is reachable, else one gateway for each trial period.
  bool MayTryEngine(kernel::TimePoint now);

  // Replaces the values of `store_` by those of `store` that are newer.
  void MergeStoreState(const StoreState& store);

  const uint64_t incarnation_;
  StoreState store_;
  std::unique_ptr<routing::EngineEstimate> engine_;
  uint64_t engine_incarnation_ = 0;
  int64_t engine_started_unix_ms_ = 0;
  uint32_t consecutive_unreachable_ = 0;  // Since the last first event.
  kernel::TimePoint next_trial_{};
  std::unordered_map<uint64_t, Gateway> gateways_;
  std::map<uint64_t, routing::ShareCount> totals_;  // Over all gateways.
  routing::StreamOrigins origins_;
  routing::FactStore facts_;
  routing::PermitCounter permits_;
};

}  // namespace jackdawshunt::board

#endif  // JACKDAWSHUNT_BOARD_BOARD_H_
