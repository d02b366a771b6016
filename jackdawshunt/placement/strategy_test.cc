#include "jackdawshunt/placement/strategy.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

#include <rapidcheck/gtest.h>

#include "jackdawshunt/kernel/registry.h"

namespace jackdawshunt::placement {
namespace {

std::vector<Candidate> Sides(int count) {
  std::vector<Candidate> result;
  result.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) {
    result.push_back({.side = "side-" + std::to_string(i), .has_bids = true});
  }
  return result;
}

std::unique_ptr<Strategy> Create(std::string_view name) {
  return kernel::Registry<Strategy>::Create(name);
}

// Guards against bids beyond the fan-out, duplicate bids, unstable choices, and
// idle sides of which none gets a bid.
RC_GTEST_PROP(LateBindingTest, BidsAreDistinctStableAndReachIdleSides, ()) {
  auto sides = Sides(*rc::gen::inRange(0, 40));
  const auto fanout = *rc::gen::inRange<size_t>(1, 20);
  for (Candidate& side : sides) {
    side.has_bids = *rc::gen::arbitrary<bool>();
    side.free_slots = *rc::gen::inRange(0, 2);
  }
  const auto strategy = Create("late_binding");
  const auto chosen = strategy->BidTargets("prefix", sides, fanout);
  const std::set<std::string> distinct(chosen.begin(), chosen.end());
  RC_ASSERT(chosen.size() == std::min(fanout, sides.size()));
  RC_ASSERT(distinct.size() == chosen.size());
  const auto is_idle = [](const Candidate& side) {
    return side.free_slots > 0 && !side.has_bids;
  };
  RC_ASSERT(std::none_of(sides.begin(), sides.end(), is_idle) ||
            std::any_of(sides.begin(), sides.end(), [&](const auto& side) {
              return is_idle(side) && distinct.contains(side.side);
            }));
  std::reverse(sides.begin(), sides.end());
  const auto again = strategy->BidTargets("prefix", sides, fanout);
  RC_ASSERT(distinct == std::set<std::string>(again.begin(), again.end()));
}

// Guards against a hash that moves all prefixes when one side is removed, which
// would make the engines' prefix caches useless.
TEST(LateBindingTest, RemovedSideMovesOnlyItsOwnPrefixes) {
  const auto strategy = Create("late_binding");
  const auto sides = Sides(20);
  const std::vector<Candidate> fewer(sides.begin(), sides.end() - 1);
  for (int i = 0; i < 200; ++i) {
    const std::string prefix = "prefix-" + std::to_string(i);
    const auto before = strategy->BidTargets(prefix, sides, 1);
    if (before[0] != sides.back().side) {
      EXPECT_EQ(strategy->BidTargets(prefix, fewer, 1), before);
    }
  }
}

// Guards against entries that all choose the same sides besides the hashed
// ones.
TEST(LateBindingTest, ProcessesChooseDifferentOtherSides) {
  const auto sides = Sides(100);
  std::set<std::string> all;
  for (int i = 0; i < 20; ++i) {
    const auto chosen = Create("late_binding")->BidTargets("prefix", sides, 4);
    all.insert(chosen.begin(), chosen.end());
  }
  EXPECT_GT(all.size(), 8U);
}

// Guards against a push to a side whose free slots were used since its
// heartbeat.
TEST(LeastLoadedTest, CountsStartsSinceTheHeartbeat) {
  auto sides = Sides(3);
  sides[0].free_slots = 4;
  sides[0].sent_since_heartbeat = 4;
  sides[2].free_slots = 1;
  EXPECT_EQ(Create("least_loaded")->NextPushTarget("m", sides), "side-2");
  EXPECT_EQ(Create("least_loaded")->NextPushTarget("m", {}), std::nullopt);
}

// Guards against a side that is skipped or chosen twice, per model and after
// the list changed.
TEST(RoundRobinTest, TakesTurnsPerModel) {
  const auto strategy = Create("round_robin");
  auto sides = Sides(4);
  std::map<std::string, int> pushes;
  for (int i = 0; i < 8; ++i) {
    ++pushes[*strategy->NextPushTarget("m", sides)];
    EXPECT_EQ(strategy->NextPushTarget("other-" + std::to_string(i), sides),
              "side-0");
  }
  for (const auto& [side, count] : pushes) {
    EXPECT_EQ(count, 2) << side;
  }
  EXPECT_EQ(strategy->NextPushTarget("m", sides), "side-0");
  sides.erase(sides.begin() + 1);
  EXPECT_EQ(strategy->NextPushTarget("m", sides), "side-2");
}

}  // namespace
}  // namespace jackdawshunt::placement
