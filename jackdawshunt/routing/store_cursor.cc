#include "jackdawshunt/routing/store_cursor.h"

#include <algorithm>

namespace jackdawshunt::routing {

AnswerUse StoreCursor::OnList(StoreRevision answer) {
  if (has_era_ && answer.era < position_.era) {
    return AnswerUse::kDrop;
  }
  is_restored_ = has_era_ && answer.era > position_.era;
  position_ = std::max(position_, answer);
  has_era_ = true;
  has_list_ = true;
  return AnswerUse::kApply;
}

AnswerUse StoreCursor::OnWatch(StoreRevision answer) {
  if (answer.era < position_.era) {
    return AnswerUse::kDrop;
  }
  if (answer.era > position_.era) {
    has_list_ = false;
    return AnswerUse::kListAgain;
  }
  if (answer < position_) {
    return AnswerUse::kKnown;
  }
  position_ = answer;
  return AnswerUse::kApply;
}

}  // namespace jackdawshunt::routing
