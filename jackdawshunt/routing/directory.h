// Index of the upstreams in the platform's list, with a grace period after the
// list could not be read.
//
// Example:
//   routing::Directory directory(kReturnGrace);
//   directory.Replace(upstreams, now);
//   directory.Remove("i-7f3a91c2", now);
//   for (const routing::Upstream* upstream : directory.Ready("ledger", now)) {}
//
// While the list cannot be read, entries of live upstreams can expire. After
// such an outage an entry that disappeared stays usable for a grace period, in
// which a live upstream registers itself again.
//
// A store that was restored from an older copy shows entries as they were: an
// upstream that is gone, or one that drains as ready. What was known of these
// before stays in force until the upstream writes its entry again.
//
// An upstream that ended without notice stays listed for a while, also after
// another start listens at its address. Only the latest start at an address is
// ready, and one whose address answered for another start is not. An entry of a
// service that is not configured hides no upstream of another service: no
// request is sent for it, so no answer could show that it is not there.
//
// Operators evacuate data centres: nothing is sent to the upstreams there until
// the evacuation ends, although they go on running.
//
// Not thread-safe.
#ifndef JACKDAWSHUNT_ROUTING_DIRECTORY_H_
#define JACKDAWSHUNT_ROUTING_DIRECTORY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "jackdawshunt/kernel/clock.h"
#include "jackdawshunt/routing/upstream.h"

namespace jackdawshunt::routing {

class Directory {
 public:
  // How an entry changed. kExpired: it is no longer listed, and stays usable
  // for the grace period. kListedAgain: it was listed within that time.
  enum class Change {
    kAdded,
    kUpdated,
    kRestarted,
    kDraining,
    kExpired,
    kListedAgain,
    kRemoved
  };
  // What MarkLeaving() learned.
  enum class Leaving {
    kNew,
    kKnown,
    kOtherStart,  // A start that began after the request is listed.
  };
  using Observer = std::function<void(const Upstream&, Change)>;

  explicit Directory(kernel::Duration return_grace);

  void SetObserver(Observer observer);

  // After this time the store has removed the entry of an upstream that no
  // longer writes it.
  static constexpr kernel::Duration kMaxStaleTime = std::chrono::seconds(5);

  // Replaces all entries by a list that was read as a whole. Fills in the
  // hashes of ids. `is_restored` tells that it is the first list after the
  // store was restored from an older copy: entries that it lacks stay for the
  // grace period, and entries that were removed before are added only after
  // kMaxStaleTime, if they are not removed again.
  void Replace(const std::vector<Upstream>& upstreams,
               kernel::TimePoint now,
               bool is_restored = false);
  // Adds or updates one entry that the upstream has written.
  void Put(const Upstream& upstream, kernel::TimePoint now);
  // Removes an entry. During the grace period an entry that is not draining is
  // only marked as expired, and removed at the end of that period unless it is
  // put again; further outages do not extend its use.
  void Remove(std::string_view id, kernel::TimePoint now);
  // Removes the entries whose grace period has ended. Ready() and Running() do
  // so first, Find() does not.
  void DropExpired(kernel::TimePoint now);

  // Records that the upstream itself has said that it leaves, in the answer to
  // a request that was sent at `sent_unix_ms` to what was listed as this start.
  // It counts as draining from now on, whatever the list states, until it
  // starts again. The list may show starts late, so that a later one has
  // answered: every start up to that time is covered, also if it is listed
  // afterwards.
  Leaving MarkLeaving(const Upstream& upstream,
                      int64_t sent_unix_ms,
                      kernel::TimePoint now);

  // Starts the grace period; call when the list can be read again after an
  // outage.
  void OnListOutageEnded(kernel::TimePoint now);

