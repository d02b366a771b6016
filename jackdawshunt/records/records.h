// Parses and validates the configuration records that operators write. All
// schema versions of a kind parse to the same struct.
//
// A record is a JSON object, {"kind": "workspace", "schema": 2, "name":
// "lodge", "spec": {...}}, stored in the object API under the key
// config/<kind>/<name>.
//
// Example:
//   absl::StatusOr<records::Record> record = records::Parse(json_text);
#ifndef JACKDAWSHUNT_RECORDS_RECORDS_H_
#define JACKDAWSHUNT_RECORDS_RECORDS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"

namespace jackdawshunt::records {

// Maximum length of a record text. Pushes between processes contain records as
// escaped JSON strings, which at most double the length and must fit a frame of
// 1 MiB.
inline constexpr size_t kMaxRecordBytes = size_t{256} * 1024;

enum class RecordKind { kWorkspace, kModel, kUpstream, kPolicy };
// Returns the kind as written in records, for example "workspace".
std::string_view RecordKindName(RecordKind kind);
// Returns nullopt for an unknown name.
std::optional<RecordKind> ParseRecordKind(std::string_view name);

// A customer of the shared pool.
struct Workspace {
  std::string name;
  double share = 1;  // Relative weight, above 0.
  // SHA-256 of each accepted bearer token, 64 hexadecimal digits.
  std::vector<std::string> token_sha256;
  // Models and services that the workspace may use, each with the allowed
  // versions; an empty list allows all versions.
  std::map<std::string, std::vector<std::string>, std::less<>> models;
};

// A model or plain service that callers name in requests. A record with the
// field "routes" defines a plain service.
struct Model {
  std::string name;
  std::vector<std::string> versions;  // Models only.
  std::string default_version;        // Models only; by default the first.
  // A call of a plain service, by method and path prefix.
  struct Route {
    std::string method;
    std::string path_prefix;
    bool repeatable = false;
  };
  std::vector<Route> routes;  // Plain services only; longest prefix first.
  bool is_service = false;
};

enum class UpstreamState { kActive, kLeaving };

// A server that receives requests through its side process.
struct Upstream {
  std::string name;
  std::string driver;  // "engine" or "service".
  std::vector<std::string> models;
  int32_t slots = 1;        // Concurrent requests, 1 to 4096.
  int32_t short_slots = 0;  // Part of `slots` reserved for short requests.
  UpstreamState state = UpstreamState::kActive;
  bool checks_fencing = false;
};

// The fleet-wide policy, from the record named "fleet". Without that record,
// the defaults below apply.
struct Policy {
  double input_weight = 0.25;  // Service per input token.
  double output_weight = 1;    // Service per output token.
  int64_t short_tokens = 64;   // Largest max_tokens of a short request.
  int64_t default_max_tokens = 512;
  int32_t max_waiting = 256;    // Per workspace and entry.
  int64_t max_wait_ms = 30000;  // Time in the queue.
  int32_t max_attempts = 3;
  int32_t bid_fanout = 64;  // Sides that get bids of an entry, per model.
  int64_t exchange_period_ms = 100;
  std::string exchange = "mesh";
  std::string placement = "late_binding";
  int64_t progress_limit_ms = 10000;  // Longest pause of a running stream.
};

struct Record {
  RecordKind kind = RecordKind::kWorkspace;
  int32_t schema = 1;
  std::string name;
  std::variant<Workspace, Model, Upstream, Policy> spec;
};

// Returns all validation errors of a record, each as "<JSON pointer>: <value>:
// <requirement>". Empty if the record is valid.
std::vector<std::string> ValidationErrors(std::string_view json_text);

// Returns the parsed record, or InvalidArgument with all validation errors, one
// a line.
absl::StatusOr<Record> Parse(std::string_view json_text);

// Returns "config/<kind>/<name>".
std::string KeyOf(const Record& record);

}  // namespace jackdawshunt::records

#endif  // JACKDAWSHUNT_RECORDS_RECORDS_H_
