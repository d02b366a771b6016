// Defines the messages between the processes of the fleet. See docs/design.md,
// section 4.4, for the sender and the time of each.
//
// Example:
//   connection.Send(protocol::Decline{.grant = 17});
#ifndef JACKDAWSHUNT_PROTOCOL_MESSAGES_H_
#define JACKDAWSHUNT_PROTOCOL_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "jackdawshunt/base/error.h"
#include "jackdawshunt/base/id.h"

namespace jackdawshunt::protocol {

// Role of a process in the fleet.
enum class Role { kEntry, kSide };
// Returns the name of the role in messages and logs.
std::string_view RoleName(Role role);
// Returns nullopt for an unknown name.
std::optional<Role> ParseRole(std::string_view name);

// Expected length of a request; each class has its own queue.
enum class RequestClass { kShort, kLong };
// Returns the name of the class in messages and logs.
std::string_view RequestClassName(RequestClass request_class);
// Returns nullopt for an unknown name.
std::optional<RequestClass> ParseRequestClass(std::string_view name);

// Describes the process at the other end of an authenticated connection.
struct PeerInfo {
  std::string instance;
  Role role = Role::kEntry;
  std::string region;
  std::string data_centre;
  base::Incarnation incarnation;
  std::string upstream;  // Name of the upstream record. Side only.

  bool operator==(const PeerInfo&) const = default;
};

struct Heartbeat {
  uint64_t config_revision = 0;  // Highest object version in effect.
  uint64_t config_digest = 0;    // Hash over all keys and versions.
  bool draining = false;
  int32_t free_slots = 0;  // Side only.
  int32_t slots = 0;       // Side only.
  bool has_bids = false;   // Side only.

  bool operator==(const Heartbeat&) const = default;
};

struct BidItem {
  std::string workspace;
  RequestClass request_class = RequestClass::kShort;
  int32_t waiting = 0;
  double service = 0;   // Normalised service (tokens per share) plus lift.
  double estimate = 0;  // Expected normalised cost of one request.

  bool operator==(const BidItem&) const = default;
};

// Replaces the sending entry's previous bid for the same model. For plain
// services, `model` is the name of the service.
struct Bid {
  std::string model;
  std::vector<BidItem> items;  // An empty list withdraws the bid.

  bool operator==(const Bid&) const = default;
};

struct Grant {
  uint64_t grant = 0;  // Increases within a side incarnation, from 1.
  std::string model;
  std::string workspace;
  RequestClass request_class = RequestClass::kShort;
  int64_t valid_ms = 0;

  bool operator==(const Grant&) const = default;
};

// Selects a model request or a plain service request.
enum class StartKind { kModel, kService };
// Returns the name of the kind in messages and logs.
std::string_view StartKindName(StartKind kind);
// Returns nullopt for an unknown name.
std::optional<StartKind> ParseStartKind(std::string_view name);

struct Start {
  uint64_t grant = 0;
  base::Incarnation side_incarnation;
  std::string request;
  int32_t attempt = 1;
  std::string workspace;
  std::string model;
  RequestClass request_class = RequestClass::kShort;
  StartKind kind = StartKind::kModel;
  bool repeatable = true;
  std::string method;        // HTTP method. Services only.
  std::string path;          // Path and query. Services only.
  std::string content_type;  // Content type of `body`.
  std::string body;
  int64_t resume_tokens = 0;  // Tokens that the caller has. Models only.

  bool operator==(const Start&) const = default;
};

struct Decline {
  uint64_t grant = 0;

  bool operator==(const Decline&) const = default;
};

// Requests the outcome of a start after a connection loss.
struct Query {
  uint64_t grant = 0;
  base::Incarnation side_incarnation;
  std::string request;
  int32_t attempt = 1;

  bool operator==(const Query&) const = default;
};

// Reports that the start was not executed and never will be.
struct Refused {
  uint64_t grant = 0;
  std::string request;
  int32_t attempt = 1;
  std::string reason;

  bool operator==(const Refused&) const = default;
};

// Reports that the start was accepted. Also the reply to a query or an attach
// for a running request.
struct Accepted {
  std::string request;
  int32_t attempt = 1;

