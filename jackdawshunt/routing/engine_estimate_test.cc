#include "jackdawshunt/routing/engine_estimate.h"

#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"

namespace jackdawshunt::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The engine prefills 30 tokens per ms, so a prompt takes 315 ms.
constexpr double kTokensPerMs = 30;
constexpr uint32_t kTokens = 9000;
constexpr kernel::Duration kPrefillTime = milliseconds(315);

class EngineReportMergeTest : public ::testing::Test {
 protected:
  EngineReportMergeTest() { engine_.set_slots(48); }

  kernel::Duration Wait() const {
    return engine_.Estimate({1}, {{1, kTokens}}, now_).wait;
  }
  void Claim(uint64_t request) {
    engine_.Claim(absl::StrCat(request), {100 + request},
                  {{100 + request, kTokens}}, 80, now_);
  }
  // Advances the time in steps of 100 ms with `report` after each.
  void Report(const EngineReport& report, kernel::Duration time) {
    for (const kernel::TimePoint end = now_ + time; now_ < end;) {
      now_ += milliseconds(100);
      engine_.OnReport(report, now_);
    }
  }

  EngineEstimate engine_{{.cache_tokens = 444000}, kTokensPerMs};
  kernel::TimePoint now_{seconds(100)};
};

// Guards against an engine that looks idle to a board that has restarted, while
// it still holds 10 to 18 waiting requests of gateways that no longer exist.
TEST_F(EngineReportMergeTest, RequestsThatNoGatewayClaimsCountInTheWait) {
  EXPECT_EQ(Wait().count(), 0);
  engine_.OnReport(
      {.waiting = 14, .running = 20, .next_prompt_tokens = kTokens}, now_);
  EXPECT_EQ(engine_.unclaimed(), 14u);
  EXPECT_EQ(Wait(), 14 * kPrefillTime);
  const auto cost = engine_.Estimate({1}, {{1, kTokens}}, now_);
  EXPECT_EQ(cost.idle_time.count(), 0);
  Claim(1);
  EXPECT_EQ(Wait(), 15 * kPrefillTime);
  // The claimed request is one of those in the report.
  now_ += milliseconds(100);
  engine_.OnReport(
      {.waiting = 15, .running = 20, .next_prompt_tokens = kTokens}, now_);
  EXPECT_EQ(engine_.unclaimed(), 14u);
}

// Guards against a load that counts for good after the engine stops reporting.
TEST_F(EngineReportMergeTest, OldReportDoesNotCount) {
  engine_.OnReport(
      {.waiting = 100, .running = 20, .next_prompt_tokens = kTokens}, now_);
  EXPECT_GT(Wait(), seconds(30));
  now_ += milliseconds(501);
  EXPECT_EQ(Wait().count(), 0);
}

// Guards against claims of gateways that were killed before they sent the
// request: each would delay all others until it expires after 4 s and more.
TEST_F(EngineReportMergeTest, ClaimsThatTheEngineDoesNotHoldStopCounting) {
  for (uint64_t request = 1; request <= 20; ++request) {
    Claim(request);
  }
  Report({.waiting = 2, .running = 1}, milliseconds(100));
  EXPECT_GT(Wait(), 18 * kPrefillTime);  // May still reach the engine.
  Report({.waiting = 2, .running = 1}, milliseconds(500));
  EXPECT_LE(Wait(), 2 * kPrefillTime);
  EXPECT_EQ(engine_.waiting(), 2u);
  Report({.running = 3}, milliseconds(500));
  EXPECT_EQ(engine_.waiting(), 0u);
  EXPECT_EQ(Wait().count(), 0);
}

// Guards against claims that are dropped because they are newer than the
// report.
TEST_F(EngineReportMergeTest, NewClaimsAreKept) {
  for (uint64_t request = 1; request <= 20; ++request) {
    Claim(request);
    now_ += milliseconds(50);
    engine_.OnReport({}, now_);
    engine_.OnFirstEvent(absl::StrCat(request), now_);
  }
  Claim(21);
  now_ += milliseconds(50);
  engine_.OnReport({}, now_);
  EXPECT_EQ(engine_.waiting(), 1u);
}

// Guards against a wait by prefill only, at an engine whose slots are all in
// use: requests start as fast as running ones end.
TEST_F(EngineReportMergeTest, FullEngineOffersTheTimeUntilASlot) {
  EngineReport report{.waiting = 10, .running = 48, .next_prompt_tokens = 100};
  uint64_t first = 0;
  // Ten requests end per second.
  for (int i = 0; i < 20; ++i, ++first) {
    report.runs.clear();
    for (uint64_t id = first; id < first + 48; ++id) {
      report.runs.push_back({.request = id, .tokens = 1000, .events = 5});
    }
    now_ += milliseconds(100);
    engine_.OnReport(report, now_);
  }
  EXPECT_NEAR(static_cast<double>(Wait().count()), 1.1e6, 1e5);
  report.running = 40;  // Has slots, and the queue waits for prefill.
  engine_.OnReport(report, now_);
  EXPECT_LT(Wait(), milliseconds(300));
}

// Guards against a low rate that is learned from prompts which waited behind
// unclaimed ones.
TEST_F(EngineReportMergeTest, WaitBehindUnclaimedRequestsIsNotLearned) {
  Report({.waiting = 14, .running = 20}, milliseconds(100));
  Claim(1);
  now_ += seconds(4);
  engine_.OnFirstEvent("1", now_);
  EXPECT_EQ(engine_.prefill_tokens_per_ms(), kTokensPerMs);
}

}  // namespace
}  // namespace jackdawshunt::routing
