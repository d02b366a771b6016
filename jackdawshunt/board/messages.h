// Datagrams between gateways and boards, in CBOR.
//
// Example:
//   std::string bytes = board::Encode(board::Query{.nonce = 7, ...});
//   absl::StatusOr<board::Message> message = board::Decode(bytes);
//
// A board is asked what a prompt would cost at its engine, hears which requests
// were sent there, and sums what the gateways report of the workspaces. All of
// it is soft state: a lost datagram costs precision only.
#ifndef JACKDAWSHUNT_BOARD_MESSAGES_H_
#define JACKDAWSHUNT_BOARD_MESSAGES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"
#include "jackdawshunt/routing/engine_estimate.h"
#include "jackdawshunt/routing/fair_share.h"
#include "jackdawshunt/routing/prompt.h"

namespace jackdawshunt::board {

// The engine that a message is about. A board that knew another life of it
// starts anew.
struct EngineIdentity {
  uint64_t life = 0;  // Hash of the upstream's id and start time.
  uint64_t cache_tokens = 0;
  uint64_t sustained_tokens_per_s = 0;
};

// Gateway to board: what would this prompt cost now?
struct Query {
  uint64_t nonce = 0;
  EngineIdentity engine;
  std::vector<uint64_t> part_keys;
  std::vector<uint32_t> part_tokens;
};

// Board to gateway.
struct Offer {
  uint64_t nonce = 0;
  routing::EngineCost cost;
  // False while gateways cannot connect to the engine.
  bool is_reachable = true;
};

// Gateway to board: the request was sent to the engine.
struct Claim {
  uint64_t request = 0;  // Hash of the request's id.
  EngineIdentity engine;
  std::vector<uint64_t> part_keys;
  std::vector<uint32_t> part_tokens;
  uint32_t output_tokens = 0;
};

enum class Progress { kFirstEvent, kEnded, kNotRun, kUnreachable };
inline constexpr Progress kLastProgress = Progress::kUnreachable;

// Gateway to board: what became of a claim.
struct ProgressReport {
  uint64_t request = 0;
  Progress progress = Progress::kEnded;
};

// What a gateway read from the platform's store, or the newest of what boards
// heard of that. Times are microseconds of the board's own clock, so that
// neither clocks that differ nor datagrams that were held up make a read look
// newer than it is.
struct StoreKnowledge {
  uint64_t upstreams_revision = 0;     // At which upstreams changed last.
  uint64_t configuration_version = 0;  // Newest one known.
  uint64_t current_as_of_us = 0;       // It was the newest then; 0: not known.
};

// Gateway to board: tokens of its workspaces in its last slice of time.
struct ShareUpdate {
  uint64_t gateway = 0;  // One life of a gateway.
  uint64_t sequence = 0;
  StoreKnowledge store;
  std::vector<routing::ShareReport> reports;
};

// Board to gateway: the same from all other gateways since its last update.
struct ShareTotals {
  uint64_t sequence = 0;  // Of the update that is answered.
  uint32_t gateways = 0;  // Heard from lately, the asker included.
  uint64_t board = 0;     // One life of the board.
  uint64_t board_time_us = 0;
  StoreKnowledge store;
  std::vector<routing::ShareReport> reports;
};

using Message =
    std::variant<Query, Offer, Claim, ProgressReport, ShareUpdate, ShareTotals>;

std::string Encode(const Message& message);
// Error: InvalidArgument when the bytes are not a message.
absl::StatusOr<Message> Decode(std::string_view bytes);

std::vector<routing::PromptPart> ToParts(const std::vector<uint32_t>& tokens);

}  // namespace jackdawshunt::board

#endif  // JACKDAWSHUNT_BOARD_MESSAGES_H_
