#include "jackdawshunt/gateway/stream_timing.h"

#include "gtest/gtest.h"

namespace jackdawshunt::gateway {
namespace {

using std::chrono::milliseconds;

constexpr kernel::Duration kFirstEventLimit = milliseconds(800);
constexpr kernel::Duration kPauseLimit = milliseconds(400);

class StreamTimingTest : public ::testing::Test {
 protected:
  kernel::TimePoint At(int ms) const { return arrived_at_ + milliseconds(ms); }
  Lateness LatenessAt(int ms) const {
    return timing_.LatenessOf(kFirstEventLimit, kPauseLimit, At(ms));
  }

  const kernel::TimePoint arrived_at_{std::chrono::seconds(100)};
  StreamTiming timing_{arrived_at_};
};

// Guards against a stream that waited for its first event and is reported as
// one that paused.
TEST_F(StreamTimingTest, WaitForFirstEventIsNoPause) {
  timing_.OnEvents(At(900));
  timing_.OnEvents(At(950));
  EXPECT_EQ(timing_.first_event(), milliseconds(900));
  EXPECT_EQ(timing_.LongestPause(At(950)), milliseconds(50));
  EXPECT_EQ(LatenessAt(950), Lateness::kFirstEvent);
}

// Guards against a pause that later, shorter ones replace.
TEST_F(StreamTimingTest, KeepsLongestPause) {
  timing_.OnEvents(At(100));
  timing_.OnEvents(At(600));
  timing_.OnEvents(At(700));
  EXPECT_EQ(timing_.LongestPause(At(710)), milliseconds(500));
  EXPECT_EQ(LatenessAt(710), Lateness::kPause);
}

// Guards against a stream that was cut off in a pause and counts as in time.
TEST_F(StreamTimingTest, CountsPauseBeforeEnd) {
  timing_.OnEvents(At(100));
  EXPECT_EQ(LatenessAt(500), Lateness::kNone);
  EXPECT_EQ(LatenessAt(501), Lateness::kPause);
  EXPECT_EQ(timing_.LongestPause(At(501)), milliseconds(401));
}

// Guards against a stream without events that counts as in time or as paused.
TEST_F(StreamTimingTest, StreamWithoutEventsIsLateAfterItsTarget) {
  EXPECT_EQ(LatenessAt(800), Lateness::kNone);
  EXPECT_EQ(LatenessAt(2000), Lateness::kFirstEvent);
  EXPECT_EQ(timing_.LongestPause(At(2000)), kernel::Duration::zero());
}

TEST_F(StreamTimingTest, BothCausesAreReported) {
  timing_.OnEvents(At(900));
  timing_.OnEvents(At(1400));
  EXPECT_EQ(LatenessAt(1400), Lateness::kFirstEventAndPause);
  EXPECT_EQ(LatenessName(LatenessAt(1400)), "first_event_and_pause");
}

// Guards against streams that are late on routes that state no limits.
TEST_F(StreamTimingTest, LimitsOfZeroDoNotApply) {
  timing_.OnEvents(At(900));
  timing_.OnEvents(At(1400));
  EXPECT_EQ(timing_.LatenessOf({}, {}, At(1400)), Lateness::kNone);
}

}  // namespace
}  // namespace jackdawshunt::gateway
