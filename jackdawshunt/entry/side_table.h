// Sides as this entry sees them: links, heartbeats, and which of them may get
// new work for a model. Does no I/O.
//
// Example:
//   sides.SetUp(peer);
//   std::vector<placement::Candidate> candidates =
//       sides.CandidatesFor("m@2", store.snapshot(), now);
#ifndef JACKDAWSHUNT_ENTRY_SIDE_TABLE_H_
#define JACKDAWSHUNT_ENTRY_SIDE_TABLE_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "jackdawshunt/configuration/store.h"
#include "jackdawshunt/kernel/clock.h"
#include "jackdawshunt/placement/strategy.h"
#include "jackdawshunt/protocol/messages.h"

namespace jackdawshunt::entry {

// A side whose upstream failed gets no new work for this time when another side
// serves the model, so that a broken upstream does not attract requests.
inline constexpr kernel::Duration kAvoidTime = std::chrono::seconds(1);

class SideTable {
 public:
  void SetUp(const protocol::PeerInfo& peer);
  void SetDown(std::string_view side);
  void Remove(std::string_view side);
  void SetLeaving(const std::string& side, bool is_leaving);
  // Returns true when the side began or ended draining.
  bool SetHeartbeat(std::string_view side,
                    const protocol::Heartbeat& heartbeat);
  // A start was pushed to the side.
  void CountStart(std::string_view side);
  void AvoidUntil(std::string_view side, kernel::TimePoint until);

  // Null when the link is down.
  const protocol::PeerInfo* FindUp(std::string_view side) const;
  std::vector<placement::Candidate> CandidatesFor(
      std::string_view model,
      const configuration::Snapshot& snapshot,
      kernel::TimePoint now) const;

 private:
  struct Side {
    protocol::PeerInfo peer;
    bool is_up = false;
    bool is_leaving = false;
    protocol::Heartbeat heartbeat;
    int32_t sent_since_heartbeat = 0;
    kernel::TimePoint avoid_until;
  };

  static bool Serves(const Side& side,
                     std::string_view model,
                     const configuration::Snapshot& snapshot);

  std::map<std::string, Side, std::less<>> sides_;
};

}  // namespace jackdawshunt::entry

#endif  // JACKDAWSHUNT_ENTRY_SIDE_TABLE_H_
