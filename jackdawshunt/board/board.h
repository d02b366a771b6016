// What a board knows and answers, without input or output.
//
// A board stands beside one engine. All gateways tell it what they send there,
// so it knows the engine's queue and cache better than any of them. It also
// sums the workspaces' tokens over the gateways that report to it.
//
// Example:
//   board::Board board(life);
//   std::optional<board::Message> reply = board.Handle(message, now);
//
// Times are of a clock that goes on while the machine is suspended.
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

namespace jackdawshunt::board {

class Board {
 public:
  // `life` tells one start of the process from another.
  explicit Board(uint64_t life) : life_(life) {}

  // Returns the reply, if the message has one.
  std::optional<Message> Handle(const Message& message, kernel::TimePoint now);
  // Drops what was not heard of for long; call every second.
  void Tick(kernel::TimePoint now);

  const routing::EngineEstimate* engine() const { return engine_.get(); }
  size_t gateways() const { return gateways_.size(); }

 private:
  // What one gateway has reported, and what it was told of the others.
  struct Gateway {
    kernel::TimePoint heard{};
    uint64_t sequence = 0;
    std::map<uint64_t, routing::ShareCount> own;   // Sums since it was heard.
    std::map<uint64_t, routing::ShareCount> told;  // Sums of others told it.
  };

  std::optional<Message> On(const Query& query, kernel::TimePoint now);
  std::optional<Message> On(const Offer& offer, kernel::TimePoint now);
  std::optional<Message> On(const Claim& claim, kernel::TimePoint now);
  std::optional<Message> On(const ProgressReport& report,
                            kernel::TimePoint now);
  std::optional<Message> On(const ShareUpdate& update, kernel::TimePoint now);
  std::optional<Message> On(const ShareTotals& totals, kernel::TimePoint now);
  void Meet(const EngineIdentity& engine);
  // Whether the gateway that asks may try the engine: always while it can be
  // reached, else one gateway at a time when a trial is due.
  bool MayTry(kernel::TimePoint now);

  void Learn(const StoreKnowledge& store);

  const uint64_t life_;
  StoreKnowledge store_;
  std::unique_ptr<routing::EngineEstimate> engine_;
  uint64_t engine_life_ = 0;
  uint32_t unreachable_in_row_ = 0;  // Reports since the last first event.
  kernel::TimePoint next_trial_{};
  std::unordered_map<uint64_t, Gateway> gateways_;
  std::map<uint64_t, routing::ShareCount> totals_;  // Of all gateways.
};

}  // namespace jackdawshunt::board

#endif  // JACKDAWSHUNT_BOARD_BOARD_H_
