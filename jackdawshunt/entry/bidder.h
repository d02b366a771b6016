// Bids for the waiting requests: which sides must be told what. Does no I/O.
//
// A new backlog is announced to a few sides with free slots first and to all
// others when it is not served within a refresh period. A bid names only the
// workspaces with the lowest service, and a side that holds one is told of
// changes at a paced rate, so that bids stay within the control budget. The
// entry decides anew which request a grant goes to, so the order among its own
// requests does not depend on how old the bid is.
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

// What the bids are computed from.
struct BidInputs {
  const fairness::RequestQueue& queue;
  const fairness::Ledger& ledger;
  const Charging& charging;
  const SideTable& sides;
  const configuration::Snapshot& snapshot;
  placement::Strategy& strategy;
  kernel::TimePoint now;

  // Share of the workspace; 1 when its record is unknown.
  double ShareOf(std::string_view workspace) const;
  // What the order of service goes by: the normalised service with what running
  // requests are still expected to cost.
  double OrderOf(std::string_view workspace) const;
};

class Bidder {
 public:
  // The backlog of the model changed.
  void MarkChanged(std::string_view model);
  // Services, sides or records changed, which may change every bid.
  void MarkAll(const fairness::RequestQueue& queue);
  // Prompt prefix of the newest request, for the choice among many sides.
  void SetAffinity(const std::string& model, std::string affinity);
  // The side used up one request of its bid.
  void Consume(std::string_view side, const protocol::Grant& grant);
  // The link to the side is down, and with it all bids there.
  void ForgetSide(std::string_view side);

  // Returns the bids for all changed models, or for one of them.
  std::vector<LinkCommand> Flush(const BidInputs& inputs);
  std::vector<LinkCommand> FlushModel(const std::string& model,
                                      const BidInputs& inputs);

 private:
  using Items = std::vector<protocol::BidItem>;
  struct Sent {
    Items items;
    kernel::TimePoint at;
  };

  static Items ItemsFor(std::string_view model, const BidInputs& inputs);
  // Time between refreshes of one side's bid.
  kernel::Duration RefreshPeriod(const BidInputs& inputs) const;
  // Sides that must hear of the items at once, out of `targets`.
  std::set<std::string> UrgentTargets(
      const std::vector<placement::Candidate>& candidates,
      const std::vector<std::string>& targets,
      const std::map<std::string, Sent, std::less<>>& sent,
      const Items& items) const;
  void Withdraw(const std::string& model,
                const std::vector<std::string>& targets,
                const BidInputs& inputs,
                std::vector<LinkCommand>& commands);

  std::set<std::string, std::less<>> changed_;
  std::map<std::string, std::string, std::less<>> affinity_;
  // Since when the model has had waiting requests.
  std::map<std::string, kernel::TimePoint, std::less<>> waiting_since_;
  // Last bid per model and side.
  std::map<std::string, std::map<std::string, Sent, std::less<>>, std::less<>>
      sent_;
};

}  // namespace jackdawshunt::entry

#endif  // JACKDAWSHUNT_ENTRY_BIDDER_H_
