#include "jackdawshunt/side/lease.h"

#include <gtest/gtest.h>

#include <rapidcheck.h>

#include <rapidcheck/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace jackdawshunt::side {
namespace {

using std::chrono::seconds;

// Stores one object and responds at once. Requests and responses of writes can
// be lost.
class FakePlatform final : public object_api::Client {
 public:
  explicit FakePlatform(kernel::EventLoop& loop) : Client(loop, {}) {}

  void Get(const std::string&,
           object_api::Callback<object_api::Object> done) override {
    if (is_down) {
      done(absl::DeadlineExceededError("down"));
    } else if (version == 0) {
      done(absl::NotFoundError("none"));
    } else {
      done(object_api::Object{"k", version, false, value});
    }
  }

  void Put(const std::string&,
           const std::string& text,
           std::optional<uint64_t> expected,
           object_api::Callback<uint64_t> done) override {
    if (is_down) {
      done(absl::UnavailableError("down"));
    } else if (expected != version) {
      done(absl::AbortedError("lost race"));
    } else if (lose_request) {
      done(absl::UnknownError("request lost"));
    } else {
      value = text;
      ++version;
      if (lose_response) {
        done(absl::UnknownError("answer lost"));
      } else {
        done(version);
      }
    }
  }

  uint64_t version = 0;
  std::string value;
  bool is_down = false;
  bool lose_response = false;
  bool lose_request = false;  // Same error as for a lost response.
};

class LeaseTest : public ::testing::Test {
 protected:
  std::unique_ptr<Lease> StartLease(
      const std::string& name,
      kernel::Duration takeover_delay = seconds(0)) {
    auto lease = std::make_unique<Lease>(
        loop_, clock_, platform_, "leases/engine-1", name,
        LeaseOptions{.takeover_delay = takeover_delay});
    // The loop does not run, so that only the tests' ticks renew the lease.
    lease->Start();
    return lease;
  }

  kernel::EventLoop loop_;
  kernel::ManualClock clock_;
  FakePlatform platform_{loop_};
};

TEST_F(LeaseTest, LostResponseIsResolvedByRead) {
  platform_.lose_response = true;
  const auto lease = StartLease("a");
  EXPECT_FALSE(lease->FencingNumber(seconds(0)).has_value());
  platform_.lose_response = false;
  lease->Tick();
  EXPECT_EQ(lease->FencingNumber(seconds(0)), 1U);
}

// Guards against two holders when the first is paused until its lease has
// expired.
TEST_F(LeaseTest, PausedHolderHasNoFencingNumberAfterExpiry) {
  const auto old_holder = StartLease("a");
  const auto new_holder = StartLease("b");
  EXPECT_FALSE(new_holder->FencingNumber(seconds(0)).has_value());
  clock_.Advance(seconds(6));
  EXPECT_FALSE(old_holder->FencingNumber(seconds(0)).has_value());
  new_holder->Tick();
  EXPECT_GT(new_holder->FencingNumber(seconds(0)).value_or(0), 1U);
  old_holder->Tick();
  EXPECT_FALSE(old_holder->FencingNumber(seconds(0)).has_value());
}

// Guards against a takeover while an order of the old holder is still in
// progress at an engine that does not check fencing numbers.
TEST_F(LeaseTest, TakeoverWaitsForTheTakeoverDelay) {
  const auto old_holder = StartLease("a");
  const auto new_holder = StartLease("b", seconds(30));
  clock_.Advance(seconds(35));
  new_holder->Tick();
  EXPECT_FALSE(new_holder->FencingNumber(seconds(0)).has_value());
  clock_.Advance(seconds(1));
  new_holder->Tick();
  EXPECT_TRUE(new_holder->FencingNumber(seconds(0)).has_value());
}

TEST_F(LeaseTest, ReleasedLeaseIsAcquiredWithoutDelay) {
  const auto old_holder = StartLease("a");
  const auto new_holder = StartLease("b", seconds(30));
  old_holder->Release();
  new_holder->Tick();
  EXPECT_TRUE(new_holder->FencingNumber(seconds(0)).has_value());
}

// Checks that at most one process has a fencing number at any time, and that
// fencing numbers never decrease.
RC_GTEST_FIXTURE_PROP(LeaseTest, AtMostOneHolderAtAnyTime, ()) {
  std::vector<std::unique_ptr<Lease>> leases;
  for (const char* name : {"a", "b", "c"}) {
    leases.push_back(StartLease(name));
  }
  uint64_t highest = 0;
  const int steps = *rc::gen::inRange(1, 150);
  for (int step = 0; step < steps; ++step) {
    platform_.is_down =
        *rc::gen::weightedElement<bool>({{4, false}, {1, true}});
    platform_.lose_response =
        *rc::gen::weightedElement<bool>({{3, false}, {1, true}});
    platform_.lose_request =
        *rc::gen::weightedElement<bool>({{3, false}, {1, true}});
    leases[*rc::gen::inRange<size_t>(0, leases.size())]->Tick();
    clock_.Advance(std::chrono::milliseconds(*rc::gen::inRange(0, 4000)));
    int holders = 0;
    for (const auto& lease : leases) {
      if (const auto fencing = lease->FencingNumber(seconds(0))) {
        ++holders;
        RC_ASSERT(*fencing >= highest);
        highest = *fencing;
      }
    }
    RC_ASSERT(holders <= 1);
  }
}

}  // namespace
}  // namespace jackdawshunt::side
