// Counts the slots of an upstream, which bound how many requests of each class
// run at once. Some slots are reserved for short requests, so that these do not
// wait behind long ones. Does no I/O.
//
// Example:
//   side::SlotTable slots;
//   slots.Resize(/*slots=*/8, /*short_slots=*/2);
//   if (slots.HasFreeSlotFor(protocol::RequestClass::kLong)) {
//     slots.Take(protocol::RequestClass::kLong);
//   }
//
// Not thread-safe.
#ifndef JACKDAWSHUNT_SIDE_SLOT_TABLE_H_
#define JACKDAWSHUNT_SIDE_SLOT_TABLE_H_

#include <cstdint>

#include "jackdawshunt/protocol/messages.h"

namespace jackdawshunt::side {

class SlotTable {
 public:
  // Sets the number of slots and how many of them are reserved for short
  // requests. A smaller number takes effect as running requests end.
  void Resize(int32_t slots, int32_t short_slots);

  // Returns whether a request of this class may take a slot.
  bool HasFreeSlotFor(protocol::RequestClass request_class) const;
  // Counts a slot as used. Doesn't check that one is free.
  void Take(protocol::RequestClass request_class);
  void Release(protocol::RequestClass request_class);
  // Counts a running short request as long, so that it no longer occupies a
  // slot reserved for short requests.
  void ReclassifyAsLong();

  int32_t slots() const { return slots_; }
  int32_t used() const { return used_short_ + used_long_; }
  // Returns the number of unused slots, reserved ones included.
  int32_t free() const;

 private:
  int32_t slots_ = 0;
  int32_t short_slots_ = 0;
  int32_t used_short_ = 0;
  int32_t used_long_ = 0;
};

}  // namespace jackdawshunt::side

#endif  // JACKDAWSHUNT_SIDE_SLOT_TABLE_H_
