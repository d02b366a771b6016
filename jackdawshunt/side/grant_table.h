// Grants of one side incarnation. A grant can be used once; an unknown, used,
// expired or void one makes its start refused. This is what "not run" rests on:
// a delayed or repeated start can never run. Does no I/O.
//
// Example:
//   uint64_t id = grants.Issue({.entry = "entry-1", ...}, now);
//   absl::Status used = grants.Use(id, "entry-1", request, now);
#ifndef JACKDAWSHUNT_SIDE_GRANT_TABLE_H_
#define JACKDAWSHUNT_SIDE_GRANT_TABLE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/status/statusor.h"
#include "jackdawshunt/kernel/clock.h"
#include "jackdawshunt/protocol/messages.h"

namespace jackdawshunt::side {

// Long enough for one round trip between data centres and a busy entry.
inline constexpr kernel::Duration kGrantLifetime =
    std::chrono::milliseconds(500);
// How long the use of a grant is remembered for queries.
inline constexpr kernel::Duration kGrantMemory = std::chrono::minutes(10);

struct IssuedGrant {
  std::string entry;
  std::string workspace;
  protocol::RequestClass request_class = protocol::RequestClass::kShort;
};

// What is known about a grant that a query names.
enum class GrantFate {
  kNeverUsed,  // Void now, whatever arrives later.
  kUsed,       // By the request that the query names.
  kForgotten,  // It may have been used longer ago than kGrantMemory.
};

class GrantTable {
 public:
  // Returns ids from 1, increasing.
  uint64_t Issue(IssuedGrant grant, kernel::TimePoint now);

  // Marks the grant as used by the request and returns it. Error:
  // FailedPrecondition with the reason when the start must be refused.
  absl::StatusOr<IssuedGrant> Use(uint64_t id,
                                  std::string_view entry,
                                  std::string_view request,
                                  kernel::TimePoint now);

  // Removes and returns an outstanding grant; nullopt when it is not
  // outstanding.
  std::optional<IssuedGrant> Void(uint64_t id);
  // Removes and returns the outstanding grants of one entry, of all entries, or
  // those that expired by `now`.
  std::vector<IssuedGrant> VoidEntry(std::string_view entry);
  std::vector<IssuedGrant> VoidAll();
  std::vector<IssuedGrant> VoidExpired(kernel::TimePoint now);

  // Tells the fate of a grant. An outstanding grant must be voided before.
  GrantFate FateOf(uint64_t id, std::string_view request) const;

  size_t outstanding() const { return outstanding_.size(); }

 private:
  struct Outstanding {
    IssuedGrant grant;
    kernel::TimePoint expires;
  };
  struct Used {
    uint64_t id = 0;
    kernel::TimePoint at;
  };

  template <typename Predicate>
  std::vector<IssuedGrant> VoidIf(Predicate predicate);
  void ForgetOldUses(kernel::TimePoint now);

  uint64_t last_id_ = 0;
  std::map<uint64_t, Outstanding> outstanding_;
  std::map<uint64_t, std::string> used_;  // Request by grant.
  std::deque<Used> used_order_;
  uint64_t highest_forgotten_ = 0;
};

}  // namespace jackdawshunt::side

#endif  // JACKDAWSHUNT_SIDE_GRANT_TABLE_H_
