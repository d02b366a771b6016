// Bids that entries hold at a side, and the choice of the bid that gets a free
// slot: the lowest normalised service. Does no I/O.
//
// Example:
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

struct Choice {
  std::string entry;
  std::string model;
  std::string workspace;
  protocol::RequestClass request_class = protocol::RequestClass::kShort;
  double service = 0;      // For the log line.
  int32_t contenders = 0;  // Bid items weighed, for the log line.
};

class BidBook {
 public:
  // Replaces the entry's bid for bid.model. The entry charges the estimate of a
  // granted request itself, so a newer bid of it also replaces the estimates
  // that were added for its earlier grants.
  void Replace(std::string_view entry, const protocol::Bid& bid);
  // Forgets all that the entry reported, after its connection is lost.
  void RemoveEntry(std::string_view entry);
  bool empty() const;  // No request waits in any bid.
  // True when Choose(short_only) would return a request. Slots reserved for
  // short requests that stay free while only long ones wait are not idle for
  // want of bids.
  bool HasWaiting(bool short_only) const;

  // Removes and returns one waiting request of the bid item with the lowest
  // service; ties go to the workspace that holds fewer slots, then to the entry
  // that was granted to least recently. With `short_only`, long requests are
  // passed over. Adds the estimate to the workspace's service at this side, so
  // that a burst of free slots does not all go to one workspace.
  std::optional<Choice> Choose(bool short_only);

  // Slots held per workspace, for ties.
  void AddHeldSlot(std::string_view workspace);
  void RemoveHeldSlot(std::string_view workspace);

 private:
  // What is known of one workspace. Rows stay, so that items can point to them.
  struct Workspace {
    // Highest value reported by the present entries: counters only grow, so
    // the highest report is the newest.
    double reported = 0;
    double granted = 0;  // Sum of the estimates of `granted` of the entries.
    int32_t held = 0;    // Slots.
  };

  struct Item {
    protocol::BidItem bid;
    Workspace* workspace = nullptr;
  };

  struct Entry {
    std::map<std::string, std::vector<Item>> bids;  // By model.
    // Latest normalised service of each workspace that the entry has reported,
    // kept after the bid is withdrawn, so that an entry with older counters
    // does not hide it.
    std::map<Workspace*, double> reported;
    // Estimates of the grants made since the last bid.
    std::map<Workspace*, double> granted;
    uint64_t last_granted = 0;
  };

  Workspace* Find(std::string_view workspace);
  void SetReported(Entry& entry, Workspace* workspace, double service);
  void DropGranted(Entry& entry);
  void RecomputeReported(Workspace* workspace);

  std::map<std::string, Entry, std::less<>> entries_;
  std::map<std::string, Workspace, std::less<>> workspaces_;
  uint64_t sequence_ = 0;
};

}  // namespace jackdawshunt::fairness

#endif  // JACKDAWSHUNT_FAIRNESS_BID_BOOK_H_
