// Replicated counters of the service that each workspace has received over the
// whole fleet. Does no I/O and is not thread-safe.
//
// Each origin, an incarnation of an entry, has one counter per workspace.
// Counters only grow and every copy is a lower bound of its counter, so copies
// merge by maximum. A workspace that becomes backlogged is lifted: its service
// is raised to the lowest service of the other backlogged workspaces, so that
// idle time earns no credit. The lift is the sum of these raises.
//
// In messages, the origin "~NAME" denotes the sum over all incarnations of NAME
// up to and including the message's incarnation. Origins that begin with '#'
// are reserved for exchanges and ignored here. Neither character occurs in an
// instance name.
//
// Example:
//   fairness::Ledger ledger("entry-1", incarnation);
//   ledger.Charge("lodge", 120);
//   const double service = ledger.NormalisedService("lodge");
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
  // `origin` is the instance name of the own entry.
  Ledger(std::string origin, base::Incarnation incarnation);

  // Sets the share that divides later charges of the workspace. Service counted
  // before keeps its value. Workspaces without a share have 1; a share that is
  // not finite or not above 0 is ignored.
  void SetShare(std::string_view workspace, double share);

  // Adds weighted tokens to the own counter. A negative value, a correction, is
  // offset against later charges, because counters never decrease. A non-finite
  // value is ignored.
  void Charge(std::string_view workspace, double weighted_tokens);

  // Returns the workspace's weighted tokens divided by its share, summed over
  // all origins, plus its lift. Never decreases.
  double NormalisedService(std::string_view workspace) const;

  // Sets whether the workspace has requests waiting at this process. Lifts the
  // workspace when it was backlogged nowhere in the fleet before.
  void SetBacklogged(std::string_view workspace, bool backlogged);
  // Returns whether the workspace is backlogged here or at a peer.
  bool IsBackloggedAnywhere(std::string_view workspace) const;

  // Merges a peer's counters and lifts by maximum and replaces what the peer
  // reported as backlogged. `peer` is the sender's instance name.
  void Merge(std::string_view peer, const protocol::Counters& counters);
  // Merges counters and lifts like Merge(), but ignores the list of backlogged
  // workspaces.
  void MergeCounters(const protocol::Counters& counters);
  // Raises the known sum of the service of all other origins to `service`, if
  // that is higher.
  // `service` must not include any incarnation of the own origin.
  void RaiseSumOfOthers(std::string_view workspace, double service);
  // Replaces the workspaces that are backlogged at any peer.
  void SetBackloggedAtPeers(std::vector<std::string> workspaces);
  // Removes what the peer reported as backlogged, after its connection is lost.
  // The next TakeChanges() includes the counters of the peer's latest known
  // incarnation, because the peer may have ended before it sent its last
  // changes to all entries.
  void RemovePeer(std::string_view peer);

  // Returns all counters of all origins and all lifts, for a new peer.
  protocol::Counters AllCounters() const;
  // Returns the own counters and lifts that changed since the last call, and
  // the counters of peers removed since then.
  protocol::Counters TakeChanges();

  const std::string& origin() const { return self_.first; }
  base::Incarnation incarnation() const { return self_.second; }

 private:
  using Registers = std::map<std::string, double, std::less<>>;
  using OriginKey = std::pair<std::string, base::Incarnation>;

  // Sum over all incarnations of one origin up to `through`.
  struct Folded {
    base::Incarnation through;
    Registers rows;
  };

  // Returns the lowest normalised service of the backlogged workspaces;
  // std::nullopt when none is backlogged.
  std::optional<double> MinimumBackloggedService() const;
  // Returns the highest MinimumBackloggedService() so far. The minimum only
  // grows between two changes of the backlogged set, so virtual_time_ is
  // updated only before such a change.
  double VirtualTime() const;
  // Raises the lift until the workspace's normalised service is `target`.
  void RaiseLift(const std::string& workspace, double target);
  void AddToTotals(const std::string& origin,
                   const std::string& workspace,
                   double growth);
  // Returns the counters that `entry` merges into; null when it is to be
  // ignored.
  Registers* FindCounters(const protocol::CounterEntry& entry);
  // Folds the origin's incarnations up to `through` into one row.
  void FoldThrough(const std::string& origin, base::Incarnation through);
  // Folds each incarnation whose successor started kFoldAgeUs before the newest
  // known incarnation.
  void FoldEnded();

  OriginKey self_;
  // Normalised service per origin and workspace, ended incarnations included.
  std::map<OriginKey, Registers> counters_;
  std::map<std::string, Folded> folded_;  // By origin.
  Registers totals_;                      // Over all rows.
  Registers own_totals_;                  // Over the rows of the own origin.
  Registers others_totals_;               // See RaiseSumOfOthers().
  std::map<std::string, double, std::less<>> shares_;
  std::map<std::string, double, std::less<>> lifts_;
  // Negative corrections not yet offset by charges, as positive values.
  std::map<std::string, double, std::less<>> deferred_corrections_;
  std::set<std::string, std::less<>> backlogged_here_;
  std::map<std::string, std::set<std::string, std::less<>>, std::less<>>
      backlogged_at_peers_;
  std::set<std::string, std::less<>> changed_;
  std::set<std::string, std::less<>> changed_lifts_;
  // Latest incarnations of removed peers, for the next TakeChanges().
  std::set<OriginKey> origins_to_forward_;
  double virtual_time_ = 0;
};

}  // namespace jackdawshunt::fairness

#endif  // JACKDAWSHUNT_FAIRNESS_LEDGER_H_
