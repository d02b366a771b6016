#include "jackdawshunt/side/dispatcher.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace jackdawshunt::side {
namespace {

using protocol::RequestClass;

class FakeConnection final : public protocol::Connection {
 public:
  explicit FakeConnection(std::string instance) {
    peer_.instance = std::move(instance);
  }

  const protocol::PeerInfo& peer() const override { return peer_; }
  bool is_open() const override { return true; }
  void Send(const protocol::Message& message) override {
    sent_.push_back(message);
  }
  size_t buffered_bytes() const override { return 0; }
  void Close(std::string_view) override {}
  void OnMessage(std::function<void(protocol::Message)>) override {}
  void OnClosed(std::function<void(std::string_view)>) override {}

  template <typename T>
  std::vector<T> Sent() const {
    std::vector<T> found;
    for (const protocol::Message& message : sent_) {
      if (const T* content = std::get_if<T>(&message)) {
        found.push_back(*content);
      }
    }
    return found;
  }

 private:
  protocol::PeerInfo peer_;
  std::vector<protocol::Message> sent_;
};

class FakeCall final : public UpstreamCall {
 public:
  explicit FakeCall(int& pauses) : pauses_(pauses) {}
  void Pause() override { ++pauses_; }
  void Resume() override { --pauses_; }

 private:
  int& pauses_;
};

class FakeDriver final : public UpstreamDriver {
 public:
  void Initialize(kernel::EventLoop&, const http::Address&) override {}
  std::unique_ptr<UpstreamCall> Start(const protocol::Start& start,
                                      UpstreamCallSink& sink) override {
    started.push_back(start.request);
    sinks.push_back(&sink);
    return std::make_unique<FakeCall>(paused);
  }
  void ReadLoad(
      std::function<void(const std::optional<LoadReport>&)>) override {}
  void LoadModel(const Order&, std::function<void(absl::Status)>) override {}

  std::vector<std::string> started;
  std::vector<UpstreamCallSink*> sinks;
  int paused = 0;
};

class DispatcherTest : public ::testing::Test {
 protected:
  DispatcherTest() {
    SetUpstream(R"("slots": 2, "short_slots": 1)", 1);
    dispatcher_.AddConnection(entry_);
    dispatcher_.ApplyConfiguration();
  }

  void SetUpstream(const std::string& fields, uint64_t version) {
    store_.Merge({{.key = "config/upstream/engine-1",
                   .version = version,
                   .value = R"({"kind": "upstream", "schema": 1,
                                "name": "engine-1",
                                "spec": {"driver": "engine", "models": ["m"], )" +
                            fields + "}}"}});
  }

  void Receive(const protocol::Message& message) {
    dispatcher_.OnMessage(entry_, message);
  }

  void BidFor(const std::string& workspace,
              double service,
              int waiting = 1,
              RequestClass request_class = RequestClass::kShort) {
    Receive(protocol::Bid{
        "m", {{workspace, request_class, waiting, service, /*estimate=*/1}}});
  }

  protocol::Start StartFor(const protocol::Grant& grant,
                           const std::string& request) {
    return {.grant = grant.grant,
            .side_incarnation = incarnation_,
            .request = request,
            .workspace = grant.workspace,
            .model = grant.model,
            .request_class = grant.request_class};
  }

  protocol::Grant LastGrant() { return entry_->Sent<protocol::Grant>().back(); }

  void StartOne(const std::string& request) {
    BidFor("lodge", 0);
    Receive(StartFor(LastGrant(), request));
  }

