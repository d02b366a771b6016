#include "jackdawshunt/side/slot_table.h"

#include <gtest/gtest.h>

namespace jackdawshunt::side {
namespace {

using protocol::RequestClass;

TEST(SlotTableTest, ShortRequestsMayUseEverySlot) {
  SlotTable slots;
  slots.Resize(2, 1);
  slots.Take(RequestClass::kShort);
  EXPECT_TRUE(slots.HasFreeSlotFor(RequestClass::kShort));
  slots.Take(RequestClass::kShort);
  EXPECT_FALSE(slots.HasFreeSlotFor(RequestClass::kShort));
}

// Guards against reserved slots that stay taken by requests that were wrongly
// classified as short.
TEST(SlotTableTest, ReclassifiedRequestReleasesItsSlot) {
  SlotTable slots;
  slots.Resize(3, 1);
  slots.Take(RequestClass::kLong);
  slots.Take(RequestClass::kShort);
  slots.ReclassifyAsLong();
  EXPECT_FALSE(slots.HasFreeSlotFor(RequestClass::kLong));
  EXPECT_TRUE(slots.HasFreeSlotFor(RequestClass::kShort));
  slots.Release(RequestClass::kLong);
  EXPECT_TRUE(slots.HasFreeSlotFor(RequestClass::kLong));
  EXPECT_EQ(slots.used(), 1);
}

TEST(SlotTableTest, SmallerSizeTakesEffectAsRequestsEnd) {
  SlotTable slots;
  slots.Resize(2, 0);
  slots.Take(RequestClass::kLong);
  slots.Take(RequestClass::kLong);
  slots.Resize(1, 0);
  EXPECT_EQ(slots.free(), 0);
  slots.Release(RequestClass::kLong);
  EXPECT_FALSE(slots.HasFreeSlotFor(RequestClass::kLong));
}

}  // namespace
}  // namespace jackdawshunt::side
