#include "jackdawshunt/routing/idle_limits.h"

#include <random>

#include "gtest/gtest.h"

namespace jackdawshunt::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class IdleLimitsTest : public ::testing::Test {
 protected:
  kernel::TimePoint Now() const { return clock_.Now(); }
  void Reuse(int count, kernel::Duration idle) {
    for (int i = 0; i < count; ++i) {
      limits_.OnReused("llm", idle, /*was_lost=*/false, Now());
    }
  }

  kernel::ManualClock clock_;
  IdleLimits limits_;
};

// Guards against a new connection for nearly each request where every gateway
// sends one request in 1.6 s to each upstream.
TEST_F(IdleLimitsTest, RequestsThatCanBeRepeatedShowLongerTimesToBeSafe) {
  EXPECT_EQ(limits_.MaxIdle("llm", Now()), IdleLimits::kInitial);
  Reuse(100, milliseconds(800));
  EXPECT_EQ(limits_.MaxIdle("llm", Now()), IdleLimits::kInitial);
  Reuse(20, seconds(3));
  EXPECT_EQ(limits_.MaxIdle("llm", Now()), IdleLimits::kLongest);
  EXPECT_EQ(limits_.MaxIdle("desk", Now()), IdleLimits::kInitial);
}

// Guards against requests that are lost one after the other on connections
// that upstreams have forgotten.
TEST_F(IdleLimitsTest, LossShortensTheTimeForAWhile) {
  Reuse(20, seconds(3));
  limits_.OnReused("llm", milliseconds(500), /*was_lost=*/true, Now());
  EXPECT_EQ(limits_.MaxIdle("llm", Now()), kernel::Duration(milliseconds(250)));
  limits_.OnReused("llm", seconds(2), /*was_lost=*/true, Now());
  EXPECT_EQ(limits_.MaxIdle("llm", Now()), kernel::Duration(milliseconds(250)));
  Reuse(20, seconds(3));
  EXPECT_EQ(limits_.MaxIdle("llm", Now()), kernel::Duration(milliseconds(250)));
  clock_.Advance(seconds(61));
  EXPECT_EQ(limits_.MaxIdle("llm", Now()), IdleLimits::kLongest);
}

// Replays gateways that send one request in 1.6 s to each upstream, half of
// them not repeatable, while half of the upstreams forget connections after
// 300 ms from the tenth second on.
TEST_F(IdleLimitsTest, FewRequestsAreLostWhenUpstreamsBeginToForget) {
  std::mt19937 random(1);
  std::exponential_distribution<> gap(1 / 1.6);
  constexpr int kUpstreams = 46;
  int opened = 0;
  int lost = 0;
  int requests = 0;
  for (int i = 0; i < 3000; ++i) {
    clock_.Advance(milliseconds(35));
    const auto idle = std::chrono::duration_cast<kernel::Duration>(
        std::chrono::duration<double>(gap(random)));
    const bool is_repeatable = random() % 2 == 0;
    const bool forgets = i > 300 && random() % kUpstreams < kUpstreams / 2 &&
                         idle > milliseconds(300);
    ++requests;
    if (!is_repeatable && idle >= limits_.MaxIdle("llm", Now())) {
      ++opened;
      continue;
    }
    limits_.OnReused("llm", idle, forgets, Now());
    lost += !is_repeatable && forgets ? 1 : 0;
    if (i == 300) {
      EXPECT_LT(opened, requests / 8);
    }
  }
  EXPECT_LT(lost, 15);
}

}  // namespace
}  // namespace jackdawshunt::routing
