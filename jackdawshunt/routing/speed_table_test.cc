#include "jackdawshunt/routing/speed_table.h"

#include <string>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"

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

}  // namespace
}  // namespace jackdawshunt::routing