  // Returns the upstreams of the service that may be sent new requests, in the
  // order of their ids. Valid until the next change of the directory or call of
  // this function.
  const std::vector<const Upstream*>& Ready(std::string_view service,
                                            kernel::TimePoint now) {
    return ListsOf(service, now).ready;
  }
  // Returns these and the ones in evacuated data centres.
  const std::vector<const Upstream*>& Running(std::string_view service,
                                              kernel::TimePoint now) {
    return ListsOf(service, now).running;
  }
  // Records that another start answered at the address of this one, so that
  // this start is not there.
  void MarkAbsent(const Upstream& upstream, kernel::TimePoint now);
  // Returns whether this start is known not to listen at its address any more.
  bool IsSuperseded(const Upstream& upstream);
  // Sets the names of the services that are configured. All count as configured
  // before.
  void SetServices(std::set<std::string, std::less<>> services);
  // Sets the names of the data centres that are evacuated.
  void SetEvacuated(std::set<std::string, std::less<>> data_centres);
  const std::set<std::string, std::less<>>& evacuated() const {
    return evacuated_;
  }
  bool IsEvacuated(std::string_view data_centre) const {
    return !evacuated_.empty() && evacuated_.contains(data_centre);
  }
  // Returns all upstreams of the service, draining ones included. Valid until
  // the next change of the directory.
  std::vector<const Upstream*> Listed(std::string_view service) const;
  // Returns the origin of all streams that began at `service` within `window`,
  // as far as the list tells: kUnknownOrigin if upstreams of several software
  // versions, or of an unknown one, were listed in that time, or if not every
  // change of that time is known.
  uint64_t SoleOrigin(std::string_view service,
                      kernel::Duration window,
                      kernel::TimePoint now) const;
  // Returns whether another start, not known to be an earlier one, is listed at
  // the address of `upstream`, so that what listens there may be that one. Of
  // another service, only starts of configured services count.
  bool IsReplaced(const Upstream& upstream) const;
  // Returns whether this start of the upstream is listed, or was until a short
  // time ago.
  bool IsKnownStart(const Upstream& upstream) const;
  // Returns the number of upstreams in the data centre.
  size_t CountIn(std::string_view data_centre) const;
  // Returns null when there is no such entry.
  const Upstream* Find(std::string_view id) const;
  size_t size() const { return entries_.size(); }
  // Returns the number of changes so far.
  uint64_t changes() const { return changes_; }

 private:
  struct Entry {
    Upstream upstream;
    // Set while it is expired.
    std::optional<kernel::TimePoint> usable_until;
    // Lists show a copy of the entry from before it was draining.
    bool keeps_draining = false;
  };

  // An entry that only an older copy of the store is known to have.
  struct StaleEntry {
    Upstream upstream;
    kernel::TimePoint added_at{};  // Unless removed before.
  };

  // Upstreams of one service, in the order of their ids.
  struct ServiceLists {
    std::vector<const Upstream*> running;  // Not draining.
    std::vector<const Upstream*> ready;    // Not in evacuated data centres.
  };

  bool IsConfigured(std::string_view service) const;
  // Updates superseded_ after a change.
  void UpdateSuperseded();
  const ServiceLists& ListsOf(std::string_view service, kernel::TimePoint now);
  void SetUsableUntil(Entry& entry, std::optional<kernel::TimePoint> time);
  // Returns whether a listed entry is from before its upstream was draining.
  bool KeepsDraining(const Upstream& listed, bool is_restored);
  // Adds the stale entries whose time has come.
  void AddStaleEntries(kernel::TimePoint now);
  void RecordUnlisted(const Upstream& upstream, kernel::TimePoint now);
  void Erase(std::map<std::string, Entry, std::less<>>::iterator entry,
             kernel::TimePoint now);

  const kernel::Duration return_grace_;
  std::map<std::string, Entry, std::less<>> entries_;
  // Results of ListsOf() since the last change, by service.
  std::map<std::string, ServiceLists, std::less<>> lists_;
  // Listed starts that are not ready, because of a later start at their address
  // or an answer of another one; valid if has_superseded_.
  std::unordered_set<uint64_t> superseded_;
  bool has_superseded_ = false;
  std::unordered_map<uint64_t, kernel::TimePoint> absent_;  // By start.
  std::optional<std::set<std::string, std::less<>>> services_;
  std::set<std::string, std::less<>> evacuated_;
  size_t expired_entries_ = 0;
  uint64_t changes_ = 0;
  std::map<std::string, StaleEntry, std::less<>> stale_entries_;
  struct Removal {
    kernel::TimePoint at{};
    int64_t started_unix_ms = 0;  // Of the removed entry.
  };
  std::map<std::string, Removal, std::less<>> removed_;  // By id.
  // The starts of an upstream that have said that they leave.
  struct LeavingStarts {
    int64_t listed_unix_ms = 0;  // The one that was listed.
    int64_t last_unix_ms = 0;    // The latest that may have answered.
    kernel::TimePoint known_since{};

    bool Cover(int64_t started_unix_ms, kernel::TimePoint now) const;
  };
  std::map<std::string, LeavingStarts, std::less<>> leaving_;  // By id.
  kernel::TimePoint grace_ends_{};
  // Since this time every entry of the list has been known.
  kernel::TimePoint known_since_ = kernel::TimePoint::max();
  // By service and origin, the last time at which an upstream was unlisted.
  std::map<std::pair<std::string, uint64_t>, kernel::TimePoint> unlisted_;
  Observer observer_;
};

std::string_view ChangeName(Directory::Change change);
std::string_view LeavingName(Directory::Leaving leaving);

}  // namespace jackdawshunt::routing

#endif  // JACKDAWSHUNT_ROUTING_DIRECTORY_H_
