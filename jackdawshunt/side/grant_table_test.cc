#include "jackdawshunt/side/grant_table.h"

#include <gtest/gtest.h>

#include <rapidcheck.h>

#include <rapidcheck/gtest.h>

#include <map>
#include <set>
#include <string>

namespace jackdawshunt::side {
namespace {

using std::chrono::milliseconds;

IssuedGrant GrantTo(const std::string& entry) {
  return {entry, "lodge", protocol::RequestClass::kShort};
}

// Guards against a delayed start that runs after its request was reported as
// not run.
TEST(GrantTableTest, VoidedGrantCanNeverBeUsed) {
  GrantTable grants;
  kernel::ManualClock clock;
  const uint64_t id = grants.Issue(GrantTo("entry-1"), clock.Now());
  EXPECT_TRUE(grants.Void(id).has_value());
  EXPECT_EQ(grants.FateOf(id, "r1"), GrantFate::kNeverUsed);
  EXPECT_FALSE(grants.Use(id, "entry-1", "r1", clock.Now()).ok());
}

TEST(GrantTableTest, ExpiredGrantIsRefusedBeforeItsSlotIsGivenBack) {
  GrantTable grants;
  kernel::ManualClock clock;
  const uint64_t id = grants.Issue(GrantTo("entry-1"), clock.Now());
  clock.Advance(kGrantLifetime);
  EXPECT_FALSE(grants.Use(id, "entry-1", "r1", clock.Now()).ok());
  EXPECT_EQ(grants.VoidExpired(clock.Now()).size(), 1U);
}

// Guards against "not run" for a grant whose use is no longer remembered.
TEST(GrantTableTest, ForgottenUseIsNotReportedAsNeverUsed) {
  GrantTable grants;
  kernel::ManualClock clock;
  const uint64_t id = grants.Issue(GrantTo("entry-1"), clock.Now());
  ASSERT_TRUE(grants.Use(id, "entry-1", "r1", clock.Now()).ok());
  EXPECT_EQ(grants.FateOf(id, "r1"), GrantFate::kUsed);
  clock.Advance(kGrantMemory + milliseconds(1));
  const uint64_t later = grants.Issue(GrantTo("entry-1"), clock.Now());
  ASSERT_TRUE(grants.Use(later, "entry-1", "r2", clock.Now()).ok());
  EXPECT_EQ(grants.FateOf(id, "r1"), GrantFate::kForgotten);
}

// Oracle: a set of ids that were used, and a set that was reported as never
// used; the two may not meet, whatever the order of events.
RC_GTEST_PROP(GrantTableTest, NeverUsedIsFinal, ()) {
  GrantTable grants;
  kernel::ManualClock clock;
  std::set<uint64_t> used;
  std::set<uint64_t> reported_unused;
  uint64_t issued = 0;
  const int steps = *rc::gen::inRange(1, 200);
  for (int step = 0; step < steps; ++step) {
    const uint64_t id = *rc::gen::inRange<uint64_t>(1, issued + 3);
    const std::string request = "r" + std::to_string(id);
    switch (*rc::gen::inRange(0, 6)) {
      case 0:
        issued = grants.Issue(GrantTo("entry-1"), clock.Now());
        break;
      case 1:
        if (grants.Use(id, "entry-1", request, clock.Now()).ok()) {
          RC_ASSERT(used.insert(id).second);
          RC_ASSERT(!reported_unused.contains(id));
        }
        break;
      case 2:
        // A query voids the grant before it asks for its fate.
        (void)grants.Void(id);
        if (id <= issued &&
            grants.FateOf(id, request) == GrantFate::kNeverUsed) {
          RC_ASSERT(!used.contains(id));
          reported_unused.insert(id);
        }
        break;
      case 3:
        clock.Advance(milliseconds(*rc::gen::inRange(1, 400)));
        break;
      case 4:
        clock.Advance(kGrantMemory);
        break;
      default:
        (void)grants.VoidExpired(clock.Now());
    }
  }
}

}  // namespace
}  // namespace jackdawshunt::side
