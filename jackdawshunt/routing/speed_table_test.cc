#include "jackdawshunt/routing/speed_table.h"

#include <string>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "jackdawshunt/routing/prompt.h"

namespace jackdawshunt::routing {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

Upstream Engine(uint64_t start, uint64_t origin = 1) {
  Upstream engine;
  engine.id = absl::StrCat("engine-", start);
  engine.service = "llm";
  engine.start = start;
  engine.origin = origin;
  return engine;
}

class SpeedTableTest : public ::testing::Test {
 protected:
  void Observe(uint64_t start, double rate) {
    speeds_.Observe(Engine(start),
                    {.prefill_tokens_per_ms = rate, .event_ms = 200 / rate},
                    now_);
  }

  SpeedTable speeds_;
  kernel::TimePoint now_{seconds(100)};
};

// Guards against new starts and restarted boards that begin with an assumed
// rate although others have shown theirs.
TEST_F(SpeedTableTest, PriorIsOfTheStartOrElseOfItsVersion) {
  EXPECT_EQ(speeds_.PriorOf(Engine(1)), Speed{});
  Observe(1, 40);
  EXPECT_EQ(speeds_.PriorOf(Engine(1)).prefill_tokens_per_ms, 40);
  EXPECT_EQ(speeds_.PriorOf(Engine(2)).prefill_tokens_per_ms, 40);
  EXPECT_EQ(speeds_.PriorOf(Engine(2, /*origin=*/7)), Speed{});
  for (int i = 0; i < 200; ++i) {
    Observe(1, 40);
    Observe(3, 100);
  }
  EXPECT_NEAR(speeds_.PriorOf(Engine(2)).prefill_tokens_per_ms, 70, 3);
  EXPECT_EQ(speeds_.PriorOf(Engine(3)).prefill_tokens_per_ms, 100);
}

// Guards against a board that has just started and overwrites what is known.
TEST_F(SpeedTableTest, UnknownSpeedChangesNothing) {
  Observe(1, 40);
  speeds_.Observe(Engine(1), {}, now_);
  EXPECT_EQ(speeds_.PriorOf(Engine(1)).prefill_tokens_per_ms, 40);
}

// Guards against fast engines that idle while slow ones are late, and against
// bounds that change what all engines get together.
TEST_F(SpeedTableTest, PartsFollowSpeedWithinBounds) {
  EXPECT_EQ(speeds_.PaceFactor(1), 1);
  Observe(1, 45);
  Observe(2, 45);
  Observe(3, 109);
  speeds_.Update(now_);
  EXPECT_NEAR(speeds_.PaceFactor(1), 0.68, 0.01);
  EXPECT_NEAR(speeds_.PaceFactor(3), 1.64, 0.01);
  EXPECT_EQ(speeds_.PaceFactor(4), 1);
  Observe(1, 1);  // Bounded before the sum is restored.
  speeds_.Update(now_);
  EXPECT_GT(speeds_.PaceFactor(1), 0.4);
  EXPECT_NEAR(
      speeds_.PaceFactor(1) + speeds_.PaceFactor(2) + speeds_.PaceFactor(3), 3,
      1e-9);
}

// Guards against parts that vary with the measurement among equal engines.
TEST_F(SpeedTableTest, EnginesThatAreAlikeHaveEqualParts) {
  Observe(1, 60);
  Observe(2, 64);
  Observe(3, 66);
  speeds_.Update(now_);
  for (uint64_t start = 1; start <= 3; ++start) {
    EXPECT_EQ(speeds_.PaceFactor(start), 1);
  }
}

// Guards against memory that grows with each start.
TEST_F(SpeedTableTest, StartsWithoutStatementsAreDropped) {
  Observe(1, 40);
  now_ += minutes(3);
  Observe(2, 40);
  speeds_.Update(now_);
  EXPECT_EQ(speeds_.size(), 1u);
  for (uint64_t start = 10; start < 20000; ++start) {
    Observe(start, 40);
  }
  EXPECT_LE(speeds_.size(), 8192u);
}

// Guards against slow engines that get as many prompts as fast ones and refuse
// them, and against prompts that move with each small change of a speed.
TEST(SpeedTableWeightTest, WeightsFollowSpeedsInLargeSteps) {
  SpeedTable speeds;
  const kernel::TimePoint now{std::chrono::seconds(100)};
  std::vector<Upstream> engines(3);
  for (size_t i = 0; i < engines.size(); ++i) {
    engines[i].service = "llm";
    engines[i].start = i + 1;
  }
  const auto observe = [&](double slow, double fast) {
    speeds.Observe(engines[0], {.prefill_tokens_per_ms = slow}, now);
    speeds.Observe(engines[1], {.prefill_tokens_per_ms = slow}, now);
    speeds.Observe(engines[2], {.prefill_tokens_per_ms = fast}, now);
    speeds.Update(now);
  };
  observe(60, 63);
  EXPECT_TRUE(speeds.has_equal_weights());
  observe(45, 109);
  EXPECT_FALSE(speeds.has_equal_weights());
  const double slow = speeds.PlacementWeight(1);
  const double fast = speeds.PlacementWeight(3);
  EXPECT_LT(slow, 0.8);
  EXPECT_GT(fast, 1.3);
  observe(48, 100);
  observe(43, 112);
  EXPECT_EQ(speeds.PlacementWeight(1), slow);
  EXPECT_EQ(speeds.PlacementWeight(3), fast);
}

TEST(SpeedTableWeightTest, EngineGetsKeysInProportionToItsWeight) {
  int first = 0;
  constexpr int kKeys = 20000;
  for (uint64_t key = 0; key < kKeys; ++key) {
    first += RendezvousWeight(key, 1, 2.0) > RendezvousWeight(key, 2, 1.0);
    EXPECT_EQ(RendezvousWeight(key, 1, 1.0), RendezvousWeight(key, 1));
  }
  EXPECT_NEAR(first, kKeys * 2 / 3, kKeys / 50);
}

}  // namespace
}  // namespace jackdawshunt::routing
