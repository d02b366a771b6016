#include "jackdawshunt/routing/directory.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

#include "jackdawshunt/routing/prompt.h"
#include "jackdawshunt/routing/stream_origins.h"

namespace jackdawshunt::routing {
namespace {

// A store is restored from a copy that is some seconds old, so entries removed
// earlier than this cannot come back.
constexpr kernel::Duration kRemovalMemory = std::chrono::seconds(60);
// Time for which the software versions of unlisted upstreams are kept.
constexpr kernel::Duration kUnlistedMemory = std::chrono::seconds(300);
// A start that began this long after a request was sent may have answered it:
// a connection is opened for up to 500 ms, and clocks differ.
constexpr int64_t kMaxStartedAfterSendMs = 1000;
// A leaving upstream has ended after this time. Bounds the effect of a wrong
// clock on starts that were not listed when it was told.
constexpr kernel::Duration kMaxLeavingTime = std::chrono::seconds(60);
// Stands for all configured services; no service has this name.
constexpr std::string_view kConfiguredServices;

constexpr std::array<std::string_view, 7> kChangeNames = {
    "added",   "updated",      "restarted", "draining",
    "expired", "listed_again", "removed"};
// In the state field of log lines.
constexpr std::array<std::string_view, 3> kLeavingNames = {
    "leaving", "known_leaving", "other_start_leaving"};

}  // namespace

std::string_view ChangeName(Directory::Change change) {
  return kChangeNames.at(static_cast<size_t>(change));
}

std::string_view LeavingName(Directory::Leaving leaving) {
  return kLeavingNames.at(static_cast<size_t>(leaving));
}

Directory::Directory(kernel::Duration return_grace)
    : return_grace_(return_grace) {}

void Directory::SetObserver(Observer observer) {
  observer_ = std::move(observer);
}

void Directory::Replace(const std::vector<Upstream>& upstreams,
                        kernel::TimePoint now,
                        bool is_restored) {
  // Entries that came and went since the list before are not known.
  known_since_ = now;
  if (is_restored) {
    OnListOutageEnded(now);
  }
  std::set<std::string_view> present;
  for (const Upstream& upstream : upstreams) {
    present.insert(upstream.id);
    if (is_restored && removed_.contains(upstream.id)) {
      stale_entries_[upstream.id] = {upstream, now + kMaxStaleTime};
    } else if (!stale_entries_.contains(upstream.id) &&
               !KeepsDraining(upstream, is_restored)) {
      Put(upstream, now);
    }
  }
  std::erase_if(stale_entries_, [&present](const auto& row) {
    return !present.contains(row.first);
  });
  std::vector<std::string> absent;
  for (const auto& [id, entry] : entries_) {
    if (!present.contains(id)) {
      absent.push_back(id);
    }
  }
  for (const std::string& id : absent) {
    Remove(id, now);
  }
}

bool Directory::KeepsDraining(const Upstream& listed, bool is_restored) {
  const auto found = entries_.find(listed.id);
  if (found == entries_.end() || listed.is_draining ||
      !found->second.upstream.is_draining ||
      found->second.upstream.started_unix_ms != listed.started_unix_ms) {
    return false;
  }
  Entry& entry = found->second;
  entry.keeps_draining = entry.keeps_draining || is_restored;
  return entry.keeps_draining;
}

void Directory::AddStaleEntries(kernel::TimePoint now) {
  std::vector<Upstream> due;
  for (const auto& [id, entry] : stale_entries_) {
    if (now >= entry.added_at) {
      due.push_back(entry.upstream);
    }
  }
  for (const Upstream& upstream : due) {
    Put(upstream, now);
  }
}

bool Directory::LeavingStarts::Cover(int64_t started_unix_ms,
                                     kernel::TimePoint now) const {
  return started_unix_ms <= listed_unix_ms ||
         (started_unix_ms <= last_unix_ms &&
          now - known_since <= kMaxLeavingTime);
}

void Directory::Put(const Upstream& upstream, kernel::TimePoint now) {
  removed_.erase(upstream.id);
  stale_entries_.erase(upstream.id);
  const auto [found, is_new] = entries_.try_emplace(upstream.id);
  Entry& entry = found->second;
  const bool was_expired = entry.usable_until.has_value();
  SetUsableUntil(entry, std::nullopt);
  entry.keeps_draining = false;
  Upstream updated = upstream;
  updated.hash = HashOf(updated.id);
  updated.address_hash = HashOf(updated.address.ip);
  updated.start = StartOf(updated);
  updated.origin = StreamOriginOf(updated.service, updated.software_version);
  const auto leaving = leaving_.find(updated.id);
  if (leaving != leaving_.end()) {
    if (leaving->second.Cover(updated.started_unix_ms, now)) {
      updated.is_draining = true;
    } else {
      leaving_.erase(leaving);
    }
  }
  if (!is_new && entry.upstream == updated) {
    if (was_expired && observer_) {
      observer_(entry.upstream, Change::kListedAgain);
    }
    return;
  }
  Change change = is_new ? Change::kAdded : Change::kUpdated;
  if (!is_new) {
    if (entry.upstream.started_unix_ms != upstream.started_unix_ms ||
        entry.upstream.address != upstream.address) {
      change = Change::kRestarted;
    } else if (!entry.upstream.is_draining && upstream.is_draining) {
      change = Change::kDraining;
    }
  }
  if (!is_new && entry.upstream.origin != updated.origin) {
    RecordUnlisted(entry.upstream, now);
  }
  entry.upstream = std::move(updated);
  lists_.clear();
  has_superseded_ = false;
  ++changes_;
  if (observer_) {
    observer_(entry.upstream, change);
  }
}

Directory::Leaving Directory::MarkLeaving(const Upstream& upstream,
                                          int64_t sent_unix_ms,
                                          kernel::TimePoint now) {
  const int64_t last_unix_ms =
      std::max(upstream.started_unix_ms, sent_unix_ms + kMaxStartedAfterSendMs);
  const auto entry = entries_.find(upstream.id);
  if (entry != entries_.end() &&
      entry->second.upstream.started_unix_ms > last_unix_ms) {
    return Leaving::kOtherStart;
  }
  const auto known = leaving_.find(upstream.id);
  if (known != leaving_.end()) {
    known->second.listed_unix_ms =
        std::max(known->second.listed_unix_ms, upstream.started_unix_ms);
    known->second.last_unix_ms =
        std::max(known->second.last_unix_ms, last_unix_ms);
    return Leaving::kKnown;
  }
  std::erase_if(leaving_, [&](const auto& row) {
    return !entries_.contains(row.first) &&
           now - row.second.known_since > kUnlistedMemory;
  });
  leaving_[upstream.id] = {.listed_unix_ms = upstream.started_unix_ms,
                           .last_unix_ms = last_unix_ms,
                           .known_since = now};
  if (entry != entries_.end()) {
    const auto usable_until = entry->second.usable_until;
    Put(Upstream(entry->second.upstream), now);
    SetUsableUntil(entry->second, usable_until);
  }
  return Leaving::kNew;
}

void Directory::Remove(std::string_view id, kernel::TimePoint now) {
  stale_entries_.erase(std::string(id));
  const auto entry = entries_.find(id);
  if (entry == entries_.end()) {
    // It was added and removed between two readings.
    known_since_ = now;
    return;
  }
  const auto usable_until = entry->second.usable_until;
  if (entry->second.upstream.is_draining ||
      now >= usable_until.value_or(grace_ends_)) {
    Erase(entry, now);
  } else if (!usable_until.has_value()) {
    SetUsableUntil(entry->second, grace_ends_);
    if (observer_) {
      observer_(entry->second.upstream, Change::kExpired);
    }
  }
}

void Directory::SetUsableUntil(Entry& entry,
                               std::optional<kernel::TimePoint> time) {
  if (entry.usable_until.has_value() != time.has_value()) {
    expired_entries_ += time.has_value() ? 1 : -1;
  }
  entry.usable_until = time;
}

void Directory::Erase(std::map<std::string, Entry, std::less<>>::iterator entry,
                      kernel::TimePoint now) {
  std::erase_if(removed_, [now](const auto& row) {
    return now - row.second.at > kRemovalMemory;
  });
  removed_[entry->first] = {
      .at = now, .started_unix_ms = entry->second.upstream.started_unix_ms};
  RecordUnlisted(entry->second.upstream, now);
  SetUsableUntil(entry->second, std::nullopt);
  const Upstream removed = std::move(entry->second.upstream);
  entries_.erase(entry);
  lists_.clear();
  has_superseded_ = false;
  ++changes_;
  if (observer_) {
    observer_(removed, Change::kRemoved);
  }
}

void Directory::OnListOutageEnded(kernel::TimePoint now) {
  grace_ends_ = now + return_grace_;
}

void Directory::DropExpired(kernel::TimePoint now) {
  if (expired_entries_ == 0) {
    return;
  }
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    const auto next = std::next(entry);
    const auto usable_until = entry->second.usable_until;
    if (usable_until.has_value() && now >= *usable_until) {
      Erase(entry, now);
    }
    entry = next;
  }
}

