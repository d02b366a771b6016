#include "jackdawshunt/gateway/fact_sync.h"

#include <algorithm>

namespace jackdawshunt::gateway {

void FactSync::Reset(uint64_t board) {
  board_ = board;
  board_revision_ = 0;
  known_revision_ = 0;
  at_board_.clear();
  sent_.clear();
  complete_revision_ = 0;
}

void FactSync::OnBoardState(uint64_t board, uint64_t revision) {
  if (board != board_) {
    Reset(board);
  }
  board_revision_ = std::max(board_revision_, revision);
}

std::optional<board::FactUpdate> FactSync::NextUpdate(
    const routing::FactStore& facts,
    kernel::TimePoint now) {
  if (board_ == 0) {
    return std::nullopt;
  }
  const bool is_behind = known_revision_ < board_revision_;
  if (!is_behind && complete_revision_ == facts.revision()) {
    return std::nullopt;
  }
  std::erase_if(at_board_, [&facts](const auto& row) {
    return !facts.rows().contains(row.first);
  });
  board::FactUpdate update{.board = board_, .known_revision = known_revision_};
  sent_.clear();
  // What the board has is asked for first: many gateways meet a new board at
  // once, and most of what they know it will have from the first of them.
  for (const auto& [key, row] : facts.rows()) {
    if (is_behind || sent_.size() == board::kMaxFactsPerMessage) {
      break;
    }
    const auto known = at_board_.find(key);
    if (known == at_board_.end() || known->second != row.revision) {
      update.facts.push_back(board::ToAged(row.fact, now));
      sent_.emplace_back(key, row.revision);
    }
  }
  if (!is_behind && update.facts.empty()) {
    complete_revision_ = facts.revision();
    return std::nullopt;
  }
  update.sequence = ++sequence_;
  return update;
}

bool FactSync::OnReply(const board::FactReply& reply,
                       routing::Beliefs& beliefs,
                       kernel::TimePoint now) {
  if (reply.sequence != sequence_) {
    return false;
  }
  if (reply.board != board_) {
    Reset(reply.board);
  }
  for (const auto& [key, revision] : sent_) {
    at_board_[key] = revision;
  }
  sent_.clear();
  std::vector<routing::Fact> facts;
  facts.reserve(reply.facts.size());
  for (const board::AgedFact& aged : reply.facts) {
    facts.push_back(board::FromAged(aged, now));
  }
  beliefs.MergeFacts(facts, now,
                     /*has_more=*/reply.revision < reply.last_revision);
  for (const routing::Fact& fact : facts) {
    const auto row = beliefs.facts().rows().find({fact.kind, fact.subject});
    if (row != beliefs.facts().rows().end() &&
        row->second.fact.suspects == fact.suspects) {
      at_board_[row->first] = row->second.revision;
    }
  }
  known_revision_ = std::max(known_revision_, reply.revision);
  board_revision_ = std::max(board_revision_, reply.last_revision);
  return true;
}

}  // namespace jackdawshunt::gateway
