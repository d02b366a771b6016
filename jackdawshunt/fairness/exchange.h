// Policies for the exchange of service counters between entries, registered by
// name:
//
//   none  no exchange (baseline)
//   mesh  every entry sends its changed counters to every other entry
//   tree  heads of groups sum the counters of their members and exchange the
//         sums; see docs/decisions/counter-exchange.md
//
// Example:
//   auto exchange = kernel::Registry<fairness::Exchange>::Create("mesh");
//   for (const fairness::OutgoingCounters& message :
//        exchange->Tick(ledger, peers)) {
//     Send(message.entry, message.counters);
//   }
#ifndef JACKDAWSHUNT_FAIRNESS_EXCHANGE_H_
#define JACKDAWSHUNT_FAIRNESS_EXCHANGE_H_

#include <string>
#include <string_view>
#include <vector>

#include "jackdawshunt/fairness/ledger.h"
#include "jackdawshunt/protocol/messages.h"

namespace jackdawshunt::fairness {

// Message to be sent to another entry.
struct OutgoingCounters {
  std::string entry;  // Instance name of the receiving entry.
  protocol::Counters counters;
};

// Decides which counters go to which entry. Not thread-safe.
class Exchange {
 public:
  virtual ~Exchange() = default;

  // Returns the messages to send. Called every exchange period with the names
  // of the connected entries.
  virtual std::vector<OutgoingCounters> Tick(
      Ledger& ledger,
      const std::vector<std::string>& peers) = 0;
  // Returns the messages to send over a new connection to an entry.
  virtual std::vector<OutgoingCounters> OnConnected(Ledger& ledger,
                                                    std::string_view peer) = 0;
  // Merges counters received from an entry into the ledger.
  virtual void OnReceived(Ledger& ledger,
                          std::string_view peer,
                          const protocol::Counters& counters) = 0;
};

}  // namespace jackdawshunt::fairness

#endif  // JACKDAWSHUNT_FAIRNESS_EXCHANGE_H_