void Directory::MarkAbsent(const Upstream& upstream, kernel::TimePoint now) {
  std::erase_if(absent_, [now](const auto& row) {
    return now - row.second > kUnlistedMemory;
  });
  const Upstream* const listed = Find(upstream.id);
  if (listed == nullptr || listed->start != StartOf(upstream)) {
    return;
  }
  absent_[listed->start] = now;
  lists_.clear();
  has_superseded_ = false;
}

void Directory::UpdateSuperseded() {
  if (has_superseded_) {
    return;
  }
  has_superseded_ = true;
  superseded_.clear();
  // Latest start at each address, of all configured services together and of
  // each other service.
  std::map<std::pair<std::string, std::string_view>, int64_t> latest;
  const auto group_of = [this](const Upstream& upstream) {
    return IsConfigured(upstream.service) ? kConfiguredServices
                                          : std::string_view(upstream.service);
  };
  for (const auto& [id, entry] : entries_) {
    const Upstream& upstream = entry.upstream;
    if (absent_.contains(upstream.start)) {
      superseded_.insert(upstream.start);
    } else {
      int64_t& started =
          latest[{upstream.address.ToString(), group_of(upstream)}];
      started = std::max(started, upstream.started_unix_ms);
    }
  }
  for (const auto& [id, entry] : entries_) {
    const Upstream& upstream = entry.upstream;
    const std::string address = upstream.address.ToString();
    const auto is_earlier = [&](std::string_view group) {
      const auto found = latest.find({address, group});
      return found != latest.end() && upstream.started_unix_ms < found->second;
    };
    if (upstream.started_unix_ms != 0 &&
        (is_earlier(kConfiguredServices) || is_earlier(group_of(upstream)))) {
      superseded_.insert(upstream.start);
    }
  }
}

