#include "jackdawshunt/gateway/totals_source.h"

#include "gtest/gtest.h"

namespace jackdawshunt::gateway {
namespace {

using std::chrono::milliseconds;

class TotalsSourceTest : public ::testing::Test {
 protected:
  kernel::TimePoint Now() const { return clock_.Now(); }

  kernel::ManualClock clock_;
  TotalsSource source_;
};

// Guards against gaps and double counts: two boards send different totals, and
// alternating between them merges some tokens twice and others never.
TEST_F(TotalsSourceTest, KeepsBoardThatReplies) {
  EXPECT_EQ(source_.Choose({"a", "b"}, Now()), "a");
  for (int i = 0; i < 50; ++i) {
    clock_.Advance(milliseconds(100));
    source_.OnReply("a", Now());
    source_.OnReply("b", Now());
    EXPECT_EQ(source_.Choose({"b", "a"}, Now()), "a");
  }
}

TEST_F(TotalsSourceTest, ReplacesBoardThatStoppedReplying) {
  EXPECT_EQ(source_.Choose({"a", "b"}, Now()), "a");
  for (int i = 0; i < 10; ++i) {
    clock_.Advance(milliseconds(100));
    source_.OnReply("b", Now());
    source_.Choose({"a", "b"}, Now());
  }
  EXPECT_EQ(source_.current(), "b");
}

TEST_F(TotalsSourceTest, ReplacesBoardThatIsNoLongerListed) {
  EXPECT_EQ(source_.Choose({"a", "b"}, Now()), "a");
  source_.OnReply("a", Now());
  EXPECT_EQ(source_.Choose({"b", "c"}, Now()), "b");
  EXPECT_EQ(source_.Choose({}, Now()), "");
}

}  // namespace
}  // namespace jackdawshunt::gateway
