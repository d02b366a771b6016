// Slots of an upstream: how many requests of each class may run at once. Some
// slots are reserved for short requests, so that these do not wait behind long
// ones. Does no I/O.
//
// Example:
//   side::SlotTable slots;
//   slots.Resize(/*slots=*/8, /*short_slots=*/2);
//   if (slots.HasRoomFor(protocol::RequestClass::kLong)) slots.Take(kLong);
#ifndef JACKDAWSHUNT_SIDE_SLOT_TABLE_H_
#define JACKDAWSHUNT_SIDE_SLOT_TABLE_H_

#include <cstdint>

#include "jackdawshunt/protocol/messages.h"

namespace jackdawshunt::side {

class SlotTable {
 public:
  // A smaller size takes effect as running requests end.
  void Resize(int32_t slots, int32_t short_slots);

  bool HasRoomFor(protocol::RequestClass request_class) const;
  void Take(protocol::RequestClass request_class);
  void Release(protocol::RequestClass request_class);
  // A short request turned out to be long: it no longer counts towards the
  // reserved slots.
  void TurnLong();

  int32_t slots() const { return slots_; }
  int32_t used() const { return used_short_ + used_long_; }
  int32_t free() const;

 private:
  int32_t slots_ = 0;
  int32_t short_slots_ = 0;
  int32_t used_short_ = 0;
  int32_t used_long_ = 0;
};

}  // namespace jackdawshunt::side

#endif  // JACKDAWSHUNT_SIDE_SLOT_TABLE_H_
