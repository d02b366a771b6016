// Tracks the sides of this entry: their links, their heartbeats and which of
// them may receive new requests for a model. Does no I/O.
//
// Example:
//   sides.SetLinkUp(peer);
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

// Time during which a side whose upstream failed gets no new requests while
// another side serves the model, so that a failing upstream does not attract
// requests.
inline constexpr kernel::Duration kAvoidTime = std::chrono::seconds(1);

// Sides by instance name. Not thread-safe.
class SideTable {
 public:
  // Adds or updates the side and resets its heartbeat.
  void SetLinkUp(const protocol::PeerInfo& peer);
  void SetLinkDown(std::string_view side);
  void Remove(std::string_view side);
  void SetLeaving(const std::string& side, bool is_leaving);
  // Records a heartbeat. Returns true when the side began or ended draining.
  bool SetHeartbeat(std::string_view side,
                    const protocol::Heartbeat& heartbeat);
  // Counts a start that was pushed to the side, until its next heartbeat.
  void CountPushedStart(std::string_view side);
  // Prefers other sides for new requests until `until`.
  void AvoidUntil(std::string_view side, kernel::TimePoint until);

  // Returns the side, or null when its link is down.
  const protocol::PeerInfo* FindConnected(std::string_view side) const;
  // Returns the sides that may receive requests for the model; avoided sides
  // only when there are no others.
  std::vector<placement::Candidate> CandidatesFor(
      std::string_view model,
      const configuration::Snapshot& snapshot,
      kernel::TimePoint now) const;

 private:
  struct Side {
    protocol::PeerInfo peer;
    bool is_connected = false;
    bool is_leaving = false;
    protocol::Heartbeat heartbeat;
    int32_t sent_since_heartbeat = 0;
    kernel::TimePoint avoid_until;
  };

  static bool CanServe(const Side& side,
                       std::string_view model,
                       const configuration::Snapshot& snapshot);

  std::map<std::string, Side, std::less<>> sides_;
};

}  // namespace jackdawshunt::entry

#endif  // JACKDAWSHUNT_ENTRY_SIDE_TABLE_H_
