#include "jackdawshunt/base/json_depth.h"

#include <string>

#include "gtest/gtest.h"

namespace jackdawshunt::base {
namespace {

// Guards against a depth that is counted per branch or off by one.
TEST(JsonDepthTest, DeepestBranchIsMissed) {
  const auto nests = [](const char* text, size_t depth) {
    return NestsAtMost(nlohmann::json::parse(text), depth);
  };
  EXPECT_TRUE(nests("1", 0));
  EXPECT_FALSE(nests("[]", 0));
  EXPECT_TRUE(nests(R"([1,"[[[",{}])", 2));
  EXPECT_FALSE(nests(R"([1,{"a":1,"b":[]},2])", 2));
  EXPECT_TRUE(nests(R"([1,{"a":1,"b":[]},2])", 3));
}

// Guards against a check that exhausts the stack itself.
TEST(JsonDepthTest, CheckRecursesBeyondTheLimit) {
  constexpr size_t kDepth = 1'000'000;
  const auto deep = nlohmann::json::parse(std::string(kDepth, '[') +
                                          std::string(kDepth, ']'));
  EXPECT_FALSE(NestsAtMost(deep, kMaxJsonDepth));
}

}  // namespace
}  // namespace jackdawshunt::base