  kernel::EventLoop loop_;
  configuration::Store store_;
  FakeDriver driver_;
  const base::Incarnation incarnation_ = base::NewIncarnation();
  std::shared_ptr<FakeConnection> entry_ =
      std::make_shared<FakeConnection>("entry-1");
  Dispatcher dispatcher_{loop_,
                         store_,
                         driver_,
                         {.upstream = "engine-1",
                          .incarnation = incarnation_,
                          .window_bytes = 64}};
};

// Guards against executing a duplicate start again, and against `refused` for a
// running request.
TEST_F(DispatcherTest, DuplicateStartIsNeitherExecutedNorRefused) {
  BidFor("lodge", 0);
  const protocol::Start start = StartFor(LastGrant(), "r1");
  Receive(start);
  Receive(start);
  EXPECT_EQ(driver_.started, (std::vector<std::string>{"r1"}));
  EXPECT_TRUE(entry_->Sent<protocol::Refused>().empty());
  EXPECT_EQ(entry_->Sent<protocol::Accepted>().size(), 2U);
}

// Guards against executing a start that was delayed past a restart of the side.
TEST_F(DispatcherTest, StartForAnotherIncarnationIsRefused) {
  BidFor("lodge", 0);
  protocol::Start start = StartFor(LastGrant(), "r1");
  start.side_incarnation = base::NewIncarnation();
  Receive(start);
  EXPECT_TRUE(driver_.started.empty());
  EXPECT_EQ(entry_->Sent<protocol::Refused>().size(), 1U);
}

// Guards against executing a start that arrives after its query was answered
// "not executed".
TEST_F(DispatcherTest, QueryAnsweredNotExecutedVoidsTheGrant) {
  BidFor("lodge", 0);
  const protocol::Grant grant = LastGrant();
  Receive(protocol::Query{grant.grant, incarnation_, "r1", 1});
  ASSERT_EQ(entry_->Sent<protocol::Refused>().size(), 1U);
  Receive(StartFor(grant, "r1"));
  EXPECT_TRUE(driver_.started.empty());
}

TEST_F(DispatcherTest, QueryForARunningRequestIsAccepted) {
  StartOne("r1");
  const uint64_t grant = LastGrant().grant;
  Receive(protocol::Query{grant, incarnation_, "r1", 1});
  EXPECT_EQ(entry_->Sent<protocol::Accepted>().size(), 2U);
  EXPECT_TRUE(entry_->Sent<protocol::Refused>().empty());
}

// Guards against "not executed" for a request that an earlier incarnation may
// have executed.
TEST_F(DispatcherTest, QueryForAnotherIncarnationIsUnknown) {
  Receive(protocol::Query{1, base::NewIncarnation(), "r1", 1});
  ASSERT_EQ(entry_->Sent<protocol::Failed>().size(), 1U);
  EXPECT_EQ(entry_->Sent<protocol::Failed>()[0].ran, base::Executed::kUnknown);
}

// Guards against short requests that wait behind long ones.
TEST_F(DispatcherTest, ReservedSlotIsGrantedToShortRequestsOnly) {
  BidFor("works", 0, 5, RequestClass::kLong);
  EXPECT_EQ(entry_->Sent<protocol::Grant>().size(), 1U);
  Receive(protocol::Bid{"m",
                        {{"works", RequestClass::kLong, 4, 0, 1},
                         {"school", RequestClass::kShort, 1, 9, 1}}});
  ASSERT_EQ(entry_->Sent<protocol::Grant>().size(), 2U);
  EXPECT_EQ(LastGrant().workspace, "school");
}

TEST_F(DispatcherTest, AttachSendsTheRemainingOutputAndTheOutcome) {
  StartOne("r1");
  driver_.sinks[0]->OnOutput({"Dear", " guest"});
  dispatcher_.RemoveConnection(*entry_);
  driver_.sinks[0]->OnOutput({","});
  driver_.sinks[0]->OnDone({.output_tokens = 3});
  EXPECT_FALSE(dispatcher_.is_idle());

  auto other = std::make_shared<FakeConnection>("entry-2");
  dispatcher_.AddConnection(other);
  dispatcher_.OnMessage(other, protocol::Attach{"r1", "lodge", 1});
  ASSERT_EQ(other->Sent<protocol::Chunk>().size(), 1U);
  EXPECT_EQ(other->Sent<protocol::Chunk>()[0].data, R"([" guest",","])");
  EXPECT_EQ(other->Sent<protocol::Done>().at(0).length, 3);
  EXPECT_TRUE(dispatcher_.is_idle());
}

// Guards against an entry that cancels a stream which its caller has resumed at
// another entry.
TEST_F(DispatcherTest, OnlyTheAttachedEntryCancels) {
  StartOne("r1");
  auto other = std::make_shared<FakeConnection>("entry-2");
  dispatcher_.AddConnection(other);
  dispatcher_.OnMessage(other, protocol::Attach{"r1", "lodge", 0});
  Receive(protocol::Cancel{"r1", 1});
  EXPECT_EQ(dispatcher_.running(), 1U);
  dispatcher_.OnMessage(other, protocol::Cancel{"r1", 1});
  EXPECT_EQ(dispatcher_.running(), 0U);
}

// Guards against a workspace that reads another workspace's stream.
TEST_F(DispatcherTest, AttachByAnotherWorkspaceIsNotFound) {
  StartOne("r1");
  driver_.sinks[0]->OnOutput({"secret"});
  auto other = std::make_shared<FakeConnection>("entry-2");
  dispatcher_.AddConnection(other);
  dispatcher_.OnMessage(other, protocol::Attach{"r1", "works", 0});
  EXPECT_TRUE(other->Sent<protocol::Chunk>().empty());
  EXPECT_EQ(other->Sent<protocol::Failed>().at(0).kind,
            base::ErrorKind::kNotFound);
}

// Guards against a slot that stays occupied by an attempt that the entry has
// given up.
TEST_F(DispatcherTest, LaterAttemptReleasesTheSlotOfTheEarlierOne) {
  StartOne("r1");
  BidFor("lodge", 0);
  protocol::Start second = StartFor(LastGrant(), "r1");
  second.attempt = 2;
  Receive(second);
  EXPECT_EQ(dispatcher_.slots().used(), 1);
  EXPECT_EQ(dispatcher_.running(), 1U);
}

TEST_F(DispatcherTest, PushedStartsAreExecutedInOrderOfArrival) {
  for (const char* request : {"r1", "r2", "r3"}) {
    Receive(protocol::Start{.side_incarnation = incarnation_,
                            .request = request,
                            .workspace = "lodge",
                            .model = "m"});
  }
  EXPECT_EQ(driver_.started, (std::vector<std::string>{"r1", "r2"}));
  driver_.sinks[0]->OnDone({});
  EXPECT_EQ(driver_.started, (std::vector<std::string>{"r1", "r2", "r3"}));
}

// Guards against a slow caller whose unread output fills the side's memory.
TEST_F(DispatcherTest, FullWindowPausesTheUpstreamUntilCredit) {
  StartOne("r1");
  driver_.sinks[0]->OnOutput({std::string(64, 'x')});
  EXPECT_EQ(driver_.paused, 1);
  Receive(protocol::Credit{"r1", 1, 1});
  EXPECT_EQ(driver_.paused, 0);
}

// Guards against a stream that stays paused because its credits were lost with
// the connection.
TEST_F(DispatcherTest, AttachCountsAsCredit) {
  StartOne("r1");
  driver_.sinks[0]->OnOutput({std::string(64, 'x')});
  ASSERT_EQ(driver_.paused, 1);
  dispatcher_.RemoveConnection(*entry_);
  dispatcher_.AddConnection(entry_);
  Receive(protocol::Attach{"r1", "lodge", 1});
  EXPECT_EQ(driver_.paused, 0);
}

TEST_F(DispatcherTest, LeavingUpstreamGrantsNothingAndFinishesRunningRequests) {
  StartOne("r1");
  BidFor("lodge", 0);
  const protocol::Grant outstanding = LastGrant();
  SetUpstream(R"("slots": 2, "state": "leaving")", 2);
  dispatcher_.ApplyConfiguration();
  Receive(StartFor(outstanding, "r2"));
  BidFor("lodge", 0);
  EXPECT_EQ(entry_->Sent<protocol::Grant>().size(), 2U);
  EXPECT_EQ(driver_.started, (std::vector<std::string>{"r1"}));
  driver_.sinks[0]->OnDone({});
  EXPECT_EQ(entry_->Sent<protocol::Done>().size(), 1U);
}

// Guards against a slot that stays taken by a grant to an entry that has
// disconnected.
TEST_F(DispatcherTest, SlotGrantedToADisconnectedEntryIsReleased) {
  BidFor("lodge", 0, 2);
  EXPECT_EQ(dispatcher_.slots().free(), 0);
  dispatcher_.RemoveConnection(*entry_);
  EXPECT_EQ(dispatcher_.slots().free(), 2);
}

}  // namespace
}  // namespace jackdawshunt::side
