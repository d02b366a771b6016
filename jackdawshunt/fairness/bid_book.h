// Bids that a side has received from entries, and the choice of the request
// that gets a free slot: one of the workspace with the lowest normalised
// service. Does no I/O and is not thread-safe.
//
// Example:
//   fairness::BidBook book;
//   book.Replace("entry-1", bid);
//   std::optional<fairness::Choice> choice = book.Choose(/*short_only=*/false);
#ifndef JACKDAWSHUNT_FAIRNESS_BID_BOOK_H_
#define JACKDAWSHUNT_FAIRNESS_BID_BOOK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jackdawshunt/protocol/messages.h"

namespace jackdawshunt::fairness {

// Request to which a slot is granted.
struct Choice {
  std::string entry;
  std::string model;
  std::string workspace;
  protocol::RequestClass request_class = protocol::RequestClass::kShort;
  double service = 0;  // Normalised, at the time of the choice; for the log.
  int32_t contenders = 0;  // Bid items compared; for the log.
};

class BidBook {
 public:
  // Replaces the entry's bid for bid.model. Also removes the estimates that
  // were added here for the entry's earlier grants, because the service in its
  // bid already includes them.
  void Replace(std::string_view entry, const protocol::Bid& bid);
  // Removes all that the entry reported, after its connection is lost.
  void RemoveEntry(std::string_view entry);
  // Returns whether no request waits in any bid.
  bool empty() const;
  // Returns whether Choose(short_only) would return a request. Use true for
  // slots that are reserved for short requests.
  bool HasWaiting(bool short_only) const;

  // Removes and returns one waiting request of the bid item with the lowest
  // service; std::nullopt when none is eligible. Ties go to the workspace that
  // holds fewer slots, then to the entry with the least recent grant. With
  // `short_only`, long requests are not eligible. Adds the request's estimate
  // to the workspace's service at this side, so that slots that become free
  // together do not all go to one workspace.
  std::optional<Choice> Choose(bool short_only);

  // Count the slots that the workspace holds, which decide ties.
  void AddHeldSlot(std::string_view workspace);
  void RemoveHeldSlot(std::string_view workspace);

 private:
  // State of one workspace. Never removed, so that items can point to it.
  struct Workspace {
    // Highest service reported by the connected entries. Counters only grow, so
    // the highest report is the newest.
    double reported_service = 0;
    // Sum of the entries' granted_estimates.
    double granted_estimate = 0;
    int32_t held_slots = 0;
  };

  struct Item {
    protocol::BidItem bid;
    Workspace* workspace = nullptr;
  };

  struct Entry {
    std::map<std::string, std::vector<Item>> bids;  // By model.
    // Latest normalised service that the entry reported for each workspace.
    // Kept after the bid is withdrawn, so that the older counters of another
    // entry do not replace it.
    std::map<Workspace*, double> reported_services;
    // Sums of the estimates of the grants since the entry's last bid.
    std::map<Workspace*, double> granted_estimates;
    uint64_t last_grant_number = 0;  // 0 means none.
  };

  Workspace* FindOrAdd(std::string_view workspace);
  void SetReportedService(Entry& entry, Workspace* workspace, double service);
  void ClearGrantedEstimates(Entry& entry);
  void RecomputeReportedService(Workspace* workspace);

  std::map<std::string, Entry, std::less<>> entries_;
  std::map<std::string, Workspace, std::less<>> workspaces_;
  uint64_t last_grant_number_ = 0;
};

}  // namespace jackdawshunt::fairness

#endif  // JACKDAWSHUNT_FAIRNESS_BID_BOOK_H_
