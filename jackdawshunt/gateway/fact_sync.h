// Keeps the facts of one gateway and one board the same, over datagrams that
// may be lost, repeated or late.
//
// Example:
//   gateway::FactSync sync;
//   sync.OnBoardState(totals.board, totals.facts_revision);
//   if (const auto update = sync.NextUpdate(facts, now)) { Send(*update); }
//   sync.OnReply(reply, beliefs, now);
//
// Performs no input or output. Not thread-safe.
#ifndef JACKDAWSHUNT_GATEWAY_FACT_SYNC_H_
#define JACKDAWSHUNT_GATEWAY_FACT_SYNC_H_

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "jackdawshunt/board/messages.h"
#include "jackdawshunt/routing/beliefs.h"

namespace jackdawshunt::gateway {

class FactSync {
 public:
  // Records the incarnation of the board and the revision of its facts.
  void OnBoardState(uint64_t board, uint64_t revision);
  // Returns the update to send now; nullopt if the board has all `facts` and
  // this gateway all of the board's, or if the board is not known yet.
  std::optional<board::FactUpdate> NextUpdate(const routing::FactStore& facts,
                                              kernel::TimePoint now);
  // Merges the reply. Returns false if it is not to the latest update.
  bool OnReply(const board::FactReply& reply,
               routing::Beliefs& beliefs,
               kernel::TimePoint now);

 private:
  using KeyAndRevision = std::pair<routing::FactStore::Key, uint64_t>;

  void Reset(uint64_t board);

  uint64_t board_ = 0;  // Incarnation; 0 while unknown.
  uint64_t board_revision_ = 0;
  uint64_t known_revision_ = 0;
  uint64_t sequence_ = 0;
  // Revisions of this gateway's facts that the board has.
  std::map<routing::FactStore::Key, uint64_t> at_board_;
  std::vector<KeyAndRevision> sent_;  // With the latest update.
  // Revision of this gateway's facts up to which the board has all of them.
  uint64_t complete_revision_ = 0;
};

}  // namespace jackdawshunt::gateway

#endif  // JACKDAWSHUNT_GATEWAY_FACT_SYNC_H_
