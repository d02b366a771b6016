// How entries share their service counters. Exchanges are plug-ins.
//
//   none  no exchange (baseline)
//   mesh  every entry sends its changed counters to every other entry
//   tree  heads of groups sum the counters of their members and exchange the
//         sums; see docs/decisions/counter-exchange.md
//
// Example:
//   auto exchange = kernel::Registry<fairness::Exchange>::Create("mesh");
//   for (const auto& send : exchange->Tick(ledger, peers)) { ... }
#ifndef JACKDAWSHUNT_FAIRNESS_EXCHANGE_H_
#define JACKDAWSHUNT_FAIRNESS_EXCHANGE_H_

#include <string>
#include <string_view>
#include <vector>

#include "jackdawshunt/fairness/ledger.h"
#include "jackdawshunt/protocol/messages.h"

namespace jackdawshunt::fairness {

struct OutgoingCounters {
  std::string entry;  // Instance name of the receiving entry.
  protocol::Counters counters;
};

class Exchange {
 public:
  virtual ~Exchange() = default;

  // Called every exchange period with the connected entries.
  virtual std::vector<OutgoingCounters> Tick(
      Ledger& ledger,
      const std::vector<std::string>& peers) = 0;
  // Called for each new connection to an entry.
  virtual std::vector<OutgoingCounters> OnConnected(Ledger& ledger,
                                                    std::string_view peer) = 0;
  // Called for counters received from an entry.
  virtual void OnReceived(Ledger& ledger,
                          std::string_view peer,
                          const protocol::Counters& counters) = 0;
};

}  // namespace jackdawshunt::fairness

#endif  // JACKDAWSHUNT_FAIRNESS_EXCHANGE_H_
