// What this gateway believes of upstreams' starts and of what ends them, and
// the decisions that follow from it.
//
// A part of a prompt can end each engine that begins an answer on it, and a
// whole request can end each upstream that runs it. Beside them run many sound
// ones, and upstreams also end for other reasons. When a start of an upstream
// ends, all subjects (see SubjectKind) of the requests there whose answers had
// not begun are suspected, at all gateways together. A subject is quarantined
// if it explains several ends at different times since the last answer that
// began on it. The subject with the most ends is blamed first, and an end that
// it explains counts against no other one.
//
// Example:
//   routing::Beliefs beliefs(incarnation);
//   beliefs.OnLostBeforeAnswer(upstream, subjects, now);
//   beliefs.OnEnded(upstream.id);
//   bool is_refused = beliefs.FindQuarantine(subjects, now) != nullptr;
//
// Answers the load in which requests of one kind end one upstream after the
// other: each is offered to the next upstream, and all others that run there
// are broken off.
//
// Upstreams also say of themselves that they leave, that they want nothing for
// a while, or that they take only so many requests a second from all gateways.
// A start can also be cold: known from its record, or suspected because the
// upstream could not be reached and may have restarted. These hold for one
// start of the upstream. What it says to one gateway alone, and a suspicion of
// one gateway, is not told to others.
//
// Not thread-safe.
#ifndef JACKDAWSHUNT_ROUTING_BELIEFS_H_
#define JACKDAWSHUNT_ROUTING_BELIEFS_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "jackdawshunt/kernel/clock.h"
#include "jackdawshunt/routing/fleet_facts.h"
#include "jackdawshunt/routing/upstream.h"

namespace jackdawshunt::routing {

// Subjects that are refused together: requests that hold all of them. More than
// one subject only if all the ends so far are of requests that held all of
// them.
struct Quarantine {
  std::vector<Subject> subjects;
  size_t ends = 0;            // That they explain.
  kernel::Duration time{};    // From `since` on; longer after more ends.
  kernel::TimePoint since{};  // The latest end.
  uint64_t source = 0;        // Gateway that learned of the latest end.
  bool operator==(const Quarantine&) const = default;

  // Returns the kind of what is refused: requests with these parts, or one
  // request.
  SubjectKind kind() const;
};

class Beliefs {
 public:
  // Called after each change of the quarantine, with the new one.
  using Observer = std::function<void(const std::vector<Quarantine>&)>;

  // `source` identifies this run of the gateway, which has begun at `started`.
  explicit Beliefs(uint64_t source, kernel::TimePoint started = {})
      : source_(source), started_(started) {}

  void SetObserver(Observer observer) { observer_ = std::move(observer); }

  // Records that an answer to a request with these subjects began at `at` and
  // its upstream went on afterwards.
  void OnAnswerBegan(const std::vector<Subject>& subjects,
                     kernel::TimePoint at,
                     kernel::TimePoint now);
  // Records that the connection to `upstream` was lost before an answer to a
  // request with these subjects, sent at `sent_at`, had begun. Counts only if
  // the start of the upstream turns out to have ended, and not before that.
  void OnLostBeforeAnswer(const Upstream& upstream,
                          const std::vector<Subject>& subjects,
                          kernel::TimePoint sent_at,
                          kernel::TimePoint now);
  // Returns whether a loss was recorded at this start, and it is not known
  // whether the start has ended.
  bool AwaitsEndOf(const Upstream& upstream) const;
  // Records that all starts of the upstream except `except_start` have ended
  // without notice.
  void OnEnded(std::string_view upstream_id, uint64_t except_start = 0);

  // Returns a quarantine that holds for a request with these subjects; null if
  // there is none. Once its time has passed, one request at a time is let
  // through as a trial; `is_trial` tells that this request is one.
  const Quarantine* FindQuarantine(const std::vector<Subject>& subjects,
                                   kernel::TimePoint now,
                                   bool is_trial = false) const;
  // Returns the time from which this gateway tries the subjects again. Gateways
  // try in turn, so that the others hear of the first trial's end.
  kernel::TimePoint TrialFrom(const Quarantine& quarantine) const;
  // Returns when the next request with the quarantined subjects may be sent.
  kernel::TimePoint RefusedUntil(const Quarantine& quarantine) const;
  // Records that a request with these subjects is sent. Returns whether it is a
  // trial of quarantined subjects.
  bool OnSent(const std::vector<Subject>& subjects, kernel::TimePoint now);
  // Returns whether a request with these subjects that was lost before its
  // answer may be repeated, although its upstream's `start` has ended: answers
  // on its parts are known, or on the whole request if it has none, and the
  // request is not suspected of another end.
  bool MayRepeatAfterEnd(const std::vector<Subject>& subjects,
                         uint64_t start) const;

