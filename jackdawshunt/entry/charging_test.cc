#include "jackdawshunt/entry/charging.h"

#include "gtest/gtest.h"
#include "jackdawshunt/entry/service_rate.h"

namespace jackdawshunt::entry {
namespace {

class ChargingTest : public testing::Test {
 protected:
  double Service() const { return ledger_.NormalisedService("lodge"); }
  // Returns the value by which workspaces are ordered.
  double Order() const { return Service() + charging_.PendingCost("lodge"); }

  fairness::Ledger ledger_{"entry-1", {.start_us = 1}};
  Charging charging_{ledger_};
  // Input costs 0.25 and output 1 per token.
  const records::Policy policy_{};
};

// Guards against requests that count as free until they end.
TEST_F(ChargingTest, EstimateIsPendingFromTheStart) {
  charging_.Start("lodge", 160, 100, policy_);
  EXPECT_DOUBLE_EQ(Order(), 40 * 0.25 + 100);
  EXPECT_DOUBLE_EQ(Service(), 0);
}

TEST_F(ChargingTest, ReceivedTokensReplaceTheEstimate) {
  Charge charge = charging_.Start("lodge", 0, 10, policy_);
  charging_.ChargeOutput(charge, 5, policy_);
  EXPECT_DOUBLE_EQ(Service(), 5);
  EXPECT_DOUBLE_EQ(Order(), 10);
  charging_.ChargeOutput(charge, 25, policy_);
  EXPECT_DOUBLE_EQ(Service(), 25);
  EXPECT_DOUBLE_EQ(Order(), 25);
}

// Guards against an estimate that delays a workspace after the actual cost is
// known to be lower, since the first requests are estimated at max_tokens.
TEST_F(ChargingTest, FinishRemovesTheRestOfTheEstimate) {
  Charge charge = charging_.Start("lodge", 0, 500, policy_);
  charging_.Finish(charge, 8, 30, policy_);
  EXPECT_DOUBLE_EQ(Order(), 32);
  EXPECT_DOUBLE_EQ(Service(), 32);
}

// Guards against short requests that wait behind long ones because their
// callers leave max_tokens at its default.
TEST_F(ChargingTest, ClassFollowsTheExpectedOutput) {
  const auto class_of = [this](int64_t max_tokens) {
    return charging_.ClassOf("lodge", max_tokens, policy_);
  };
  EXPECT_EQ(class_of(512), protocol::RequestClass::kLong);
  EXPECT_EQ(class_of(64), protocol::RequestClass::kShort);
  EXPECT_EQ(class_of(65), protocol::RequestClass::kLong);
  Charge charge = charging_.Start("lodge", 0, 512, policy_);
  charging_.Finish(charge, 0, 20, policy_);
  EXPECT_EQ(class_of(512), protocol::RequestClass::kShort);
}

// Guards against a charge for a request that was not executed.
TEST_F(ChargingTest, CancelledRequestCostsNothing) {
  Charge charge = charging_.Start("lodge", 0, 100, policy_);
  charging_.Cancel(charge);
  EXPECT_DOUBLE_EQ(Order(), 0);
}

TEST_F(ChargingTest, IncompleteRequestCostsItsInputAndItsTokens) {
  Charge charge = charging_.Start("lodge", 160, 100, policy_);
  charging_.ChargeOutput(charge, 7, policy_);
  charging_.FinishIncomplete(charge, 7, policy_);
  EXPECT_DOUBLE_EQ(Order(), 40 * 0.25 + 7);
}

// Guards against overestimates for a workspace whose answers are far shorter
// than max_tokens.
TEST_F(ChargingTest, EstimateIsBoundedByTheAverageOutput) {
  Charge charge = charging_.Start("lodge", 0, 100, policy_);
  charging_.Finish(charge, 0, 20, policy_);
  EXPECT_DOUBLE_EQ(charging_.EstimateCost("lodge", 0, 1000, policy_), 20);
  EXPECT_DOUBLE_EQ(charging_.EstimateCost("lodge", 0, 5, policy_), 5);
  EXPECT_DOUBLE_EQ(charging_.EstimateCost("hall", 0, 1000, policy_), 1000);
}

// Guards against Retry-After values that ignore the rate of the queue.
TEST(ServiceRateTest, RetryAfterFollowsTheRecentRate) {
  kernel::ManualClock clock;
  ServiceRate rate;
  EXPECT_EQ(rate.RetryAfter(0, clock.Now()), std::chrono::seconds(1));
  EXPECT_EQ(rate.RetryAfter(1000, clock.Now()), std::chrono::seconds(60));
  for (int i = 0; i < 1000; ++i) {
    rate.CountStart(clock.Now());
    clock.Advance(std::chrono::milliseconds(100));
  }
  EXPECT_NEAR(rate.PerSecond(clock.Now()), 10, 0.2);
  EXPECT_EQ(rate.RetryAfter(99, clock.Now()), std::chrono::seconds(10));
  clock.Advance(std::chrono::minutes(2));
  EXPECT_EQ(rate.RetryAfter(99, clock.Now()), std::chrono::seconds(60));
}

}  // namespace
}  // namespace jackdawshunt::entry
