// Service received by each workspace over the fleet, as far as known here.
// Does no I/O.
//
// Every figure merged here is a lower bound of a service that only grows, so
// the maximum of two of them is one as well. In messages the origin "~NAME"
// stands for the ended incarnations of NAME up to the given one, folded into
// one row; origins that begin with '#' are reserved for exchanges and ignored.
// Neither character occurs in an instance name.
//
// Example:
//   fairness::Ledger ledger("entry-1", incarnation);
//   ledger.Charge("lodge", 120);
//   double order = ledger.NormalisedService("lodge");
#ifndef JACKDAWSHUNT_FAIRNESS_LEDGER_H_
#define JACKDAWSHUNT_FAIRNESS_LEDGER_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "jackdawshunt/base/id.h"
#include "jackdawshunt/protocol/messages.h"

namespace jackdawshunt::fairness {

class Ledger {
 public:
  Ledger(std::string origin, base::Incarnation incarnation);

  // Shares divide the service at the time of the charge, so that a change of a
  // share neither grants nor costs a workspace any service received before. An
  // unknown workspace has share 1; a share that is not above 0 is ignored.
  void SetShare(std::string_view workspace, double share);

  // Adds weighted tokens to the own counter. A correction may be negative; the
  // own counter then falls behind the copies, so corrections are kept back
  // until later charges cover them.
  void Charge(std::string_view workspace, double weighted_tokens);

  // Sum over all origins plus the lift. Never decreases.
  double NormalisedService(std::string_view workspace) const;

  // Tells whether the workspace has waiting requests at this process. A
  // workspace that becomes backlogged in the fleet is lifted.
  void SetBacklogged(std::string_view workspace, bool backlogged);
  bool IsBackloggedAnywhere(std::string_view workspace) const;

  // Merges a peer's counters by maximum. `peer` is the sender's instance.
  void Merge(std::string_view peer, const protocol::Counters& counters);
  // As Merge(), but passes over the list of backlogged workspaces.
  void MergeCounters(const protocol::Counters& counters);
  // Raises what all other origins together are known to have served at least.
  // `service` must not include any incarnation of the own origin.
  void RaiseOthers(std::string_view workspace, double service);
  // Replaces what all peers together reported as backlogged.
  void SetBackloggedElsewhere(std::vector<std::string> workspaces);
  // Forgets what the peer reported as backlogged, after its connection is lost.
  // The next TakeChanges() passes the peer's own counters on: it may have ended
  // before it sent its last changes to all.
  void RemovePeer(std::string_view peer);

  // All counters of all origins; for a new peer.
  protocol::Counters Full() const;
  // Own counters and lifts that changed since the last call of TakeChanges(),
  // and counters of forgotten peers.
  protocol::Counters TakeChanges();

  const std::string& origin() const { return self_.first; }
  base::Incarnation incarnation() const { return self_.second; }

 private:
  using Registers = std::map<std::string, double, std::less<>>;
  using OriginKey = std::pair<std::string, base::Incarnation>;

  // The sum over all incarnations up to `through`.
  struct Folded {
    base::Incarnation through;
    Registers rows;
  };

  // Lowest normalised service of the backlogged workspaces, if there are any.
  std::optional<double> MinimumBackloggedService() const;
  // Highest such minimum seen so far. The minimum grows between two changes of
  // the backlogged set, so it is stored only before such a change.
  double VirtualTime() const;
  void RaiseLift(const std::string& workspace, double target);
  void AddToTotals(const std::string& origin,
                   const std::string& workspace,
                   double growth);
  // The registers that hold the counters of the incarnation, or null when the
  // entry is not to be merged.
  Registers* FindRow(const protocol::CounterEntry& entry);
  void FoldThrough(const std::string& origin, base::Incarnation through);
  // Folds the incarnations that ended long before the newest one started.
  void FoldEnded();

  OriginKey self_;
  // Normalised service per origin and workspace. The service of ended
  // incarnations was received and still counts.
  std::map<OriginKey, Registers> counters_;
  std::map<std::string, Folded> folded_;  // By origin.
  Registers totals_;                      // Over all rows.
  Registers own_totals_;                  // Over the rows of the own origin.
  Registers others_;                      // See RaiseOthers().
  std::map<std::string, double, std::less<>> shares_;
  std::map<std::string, double, std::less<>> lifts_;
  // Negative corrections not yet covered by charges.
  std::map<std::string, double, std::less<>> held_back_;
  std::set<std::string, std::less<>> backlogged_here_;
  std::map<std::string, std::set<std::string, std::less<>>, std::less<>>
      backlogged_at_peers_;
  std::set<std::string, std::less<>> changed_;
  std::set<std::string, std::less<>> changed_lifts_;
  std::set<OriginKey> passed_on_;  // Latest incarnations of forgotten peers.
  double virtual_time_ = 0;
};

}  // namespace jackdawshunt::fairness

#endif  // JACKDAWSHUNT_FAIRNESS_LEDGER_H_
