#include "jackdawshunt/side/slot_table.h"

#include <algorithm>

namespace jackdawshunt::side {

using protocol::RequestClass;

void SlotTable::Resize(int32_t slots, int32_t short_slots) {
  slots_ = slots;
  short_slots_ = std::min(short_slots, slots);
}

bool SlotTable::HasFreeSlotFor(RequestClass request_class) const {
  if (used() >= slots_) {
    return false;
  }
  return request_class == RequestClass::kShort ||
         used_long_ < slots_ - short_slots_;
}

void SlotTable::Take(RequestClass request_class) {
  ++(request_class == RequestClass::kShort ? used_short_ : used_long_);
}

void SlotTable::Release(RequestClass request_class) {
  --(request_class == RequestClass::kShort ? used_short_ : used_long_);
}

void SlotTable::ReclassifyAsLong() {
  --used_short_;
  ++used_long_;
}

int32_t SlotTable::free() const {
  return std::max(0, slots_ - used());
}

}  // namespace jackdawshunt::side
