#include "jackdawshunt/http1/client_budget.h"

#include <memory>
#include <vector>

#include "gtest/gtest.h"
#include "rapidcheck.h"
#include "rapidcheck/gtest.h"

namespace jackdawshunt::http1 {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint64_t kKb = 1024;
constexpr uint64_t kCapacity = 1000 * kKb;  // 750 for large, 375 a workspace.

// A connection that releases its memory when it must yield.
class FakeConnection final : public ClientBudget::Client::Owner {
 public:
  FakeConnection(ClientBudget& budget, kernel::TimePoint now)
      : client_(budget, *this, now) {}

  // Receives a request until it holds `bytes`, in steps of 4 KiB. Returns false
  // if it was refused.
  bool Receive(std::string_view workspace,
               uint64_t bytes,
               kernel::TimePoint now) {
    client_.SetWorkspace(workspace);
    client_.BeginRequest(now);
    return Continue(bytes, now);
  }
  bool Continue(uint64_t bytes, kernel::TimePoint now) {
    while (client_.held_bytes(ClientMemory::kInput) < bytes) {
      const uint64_t held = client_.held_bytes(ClientMemory::kInput);
      const uint64_t step = std::min(4 * kKb, bytes - held);
      client_.OnReceived(step, now);
      if (!client_.Resize(ClientMemory::kInput, held + step, now)) {
        client_.Clear();
        return false;
      }
    }
    return true;
  }
  void OnReclaimed() override {
    has_yielded_ = true;
    client_.Clear();
  }
  ClientBudget::Client& client() { return client_; }
  bool has_yielded() const { return has_yielded_; }

 private:
  ClientBudget::Client client_;
  bool has_yielded_ = false;
};

class ClientBudgetTest : public ::testing::Test {
 protected:
  FakeConnection& Connect() {
    connections_.push_back(std::make_unique<FakeConnection>(budget_, now_));
    return *connections_.back();
  }
  // Fills the part of the large clients with steady requests of 100 KiB.
  void FillLargePart() {
    for (int i = 0; Connect().Receive("", 100 * kKb, now_); ++i) {
      ASSERT_LT(i, 100);
    }
  }

