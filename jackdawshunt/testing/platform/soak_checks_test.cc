// Tests of what a soak judges of cold starts and evacuations.
#include <map>
#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "jackdawshunt/testing/platform/soak_cold_check.h"
#include "jackdawshunt/testing/platform/soak_disturbances.h"
#include "jackdawshunt/testing/platform/soak_evacuation_check.h"

namespace jackdawshunt::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

kernel::TimePoint At(double s) {
  return kernel::TimePoint(std::chrono::duration_cast<kernel::Duration>(
      std::chrono::duration<double>(100 + s)));
}

// Guards against excuses for gateways that knew before they were disturbed, and
// against judging ones that cannot know yet.
TEST(SoakDisturbancesTest, AGatewayMustKnowOnceItWasInContact) {
  EXPECT_TRUE(MustKnow({}, At(0), At(0)));
  EXPECT_FALSE(MustKnow({}, At(0), At(-1)));
  // Disturbed all the time, or until less than the contact time ago.
  EXPECT_FALSE(MustKnow({{At(-1), At(9)}}, At(0), At(8)));
  EXPECT_FALSE(MustKnow({{At(-1), At(1)}}, At(0), At(4.9)));
  EXPECT_TRUE(MustKnow({{At(-1), At(1)}}, At(0), At(5.1)));
  // Disturbed only after it knew.
  EXPECT_TRUE(MustKnow({{At(1), At(2)}}, At(0), At(3)));
  // The pause between two disturbances is too short.
  EXPECT_FALSE(MustKnow({{At(-1), At(1)}, {At(4), At(6)}}, At(0), At(8)));
}

// Guards against a check that overlooks requests to an evacuated data centre.
TEST(SoakEvacuationCheckTest, ForbidsFromTheBoundUntilTakenBack) {
  EvacuationCheck check(seconds(3));
  check.OnEvacuated("z1", At(0));
  EXPECT_TRUE(check.IsEvacuated("z1"));
  EXPECT_FALSE(check.IsForbidden("z1", {}, At(2.9)));
  EXPECT_TRUE(check.IsForbidden("z1", {}, At(3.1)));
  EXPECT_FALSE(check.IsForbidden("z2", {}, At(3.1)));
  EXPECT_FALSE(check.IsForbidden("z1", {{At(2), At(3)}}, At(6)));
  check.OnTakenBack("z1", At(9));
  EXPECT_FALSE(check.IsEvacuated("z1"));
  EXPECT_TRUE(check.IsForbidden("z1", {}, At(8.9)));
  EXPECT_FALSE(check.IsForbidden("z1", {}, At(9)));
  check.OnEvacuated("z1", At(10));
  EXPECT_FALSE(check.IsForbidden("z1", {}, At(12)));
  EXPECT_TRUE(check.IsForbidden("z1", {}, At(13.1)));
  EXPECT_EQ(check.evacuations(), 2u);
}

// Guards against judging gateways that learned from an older copy of the store
// that the data centre was taken back.
TEST(SoakEvacuationCheckTest, AStoreRestoredFromACopyIsAnExcuse) {
  EvacuationCheck check(seconds(1));
  check.OnEvacuated("z1", At(0));
  const std::vector<Disturbance> restoration = {{At(5), At(7)}};
  EXPECT_TRUE(check.IsForbidden("z1", restoration, At(8)));
  check.OnStoreRestored(At(5));
  EXPECT_TRUE(check.IsForbidden("z1", restoration, At(4)));
  EXPECT_FALSE(check.IsForbidden("z1", restoration, At(8)));
  EXPECT_TRUE(check.IsForbidden("z1", restoration, At(11.1)));
}

// Guards against counts that miss a second which spans two whole ones.
TEST(SoakColdCheckTest, AnySecondCounts) {
  std::vector<kernel::TimePoint> times(10);
  for (size_t i = 0; i < times.size(); ++i) {
    times[i] = At(0.6) + milliseconds(i * 100);
  }
  EXPECT_EQ(MostInASecond(times), 10u);
  times.push_back(At(1.6));
  EXPECT_EQ(MostInASecond(times), 10u);
  times.push_back(At(1.65));
  EXPECT_EQ(MostInASecond(times), 11u);
}

}  // namespace
}  // namespace jackdawshunt::testing
