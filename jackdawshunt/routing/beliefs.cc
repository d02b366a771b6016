#include "jackdawshunt/routing/beliefs.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "jackdawshunt/routing/prompt.h"

namespace jackdawshunt::routing {
namespace {

// Starts of upstreams with losses that are remembered at once, and for how
// long: the list drops an upstream that ended after some missed heartbeats.
constexpr size_t kMaxPendingStarts = 128;
constexpr kernel::Duration kMaxPendingTime = std::chrono::seconds(15);
// A loss this long before another one was not the end of the start.
constexpr kernel::Duration kMaxTimeToEnd = std::chrono::seconds(1);
// Starts whose times are remembered at once.
constexpr size_t kMaxTimes = 8192;
// Time after which the facts that are known suffice, though others were
// announced.
constexpr kernel::Duration kMaxIncompleteTime = std::chrono::seconds(1);
// Subjects of one kind in one generation of sound times.
constexpr size_t kMaxSoundTimes = 4096;

// Ends closer than this count as one: what ended them, such as the loss of a
// data centre, may be outside the upstreams.
constexpr kernel::Duration kSimultaneousEnds = std::chrono::milliseconds(100);
// Ends that a subject must explain to be quarantined, and how many more if
// answers on it are known to have begun before.
constexpr size_t kMinEnds = 2;
constexpr size_t kMoreEndsIfSound = 2;
// How many more if it explains less than half of the ends meanwhile, again if
// less than a quarter, and so on.
constexpr size_t kMoreEndsPerHalf = 2;
// A gateway that has just started does not know which subjects are sound, so
// it lets the others tell it before it concludes.
constexpr kernel::Duration kLearningTime = std::chrono::seconds(10);
constexpr kernel::Duration kTellingTime = std::chrono::milliseconds(600);
// Few ends can be a coincidence, so that the subject is soon tried again.
// Each further end doubles the time, up to the age of the facts.
constexpr kernel::Duration kFirstQuarantine = std::chrono::seconds(20);
constexpr size_t kMaxDoublings = 5;
// Part of a quarantine's time over which the gateways' trials are spread, as a
// divisor.
constexpr int kTrialSpreadDivisor = 4;
// Time in which the outcome of a trial is expected.
constexpr kernel::Duration kTrialTime = std::chrono::seconds(1);

kernel::TimePoint EndOfColdTime(const Fact& cold) {
  return cold.at + std::chrono::duration_cast<kernel::Duration>(
                       std::chrono::duration<double>(std::min(
                           cold.value,
                           std::chrono::duration<double>(Beliefs::kMaxColdTime)
                               .count())));
}

// Returns the number of ends that are not simultaneous with an earlier one.
size_t CountDistinct(const std::set<const Fact*>& facts) {
  std::vector<kernel::TimePoint> ends;
  ends.reserve(facts.size());
  for (const Fact* fact : facts) {
    ends.push_back(fact->at);
  }
  std::sort(ends.begin(), ends.end());
  size_t count = 0;
  kernel::TimePoint last{};
  for (const kernel::TimePoint end : ends) {
    if (count == 0 || end - last >= kSimultaneousEnds) {
      ++count;
      last = end;
    }
  }
  return count;
}

// The ends that a subject may explain.
struct Suspect {
  Subject subject;
  std::set<const Fact*> ends;
  size_t distinct_ends = 0;
  bool was_sound = false;

