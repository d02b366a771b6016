// Which upstreams may be sent requests, from the platform's list and its
// changes.
//
// Example:
//   routing::Directory directory(kReturnGrace);
//   directory.Replace(upstreams, now);
//   directory.Remove("i-7f3a91c2", now);
//   for (const routing::Upstream* upstream : directory.Ready("ledger", now)) {}
//
// While the list cannot be read, entries of live upstreams lapse. After a gap
// an entry that vanished stays usable for a grace, in which a live upstream
// writes itself again. Not thread-safe.
#ifndef JACKDAWSHUNT_ROUTING_DIRECTORY_H_
#define JACKDAWSHUNT_ROUTING_DIRECTORY_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "jackdawshunt/kernel/clock.h"
#include "jackdawshunt/routing/upstream.h"

namespace jackdawshunt::routing {

class Directory {
 public:
  // How an entry changed, for the observer.
  enum class Change { kAdded, kUpdated, kRestarted, kDraining, kRemoved };
  using Observer = std::function<void(const Upstream&, Change)>;

  explicit Directory(kernel::Duration return_grace);

  void SetObserver(Observer observer);

  // The whole list was read. Hashes of ids are filled in here.
  void Replace(const std::vector<Upstream>& upstreams, kernel::TimePoint now);
  void Put(const Upstream& upstream, kernel::TimePoint now);
  void Remove(std::string_view id, kernel::TimePoint now);

  // The list could not be read for some time and is read again as of now.
  void OnListOutageEnded(kernel::TimePoint now);

  // Returns the upstreams of the service that may be sent new requests.
  std::vector<const Upstream*> Ready(std::string_view service,
                                     kernel::TimePoint now);
  const Upstream* Find(std::string_view id) const;
  size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    Upstream upstream;
    bool is_lapsed = false;
  };

  void Forget(std::map<std::string, Entry, std::less<>>::iterator entry);
  void ForgetLapsed(kernel::TimePoint now);
  bool InGrace(kernel::TimePoint now) const;

  const kernel::Duration return_grace_;
  std::map<std::string, Entry, std::less<>> entries_;
  kernel::TimePoint grace_ends_{};
  Observer observer_;
};

std::string_view ChangeName(Directory::Change change);

}  // namespace jackdawshunt::routing

#endif  // JACKDAWSHUNT_ROUTING_DIRECTORY_H_
