#include "jackdawshunt/routing/upstream_speed.h"

#include "gtest/gtest.h"

namespace jackdawshunt::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Replays the reports of an engine that takes 4.23 ms per event.
class UpstreamSpeedTest : public ::testing::Test {
 protected:
  static constexpr double kEventMs = 4.23;
  static constexpr kernel::Duration kPeriod = milliseconds(100);

  // Runs the engine `factor` times slower than usual.
  void Run(kernel::Duration time, double factor) {
    for (const kernel::TimePoint end = now_ + time; now_ < end;) {
      now_ += kPeriod;
      events_ += 100 / (kEventMs * factor);
      speed_.OnReport(
          {.running = 2,
           .runs = {{.request = 1, .events = static_cast<uint32_t>(events_)},
                    {.request = 2,
                     .events = static_cast<uint32_t>(events_) + 7}}},
          now_);
    }
  }

  UpstreamSpeed speed_{30};
  kernel::TimePoint now_{seconds(100)};
  double events_ = 10;
};

// Guards against requests that are sent to an engine in a slow period as if it
// was fast.
TEST_F(UpstreamSpeedTest, SlowPeriodIsSeenAndItsEndToo) {
  Run(seconds(3), 1);
  EXPECT_EQ(speed_.Slowdown(now_), 1);
  EXPECT_EQ(speed_.SlowDelay(seconds(1), now_).count(), 0);
  Run(milliseconds(300), 2.5);
  EXPECT_GT(speed_.Slowdown(now_), 1.7);
  EXPECT_GT(speed_.SlowDelay(seconds(1), now_), milliseconds(100));
  // No more than is left of the period.
  EXPECT_LT(speed_.SlowDelay(seconds(1), now_), milliseconds(400));
  // Short work is delayed by the factor.
  EXPECT_LT(speed_.SlowDelay(milliseconds(10), now_), milliseconds(20));
  Run(milliseconds(300), 2.5);
  EXPECT_GT(speed_.Slowdown(now_), 2);
  Run(milliseconds(300), 1);
  EXPECT_EQ(speed_.Slowdown(now_), 1);
}

// Guards against slow periods, 0.15 of the time, that make an engine count as
// slower for good.
TEST_F(UpstreamSpeedTest, SlowPeriodsAreNotLearned) {
  Run(seconds(3), 1);
  for (int i = 0; i < 20; ++i) {
    Run(milliseconds(600), 2.5);
    Run(milliseconds(3400), 1);
  }
  EXPECT_NEAR(speed_.Observed().event_ms, kEventMs, 0.05 * kEventMs);
}

// Guards against an engine that became slower and counts as in a slow period
// for good.
TEST_F(UpstreamSpeedTest, LastingChangeIsLearned) {
  Run(seconds(3), 1);
  Run(seconds(8), 2.5);
  EXPECT_EQ(speed_.Slowdown(now_), 1);
  EXPECT_NEAR(speed_.Observed().event_ms, 2.5 * kEventMs, 0.5 * kEventMs);
}

// Guards against a slow period that is seen in streams which only wait for the
// prefill of another prompt.
TEST_F(UpstreamSpeedTest, PrefillOfOthersIsNoSlowPeriod) {
  Run(seconds(3), 1);
  for (int i = 0; i < 12; ++i) {
    now_ += kPeriod;
    events_ += 1.5;
    EngineReport report{
        .waiting = i % 3 == 2 ? 0U : 1U,
        .running = 1,
        .runs = {{.request = 1, .events = static_cast<uint32_t>(events_)}}};
    if (i % 3 == 2) {  // The prompt was prefilled.
      report.runs.push_back(
          {.request = 100 + static_cast<uint64_t>(i), .events = 1});
    }
    speed_.OnReport(report, now_);
    EXPECT_EQ(speed_.Slowdown(now_), 1);
  }
  EXPECT_NEAR(speed_.Observed().event_ms, kEventMs, 0.05 * kEventMs);
}

// Guards against a restarted board that begins with 30 tokens per ms at an
// engine that reads 64 to 93.
TEST_F(UpstreamSpeedTest, PriorIsUsedUntilTheEngineShowsItsOwnSpeed) {
  speed_.set_prior({.prefill_tokens_per_ms = 93, .event_ms = 3.3});
  EXPECT_EQ(speed_.prefill_tokens_per_ms(), 93);
  EXPECT_EQ(speed_.Observed(), Speed{});  // Nothing of its own.
  speed_.set_prior({.prefill_tokens_per_ms = 10});
  EXPECT_EQ(speed_.prefill_tokens_per_ms(), 93);
  Run(seconds(1), 1);
  for (int i = 0; i < 60; ++i) {
    now_ += milliseconds(400);
    speed_.OnPrefill(6400, 100, now_);
    Run(kPeriod, 1);
  }
  EXPECT_NEAR(speed_.prefill_tokens_per_ms(), 64, 3);
  EXPECT_NEAR(speed_.Observed().prefill_tokens_per_ms, 64, 3);
}

// Guards against rates below those of the engine for the first tens of prompts.
TEST_F(UpstreamSpeedTest, FirstPrefillsReplaceTheAssumedRate) {
  Run(milliseconds(200), 1);
  speed_.OnPrefill(9300, 100, now_);
  EXPECT_NEAR(speed_.prefill_tokens_per_ms(), 93, 0.1);
}

// Guards against one prompt whose cached parts were evicted and that makes the
// engine count as slow.
TEST_F(UpstreamSpeedTest, OneLongPrefillIsNoSlowPeriod) {
  Run(seconds(1), 1);
  for (int i = 0; i < 10; ++i) {
    speed_.OnPrefill(6400, 100, now_);
    now_ += milliseconds(400);
  }
  speed_.OnPrefill(2000, 300, now_);
  EXPECT_EQ(speed_.Slowdown(now_), 1);
  now_ += milliseconds(100);
  speed_.OnPrefill(6400, 250, now_);
  EXPECT_GT(speed_.Slowdown(now_), 1.7);
}

}  // namespace
}  // namespace jackdawshunt::routing
