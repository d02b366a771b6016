#include "jackdawshunt/side/orders.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"

namespace jackdawshunt::side {
namespace {

using std::chrono::seconds;

// Stores one object in memory and responds at once.
class FakePlatform final : public object_api::Client {
 public:
  explicit FakePlatform(kernel::EventLoop& loop) : Client(loop, {}) {}

  void Get(const std::string&,
           object_api::Callback<object_api::Object> done) override {
    if (version_ == 0) {
      done(absl::NotFoundError("none"));
    } else {
      done(object_api::Object{"k", version_, false, value_});
    }
  }
  void Put(const std::string&,
           const std::string& text,
           std::optional<uint64_t> expected,
           object_api::Callback<uint64_t> done) override {
    ++writes;
    if (expected != version_) {
      done(absl::AbortedError("lost race"));
      return;
    }
    value_ = text;
    done(++version_);
  }

  int writes = 0;

 private:
  uint64_t version_ = 0;
  std::string value_;
};

// Engine to which all sides of a test send orders.
struct FakeEngine {
  bool checks_fencing = false;
  uint64_t highest_fencing = 0;
  std::vector<std::string> models;
  std::vector<Order> accepted_orders;

  absl::Status Take(const Order& order) {
    if (checks_fencing && order.fencing < highest_fencing) {
      return absl::FailedPreconditionError("stale fencing number");
    }
    highest_fencing = std::max(highest_fencing, order.fencing);
    accepted_orders.push_back(order);
    models.push_back(absl::StrCat(order.model, "@", order.version));
    return absl::OkStatus();
  }
};

// Holds each order back until the test calls Deliver().
class FakeDriver final : public UpstreamDriver {
 public:
  explicit FakeDriver(FakeEngine& engine) : engine_(engine) {}

  void Initialize(kernel::EventLoop&, const http::Address&) override {}
  std::unique_ptr<UpstreamCall> Start(const protocol::Start&,
                                      UpstreamCallSink&) override {
    return nullptr;
  }
  void ReadLoad(
      std::function<void(const std::optional<LoadReport>&)>) override {}
  void LoadModel(const Order& order,
                 std::function<void(absl::Status)> done) override {
    in_flight_ = order;
    done_ = std::move(done);
    ++orders_sent;
  }

  // Delivers the last order to the engine and the engine's response to the
  // side. Returns the response.
  absl::Status Deliver() {
    absl::Status answer = engine_.Take(in_flight_);
    std::exchange(done_, nullptr)(answer);
    return answer;
  }

  int orders_sent = 0;

 private:
  FakeEngine& engine_;
  Order in_flight_;
  std::function<void(absl::Status)> done_;
};

class OrdersTest : public ::testing::Test {
 protected:
  struct Side {
    std::unique_ptr<FakeDriver> driver;
    std::unique_ptr<Orders> orders;
  };

  OrdersTest() { PutModel("v1", 1); }

