// Datagrams between gateways and boards, in MessagePack.
//
// Example:
//   std::string bytes = board::Encode(board::Query{.nonce = 7});
//   absl::StatusOr<board::Message> message = board::Decode(bytes);
//
// Gateways query a board for the cost of a prompt at its engine, report the
// requests that they send to the engine, and exchange the token counts of their
// workspaces. All of this is soft state: a lost datagram only makes the
// estimates less accurate.
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
#include "jackdawshunt/routing/fleet_facts.h"
#include "jackdawshunt/routing/prompt.h"
#include "jackdawshunt/routing/store_cursor.h"

namespace jackdawshunt::board {

// Identifies an incarnation of an engine. When it changes, the board discards
// its estimate of the engine.
struct EngineIdentity {
  uint64_t incarnation = 0;  // Hash of the upstream's id and start time.
  // The start time; 0 if not stated. Gateways learn of a new start at different
  // times, and the latest one listens at the engine's address.
  int64_t started_unix_ms = 0;
  uint64_t cache_tokens = 0;
  uint64_t sustained_tokens_per_s = 0;
  // Requests that it runs at once; 0 if not stated. Sent after the other fields
  // of a message, as gateways of earlier versions do not send it.
  uint64_t slots = 0;
};

// Query from a gateway for the cost of a prompt at the board's engine.
struct Query {
  uint64_t nonce = 0;
  EngineIdentity engine;
  std::vector<uint64_t> part_keys;
  std::vector<uint32_t> part_tokens;
};

// Reply of a board to the query with the same nonce.
struct Offer {
  uint64_t nonce = 0;
  routing::EngineCost cost;
  // False while gateways cannot connect to the engine.
  bool is_reachable = true;
};

// Report of a gateway that it sent a request to the board's engine.
struct Claim {
  uint64_t request = 0;  // Hash of the request's id.
  EngineIdentity engine;
  std::vector<uint64_t> part_keys;
  std::vector<uint32_t> part_tokens;
  uint32_t output_tokens = 0;
};

enum class Progress { kFirstEvent, kEnded, kNotExecuted, kUnreachable };
inline constexpr Progress kLastProgress = Progress::kUnreachable;

// Report of a gateway on the progress of a claimed request.
struct ProgressReport {
  uint64_t request = 0;
  Progress progress = Progress::kEnded;
};

// State of the platform's store as a gateway has read it, or the newest state
// that a board has received. Times are microseconds of the board's own clock,
// so that neither clock differences nor delayed datagrams make a read look
// newer than it is.
struct StoreState {
  routing::StoreRevision upstreams_revision;  // Of their latest change.
  routing::StoreRevision evacuations_revision;
  uint64_t configuration_version = 0;  // Newest known version.
  // Latest time at which configuration_version was known to be the newest one;
  // 0 if unknown.
  uint64_t current_as_of_us = 0;
  // Latest time at which a gateway renewed its watches of the store; 0 if
  // unknown. Sent after the other fields of a message, as gateways of earlier
  // versions do not send it.
  uint64_t watches_renewed_at_us = 0;
};

// Report of a gateway on the tokens of its workspaces since its last report.
struct ShareUpdate {
  uint64_t gateway = 0;  // Incarnation of the gateway.
  uint64_t sequence = 0;
  // False if the gateway merges the totals of another board.
  bool wants_totals = true;
  StoreState store;
  std::vector<routing::ShareReport> reports;
};

// Reply of a board to a ShareUpdate, with the tokens that all other gateways
// have reported since this gateway's previous update; without tokens if the
// gateway does not want them.
struct ShareTotals {
  uint64_t sequence = 0;  // The sequence of the update.
  uint32_t gateways = 0;  // Reporting gateways, the receiver included.
  uint64_t board = 0;     // Incarnation of the board.
  uint64_t board_time_us = 0;
  StoreState store;
  uint64_t facts_revision = 0;  // Of the board's FactStore.
  std::vector<routing::ShareReport> reports;
};

// A fact as sent: with its age instead of its time, since clocks differ.
struct AgedFact {
  routing::FactKind kind = routing::FactKind::kStartEnded;
  uint64_t subject = 0;
  uint64_t source = 0;
  kernel::Duration age{};
  double value = 0;
  std::vector<routing::Subject> suspects;
};
// Keeps a datagram of facts below the size at which it would be split.
inline constexpr size_t kMaxFactsPerMessage = 4;

AgedFact ToAged(const routing::Fact& fact, kernel::TimePoint now);
routing::Fact FromAged(const AgedFact& aged, kernel::TimePoint now);

// Facts that a gateway knows and the board may not, and a query for those that
// changed at the board after `known_revision`.
struct FactUpdate {
  uint64_t sequence = 0;
  uint64_t board = 0;  // Incarnation that `known_revision` is of.
  uint64_t known_revision = 0;
  std::vector<AgedFact> facts;
};

// Reply of a board to a FactUpdate: some facts that changed after the known
// revision, up to `revision`; all of them if that is `last_revision`.
struct FactReply {
  uint64_t sequence = 0;  // The sequence of the update.
  uint64_t board = 0;     // Incarnation of the board.
  uint64_t revision = 0;
  uint64_t last_revision = 0;
  std::vector<AgedFact> facts;
};

// Request of a gateway to send one request to a start of an upstream.
struct PermitQuery {
  uint64_t nonce = 0;
  uint64_t start = 0;
  double cold_per_second = 0;  // Rate that it bears while cold; 0 if it is not.
  // What is known of a limit that it names, of the kind kStartLimit; empty if
  // nothing is.
  std::vector<AgedFact> limits;
};

// Reply of a board to the permit query with the same nonce.
struct PermitReply {
  uint64_t nonce = 0;
  bool is_granted = false;
  kernel::Duration wait{};  // Until the next permit, if it is not granted.
};

// Report of a gateway that a request began a stream.
struct OriginRecord {
  uint64_t request = 0;  // Hash of the request's id.
  uint64_t origin = 0;   // See routing::StreamOriginOf().
  // Time for which the caller may resume the stream.
  kernel::Duration resumable_for{};
};

// Query from a gateway for the origin of the stream that a request began.
struct OriginQuery {
  uint64_t nonce = 0;
  uint64_t request = 0;
};

// Reply of a board to the origin query with the same nonce and request.
struct OriginReply {
  uint64_t nonce = 0;
  uint64_t request = 0;
  uint64_t origin = 0;  // routing::kUnknownOrigin without a record.
};

using Message = std::variant<Query,
                             Offer,
                             Claim,
                             ProgressReport,
                             ShareUpdate,
                             ShareTotals,
                             OriginRecord,
                             OriginQuery,
                             OriginReply,
                             FactUpdate,
                             FactReply,
                             PermitQuery,
                             PermitReply>;

// Returns the MessagePack encoding of `message`.
std::string Encode(const Message& message);
// Returns the message that `bytes` encode.
// Error: InvalidArgument when they are not a valid message.
absl::StatusOr<Message> Decode(std::string_view bytes);

// Returns parts of the given sizes with id 0.
std::vector<routing::PromptPart> ToPromptParts(
    const std::vector<uint32_t>& tokens);

}  // namespace jackdawshunt::board

#endif  // JACKDAWSHUNT_BOARD_MESSAGES_H_
