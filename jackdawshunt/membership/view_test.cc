#include "jackdawshunt/membership/view.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"

namespace jackdawshunt::membership {
namespace {

using object_api::InstanceState;
using ::testing::ElementsAre;
using ::testing::SizeIs;

TEST(ViewTest, LiveEntriesAreLiveAndInTheDataCentre) {
  View view;
  view.Update({{.instance = "e1", .role = "entry", .data_centre = "a"},
               {.instance = "e2", .role = "entry", .data_centre = "b"},
               {.instance = "", .role = "entry", .data_centre = "a"},
               {.instance = "s1", .role = "side", .data_centre = "a"},
               {.instance = "e3",
                .role = "entry",
                .data_centre = "a",
                .state = InstanceState::kLeaving}});
  EXPECT_THAT(view.LiveEntries("a"), ElementsAre("e1"));
  EXPECT_THAT(view.LiveEntries(), ElementsAre("e1", "e2"));
  EXPECT_NE(view.Find("e3"), nullptr);
  EXPECT_EQ(view.Find(""), nullptr);
}

// Guards against a choice that changes with an unrelated instance, or that
// depends on the order of the list.
TEST(ViewTest, RemovalChangesOnlyChoicesOfRemovedInstance) {
  constexpr int kCandidates = 20;
  constexpr int kKeys = 200;
  std::vector<std::string> candidates;
  candidates.reserve(kCandidates);
  for (int i = 0; i < kCandidates; ++i) {
    candidates.push_back(absl::StrCat("entry-", i));
  }
  std::vector<std::string> fewer(candidates.rbegin(), candidates.rend() - 1);
  int chosen_removed = 0;
  for (int i = 0; i < kKeys; ++i) {
    const std::string key = absl::StrCat("key-", i);
    const auto before = View::Choose(key, candidates, 2);
    const auto after = View::Choose(key, fewer, 2);
    ASSERT_THAT(before, SizeIs(2));
    if (std::find(before.begin(), before.end(), "entry-0") == before.end()) {
      EXPECT_EQ(before, after) << key;
    } else {
      ++chosen_removed;
    }
  }
  // 2 of 20 candidates: 20 of 200 keys are expected.
  EXPECT_GT(chosen_removed, 5);
  EXPECT_LT(chosen_removed, 50);
  EXPECT_THAT(View::Choose("k", {"only"}, 2), ElementsAre("only"));
}

}  // namespace
}  // namespace jackdawshunt::membership