bool Directory::IsSuperseded(const Upstream& upstream) {
  UpdateSuperseded();
  return superseded_.contains(upstream.start == 0 ? StartOf(upstream)
                                                  : upstream.start);
}

bool Directory::IsConfigured(std::string_view service) const {
  return !services_.has_value() || services_->contains(service);
}

void Directory::SetServices(std::set<std::string, std::less<>> services) {
  if (services_ != services) {
    services_ = std::move(services);
    lists_.clear();
    has_superseded_ = false;
    ++changes_;
  }
}

void Directory::SetEvacuated(std::set<std::string, std::less<>> data_centres) {
  if (data_centres != evacuated_) {
    evacuated_ = std::move(data_centres);
    lists_.clear();
    ++changes_;
  }
}

const Directory::ServiceLists& Directory::ListsOf(std::string_view service,
                                                  kernel::TimePoint now) {
  DropExpired(now);
  if (!stale_entries_.empty()) {
    AddStaleEntries(now);
  }
  const auto known = lists_.find(service);
  if (known != lists_.end()) {
    return known->second;
  }
  UpdateSuperseded();
  ServiceLists& lists = lists_[std::string(service)];
  for (const auto& [id, entry] : entries_) {
    if (entry.upstream.service == service && !entry.upstream.is_draining &&
        !superseded_.contains(entry.upstream.start)) {
      lists.running.push_back(&entry.upstream);
      if (!IsEvacuated(entry.upstream.data_centre)) {
        lists.ready.push_back(&entry.upstream);
      }
    }
  }
  return lists;
}

std::vector<const Upstream*> Directory::Listed(std::string_view service) const {
  std::vector<const Upstream*> listed;
  for (const auto& [id, entry] : entries_) {
    if (entry.upstream.service == service) {
      listed.push_back(&entry.upstream);
    }
  }
  return listed;
}

void Directory::RecordUnlisted(const Upstream& upstream,
                               kernel::TimePoint now) {
  std::erase_if(unlisted_, [now](const auto& row) {
    return now - row.second > kUnlistedMemory;
  });
  unlisted_[{upstream.service, upstream.origin}] = now;
}

uint64_t Directory::SoleOrigin(std::string_view service,
                               kernel::Duration window,
                               kernel::TimePoint now) const {
  if (window > kUnlistedMemory || known_since_ > now - window) {
    return kUnknownOrigin;
  }
  std::set<uint64_t> origins;
  for (const Upstream* upstream : Listed(service)) {
    origins.insert(upstream->origin);
  }
  for (const auto& [key, unlisted_at] : unlisted_) {
    if (key.first == service && now - unlisted_at <= window) {
      origins.insert(key.second);
    }
  }
  return origins.size() == 1 ? *origins.begin() : kUnknownOrigin;
}

bool Directory::IsReplaced(const Upstream& upstream) const {
  return std::any_of(
      entries_.begin(), entries_.end(), [this, &upstream](const auto& entry) {
        const Upstream& listed = entry.second.upstream;
        return listed.address == upstream.address &&
               listed.start != upstream.start &&
               (listed.service == upstream.service ||
                IsConfigured(listed.service)) &&
               (listed.started_unix_ms == 0 ||
                listed.started_unix_ms >= upstream.started_unix_ms);
      });
}

size_t Directory::CountIn(std::string_view data_centre) const {
  return static_cast<size_t>(std::count_if(
      entries_.begin(), entries_.end(), [data_centre](const auto& entry) {
        return entry.second.upstream.data_centre == data_centre;
      }));
}

bool Directory::IsKnownStart(const Upstream& upstream) const {
  const auto entry = entries_.find(upstream.id);
  if (entry != entries_.end()) {
    return entry->second.upstream.started_unix_ms == upstream.started_unix_ms &&
           entry->second.upstream.address == upstream.address;
  }
  const auto removed = removed_.find(upstream.id);
  return removed != removed_.end() &&
         removed->second.started_unix_ms == upstream.started_unix_ms;
}

const Upstream* Directory::Find(std::string_view id) const {
  const auto entry = entries_.find(id);
  return entry == entries_.end() ? nullptr : &entry->second.upstream;
}

}  // namespace jackdawshunt::routing
