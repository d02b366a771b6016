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

// Objects in memory, answered at once.
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

// The engine that all sides of a test order; keeps each side's last answer back
// until the test sends it.
struct FakeEngine {
  bool checks_fencing = false;
  uint64_t highest_fencing = 0;
  std::vector<std::string> models;
  std::vector<Order> taken;

  absl::Status Take(const Order& order) {
    if (checks_fencing && order.fencing < highest_fencing) {
      return absl::FailedPreconditionError("stale fencing number");
    }
    highest_fencing = std::max(highest_fencing, order.fencing);
    taken.push_back(order);
    models.push_back(absl::StrCat(order.model, "@", order.version));
    return absl::OkStatus();
  }
};

class FakeDriver final : public UpstreamDriver {
 public:
  explicit FakeDriver(FakeEngine& engine) : engine_(engine) {}

  void Attach(kernel::EventLoop&, const http::Address&) override {}
  std::unique_ptr<Run> Start(const protocol::Start&, RunSink&) override {
    return nullptr;
  }
  void ReadLoad(
      std::function<void(const std::optional<LoadReport>&)>) override {}
  void LoadModel(const Order& order,
                 std::function<void(absl::Status)> done) override {
    in_flight_ = order;
    done_ = std::move(done);
    ++sent;
  }

  // Lets the order that was sent reach the engine; returns its answer.
  absl::Status Deliver() {
    absl::Status answer = engine_.Take(in_flight_);
    std::exchange(done_, nullptr)(answer);
    return answer;
  }

  int sent = 0;

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
    side.orders->TakeReport({.models = engine_.models});
  }

  // Lets the lease's timer of a side run without waiting for it.
  void Renew(Side& side) { side.orders->TickLease(); }

  kernel::EventLoop loop_;
  kernel::ManualClock clock_;
  configuration::Store store_;
  FakePlatform platform_{loop_};
  FakeEngine engine_;
};

// Guards against an order that is repeated for ever at engines that report
// loaded models with their version, and a lease that is renewed all the time.
TEST_F(OrdersTest, LoadedModelIsOrderedOnce) {
  PutUpstream(true);
  Side side = MakeSide("a");
  Report(side);
  ASSERT_EQ(side.driver->sent, 1);
  ASSERT_TRUE(side.driver->Deliver().ok());
  for (int i = 0; i < 5; ++i) {
    clock_.Advance(seconds(3));
    Report(side);
  }
  EXPECT_EQ(side.driver->sent, 1);
  EXPECT_EQ(platform_.writes, 2);  // Acquired and given up.
}

TEST_F(OrdersTest, ModelReportedWithoutVersionCountsAsLoaded) {
  PutUpstream(true);
  engine_.models = {"m"};
  Side side = MakeSide("a");
  Report(side);
  EXPECT_EQ(side.driver->sent, 0);
  EXPECT_EQ(platform_.writes, 0);
}

// Guards against an engine that keeps the old version after the model's record
// has named another default version.
TEST_F(OrdersTest, NewDefaultVersionIsOrdered) {
  PutUpstream(true);
  engine_.models = {"m@v1"};
  Side side = MakeSide("a");
  Report(side);
  EXPECT_EQ(side.driver->sent, 0);
  PutModel("v2", 101);
  Report(side);
  ASSERT_EQ(side.driver->sent, 1);
  ASSERT_TRUE(side.driver->Deliver().ok());
  EXPECT_EQ(engine_.taken.back().version, "v2");
}

// Guards against a model whose name is the start of another one's.
TEST_F(OrdersTest, ModelWithALongerNameIsNotTheModel) {
  PutUpstream(true);
  engine_.models = {"mm@v1", "m2"};
  Side side = MakeSide("a");
  Report(side);
  EXPECT_EQ(side.driver->sent, 1);
}

// Guards against an order of a paused holder that takes effect after its
// successor's.
TEST_F(OrdersTest, FencingEngineRefusesThePausedHoldersOrder) {
  PutUpstream(true);
  Side old_side = MakeSide("a");
  Side new_side = MakeSide("b");
  Report(old_side);  // Paused after the send.
  ASSERT_EQ(old_side.driver->sent, 1);
  Report(new_side);
  EXPECT_EQ(new_side.driver->sent, 0);
  clock_.Advance(kOrdersLeaseDuration);
  Renew(new_side);
  Report(new_side);
  ASSERT_EQ(new_side.driver->sent, 1);
  EXPECT_TRUE(new_side.driver->Deliver().ok());
  EXPECT_TRUE(absl::IsFailedPrecondition(old_side.driver->Deliver()));
  EXPECT_EQ(engine_.taken.size(), 1U);
}

// Guards against two orders at once at an engine that cannot refuse one: the
// new holder waits for the lease and for the longest order.
TEST_F(OrdersTest, NewHolderWaitsOutLeaseAndLongestOrderWithoutFencing) {
  PutUpstream(false);
  Side old_side = MakeSide("a");
  Side new_side = MakeSide("b");
  Report(old_side);
  ASSERT_EQ(old_side.driver->sent, 1);
  Report(new_side);
  clock_.Advance(kOrdersLeaseDuration + kOrderTimeout - seconds(1));
  Renew(new_side);
  Report(new_side);
  EXPECT_EQ(new_side.driver->sent, 0);
  clock_.Advance(seconds(1));
  Renew(new_side);
  Report(new_side);
  EXPECT_EQ(new_side.driver->sent, 1);
}

// Guards against a holder that continues after a pause and sends a further
// order under its lapsed lease.
TEST_F(OrdersTest, ContinuedHolderSendsNothingUnderItsLapsedLease) {
  PutUpstream(false);
  Side old_side = MakeSide("a");
  Report(old_side);
  ASSERT_EQ(old_side.driver->sent, 1);
  engine_.checks_fencing = true;  // The order is lost at the engine.
  engine_.highest_fencing = 1000;
  EXPECT_FALSE(old_side.driver->Deliver().ok());
  // Less than the longest order remains of the lease.
  clock_.Advance(kOrdersLeaseDuration - kOrderTimeout);
  Report(old_side);
  EXPECT_EQ(old_side.driver->sent, 1);
}

}  // namespace
}  // namespace jackdawshunt::side
