// Bids for the waiting requests: which sides must be told what. Does no I/O.
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
};

class Bidder {
 public:
  // The backlog of the model changed.
  void MarkChanged(std::string_view model);
  // Services, sides or records changed, which may change every bid.
  void MarkAll(const fairness::RequestQueue& queue);
  // Prompt prefix of the newest request, for the choice among many sides.
  void SetAffinity(const std::string& model, std::string affinity);
  // The side used up part of the bid, so the next one must be sent even if it
  // equals the last.
  void ForgetSent(std::string_view side, std::string_view model);
  // The link to the side is down, and with it all bids there.
  void ForgetSide(std::string_view side);

  // Returns the bids for all changed models, or for one of them.
  std::vector<LinkCommand> Flush(const BidInputs& inputs);
  std::vector<LinkCommand> FlushModel(const std::string& model,
                                      const BidInputs& inputs);

 private:
  using Items = std::vector<protocol::BidItem>;

  static Items ItemsFor(std::string_view model, const BidInputs& inputs);

  std::set<std::string, std::less<>> changed_;
  std::map<std::string, std::string, std::less<>> affinity_;
  // Last bid per model and side.
  std::map<std::string, std::map<std::string, Items, std::less<>>, std::less<>>
      sent_;
};

}  // namespace jackdawshunt::entry

#endif  // JACKDAWSHUNT_ENTRY_BIDDER_H_