  bool operator==(const Accepted&) const = default;
};

// Carries a part of an answer in a binary frame. For models, `offset` counts
// tokens and `data` is a JSON array of token texts; for services, `offset`
// counts bytes and `data` is a part of the body.
struct Chunk {
  std::string request;
  int32_t attempt = 1;
  int64_t offset = 0;
  std::string data;

  bool operator==(const Chunk&) const = default;
};

struct Done {
  std::string request;
  int32_t attempt = 1;
  int64_t length = 0;  // Answer length: tokens (models) or bytes (services).
  int64_t input_tokens = 0;
  int64_t output_tokens = 0;
  std::string finish_reason;  // Models only.
  int32_t http_status = 200;  // Services only.
  std::string content_type;   // Services only.

  bool operator==(const Done&) const = default;
};

struct Failed {
  std::string request;
  int32_t attempt = 1;
  base::ErrorKind kind = base::ErrorKind::kUpstreamFailed;
  base::Executed ran = base::Executed::kUnknown;
  std::string message;
  int64_t tokens = 0;

  bool operator==(const Failed&) const = default;
};

struct Attach {
  std::string request;
  std::string workspace;
  int64_t offset = 0;

  bool operator==(const Attach&) const = default;
};

struct Credit {
  std::string request;
  int32_t attempt = 1;
  int64_t offset = 0;

  bool operator==(const Credit&) const = default;
};

struct Cancel {
  std::string request;
  int32_t attempt = 1;

  bool operator==(const Cancel&) const = default;
};

struct CounterEntry {
  std::string origin;
  base::Incarnation incarnation;
  std::string workspace;
  // Cumulative weighted tokens, divided by the share at the time of the charge.
  double service = 0;

  bool operator==(const CounterEntry&) const = default;
};

struct LiftEntry {
  std::string workspace;
  double lift = 0;  // Normalised service.

  bool operator==(const LiftEntry&) const = default;
};

// Carries the fairness counters of the sender in a CBOR frame.
struct Counters {
  std::vector<CounterEntry> counters;
  std::vector<LiftEntry> lifts;
  std::vector<std::string> backlogged;  // All backlogged at the sender.
  double virtual_time = 0;

  bool operator==(const Counters&) const = default;
};

struct ConfigPull {
  // Key and version of each record of the sender, so that the peer sends only
  // newer ones.
  std::vector<std::pair<std::string, uint64_t>> known;

  bool operator==(const ConfigPull&) const = default;
};

struct ConfigRecord {
  std::string key;       // "config/<kind>/<name>"
  uint64_t version = 0;  // Object version.
  bool deleted = false;
  std::string value;  // JSON text; empty when deleted.

  bool operator==(const ConfigRecord&) const = default;
};

struct ConfigPush {
  std::vector<ConfigRecord> records;

  bool operator==(const ConfigPush&) const = default;
};

// Describes one instance of the instance list. Addresses are "ip:port".
struct ListedInstance {
  std::string instance;
  std::string role;
  std::string region;
  std::string data_centre;
  std::string process;
  std::string operator_address;
  bool is_leaving = false;

  bool operator==(const ListedInstance&) const = default;
};

// Carries the sender's copy of the instance list to an entry that started while
// the platform is down.
struct InstanceList {
  std::vector<ListedInstance> instances;

  bool operator==(const InstanceList&) const = default;
};

using Message = std::variant<Heartbeat,
                             Bid,
                             Grant,
                             Start,
                             Decline,
                             Query,
                             Refused,
                             Accepted,
                             Chunk,
                             Done,
                             Failed,
                             Attach,
                             Credit,
                             Cancel,
                             Counters,
                             ConfigPull,
                             ConfigPush,
                             InstanceList>;

// Returns the name used in frames, logs and metrics.
std::string_view MessageName(const Message& message);

// Returns true for messages that carry callers' data (start, chunk, done). All
// others are control traffic, which the control budget limits.
bool CarriesCallerData(const Message& message);

}  // namespace jackdawshunt::protocol

#endif  // JACKDAWSHUNT_PROTOCOL_MESSAGES_H_
