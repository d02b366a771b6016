// Facts about upstreams' starts, and about what they were sent, that gateways
// learn from answers and losses, and tell each other through the boards.
//
// Example:
//   routing::FactStore facts;
//   facts.Merge({.kind = routing::FactKind::kStartEnded, .subject = start,
//                .source = gateway, .at = now,
//                .suspects = {{routing::SubjectKind::kPart, 0x91bd3f06}}},
//                now);
//   for (const routing::Fact* fact : facts.ChangedSince(revision, 8)) {}
//
// Merging is commutative and idempotent, so facts may arrive in any order and
// more than once. The number of facts of each kind and their age are bounded.
//
// Not thread-safe.
#ifndef JACKDAWSHUNT_ROUTING_FLEET_FACTS_H_
#define JACKDAWSHUNT_ROUTING_FLEET_FACTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include "jackdawshunt/kernel/clock.h"

namespace jackdawshunt::routing {

// What can end the upstreams that serve it.
enum class SubjectKind : uint8_t {
  kPart,     // A shared part of prompts.
  kRequest,  // All that an upstream gets of a request; see ContentHash().
};
inline constexpr SubjectKind kLastSubjectKind = SubjectKind::kRequest;

struct Subject {
  SubjectKind kind = SubjectKind::kPart;
  uint64_t id = 0;

  bool operator==(const Subject&) const = default;
  bool operator<(const Subject& other) const {
    return std::tie(kind, id) < std::tie(other.kind, other.id);
  }
};
// Returns the ids of the subjects of this kind.
std::vector<uint64_t> IdsOf(const std::vector<Subject>& subjects,
                            SubjectKind kind);

enum class FactKind : uint8_t {
  // The start `subject` of an upstream ended without notice, while answers on
  // `suspects` had not begun there.
  kStartEnded,
  // An answer on the part `subject` began, and its upstream went on.
  kPartSound,
  // The start `subject` of an upstream says that it leaves.
  kStartLeaving,
  // The start `subject` of an upstream takes `value` requests a second from all
  // instances together; 0 if it names no limit any more.
  kStartLimit,
  // An answer to the request `subject` began, and its upstream went on.
  kRequestSound,
  // The start `subject` of an upstream stays cold for `value` seconds from `at`
  // on.
  kStartCold,
};
inline constexpr FactKind kLastFactKind = FactKind::kStartCold;
// Returns the kind of the facts that clear subjects of `kind`.
FactKind SoundFactKind(SubjectKind kind);
std::string_view FactKindName(FactKind kind);

struct Fact {
  FactKind kind = FactKind::kStartEnded;
  uint64_t subject = 0;
  uint64_t source = 0;  // Incarnation of the gateway that learned it.
  kernel::TimePoint at{};
  double value = 0;
  std::vector<Subject> suspects;  // Sorted; see AddSuspects().

  bool operator==(const Fact&) const = default;
};
// Suspects of one end that are kept at most.
size_t MaxSuspects(SubjectKind kind);
// Adds `suspects` of the end of `start` to `kept`, sorted and without
// duplicates. If there are too many of a kind, keeps those that all gateways
// keep, in whichever order they learn of them.
void AddSuspects(const std::vector<Subject>& suspects,
                 uint64_t start,
                 std::vector<Subject>& kept);

class FactStore {
 public:
  using Key = std::pair<FactKind, uint64_t>;
  struct Row {
    Fact fact;
    uint64_t revision = 0;  // Of the store at its last change.
  };

  // Adds `fact` or merges it with the one of the same kind and subject, and
  // drops some of the kind when there are too many. Returns whether the store
  // changed.
  bool Merge(const Fact& fact, kernel::TimePoint now);
  // Drops facts that are too old. Returns whether there were any.
  bool DropExpired(kernel::TimePoint now);

  const std::map<Key, Row>& rows() const { return rows_; }
  // Returns null when there is no such fact.
  const Fact* Find(FactKind kind, uint64_t subject) const;
  // Returns the fact that clears a subject; null if there is none.
  const Fact* FindSound(Subject subject) const {
    return Find(SoundFactKind(subject.kind), subject.id);
  }
  // Returns whether the subject may explain the end of a start other than
  // `start`.
  bool IsSuspectedElsewhere(Subject subject, uint64_t start) const;
  // A subject that may explain the end of a start.
  struct Suspicion {
    Subject subject;
    const Fact* end = nullptr;
  };
  // Returns the suspicions of all subjects that may explain more than one end,
  // in the order of the subjects. An answer clears its subjects of the ends
  // before it. Valid until the next change.
  std::vector<Suspicion> Suspicions() const;
  // Returns the facts that changed after `revision`, at most `count`, in the
  // order of their changes. Valid until the next change.
  std::vector<const Row*> ChangedSince(uint64_t revision, size_t count) const;
  // Returns the number of changes so far.
  uint64_t revision() const { return revision_; }
  // Returns the time after which facts of this kind are dropped.
  static kernel::Duration MaxAge(FactKind kind);

 private:
  // Drops some facts if there are too many of the kind: the oldest of those
  // that no suspicion rests on, then the oldest.
  void DropSomeIfTooMany(FactKind kind);

  std::map<Key, Row> rows_;
  uint64_t revision_ = 0;
};

}  // namespace jackdawshunt::routing

#endif  // JACKDAWSHUNT_ROUTING_FLEET_FACTS_H_
