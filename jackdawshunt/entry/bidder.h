// Computes the bids for waiting requests and the sides that receive them. Does
// no I/O.
//
// A new backlog is announced first to a few sides with free slots, and to all
// others if it is not served within a refresh period. A bid lists only the
// workspaces with the lowest service, and a side that already has a bid
// receives updates at a limited rate, so that bids stay within the control
// budget. On a grant the entry selects the request anew, so the order among its
// own requests does not depend on the age of the bid.
//
// Example:
//   bidder.MarkChanged("m");
//   for (const entry::LinkCommand& bid : bidder.Flush(inputs)) { ... }
#ifndef JACKDAWSHUNT_ENTRY_BIDDER_H_
#define JACKDAWSHUNT_ENTRY_BIDDER_H_

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "jackdawshunt/configuration/store.h"
#include "jackdawshunt/entry/charging.h"
#include "jackdawshunt/entry/messages.h"
#include "jackdawshunt/entry/side_table.h"
#include "jackdawshunt/fairness/ledger.h"
#include "jackdawshunt/fairness/request_queue.h"
#include "jackdawshunt/placement/strategy.h"

namespace jackdawshunt::entry {

// State from which bids are computed. References must outlive the call.
struct BidInputs {
  const fairness::RequestQueue& queue;
  const fairness::Ledger& ledger;
  const Charging& charging;
  const SideTable& sides;
  const configuration::Snapshot& snapshot;
  placement::Strategy& strategy;
  kernel::TimePoint now;

  // Returns the share of the workspace; 1 when its record is unknown.
  double ShareOf(std::string_view workspace) const;
  // Returns the value by which workspaces are ordered, lowest first: the
  // normalised service plus the expected remaining cost of running requests
  // divided by the share.
  double ExpectedService(std::string_view workspace) const;
};

// Not thread-safe.
class Bidder {
 public:
  // Marks the bids of the model as changed.
  void MarkChanged(std::string_view model);
  // Marks the bids of all waiting models as changed, after a change of service
  // counters, sides or records.
  void MarkAll(const fairness::RequestQueue& queue);
  // Sets the prompt prefix of the newest request, from which the preferred
  // sides are chosen.
  void SetAffinityKey(const std::string& model, std::string affinity);
  // Subtracts one request from the last bid sent to the side.
  void CountGrant(std::string_view side, const protocol::Grant& grant);
  // Removes all bids sent to the side. Call when its link goes up or down.
  void RemoveSide(std::string_view side);

  // Returns the bids for all changed models, or for one of them.
  std::vector<LinkCommand> Flush(const BidInputs& inputs);
  std::vector<LinkCommand> FlushModel(const std::string& model,
                                      const BidInputs& inputs);

 private:
  using Items = std::vector<protocol::BidItem>;
  struct SentBid {
    Items items;
    kernel::TimePoint sent_at;
  };

  static Items ItemsFor(std::string_view model, const BidInputs& inputs);
  // Returns the time between two refreshes of the bid of one side.
  kernel::Duration RefreshPeriod(const BidInputs& inputs) const;
  // Returns those of `targets` that must receive the items at once.
  std::set<std::string> UrgentTargets(
      const std::vector<placement::Candidate>& candidates,
      const std::vector<std::string>& targets,
      const std::map<std::string, SentBid, std::less<>>& sent,
      const Items& items) const;
  void WithdrawBids(const std::string& model,
                    const std::vector<std::string>& targets,
                    const BidInputs& inputs,
                    std::vector<LinkCommand>& commands);

  std::set<std::string, std::less<>> changed_;
  std::map<std::string, std::string, std::less<>> affinity_keys_;
  // Time since which the model has had waiting requests.
  std::map<std::string, kernel::TimePoint, std::less<>> waiting_since_;
  // Last bid sent, by model and side.
  std::
      map<std::string, std::map<std::string, SentBid, std::less<>>, std::less<>>
          sent_bids_;
};

}  // namespace jackdawshunt::entry

#endif  // JACKDAWSHUNT_ENTRY_BIDDER_H_
