#include "jackdawshunt/routing/fleet_facts.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <set>
#include <tuple>

#include "jackdawshunt/routing/prompt.h"

namespace jackdawshunt::routing {
namespace {

// Merges `fact` into `kept`, which is of the same kind and subject. Returns
// whether `kept` changed.
using Merger = bool (*)(const Fact& fact, Fact& kept);

// Gateways learn of an end at different times; the first one is kept.
bool MergeEnd(const Fact& fact, Fact& kept) {
  std::vector<Subject> suspects = kept.suspects;
  AddSuspects(fact.suspects, kept.subject, suspects);
  if (suspects == kept.suspects) {
    return false;
  }
  kept.suspects = std::move(suspects);
  kept.at = std::min(kept.at, fact.at);
  return true;
}

// Smaller differences arise from the time that a datagram takes.
constexpr kernel::Duration kMinTimeDifference = std::chrono::milliseconds(500);

bool MergeLatest(const Fact& fact, Fact& kept) {
  if (fact.at <= kept.at + kMinTimeDifference) {
    return false;
  }
  kept = fact;
  return true;
}

bool MergeOnce(const Fact& /*fact*/, Fact& /*kept*/) {
  return false;
}

// Relative change of a limit that is worth telling, and the time after which an
// unchanged limit is told again, so that it does not expire while in force.
constexpr double kMinLimitChange = 0.05;
constexpr kernel::Duration kLimitRefreshTime = std::chrono::seconds(20);

bool MergeLimit(const Fact& fact, Fact& kept) {
  const bool has_changed =
      (fact.value == 0) != (kept.value == 0) ||
      std::abs(fact.value - kept.value) > kMinLimitChange * kept.value;
  if (fact.at <= kept.at ||
      (!has_changed && fact.at <= kept.at + kLimitRefreshTime)) {
    return false;
  }
  kept = fact;
  return true;
}

// Gateways learn of the same cold time at somewhat different moments.
constexpr std::chrono::duration<double> kMinLongerColdTime =
    std::chrono::milliseconds(300);

// Keeps the later end of the cold time, since a record of the upstream may be
// older than another gateway's information.
bool MergeCold(const Fact& fact, Fact& kept) {
  const std::chrono::duration<double> later = fact.at - kept.at;
  if (later.count() + fact.value <= kept.value + kMinLongerColdTime.count()) {
    return false;
  }
  kept = fact;
  return true;
}

// An answer that began this long before an end also clears its subjects.
constexpr kernel::Duration kSoundBeforeEnd = std::chrono::seconds(1);
// Divisor of the facts of a kind that are dropped at once, so that their choice
// costs little per fact.
constexpr size_t kDroppedShare = 4;

struct KindRow {
  std::string_view name;
  Merger merge;
  size_t max_facts;
  kernel::Duration max_age;
};
constexpr std::array kKinds = {
    KindRow{"start_ended", &MergeEnd, 56, std::chrono::minutes(10)},
    KindRow{"part_sound", &MergeLatest, 1536, std::chrono::minutes(10)},
    KindRow{"start_leaving", &MergeOnce, 8192, std::chrono::minutes(10)},
    KindRow{"start_limit", &MergeLimit, 8192, std::chrono::minutes(1)},
    KindRow{"request_sound", &MergeLatest, 512, std::chrono::minutes(10)},
    KindRow{"start_cold", &MergeCold, 8192, std::chrono::minutes(2)},
};

const KindRow& RowOf(FactKind kind) {
  return kKinds.at(static_cast<size_t>(kind));
}

struct SubjectKindRow {
  FactKind sound;
  size_t max_suspects;
};
constexpr std::array kSubjectKinds = {
    SubjectKindRow{FactKind::kPartSound, 24},
    SubjectKindRow{FactKind::kRequestSound, 8},
};

const SubjectKindRow& RowOf(SubjectKind kind) {
  return kSubjectKinds.at(static_cast<size_t>(kind));
}

// Returns whether the subject may explain the end; an answer that began later,
// as `sound` states, clears it.
bool MayExplain(const Fact* sound, const Fact& end) {
  return sound == nullptr || sound->at + kSoundBeforeEnd < end.at;
}

}  // namespace

std::vector<uint64_t> IdsOf(const std::vector<Subject>& subjects,
                            SubjectKind kind) {
  std::vector<uint64_t> ids;
  for (const Subject& subject : subjects) {
    if (subject.kind == kind) {
      ids.push_back(subject.id);
    }
  }
  return ids;
}

FactKind SoundFactKind(SubjectKind kind) {
  return RowOf(kind).sound;
}

size_t MaxSuspects(SubjectKind kind) {
  return RowOf(kind).max_suspects;
}

void AddSuspects(const std::vector<Subject>& suspects,
                 uint64_t start,
                 std::vector<Subject>& kept) {
  std::vector<Subject> all = kept;
  all.insert(all.end(), suspects.begin(), suspects.end());
  // The rank depends on the start, so that a subject that is dropped at one end
  // may be kept at another.
  std::sort(all.begin(), all.end(),
            [start](const Subject& a, const Subject& b) {
              return std::make_tuple(a.kind, RendezvousWeight(start, a.id)) <
                     std::make_tuple(b.kind, RendezvousWeight(start, b.id));
            });
  all.erase(std::unique(all.begin(), all.end()), all.end());
  kept.clear();
  size_t of_kind = 0;
  for (const Subject& subject : all) {
    of_kind = kept.empty() || kept.back().kind != subject.kind ? 0 : of_kind;
    if (of_kind < MaxSuspects(subject.kind)) {
      kept.push_back(subject);
      ++of_kind;
    }
  }
  std::sort(kept.begin(), kept.end());
}

std::string_view FactKindName(FactKind kind) {
  return RowOf(kind).name;
}

kernel::Duration FactStore::MaxAge(FactKind kind) {
  return RowOf(kind).max_age;
}

bool FactStore::Merge(const Fact& fact, kernel::TimePoint now) {
  if (now - fact.at > MaxAge(fact.kind)) {
    return false;
  }
  const auto [found, is_new] =
      rows_.try_emplace({fact.kind, fact.subject}, Row{.fact = fact});
  if (!is_new && !RowOf(fact.kind).merge(fact, found->second.fact)) {
    return false;
  }
  found->second.revision = ++revision_;
  if (is_new) {
    found->second.fact.suspects.clear();
    AddSuspects(fact.suspects, fact.subject, found->second.fact.suspects);
    DropSomeIfTooMany(fact.kind);
  }
  return true;
}

bool FactStore::IsSuspectedElsewhere(Subject subject, uint64_t start) const {
  const Fact* const sound = FindSound(subject);
  for (const auto& [key, row] : rows_) {
    if (key.first != FactKind::kStartEnded) {
      break;  // Rows are in the order of their kinds.
    }
    if (key.second != start && MayExplain(sound, row.fact) &&
        std::binary_search(row.fact.suspects.begin(), row.fact.suspects.end(),
                           subject)) {
      return true;
    }
  }
  return false;
}

std::vector<FactStore::Suspicion> FactStore::Suspicions() const {
  std::vector<Suspicion> all;
  for (const auto& [key, row] : rows_) {
    if (key.first != FactKind::kStartEnded) {
      break;  // Rows are in the order of their kinds.
    }
    for (const Subject& subject : row.fact.suspects) {
      all.push_back({subject, &row.fact});
    }
  }
  std::stable_sort(all.begin(), all.end(),
                   [](const Suspicion& a, const Suspicion& b) {
                     return a.subject < b.subject;
                   });
  std::vector<Suspicion> suspicions;
  for (auto first = all.begin(); first != all.end();) {
    const auto last = std::find_if(
        first, all.end(), [subject = first->subject](const Suspicion& row) {
          return row.subject != subject;
        });
    const Fact* const sound =
        last - first > 1 ? FindSound(first->subject) : nullptr;
    const size_t size_before = suspicions.size();
    std::copy_if(
        first, last, std::back_inserter(suspicions),
        [sound](const Suspicion& row) { return MayExplain(sound, *row.end); });
    if (suspicions.size() - size_before < 2) {
      suspicions.resize(size_before);
    }
    first = last;
  }
  return suspicions;
}

void FactStore::DropSomeIfTooMany(FactKind kind) {
  const auto first = rows_.lower_bound({kind, 0});
  const auto last = std::find_if(first, rows_.end(), [kind](const auto& row) {
    return row.first.first != kind;
  });
  const size_t max_facts = RowOf(kind).max_facts;
  if (static_cast<size_t>(std::distance(first, last)) <= max_facts) {
    return;
  }
  std::set<Key> needed;
  for (const Suspicion& suspicion : Suspicions()) {
    needed.insert({FactKind::kStartEnded, suspicion.end->subject});
  }
  for (const auto& [key, row] : rows_) {
    for (const Subject& subject : row.fact.suspects) {
      needed.insert({SoundFactKind(subject.kind), subject.id});
    }
  }
  std::vector<std::tuple<bool, kernel::TimePoint, Key>> ranked;
  for (auto row = first; row != last; ++row) {
    ranked.emplace_back(needed.contains(row->first), row->second.fact.at,
                        row->first);
  }
  std::sort(ranked.begin(), ranked.end());
  ranked.resize(ranked.size() - (max_facts - max_facts / kDroppedShare));
  for (const auto& [is_needed, at, key] : ranked) {
    rows_.erase(key);
  }
}

bool FactStore::DropExpired(kernel::TimePoint now) {
  return std::erase_if(rows_, [now](const auto& row) {
           return now - row.second.fact.at > MaxAge(row.second.fact.kind);
         }) > 0;
}

const Fact* FactStore::Find(FactKind kind, uint64_t subject) const {
  const auto found = rows_.find({kind, subject});
  return found == rows_.end() ? nullptr : &found->second.fact;
}

std::vector<const FactStore::Row*> FactStore::ChangedSince(uint64_t revision,
                                                           size_t count) const {
  std::vector<const Row*> changed;
  for (const auto& [key, row] : rows_) {
    if (row.revision > revision) {
      changed.push_back(&row);
    }
  }
  std::sort(changed.begin(), changed.end(), [](const Row* a, const Row* b) {
    return a->revision < b->revision;
  });
  changed.resize(std::min(count, changed.size()));
  return changed;
}

}  // namespace jackdawshunt::routing
