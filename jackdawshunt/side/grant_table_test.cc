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

// Guards against executing a delayed start whose request was reported as not
// executed.
TEST(GrantTableTest, VoidedGrantCanNeverBeUsed) {
  GrantTable grants;
  kernel::ManualClock clock;
  const uint64_t id = grants.Issue(GrantTo("entry-1"), clock.Now());
  EXPECT_TRUE(grants.Void(id).has_value());
  EXPECT_EQ(grants.UsageOf(id, "r1"), GrantUsage::kNeverUsed);
  EXPECT_FALSE(grants.Use(id, "entry-1", "r1", clock.Now()).ok());
}

TEST(GrantTableTest, ExpiredGrantIsRefusedBeforeVoidExpired) {
  GrantTable grants;
  kernel::ManualClock clock;
  const uint64_t id = grants.Issue(GrantTo("entry-1"), clock.Now());
  clock.Advance(kGrantLifetime);
  EXPECT_FALSE(grants.Use(id, "entry-1", "r1", clock.Now()).ok());
  EXPECT_EQ(grants.VoidExpired(clock.Now()).size(), 1U);
}

// Guards against "not executed" for a grant whose use is no longer recorded.
TEST(GrantTableTest, DiscardedUseIsNotReportedAsNeverUsed) {
  GrantTable grants;
  kernel::ManualClock clock;
  const uint64_t id = grants.Issue(GrantTo("entry-1"), clock.Now());
  ASSERT_TRUE(grants.Use(id, "entry-1", "r1", clock.Now()).ok());
  EXPECT_EQ(grants.UsageOf(id, "r1"), GrantUsage::kUsed);
  clock.Advance(kGrantUsageRetention + milliseconds(1));
  const uint64_t later = grants.Issue(GrantTo("entry-1"), clock.Now());
  ASSERT_TRUE(grants.Use(later, "entry-1", "r2", clock.Now()).ok());
  EXPECT_EQ(grants.UsageOf(id, "r1"), GrantUsage::kUnknown);
}

// Checks that no grant is both used and reported as never used, for any order
// of events.
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
        // The grant is voided first, as the dispatcher does for a query.
        (void)grants.Void(id);
        if (id <= issued &&
            grants.UsageOf(id, request) == GrantUsage::kNeverUsed) {
          RC_ASSERT(!used.contains(id));
          reported_unused.insert(id);
        }
        break;
      case 3:
        clock.Advance(milliseconds(*rc::gen::inRange(1, 400)));
        break;
      case 4:
        clock.Advance(kGrantUsageRetention);
        break;
      default:
        (void)grants.VoidExpired(clock.Now());
    }
  }
}

}  // namespace
}  // namespace jackdawshunt::side
