#include "jackdawshunt/side/slot_table.h"

#include <gtest/gtest.h>

namespace jackdawshunt::side {
namespace {

using protocol::RequestClass;

TEST(SlotTableTest, ShortRequestsMayUseEverySlot) {
  SlotTable slots;
  slots.Resize(2, 1);
  slots.Take(RequestClass::kShort);
  EXPECT_TRUE(slots.HasRoomFor(RequestClass::kShort));
  slots.Take(RequestClass::kShort);
  EXPECT_FALSE(slots.HasRoomFor(RequestClass::kShort));
}

// Guards against misjudged requests that fill the reserved slots for good.
TEST(SlotTableTest, OutgrownRequestStillFreesItsSlot) {
  SlotTable slots;
  slots.Resize(3, 1);
  slots.Take(RequestClass::kLong);
  slots.Take(RequestClass::kShort);
  slots.TurnLong();
  EXPECT_FALSE(slots.HasRoomFor(RequestClass::kLong));
  EXPECT_TRUE(slots.HasRoomFor(RequestClass::kShort));
  slots.Release(RequestClass::kLong);
  EXPECT_TRUE(slots.HasRoomFor(RequestClass::kLong));
  EXPECT_EQ(slots.used(), 1);
}

TEST(SlotTableTest, SmallerSizeWaitsForRunningRequests) {
  SlotTable slots;
  slots.Resize(2, 0);
  slots.Take(RequestClass::kLong);
  slots.Take(RequestClass::kLong);
  slots.Resize(1, 0);
  EXPECT_EQ(slots.free(), 0);
  slots.Release(RequestClass::kLong);
  EXPECT_FALSE(slots.HasRoomFor(RequestClass::kLong));
}

}  // namespace
}  // namespace jackdawshunt::side