  kernel::TimePoint now_ = kernel::TimePoint(seconds(100));
  ClientBudget budget_{{.capacity_bytes = kCapacity}};
  std::vector<std::unique_ptr<FakeConnection>> connections_;
};

TEST_F(ClientBudgetTest, LargeRequestsTakeTheRoomOfSmallOnes) {
  FillLargePart();
  EXPECT_FALSE(Connect().Receive("", 100 * kKb, now_));
  for (int i = 0; i < 5; ++i) {
    EXPECT_TRUE(Connect().Receive("", 50 * kKb, now_));
  }
  EXPECT_LE(budget_.held_bytes(), kCapacity);
}

TEST_F(ClientBudgetTest, StalledRequestKeepsItsRoom) {
  FakeConnection& stalled = Connect();
  ASSERT_TRUE(stalled.Receive("", 600 * kKb, now_));
  now_ += milliseconds(500);
  FakeConnection& steady = Connect();
  EXPECT_TRUE(steady.Receive("", 300 * kKb, now_));
  EXPECT_TRUE(stalled.has_yielded());
}

TEST_F(ClientBudgetTest, ByteByByteCountsAsProgress) {
  FakeConnection& slow = Connect();
  ASSERT_TRUE(slow.Receive("", 600 * kKb, now_));
  for (int i = 0; i < 10; ++i) {
    now_ += milliseconds(100);
    slow.client().OnReceived(1, now_);
  }
  EXPECT_TRUE(Connect().Receive("", 300 * kKb, now_));
  EXPECT_TRUE(slow.has_yielded());
}

TEST_F(ClientBudgetTest, SteadyRequestYieldsToALaterOne) {
  FakeConnection& steady = Connect();
  ASSERT_TRUE(steady.Receive("", 600 * kKb, now_));
  EXPECT_FALSE(Connect().Receive("", 300 * kKb, now_));
  now_ += milliseconds(400);
  ASSERT_TRUE(steady.Continue(640 * kKb, now_));
  now_ += milliseconds(400);
  EXPECT_FALSE(Connect().Receive("", 300 * kKb, now_));
  EXPECT_FALSE(steady.has_yielded());
}

TEST_F(ClientBudgetTest, LargestStalledRequestYieldsLast) {
  FakeConnection& small = Connect();
  FakeConnection& large = Connect();
  ASSERT_TRUE(small.Receive("", 200 * kKb, now_));
  ASSERT_TRUE(large.Receive("", 500 * kKb, now_));
  now_ += seconds(1);
  EXPECT_TRUE(Connect().Receive("", 200 * kKb, now_));
  EXPECT_TRUE(large.has_yielded());
  EXPECT_FALSE(small.has_yielded());
}

TEST_F(ClientBudgetTest, OneWorkspaceTakesAllRoom) {
  int accepted = 0;
  while (Connect().Receive("flood", 100 * kKb, now_)) {
    ASSERT_LT(++accepted, 100);
  }
  EXPECT_EQ(accepted, 3);
  EXPECT_TRUE(Connect().Receive("lodge", 300 * kKb, now_));
}

TEST_F(ClientBudgetTest, WorkspaceThatHoldsMostKeepsItsNewestRequest) {
  FakeConnection& first = Connect();
  ASSERT_TRUE(first.Receive("flood", 150 * kKb, now_));
  now_ += milliseconds(1);
  FakeConnection& newest = Connect();
  ASSERT_TRUE(newest.Receive("flood", 200 * kKb, now_));
  ASSERT_TRUE(Connect().Receive("school", 300 * kKb, now_));
  EXPECT_TRUE(Connect().Receive("lodge", 200 * kKb, now_));
  EXPECT_TRUE(newest.has_yielded());
  EXPECT_FALSE(first.has_yielded());
}

TEST_F(ClientBudgetTest, RequestThatIsServedYields) {
  FakeConnection& served = Connect();
  ASSERT_TRUE(served.Receive("", 500 * kKb, now_));
  served.client().EndRequest();
  ASSERT_TRUE(served.client().Resize(ClientMemory::kRequest, 200 * kKb, now_));
  now_ += seconds(10);
  EXPECT_FALSE(Connect().Receive("", 300 * kKb, now_));
  EXPECT_FALSE(served.has_yielded());
}

TEST_F(ClientBudgetTest, ResponseThatNobodyReadsKeepsItsRoom) {
  FakeConnection& unread = Connect();
  unread.client().OnRead(now_);
  unread.client().Account(ClientMemory::kOutput, 700 * kKb);
  now_ += milliseconds(1900);
  EXPECT_FALSE(Connect().Receive("", 100 * kKb, now_));
  now_ += milliseconds(100);
  EXPECT_TRUE(Connect().Receive("", 100 * kKb, now_));
  EXPECT_TRUE(unread.has_yielded());
}

TEST_F(ClientBudgetTest, PressureIsNotedTooLate) {
  FakeConnection& large = Connect();
  ASSERT_TRUE(large.Receive("", 700 * kKb, now_));
  EXPECT_FALSE(budget_.is_under_pressure());
  ASSERT_TRUE(Connect().Receive("", 60 * kKb, now_));
  EXPECT_TRUE(budget_.is_under_pressure());
}

// Whatever clients do, the budget is kept, all its sums agree, and nothing is
// left when they have gone.
RC_GTEST_PROP(ClientBudgetProperty, SumsDriftOrTheCapacityIsExceeded, ()) {
  ClientBudget budget({.capacity_bytes = kCapacity});
  kernel::TimePoint now(seconds(100));
  const std::array<std::string_view, 3> workspaces = {"", "lodge", "school"};
  {
    std::vector<std::unique_ptr<FakeConnection>> connections;
    connections.reserve(12);
    for (int i = 0; i < 12; ++i) {
      connections.push_back(std::make_unique<FakeConnection>(budget, now));
    }
    const int steps = *rc::gen::inRange(1, 200);
    for (int step = 0; step < steps; ++step) {
      auto& connection = *connections[*rc::gen::inRange<size_t>(0, 12)];
      ClientBudget::Client& client = connection.client();
      const uint64_t bytes = *rc::gen::inRange<uint64_t>(0, 500) * kKb;
      now += milliseconds(*rc::gen::inRange(0, 400));
      switch (*rc::gen::inRange(0, 7)) {
        case 0:
        case 1:
          connection.Receive(workspaces.at(*rc::gen::inRange<size_t>(0, 3)),
                             bytes, now);
          break;
        case 2:
          connection.Continue(bytes, now);
          break;
        case 3:
          client.EndRequest();
          client.Resize(ClientMemory::kRequest, bytes, now);
          break;
        case 4:
          client.Resize(ClientMemory::kAnswer, bytes, now);
          break;
        case 5:
          client.SetWorkspace(workspaces.at(*rc::gen::inRange<size_t>(0, 3)));
          break;
        default:
          client.Clear();
      }
      uint64_t sum = 0;
      for (const auto& each : connections) {
        sum += each->client().held_bytes();
      }
      RC_ASSERT(budget.held_bytes() == sum);
      RC_ASSERT(sum <= kCapacity);
    }
  }
  RC_ASSERT(budget.held_bytes() == 0U);
  RC_ASSERT(budget.clients() == 0U);
}

}  // namespace
}  // namespace jackdawshunt::http1