  size_t score() const {
    const size_t credit = was_sound ? kMoreEndsIfSound : 0;
    return distinct_ends - std::min(distinct_ends, credit);
  }
  // Returns whether it explains enough ends. Where many upstreams end, a
  // subject is beside some of them by chance: the fewer of the ends in the time
  // of its own ones it explains, the more of them it takes.
  bool ExplainsEnoughOf(const std::set<const Fact*>& unexplained) const {
    const auto [first, last] = std::minmax_element(
        ends.begin(), ends.end(),
        [](const Fact* a, const Fact* b) { return a->at < b->at; });
    std::set<const Fact*> meanwhile;
    for (const Fact* end : unexplained) {
      if (end->at >= (*first)->at && end->at <= (*last)->at) {
        meanwhile.insert(end);
      }
    }
    const size_t all = CountDistinct(meanwhile);
    size_t required = kMinEnds;
    for (size_t share = 2 * distinct_ends; share < all; share *= 2) {
      required += kMoreEndsPerHalf;
    }
    return score() >= required;
  }
  // Orders suspects by how much they are to blame.
  bool operator<(const Suspect& other) const {
    return std::make_tuple(score(), ends.size(), !was_sound) <
           std::make_tuple(other.score(), other.ends.size(), !other.was_sound);
  }
};

bool Overlap(const std::set<const Fact*>& a, const std::set<const Fact*>& b) {
  return std::any_of(a.begin(), a.end(),
                     [&b](const Fact* end) { return b.contains(end); });
}

// Returns whether another subject explains as many ends, some of which are the
// same. Then one of the two was beside them by chance.
bool IsDisputed(const Suspect& suspect,
                const std::map<Subject, Suspect>& suspects) {
  return std::any_of(
      suspects.begin(), suspects.end(), [&suspect](const auto& row) {
        const Suspect& other = row.second;
        return other.score() == suspect.score() && other.ends != suspect.ends &&
               Overlap(other.ends, suspect.ends);
      });
}

// Returns whether a request with `subjects` has all that is quarantined.
bool HoldsAll(const std::vector<Subject>& subjects,
              const Quarantine& quarantine) {
  return std::all_of(quarantine.subjects.begin(), quarantine.subjects.end(),
                     [&subjects](const Subject& subject) {
                       return std::find(subjects.begin(), subjects.end(),
                                        subject) != subjects.end();
                     });
}

}  // namespace

SubjectKind Quarantine::kind() const {
  return std::any_of(subjects.begin(), subjects.end(),
                     [](const Subject& subject) {
                       return subject.kind == SubjectKind::kRequest;
                     })
             ? SubjectKind::kRequest
             : SubjectKind::kPart;
}

void Beliefs::OnAnswerBegan(const std::vector<Subject>& subjects,
                            kernel::TimePoint at,
                            kernel::TimePoint now) {
  for (const Subject& subject : subjects) {
    SoundTimes& times = sound_.at(static_cast<size_t>(subject.kind));
    kernel::TimePoint& last = times.recent[subject.id];
    last = std::max(last, at);
    if (times.recent.size() > kMaxSoundTimes) {
      times.older = std::exchange(times.recent, {});
    }
  }
  if (TellSoundness(subjects, now)) {
    UpdateQuarantine(now);
  }
}

std::optional<kernel::TimePoint> Beliefs::LastSoundAt(Subject subject) const {
  const SoundTimes& times = sound_.at(static_cast<size_t>(subject.kind));
  for (const auto* generation : {&times.recent, &times.older}) {
    const auto found = generation->find(subject.id);
    if (found != generation->end()) {
      return found->second;
    }
  }
  return std::nullopt;
}

bool Beliefs::IsKnownSound(Subject subject) const {
  return LastSoundAt(subject).has_value() ||
         facts_.FindSound(subject) != nullptr;
}

bool Beliefs::MayRepeatAfterEnd(const std::vector<Subject>& subjects,
                                uint64_t start) const {
  bool has_sound = false;
  for (const Subject& subject : subjects) {
    const bool is_sound = IsKnownSound(subject);
    has_sound |= is_sound;
    if (subject.kind == SubjectKind::kPart
            ? !is_sound
            : facts_.IsSuspectedElsewhere(subject, start)) {
      return false;
    }
  }
  return has_sound;
}

bool Beliefs::TellSoundness(const std::vector<Subject>& subjects,
                            kernel::TimePoint now) {
  bool has_changed = false;
  for (const auto& [key, row] : facts_.rows()) {
    if (key.first != FactKind::kStartEnded) {
      break;  // Rows are in the order of their kinds.
    }
    for (const Subject& subject : subjects) {
      if (!std::binary_search(row.fact.suspects.begin(),
                              row.fact.suspects.end(), subject)) {
        continue;
      }
      const Fact* const told = facts_.FindSound(subject);
      const auto known = LastSoundAt(subject);
      if (known.has_value() && (told == nullptr || told->at < row.fact.at)) {
        has_changed |= facts_.Merge({.kind = SoundFactKind(subject.kind),
                                     .subject = subject.id,
                                     .source = source_,
                                     .at = *known},
                                    now);
      }
    }
  }
  return has_changed;
}

void Beliefs::OnLostBeforeAnswer(const Upstream& upstream,
                                 const std::vector<Subject>& subjects,
                                 kernel::TimePoint sent_at,
                                 kernel::TimePoint now) {
  // The end of an upstream that has announced it is expected.
  if (subjects.empty() || upstream.is_draining) {
    return;
  }
  const uint64_t start = StartOf(upstream);
  const Fact* const end = facts_.Find(FactKind::kStartEnded, start);
  if (end != nullptr && sent_at > end->at) {
    return;
  }
  if (pending_.size() >= kMaxPendingStarts && !pending_.contains(start)) {
    return;
  }
  const auto [found, is_new] = pending_.try_emplace(start);
  PendingLoss& loss = found->second;
  if (!is_new && sent_at > loss.at) {
    if (now - loss.at < kMaxTimeToEnd) {
      return;  // The start may have ended before it was sent.
    }
    loss = {};
  }
  if (loss.suspects.empty()) {
    loss = {.upstream_id = upstream.id, .at = now};
  }
  AddSuspects(subjects, start, loss.suspects);
  // Other requests at this start may have been lost before.
  if (end != nullptr) {
    AddPendingLoss(start);
  }
}

void Beliefs::AddPendingLoss(uint64_t start) {
  const auto found = pending_.find(start);
  if (found != pending_.end()) {
    const PendingLoss loss = std::move(found->second);
    pending_.erase(found);
    RecordEnd(start, loss);
  }
}

bool Beliefs::AwaitsEndOf(const Upstream& upstream) const {
  return pending_.contains(StartOf(upstream));
}

void Beliefs::OnEnded(std::string_view upstream_id, uint64_t except_start) {
  for (auto row = pending_.begin(); row != pending_.end();) {
    const auto next = std::next(row);
    if (row->second.upstream_id == upstream_id && row->first != except_start) {
      RecordEnd(row->first, row->second);
      pending_.erase(row);
    }
    row = next;
  }
}

void Beliefs::RecordEnd(uint64_t start, const PendingLoss& loss) {
  const Fact end{.kind = FactKind::kStartEnded,
                 .subject = start,
                 .source = source_,
                 .at = loss.at,
                 .suspects = loss.suspects};
  if (facts_.Merge(end, loss.at)) {
    TellSoundness(end.suspects, loss.at);
    UpdateQuarantine(loss.at);
  }
}

bool Beliefs::OnLeaving(const Upstream& upstream, kernel::TimePoint now) {
  has_start_facts_ = true;
  return facts_.Merge({.kind = FactKind::kStartLeaving,
                       .subject = StartOf(upstream),
                       .source = source_,
                       .at = now},
                      now);
}

void Beliefs::SetLater(Times& times, uint64_t start, kernel::TimePoint time) {
  if (times.size() >= kMaxTimes && !times.contains(start)) {
    return;
  }
  kernel::TimePoint& known = times[start];
  known = std::max(known, time);
}

void Beliefs::HoldBack(const Upstream& upstream, kernel::TimePoint until) {
  SetLater(held_back_until_, StartOf(upstream), until);
}

void Beliefs::OnPermitRefused(const Upstream& upstream,
                              kernel::Duration wait,
                              kernel::TimePoint now) {
  SetLater(no_permit_until_, StartOf(upstream), now + wait);
}

bool Beliefs::OnLimit(const Upstream& upstream,
                      std::optional<double> per_second,
                      kernel::TimePoint sent_at,
                      kernel::TimePoint now) {
  const uint64_t start = StartOf(upstream);
  if (!per_second.has_value()) {
    const Fact* const known = facts_.Find(FactKind::kStartLimit, start);
    // An answer to an older request may have begun before the limit was named.
    if (known == nullptr || known->value == 0 || sent_at <= known->at) {
      return false;
    }
  }
  has_start_facts_ = true;
  return facts_.Merge({.kind = FactKind::kStartLimit,
                       .subject = start,
                       .source = source_,
                       .at = now,
                       .value = per_second.value_or(0)},
                      now);
}

std::optional<double> Beliefs::LimitOf(uint64_t start,
                                       kernel::TimePoint now) const {
  if (!has_start_facts_) {
    return std::nullopt;
  }
  const Fact* const limit = facts_.Find(FactKind::kStartLimit, start);
  if (limit == nullptr || limit->value == 0 ||
      now - limit->at > FactStore::MaxAge(FactKind::kStartLimit)) {
    return std::nullopt;
  }
  return limit->value;
}

bool Beliefs::OnCold(uint64_t start,
                     kernel::TimePoint until,
                     kernel::TimePoint now) {
  if (until <= now) {
    return false;
  }
  has_start_facts_ = true;
  const std::chrono::duration<double> time =
      std::min(until - now, kMaxColdTime);
  return facts_.Merge({.kind = FactKind::kStartCold,
                       .subject = start,
                       .source = source_,
                       .at = now,
                       .value = time.count()},
                      now);
}

bool Beliefs::SuspectCold(uint64_t start,
                          kernel::TimePoint until,
                          kernel::TimePoint now) {
  const bool was_cold = ColdUntil(start, now) > now;
  SetLater(suspected_cold_until_, start, std::min(until, now + kMaxColdTime));
  return !was_cold;
}

kernel::TimePoint Beliefs::ColdUntil(uint64_t start,
                                     kernel::TimePoint now) const {
  kernel::TimePoint until = now;
  if (has_start_facts_) {
    if (const Fact* const cold = facts_.Find(FactKind::kStartCold, start)) {
      until = std::max(until, EndOfColdTime(*cold));
    }
  }
  const auto suspected = suspected_cold_until_.find(start);
  return suspected == suspected_cold_until_.end()
             ? until
             : std::max(until, suspected->second);
}

size_t Beliefs::CountCold(kernel::TimePoint now) const {
  std::set<uint64_t> cold;
  for (const auto& [key, row] : facts_.rows()) {
    if (key.first == FactKind::kStartCold && EndOfColdTime(row.fact) > now) {
      cold.insert(key.second);
    }
  }
  for (const auto& [start, until] : suspected_cold_until_) {
    if (until > now) {
      cold.insert(start);
    }
  }
  return cold.size();
}

kernel::TimePoint Beliefs::OpensAt(uint64_t start,
                                   kernel::TimePoint now) const {
  if (has_start_facts_ &&
      facts_.Find(FactKind::kStartLeaving, start) != nullptr) {
    return kernel::TimePoint::max();
  }
  const auto held = held_back_until_.find(start);
  return held == held_back_until_.end() ? now : held->second;
}

kernel::TimePoint Beliefs::MayPlaceAt(uint64_t start,
                                      kernel::TimePoint now) const {
  const kernel::TimePoint opens_at = OpensAt(start, now);
  const auto no_permit = no_permit_until_.find(start);
  return no_permit == no_permit_until_.end()
             ? opens_at
             : std::max(opens_at, no_permit->second);
}

void Beliefs::MergeFacts(const std::vector<Fact>& facts,
                         kernel::TimePoint now,
                         bool has_more) {
  const bool was_incomplete = incomplete_until_ != kernel::TimePoint{};
  incomplete_until_ = has_more ? now + kMaxIncompleteTime : kernel::TimePoint{};
  bool has_changed = false;
  for (const Fact& fact : facts) {
    if (facts_.Merge(fact, now)) {
      has_changed = true;
      if (fact.kind == FactKind::kStartEnded) {
        TellSoundness(fact.suspects, now);
        AddPendingLoss(fact.subject);
      }
      has_start_facts_ |= fact.kind == FactKind::kStartLeaving ||
                          fact.kind == FactKind::kStartLimit ||
                          fact.kind == FactKind::kStartCold;
    }
  }
  if (has_changed || was_incomplete) {
    UpdateQuarantine(now);
  }
}

bool Beliefs::MayConclude(const std::set<const Fact*>& ends,
                          kernel::TimePoint now) const {
  return now >= started_ + kLearningTime ||
         std::count_if(ends.begin(), ends.end(), [now](const Fact* end) {
           return now - end->at >= kTellingTime;
         }) >= static_cast<ptrdiff_t>(kMinEnds);
}

void Beliefs::UpdateQuarantine(kernel::TimePoint now) {
  if (now < incomplete_until_) {
    return;
  }
  std::set<const Fact*> unexplained;
  for (const auto& [key, row] : facts_.rows()) {
    if (key.first == FactKind::kStartEnded) {
      unexplained.insert(&row.fact);
    }
  }
  std::map<Subject, Suspect> suspects;
  for (const FactStore::Suspicion& suspicion : facts_.Suspicions()) {
    Suspect& suspect = suspects[suspicion.subject];
    suspect.subject = suspicion.subject;
    suspect.was_sound = facts_.FindSound(suspicion.subject) != nullptr;
    suspect.ends.insert(suspicion.end);
  }
  std::vector<Quarantine> quarantine;
  std::set<const Fact*> disputed;
  while (!suspects.empty()) {
    for (auto& [subject, suspect] : suspects) {
      suspect.distinct_ends = CountDistinct(suspect.ends);
    }
    const Suspect worst = std::max_element(suspects.begin(), suspects.end(),
                                           [](const auto& a, const auto& b) {
                                             return a.second < b.second;
                                           })
                              ->second;
    if (worst.score() < kMinEnds) {
      break;
    }
    if (!worst.ExplainsEnoughOf(unexplained) || !MayConclude(worst.ends, now)) {
      suspects.erase(worst.subject);
      continue;
    }
    if (worst.score() == kMinEnds &&
        (Overlap(worst.ends, disputed) || IsDisputed(worst, suspects))) {
      disputed.insert(worst.ends.begin(), worst.ends.end());
      suspects.erase(worst.subject);
      continue;
    }
    Quarantine quarantined{
        .ends = worst.ends.size(),
        .time = std::min(
            kFirstQuarantine *
                (1 << std::min(worst.score() - kMinEnds, kMaxDoublings)),
            FactStore::MaxAge(FactKind::kStartEnded))};
    for (const auto& [subject, suspect] : suspects) {
      if (suspect.ends == worst.ends && suspect.was_sound == worst.was_sound) {
        quarantined.subjects.push_back(subject);
      }
    }
    for (const Fact* end : worst.ends) {
      if (end->at > quarantined.since) {
        quarantined.since = end->at;
        quarantined.source = end->source;
      }
    }
    quarantine.push_back(std::move(quarantined));
    for (const Fact* end : worst.ends) {
      unexplained.erase(end);
      for (auto& [subject, suspect] : suspects) {
        suspect.ends.erase(end);
      }
    }
    std::erase_if(suspects,
                  [](const auto& row) { return row.second.ends.empty(); });
  }
  if (quarantine == quarantine_) {
    return;
  }
  quarantine_ = std::move(quarantine);
  if (observer_) {
    observer_(quarantine_);
  }
}

kernel::TimePoint Beliefs::TrialFrom(const Quarantine& quarantine) const {
  const kernel::Duration spread = quarantine.time / kTrialSpreadDivisor;
  const uint64_t turn =
      RendezvousWeight(source_, quarantine.subjects.front().id);
  return quarantine.since + quarantine.time +
         kernel::Duration(static_cast<int64_t>(
             turn % static_cast<uint64_t>(spread.count())));
}

kernel::TimePoint Beliefs::RefusedUntil(const Quarantine& quarantine) const {
  const auto trial = trials_.find(quarantine.subjects.front());
  const kernel::TimePoint from = TrialFrom(quarantine);
  return trial == trials_.end() ? from
                                : std::max(from, trial->second + kTrialTime);
}

bool Beliefs::OnSent(const std::vector<Subject>& subjects,
                     kernel::TimePoint now) {
  bool is_trial = false;
  for (const Quarantine& quarantine : quarantine_) {
    if (HoldsAll(subjects, quarantine)) {
      trials_[quarantine.subjects.front()] = now;
      is_trial = true;
    }
  }
  return is_trial;
}

const Quarantine* Beliefs::FindQuarantine(const std::vector<Subject>& subjects,
                                          kernel::TimePoint now,
                                          bool is_trial) const {
  for (const Quarantine& quarantine : quarantine_) {
    const kernel::TimePoint until =
        is_trial ? TrialFrom(quarantine) : RefusedUntil(quarantine);
    if (now < until && HoldsAll(subjects, quarantine)) {
      return &quarantine;
    }
  }
  return nullptr;
}

void Beliefs::DropExpired(kernel::TimePoint now) {
  std::erase_if(pending_, [now](const auto& row) {
    return now - row.second.at > kMaxPendingTime;
  });
  std::erase_if(trials_, [now](const auto& row) {
    return now - row.second > kTrialTime;
  });
  for (Times* const times :
       {&held_back_until_, &no_permit_until_, &suspected_cold_until_}) {
    std::erase_if(*times, [now](const auto& row) { return now >= row.second; });
  }
  const bool was_interrupted =
      incomplete_until_ != kernel::TimePoint{} && now >= incomplete_until_;
  if (was_interrupted) {
    incomplete_until_ = {};
  }
  const bool is_learning =
      now < started_ + kLearningTime + std::chrono::seconds(2);
  if (facts_.DropExpired(now) || was_interrupted || is_learning) {
    UpdateQuarantine(now);
  }
}

}  // namespace jackdawshunt::routing
