// Records the grants of one side incarnation. A grant can be used once; a start
// with an unknown, used, expired or void grant is refused. Therefore a delayed
// or duplicate start is never executed, and the side can report a request as
// not executed. Does no I/O.
//
// Example:
//   side::GrantTable grants;
//   uint64_t id = grants.Issue({.entry = "entry-1"}, now);
//   absl::StatusOr<side::IssuedGrant> grant =
//       grants.Use(id, "entry-1", request, now);
//
// Not thread-safe.
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

// Time for which a grant can be used: long enough for one round trip between
// data centres and a busy entry.
inline constexpr kernel::Duration kGrantLifetime =
    std::chrono::milliseconds(500);
// Time for which the use of a grant stays recorded for queries.
inline constexpr kernel::Duration kGrantUsageRetention =
    std::chrono::minutes(10);

struct IssuedGrant {
  std::string entry;  // Instance name of the entry.
  std::string workspace;
  protocol::RequestClass request_class = protocol::RequestClass::kShort;
};

// Result of UsageOf(): whether a request has used a grant.
enum class GrantUsage {
  kNeverUsed,  // Not used by this request, and no longer usable by it.
  kUsed,       // Used by this request.
  kUnknown,    // May have been used longer ago than kGrantUsageRetention.
};

class GrantTable {
 public:
  // Records a grant that expires kGrantLifetime after `now`. Returns its id;
  // ids start at 1 and increase.
  uint64_t Issue(IssuedGrant grant, kernel::TimePoint now);

  // Marks the grant as used by the request and returns it. Returns
  // FailedPrecondition with the reason when the start must be refused.
  absl::StatusOr<IssuedGrant> Use(uint64_t id,
                                  std::string_view entry,
                                  std::string_view request,
                                  kernel::TimePoint now);

  // Removes and returns an outstanding grant. Returns nullopt when the grant is
  // not outstanding.
  std::optional<IssuedGrant> Void(uint64_t id);
  // Removes and returns the outstanding grants of one entry.
  std::vector<IssuedGrant> VoidEntry(std::string_view entry);
  // Removes and returns all outstanding grants.
  std::vector<IssuedGrant> VoidAll();
  // Removes and returns the outstanding grants that have expired by `now`.
  std::vector<IssuedGrant> VoidExpired(kernel::TimePoint now);

  // Returns whether `request` used the grant. An outstanding grant must be
  // voided first.
  GrantUsage UsageOf(uint64_t id, std::string_view request) const;

  // Returns the number of outstanding grants.
  size_t outstanding() const { return outstanding_.size(); }

 private:
  struct Outstanding {
    IssuedGrant grant;
    kernel::TimePoint expires_at;
  };
  struct Used {
    uint64_t id = 0;
    kernel::TimePoint used_at;
  };

  template <typename Predicate>
  std::vector<IssuedGrant> VoidIf(Predicate predicate);
  void DiscardOldUses(kernel::TimePoint now);

  uint64_t last_id_ = 0;
  std::map<uint64_t, Outstanding> outstanding_;
  std::map<uint64_t, std::string> used_;  // Request by id of its grant.
  std::deque<Used> used_order_;           // Oldest use first.
  uint64_t highest_discarded_ = 0;
};

}  // namespace jackdawshunt::side

#endif  // JACKDAWSHUNT_SIDE_GRANT_TABLE_H_