  void PutModel(const std::string& default_version, uint64_t version) {
    store_.Merge({{.key = "config/model/m",
                   .version = version,
                   .value = absl::StrCat(R"({"kind": "model", "schema": 1,
                       "name": "m", "spec": {"versions": ["v1", "v2"],
                       "default_version": ")",
                                         default_version, "\"}}")}});
  }

  void PutUpstream(bool checks_fencing) {
    engine_.checks_fencing = checks_fencing;
    store_.Merge({{.key = "config/upstream/engine-1",
                   .version = 100,
                   .value = absl::StrCat(
                       R"({"kind": "upstream", "schema": 1,
                           "name": "engine-1", "spec": {"driver": "engine",
                           "models": ["m"], "slots": 1, "checks_fencing": )",
                       checks_fencing ? "true" : "false", "}}")}});
  }

  Side MakeSide(const std::string& instance) {
    Side side;
    side.driver = std::make_unique<FakeDriver>(engine_);
    side.orders = std::make_unique<Orders>(
        loop_, clock_, platform_, store_, *side.driver,
        protocol::PeerInfo{.instance = instance, .upstream = "engine-1"});
    return side;
  }

  void Report(Side& side) {
    side.orders->OnLoadReport({.models = engine_.models});
  }

  // Runs the callback of the side's lease timer.
  void TickLeaseOf(Side& side) { side.orders->TickLease(); }

  kernel::EventLoop loop_;
  kernel::ManualClock clock_;
  configuration::Store store_;
  FakePlatform platform_{loop_};
  FakeEngine engine_;
};

// Guards against orders that are repeated for ever to engines that report
// loaded models with their version, and against a lease that is never released.
TEST_F(OrdersTest, LoadedModelIsOrderedOnce) {
  PutUpstream(true);
  Side side = MakeSide("a");
  Report(side);
  ASSERT_EQ(side.driver->orders_sent, 1);
  ASSERT_TRUE(side.driver->Deliver().ok());
  for (int i = 0; i < 5; ++i) {
    clock_.Advance(seconds(3));
    Report(side);
  }
  EXPECT_EQ(side.driver->orders_sent, 1);
  EXPECT_EQ(platform_.writes, 2);  // Acquisition and release.
}

TEST_F(OrdersTest, ModelReportedWithoutVersionCountsAsLoaded) {
  PutUpstream(true);
  engine_.models = {"m"};
  Side side = MakeSide("a");
  Report(side);
  EXPECT_EQ(side.driver->orders_sent, 0);
  EXPECT_EQ(platform_.writes, 0);
}

// Guards against an engine that keeps the old version after the default version
// in the model's record has changed.
TEST_F(OrdersTest, NewDefaultVersionIsOrdered) {
  PutUpstream(true);
  engine_.models = {"m@v1"};
  Side side = MakeSide("a");
  Report(side);
  EXPECT_EQ(side.driver->orders_sent, 0);
  PutModel("v2", 101);
  Report(side);
  ASSERT_EQ(side.driver->orders_sent, 1);
  ASSERT_TRUE(side.driver->Deliver().ok());
  EXPECT_EQ(engine_.accepted_orders.back().version, "v2");
}

// Guards against a model that counts as loaded when its name is a prefix of a
// loaded model's name.
TEST_F(OrdersTest, ModelIsNotMatchedByNamePrefix) {
  PutUpstream(true);
  engine_.models = {"mm@v1", "m2"};
  Side side = MakeSide("a");
  Report(side);
  EXPECT_EQ(side.driver->orders_sent, 1);
}

// Guards against an order of a paused holder that takes effect after an order
// of the next holder.
TEST_F(OrdersTest, FencingEngineRefusesOrderWithOldFencingNumber) {
  PutUpstream(true);
  Side old_side = MakeSide("a");
  Side new_side = MakeSide("b");
  Report(old_side);  // Paused after the send.
  ASSERT_EQ(old_side.driver->orders_sent, 1);
  Report(new_side);
  EXPECT_EQ(new_side.driver->orders_sent, 0);
  clock_.Advance(kOrdersLeaseDuration);
  TickLeaseOf(new_side);
  Report(new_side);
  ASSERT_EQ(new_side.driver->orders_sent, 1);
  EXPECT_TRUE(new_side.driver->Deliver().ok());
  EXPECT_TRUE(absl::IsFailedPrecondition(old_side.driver->Deliver()));
  EXPECT_EQ(engine_.accepted_orders.size(), 1U);
}

// Guards against two orders at once to an engine that does not check fencing
// numbers. The new holder waits for the old lease's expiry and the order
// timeout.
TEST_F(OrdersTest, NewHolderWaitsForLeaseExpiryAndOrderTimeoutWithoutFencing) {
  PutUpstream(false);
  Side old_side = MakeSide("a");
  Side new_side = MakeSide("b");
  Report(old_side);
  ASSERT_EQ(old_side.driver->orders_sent, 1);
  Report(new_side);
  clock_.Advance(kOrdersLeaseDuration + kOrderTimeout - seconds(1));
  TickLeaseOf(new_side);
  Report(new_side);
  EXPECT_EQ(new_side.driver->orders_sent, 0);
  clock_.Advance(seconds(1));
  TickLeaseOf(new_side);
  Report(new_side);
  EXPECT_EQ(new_side.driver->orders_sent, 1);
}

// Guards against a holder that continues after a pause and sends a further
// order that can outlive its lease.
TEST_F(OrdersTest, HolderSendsNoOrderThatCanOutliveItsLease) {
  PutUpstream(false);
  Side old_side = MakeSide("a");
  Report(old_side);
  ASSERT_EQ(old_side.driver->orders_sent, 1);
  engine_.checks_fencing = true;  // The order is lost at the engine.
  engine_.highest_fencing = 1000;
  EXPECT_FALSE(old_side.driver->Deliver().ok());
  // The rest of the lease is no longer than the order timeout.
  clock_.Advance(kOrdersLeaseDuration - kOrderTimeout);
  Report(old_side);
  EXPECT_EQ(old_side.driver->orders_sent, 1);
}

}  // namespace
}  // namespace jackdawshunt::side
