// Decodes records of the platform's store into routing types, and builds the
// paths to request them.
//
// Example:
//   absl::StatusOr<routing::Upstream> upstream =
//       platform::DecodeUpstream("i-7f3a91c2", specification);
//
// Records may come from other writers. A required field that is missing or has
// the wrong type makes only that record unusable.
#ifndef JACKDAWSHUNT_PLATFORM_RECORDS_H_
#define JACKDAWSHUNT_PLATFORM_RECORDS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"
#include "jackdawshunt/http1/message.h"
#include "jackdawshunt/routing/desired_state.h"
#include "jackdawshunt/routing/store_cursor.h"
#include "jackdawshunt/routing/upstream.h"
#include "nlohmann/json.hpp"

namespace jackdawshunt::platform {

enum class RecordKind { kDesiredState, kUpstream, kEvacuation };
// Returns the name used in logs.
std::string_view RecordKindName(RecordKind kind);

// Value of a record that was removed or is unusable.
struct Absent {};
// Value of a record that asks for the evacuation of the data centre of its
// name.
struct Evacuation {};
using RecordValue =
    std::variant<Absent, routing::DesiredState, routing::Upstream, Evacuation>;

struct Record {
  std::string name;
  RecordValue value;
};

struct RecordList {
  std::vector<Record> records;      // After a watch, only the changed ones.
  routing::StoreRevision revision;  // Of the store, to watch from.
  bool has_more = false;            // Whether a list has further pages.
  std::string last_name;            // Of all entries, also unusable ones.
};

// Decode the "specification" of one record. Error: InvalidArgument, which names
// the field.
absl::StatusOr<routing::DesiredState> DecodeDesiredState(
    const nlohmann::json& specification);
absl::StatusOr<routing::Upstream> DecodeUpstream(
    std::string_view name,
    const nlohmann::json& specification);

// Decode the answer to a list or a watch. An unusable record is logged and its
// value is Absent. Error: InvalidArgument when the answer as a whole cannot be
// parsed.
absl::StatusOr<RecordList> DecodeList(RecordKind kind, std::string_view body);
absl::StatusOr<RecordList> DecodeWatch(RecordKind kind, std::string_view body);

// Returns the store's era, which each of its answers states: the number of its
// restorations from an older copy. Returns 0 if the answer does not state it.
uint64_t DecodeStoreEra(const http1::ResponseHead& head);

// Returns the path that lists records, starting after the name `after`.
std::string ListPath(RecordKind kind, std::string_view after);
// Returns the path that watches for changes after `revision`, for up to `wait`.
std::string WatchPath(RecordKind kind,
                      uint64_t revision,
                      std::chrono::milliseconds wait);

}  // namespace jackdawshunt::platform

#endif  // JACKDAWSHUNT_PLATFORM_RECORDS_H_