  // Records that an answer of `upstream` says that it leaves. Returns whether
  // that is new.
  bool OnLeaving(const Upstream& upstream, kernel::TimePoint now);
  // Records that `upstream` wants no requests of this gateway before `until`.
  void HoldBack(const Upstream& upstream, kernel::TimePoint until);
  // Records the limit that an answer of `upstream` to a request sent at
  // `sent_at` names; nullopt if it names none. Returns whether it has changed.
  bool OnLimit(const Upstream& upstream,
               std::optional<double> per_second,
               kernel::TimePoint sent_at,
               kernel::TimePoint now);
  // Records that no permit for `upstream` is to be had for `wait`.
  void OnPermitRefused(const Upstream& upstream,
                       kernel::Duration wait,
                       kernel::TimePoint now);
  // Records that a start of an upstream stays cold until `until`, at most
  // kMaxColdTime from now on. Returns whether that is news.
  bool OnCold(uint64_t start, kernel::TimePoint until, kernel::TimePoint now);
  // Records the suspicion that the start is cold, or returns cold, until
  // `until`. Returns whether there was none before.
  bool SuspectCold(uint64_t start,
                   kernel::TimePoint until,
                   kernel::TimePoint now);
  // Returns the time until which the start counts as cold; `now` or earlier if
  // it does not.
  kernel::TimePoint ColdUntil(uint64_t start, kernel::TimePoint now) const;
  // Returns the number of starts that count as cold.
  size_t CountCold(kernel::TimePoint now) const;
  static constexpr kernel::Duration kMaxColdTime = std::chrono::seconds(60);
  // Returns the limit of a start of an upstream, in requests a second; nullopt
  // if none is known.
  std::optional<double> LimitOf(uint64_t start, kernel::TimePoint now) const;
  // Returns whether this start of an upstream wants no requests now: it leaves,
  // or holds this gateway back.
  bool IsClosed(uint64_t start, kernel::TimePoint now) const {
    return OpensAt(start, now) > now;
  }
  // Returns when requests may next be placed at this start of an upstream: once
  // it is not closed and a permit may be had. `now` or earlier if they may be
  // now, max() if it leaves.
  kernel::TimePoint MayPlaceAt(uint64_t start, kernel::TimePoint now) const;

  // Merges facts of other gateways. `has_more` tells that others will follow at
  // once; until then nothing new is concluded, since what clears a subject may
  // be among them.
  void MergeFacts(const std::vector<Fact>& facts,
                  kernel::TimePoint now,
                  bool has_more = false);
  const FactStore& facts() const { return facts_; }
  const std::vector<Quarantine>& quarantine() const { return quarantine_; }
  uint64_t source() const { return source_; }

  // Drops what is too old; call every second.
  void DropExpired(kernel::TimePoint now);

 private:
  // Losses at one start of an upstream that may have ended.
  struct PendingLoss {
    std::string upstream_id;
    kernel::TimePoint at{};
    std::vector<Subject> suspects;
  };
  // Last times at which answers on subjects of one kind began here. Two
  // generations, of which the older one is dropped when the newer one is full.
  struct SoundTimes {
    std::unordered_map<uint64_t, kernel::TimePoint> recent;
    std::unordered_map<uint64_t, kernel::TimePoint> older;
  };

  using Times = std::unordered_map<uint64_t, kernel::TimePoint>;  // By start.

  // Keeps the later time for the start.
  static void SetLater(Times& times, uint64_t start, kernel::TimePoint time);
  kernel::TimePoint OpensAt(uint64_t start, kernel::TimePoint now) const;
  // Adds what was lost here at a start that has ended.
  void AddPendingLoss(uint64_t start);
  void RecordEnd(uint64_t start, const PendingLoss& loss);
  // Adds facts on those of `subjects` that are suspected and that are known
  // here to be sound. Returns whether there were any news.
  bool TellSoundness(const std::vector<Subject>& subjects,
                     kernel::TimePoint now);
  std::optional<kernel::TimePoint> LastSoundAt(Subject subject) const;
  // Returns whether answers on the subject are known to have begun.
  bool IsKnownSound(Subject subject) const;
  void UpdateQuarantine(kernel::TimePoint now);

  // Returns whether a conclusion may rest on these ends: not yet if this
  // gateway has just started and they are new.
  bool MayConclude(const std::set<const Fact*>& ends,
                   kernel::TimePoint now) const;

  const uint64_t source_;
  const kernel::TimePoint started_;
  Observer observer_;
  FactStore facts_;
  std::unordered_map<uint64_t, PendingLoss> pending_;  // By start.
  std::array<SoundTimes, static_cast<size_t>(kLastSubjectKind) + 1> sound_;
  std::vector<Quarantine> quarantine_;
  // Of the latest trials here, by the first subject of the quarantine.
  std::map<Subject, kernel::TimePoint> trials_;
  Times held_back_until_;
  Times no_permit_until_;
  Times suspected_cold_until_;
  // Until then, more facts are expected.
  kernel::TimePoint incomplete_until_{};
  bool has_start_facts_ = false;  // Leaving, limited or cold starts.
};

}  // namespace jackdawshunt::routing

#endif  // JACKDAWSHUNT_ROUTING_BELIEFS_H_
