// Tracks the position of a follower in the platform's store, over restorations
// of the store from an older copy.
//
// After a restoration the store has lost its latest changes, and it gives out
// their revisions again for other changes. Its era rises by one, so revisions
// are compared only within one era. A follower that watched on from a revision
// of an earlier era would miss changes, so it lists all records again; an
// answer of an earlier era arrived late and is dropped.
//
// A follower may have several watches at once. Their answers can arrive in
// another order than that in which the store gave them, so an older one is not
// applied over a newer one.
//
// Example:
//   routing::StoreCursor cursor;
//   cursor.OnList({.era = 1, .revision = 530});
//   if (cursor.OnWatch(answer.revision) == routing::AnswerUse::kListAgain) {
//     List();
//   }
//
// Performs no input or output. Not thread-safe.
#ifndef JACKDAWSHUNT_ROUTING_STORE_CURSOR_H_
#define JACKDAWSHUNT_ROUTING_STORE_CURSOR_H_

#include <compare>
#include <cstdint>

namespace jackdawshunt::routing {

// A revision of the store. Every revision of a later era is newer than all
// revisions of earlier eras.
struct StoreRevision {
  uint64_t era = 0;  // Number of restorations; 0 if the store does not tell.
  uint64_t revision = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false report on a defaulted <=>.
  auto operator<=>(const StoreRevision&) const = default;
};

// How a follower uses an answer of the store.
enum class AnswerUse {
  kApply,
  kKnown,      // Older than position(): all of its changes are known.
  kListAgain,  // The store was restored since the last list.
  kDrop,       // From an earlier era.
};

class StoreCursor {
 public:
  // Records the answer to a list or to a watch from position(). On kApply the
  // position advances to the answer.
  AnswerUse OnList(StoreRevision answer);
  AnswerUse OnWatch(StoreRevision answer);
  // Requires a list before the next watch, since the store no longer has the
  // history.
  void RequireList() { has_list_ = false; }

  // Returns whether a list was applied and watches may continue from it.
  bool has_list() const { return has_list_; }
  // Returns the revision up to which all changes are known.
  StoreRevision position() const { return position_; }
  // Returns whether the last list was the first one after a restoration of
  // which this follower knows.
  bool is_restored() const { return is_restored_; }

 private:
  StoreRevision position_;
  bool has_list_ = false;
  bool has_era_ = false;  // An earlier answer showed the era.
  bool is_restored_ = false;
};

}  // namespace jackdawshunt::routing

#endif  // JACKDAWSHUNT_ROUTING_STORE_CURSOR_H_
