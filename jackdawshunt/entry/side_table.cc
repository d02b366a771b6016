#include "jackdawshunt/entry/side_table.h"

#include <algorithm>

namespace jackdawshunt::entry {

void SideTable::SetLinkUp(const protocol::PeerInfo& peer) {
  Side& side = sides_[peer.instance];
  side.peer = peer;
  side.is_connected = true;
  side.heartbeat = {};
  side.sent_since_heartbeat = 0;
  side.avoid_until = {};
}

void SideTable::SetLinkDown(std::string_view side) {
  if (const auto found = sides_.find(side); found != sides_.end()) {
    found->second.is_connected = false;
  }
}

void SideTable::Remove(std::string_view side) {
  if (const auto found = sides_.find(side); found != sides_.end()) {
    sides_.erase(found);
  }
}

void SideTable::SetLeaving(const std::string& side, bool is_leaving) {
  sides_[side].is_leaving = is_leaving;
}

bool SideTable::SetHeartbeat(std::string_view side,
                             const protocol::Heartbeat& heartbeat) {
  const auto found = sides_.find(side);
  if (found == sides_.end()) {
    return false;
  }
  const bool changed = found->second.heartbeat.draining != heartbeat.draining;
  found->second.heartbeat = heartbeat;
  found->second.sent_since_heartbeat = 0;
  return changed;
}

void SideTable::CountPushedStart(std::string_view side) {
  if (const auto found = sides_.find(side); found != sides_.end()) {
    ++found->second.sent_since_heartbeat;
  }
}

void SideTable::AvoidUntil(std::string_view side, kernel::TimePoint until) {
  if (const auto found = sides_.find(side); found != sides_.end()) {
    found->second.avoid_until = until;
  }
}

const protocol::PeerInfo* SideTable::FindConnected(
    std::string_view side) const {
  const auto found = sides_.find(side);
  return found == sides_.end() || !found->second.is_connected
             ? nullptr
             : &found->second.peer;
}

bool SideTable::CanServe(const Side& side,
                         std::string_view model,
                         const configuration::Snapshot& snapshot) {
  if (!side.is_connected || side.is_leaving || side.heartbeat.draining) {
    return false;
  }
  const auto upstream = snapshot.upstreams.find(side.peer.upstream);
  if (upstream == snapshot.upstreams.end() ||
      upstream->second.state != records::UpstreamState::kActive) {
    return false;
  }
  // Upstream records list models without versions; an upstream serves all
  // versions of a model.
  const std::string_view name = model.substr(0, model.find('@'));
  const std::vector<std::string>& models = upstream->second.models;
  return std::find(models.begin(), models.end(), name) != models.end();
}

std::vector<placement::Candidate> SideTable::CandidatesFor(
    std::string_view model,
    const configuration::Snapshot& snapshot,
    kernel::TimePoint now) const {
  std::vector<placement::Candidate> preferred;
  std::vector<placement::Candidate> avoided;
  for (const auto& [name, side] : sides_) {
    if (CanServe(side, model, snapshot)) {
      (side.avoid_until > now ? avoided : preferred)
          .push_back({.side = name,
                      .data_centre = side.peer.data_centre,
                      .free_slots = side.heartbeat.free_slots,
                      .slots = side.heartbeat.slots,
                      .has_bids = side.heartbeat.has_bids,
                      .sent_since_heartbeat = side.sent_since_heartbeat});
    }
  }
  return preferred.empty() ? avoided : preferred;
}

}  // namespace jackdawshunt::entry
