// Records of the platform's store, decoded into the project's types.
//
// Example:
//   absl::StatusOr<routing::Upstream> upstream =
//       platform::DecodeUpstream("i-7f3a91c2", specification);
//
// Records may come from other writers: a field that is missing or has another
// type makes that record unusable, never the process.
#ifndef JACKDAWSHUNT_PLATFORM_RECORDS_H_
#define JACKDAWSHUNT_PLATFORM_RECORDS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"
#include "jackdawshunt/routing/desired_state.h"
#include "jackdawshunt/routing/upstream.h"
#include "nlohmann/json.hpp"

namespace jackdawshunt::platform {

enum class RecordKind { kDesiredState, kUpstream };
std::string_view RecordKindName(RecordKind kind);  // For logs.

// The record is removed, or names nothing that can be used.
struct Absent {};
using RecordValue =
    std::variant<Absent, routing::DesiredState, routing::Upstream>;

struct Record {
  std::string name;
  RecordValue value;
};

struct RecordList {
  std::vector<Record> records;  // A watch gives the changed ones only.
  uint64_t revision = 0;        // Of the store; to continue from.
  bool has_more = false;        // A list has further pages.
};

// Errors: InvalidArgument names the field.
absl::StatusOr<routing::DesiredState> DecodeDesiredState(
    const nlohmann::json& specification);
absl::StatusOr<routing::Upstream> DecodeUpstream(
    std::string_view name,
    const nlohmann::json& specification);

// Decodes the answer to a list or a watch. A record that is unusable becomes
// Absent, with a log line. Error: InvalidArgument when the answer as a whole
// cannot be read.
absl::StatusOr<RecordList> DecodeList(RecordKind kind, std::string_view body);
absl::StatusOr<RecordList> DecodeWatch(RecordKind kind, std::string_view body);

// Paths of the calls.
std::string ListPath(RecordKind kind, std::string_view after);
std::string WatchPath(RecordKind kind,
                      uint64_t revision,
                      std::chrono::milliseconds wait);

}  // namespace jackdawshunt::platform

#endif  // JACKDAWSHUNT_PLATFORM_RECORDS_H_
