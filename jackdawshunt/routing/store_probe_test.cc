#include "jackdawshunt/routing/store_probe.h"

#include "gtest/gtest.h"

namespace jackdawshunt::routing {
namespace {

using std::chrono::milliseconds;

// Guards against a fleet whose followers all call a store that is away, which
// then has to turn away three times as many calls.
TEST(StoreProbeTest, OneFollowerAtATimeAsksAStoreThatIsAway) {
  kernel::ManualClock clock;
  StoreProbe probe;
  int calls = 0;
  for (int i = 0; i < 100; ++i) {
    for (int follower = 0; follower < 3; ++follower) {
      calls += probe.MayCall(milliseconds(1000), clock.Now()) ? 1 : 0;
    }
    clock.Advance(milliseconds(100));
  }
  EXPECT_EQ(calls, 10);
}

TEST(StoreProbeTest, AllFollowersCallOnceTheStoreAnswers) {
  kernel::ManualClock clock;
  StoreProbe probe;
  EXPECT_TRUE(probe.MayCall(milliseconds(1000), clock.Now()));
  EXPECT_FALSE(probe.MayCall(milliseconds(1000), clock.Now()));
  probe.OnAnswer();
  EXPECT_TRUE(probe.MayCall(milliseconds(1000), clock.Now()));
  probe.OnAnswer();
  EXPECT_TRUE(probe.MayCall(milliseconds(1000), clock.Now()));
}

}  // namespace
}  // namespace jackdawshunt::routing
