#include "jackdawshunt/entry/dispatcher.h"

#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "gtest/gtest.h"

namespace jackdawshunt::entry {
namespace {

using base::ErrorKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Incarnation kSide{.start_us = 1};

// At least the exchange period of the default policy.
constexpr kernel::Duration kBidRefreshPeriod = std::chrono::milliseconds(100);

// Runs the dispatcher on a manual clock and records the messages and answers
// that it sends.
class DispatcherTest : public testing::Test {
 protected:
  DispatcherTest()
      : dispatcher_(clock_,
                    {.instance = "entry-1", .incarnation = {.start_us = 5}},
                    store_,
                    metrics_,
                    MakeCallbacks()) {
    SetPolicy("{}");
    store_.Merge({Upstream("up-1"), Upstream("up-2")});
  }

  DispatcherCallbacks MakeCallbacks() {
    return {.send = [this](LinkCommand c) { sent_.push_back(std::move(c)); },
            .answer = [this](Answer a) { answers_.push_back(std::move(a)); },
            .schedule_flush = [] {},
            .acquire_claim =
                [this](const claims::ClaimRequest& claim,
                       claims::Claims::Done done) {
                  claims_[claim.request] = std::move(done);
                },
            .complete_claim =
                [this](std::string_view, const claims::RecordedAnswer& a) {
                  claim_log_ += "complete:" + a.body + " ";
                },
            .mark_claim_unknown =
                [this](std::string_view) { claim_log_ += "unknown "; },
            .release_claim =
                [this](std::string_view) { claim_log_ += "release "; }};
  }

  protocol::ConfigRecord Upstream(const std::string& name) {
    return {.key = "config/upstream/" + name,
            .version = ++version_,
            .value = R"({"kind":"upstream","schema":1,"name":")" + name +
                     R"(","spec":{"driver":"engine","slots":4,)"
                     R"("models":["m","holds"]}})"};
  }

  void SetPolicy(const std::string& spec) {
    store_.Merge(
        {{.key = "config/policy/fleet",
          .version = ++version_,
          .value = R"({"kind":"policy","schema":1,"name":"fleet","spec":)" +
                   spec + "}"}});
    dispatcher_.OnConfiguration();
  }

  void ConnectSide(const std::string& side,
                   base::Incarnation incarnation = kSide) {
    dispatcher_.OnLinkEvent(
        LinkUp{{.instance = side,
                .role = protocol::Role::kSide,
                .incarnation = incarnation,
                .upstream = side == "side-1" ? "up-1" : "up-2"}});
  }

  void DisconnectSide(const std::string& side) {
    dispatcher_.OnLinkEvent(
        LinkDown{{.instance = side, .role = protocol::Role::kSide}});
  }

  void ReceiveFrom(const std::string& side, protocol::Message message) {
    dispatcher_.OnLinkEvent(LinkMessage{side, std::move(message)});
  }

  // Submits a request, which is short up to 64 tokens.
  void SubmitModelRequest(const std::string& request,
                          const std::string& workspace = "lodge",
                          int64_t max_tokens = 10) {
    dispatcher_.OnCallerEvent(Submit{.request = request,
                                     .workspace = workspace,
                                     .model = "m",
                                     .is_stream = true,
                                     .max_tokens = max_tokens});
  }

  void PassRefreshPeriod() {
    clock_.Advance(kBidRefreshPeriod);
    dispatcher_.ExchangeCounters();
    dispatcher_.FlushBids();
  }

  void SubmitKeyedCall(const std::string& request, const std::string& key) {
    dispatcher_.OnCallerEvent(Submit{.request = request,
                                     .workspace = "lodge",
                                     .model = "holds",
                                     .kind = protocol::StartKind::kService,
                                     .repeatable = false,
                                     .idempotency_key = key});
  }

  void ReceiveGrant(
      const std::string& side,
      uint64_t grant,
      const std::string& model = "m",
      const std::string& workspace = "lodge",
      protocol::RequestClass request_class = protocol::RequestClass::kShort) {
    ReceiveFrom(side, protocol::Grant{.grant = grant,
                                      .model = model,
                                      .workspace = workspace,
                                      .request_class = request_class});
  }

  // Removes and returns the messages of one type sent to any side.
  template <typename Message>
  std::vector<std::pair<std::string, Message>> TakeSent() {
    std::vector<std::pair<std::string, Message>> taken;
    std::erase_if(sent_, [&taken](const LinkCommand& command) {
      const auto* message = std::get_if<Message>(&command.message);
      if (message != nullptr) {
        taken.emplace_back(command.instance, *message);
      }
      return message != nullptr;
    });
    return taken;
  }

  template <typename Kind>
  std::vector<Kind> TakeAnswers() {
    std::vector<Kind> taken;
    std::erase_if(answers_, [&taken](const Answer& answer) {
      const auto* content = std::get_if<Kind>(&answer);
      if (content != nullptr) {
        taken.push_back(*content);
      }
      return content != nullptr;
    });
    return taken;
  }

  kernel::ManualClock clock_;
  uint64_t version_ = 0;
  configuration::Store store_;
  prometheus::Registry registry_;
  Metrics metrics_{registry_};
  std::vector<LinkCommand> sent_;
  std::vector<Answer> answers_;
  std::map<std::string, claims::Claims::Done> claims_;
  std::string claim_log_;
  Dispatcher dispatcher_;
};

// Guards against a free slot that stays idle for the bid delay, and against a
// bid that remains after the backlog is empty.
TEST_F(DispatcherTest, FirstBidIsSentAtOnceAndWithdrawnWithoutBacklog) {
  ConnectSide("side-1");
  ConnectSide("side-2");
  SubmitModelRequest("r1");
  const auto bids = TakeSent<protocol::Bid>();
  ASSERT_EQ(bids.size(), 2U);
  EXPECT_EQ(bids[0].second.items[0].waiting, 1);
  // A bid for twice the last stated backlog is sent at once, one for a smaller
  // growth with the next refresh.
  SubmitModelRequest("r2");
  dispatcher_.FlushBids();
  EXPECT_EQ(TakeSent<protocol::Bid>()[0].second.items[0].waiting, 2);
  SubmitModelRequest("r3");
  dispatcher_.FlushBids();
  EXPECT_TRUE(TakeSent<protocol::Bid>().empty());
  PassRefreshPeriod();
  const auto refreshed = TakeSent<protocol::Bid>();
  ASSERT_EQ(refreshed.size(), 2U);
  EXPECT_EQ(refreshed[0].second.items[0].waiting, 3);
  ReceiveGrant("side-1", 1);
  ReceiveGrant("side-2", 1);
  ReceiveGrant("side-1", 2);
  PassRefreshPeriod();
  const auto withdrawn = TakeSent<protocol::Bid>();
  ASSERT_EQ(withdrawn.size(), 2U);
  EXPECT_TRUE(withdrawn[0].second.items.empty());
}

// Guards against bids that exceed the control budget when single requests
// arrive at an idle fleet, and against a request that waits at two busy sides
// while another side is idle.
TEST_F(DispatcherTest, SingleRequestBidsAtTwoSidesFirst) {
  for (const char* side : {"side-1", "side-2", "side-3", "side-4"}) {
    ConnectSide(side);
  }
  SubmitModelRequest("r1");
  EXPECT_EQ(TakeSent<protocol::Bid>().size(), 2U);
  PassRefreshPeriod();
  EXPECT_EQ(TakeSent<protocol::Bid>().size(), 2U);
}

// Guards against a grant that starts a request out of order or of the wrong
// class.
TEST_F(DispatcherTest, GrantStartsRequestByOrderAndClass) {
  ConnectSide("side-1");
  SubmitModelRequest("lodge-1");
  SubmitModelRequest("lodge-2");
  SubmitModelRequest("hall-long", "hall", 512);
  ReceiveGrant("side-1", 1);
  ReceiveGrant("side-1", 2);
  ReceiveGrant("side-1", 3);  // A short slot must not start the long request.
  auto starts = TakeSent<protocol::Start>();
  ASSERT_EQ(starts.size(), 2U);
  EXPECT_EQ(starts[0].second.request, "lodge-1");
  EXPECT_EQ(starts[1].second.request, "lodge-2");
  const auto declined = TakeSent<protocol::Decline>();
  ASSERT_EQ(declined.size(), 1U);
  EXPECT_EQ(declined[0].second.grant, 3U);
  SubmitModelRequest("inn-1", "inn");
  ReceiveGrant("side-1", 4, "m", "lodge", protocol::RequestClass::kLong);
  ReceiveGrant("side-1", 5, "m", "lodge", protocol::RequestClass::kLong);
  starts = TakeSent<protocol::Start>();
  ASSERT_EQ(starts.size(), 2U);
}

// Guards against a refused request that loses its place in the queue.
TEST_F(DispatcherTest, RefusedRequestReturnsToTheHeadOfTheQueue) {
  ConnectSide("side-1");
  SubmitModelRequest("r1");
  SubmitModelRequest("r2");
  ReceiveGrant("side-1", 1);
  ReceiveFrom("side-1",
              protocol::Refused{.grant = 1, .request = "r1", .attempt = 1});
  ReceiveGrant("side-1", 2);
  const auto starts = TakeSent<protocol::Start>();
  ASSERT_EQ(starts.size(), 2U);
  EXPECT_EQ(starts[1].second.request, "r1");
  EXPECT_EQ(starts[1].second.attempt, 2);
}

// Guards against lost, repeated or mixed tokens when a stream moves to another
// side, including late tokens of the first side.
TEST_F(DispatcherTest, StreamContinuesAtAnotherSide) {
  ConnectSide("side-1");
  ConnectSide("side-2");
  SubmitModelRequest("r1");
  ReceiveGrant("side-1", 1);
  ReceiveFrom("side-1", protocol::Accepted{"r1", 1});
  ReceiveFrom("side-1", protocol::Chunk{"r1", 1, 0, R"(["a","b"])"});
  DisconnectSide("side-1");
  ConnectSide("side-1", {.start_us = 2});
  ReceiveGrant("side-2", 9);
  const auto starts = TakeSent<protocol::Start>();
  ASSERT_EQ(starts.size(), 2U);
  EXPECT_EQ(starts[1].second.resume_tokens, 2);
  ReceiveFrom("side-1", protocol::Chunk{"r1", 1, 2, R"(["x"])"});
  ReceiveFrom("side-2", protocol::Chunk{"r1", 2, 2, R"(["c"])"});
  ReceiveFrom("side-2",
              protocol::Done{.request = "r1", .attempt = 2, .length = 3});
  std::string text;
  for (const Tokens& tokens : TakeAnswers<Tokens>()) {
    for (const std::string& token : tokens.tokens) {
      text += token;
    }
  }
  EXPECT_EQ(text, "abc");
  const auto completed = TakeAnswers<Completed>();
  ASSERT_EQ(completed.size(), 1U);
  EXPECT_EQ(completed[0].done.output_tokens, 3);
  EXPECT_EQ(dispatcher_.active(), 0U);
}

// Guards against a second start of a request that its side still executes.
TEST_F(DispatcherTest, ReconnectToTheSameIncarnationSendsAQuery) {
  ConnectSide("side-1");
  SubmitModelRequest("r1");
  ReceiveGrant("side-1", 1);
  DisconnectSide("side-1");
  ConnectSide("side-1");
  const auto queries = TakeSent<protocol::Query>();
  ASSERT_EQ(queries.size(), 1U);
  EXPECT_EQ(queries[0].second.grant, 1U);
  EXPECT_EQ(queries[0].second.side_incarnation, kSide);
  ReceiveFrom("side-1", protocol::Accepted{"r1", 1});
  EXPECT_EQ(TakeSent<protocol::Attach>().size(), 1U);
  EXPECT_EQ(TakeSent<protocol::Start>().size(), 1U);
}

// Guards against an attempt that occupies its slot after the request moved to
// another side.
TEST_F(DispatcherTest, AbandonedAttemptIsCancelledWhenTheLinkReturns) {
  ConnectSide("side-1");
  SubmitModelRequest("r1");
  ReceiveGrant("side-1", 1);
  DisconnectSide("side-1");
  clock_.Advance(kRepeatableReconnectLimit);
  dispatcher_.Tick();
  EXPECT_EQ(dispatcher_.waiting(), 1U);
  EXPECT_TRUE(TakeSent<protocol::Cancel>().empty());
  ConnectSide("side-1");
  const auto cancels = TakeSent<protocol::Cancel>();
  ASSERT_EQ(cancels.size(), 1U);
  EXPECT_EQ(cancels[0].second.attempt, 1);
}

// Guards against failures that are answered only at a deadline.
TEST_F(DispatcherTest, QueueAndWaitLimitsAreAnsweredAtOnce) {
  SetPolicy(R"({"max_waiting":1,"max_wait_ms":1000})");
  SubmitModelRequest("r1");
  SubmitModelRequest("r2");
  auto failures = TakeAnswers<Failure>();
  ASSERT_EQ(failures.size(), 1U);
  EXPECT_EQ(failures[0].request, "r2");
  EXPECT_EQ(failures[0].kind, ErrorKind::kQueueFull);
  EXPECT_EQ(failures[0].executed, base::Executed::kNo);
  EXPECT_TRUE(failures[0].retry_after.has_value());
  clock_.Advance(milliseconds(1001));
  dispatcher_.Tick();
  failures = TakeAnswers<Failure>();
  ASSERT_EQ(failures.size(), 1U);
  EXPECT_EQ(failures[0].kind, ErrorKind::kWaitLimit);
  EXPECT_EQ(failures[0].executed, base::Executed::kNo);
  EXPECT_EQ(dispatcher_.active(), 0U);
}

// Guards against a call that is queued without its claim, and against a claim
// without its outcome.
TEST_F(DispatcherTest, KeyedCallIsClaimedBeforeItIsQueued) {
  ConnectSide("side-1");
  SubmitKeyedCall("r1", "key");
  EXPECT_EQ(dispatcher_.waiting(), 0U);
  claims_.at("r1")({.kind = claims::VerdictKind::kExecute});
  EXPECT_EQ(dispatcher_.waiting(), 1U);
  ReceiveGrant("side-1", 1, "holds");
  ReceiveFrom("side-1", protocol::Chunk{"r1", 1, 0, "held"});
  ReceiveFrom(
      "side-1",
      protocol::Done{
          .request = "r1", .attempt = 1, .length = 4, .http_status = 201});
  EXPECT_EQ(claim_log_, "complete:held ");
  const auto replies = TakeAnswers<ServiceReply>();
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(replies[0].http_status, 201);
  EXPECT_EQ(replies[0].body, "held");
}

// Guards against a second execution for a repeated idempotency key.
TEST_F(DispatcherTest, RejectedAndReplayedClaimsAreNotStarted) {
  ConnectSide("side-1");
  SubmitKeyedCall("r1", "key");
  claims_.at("r1")({.kind = claims::VerdictKind::kRejected,
                    .error = ErrorKind::kDuplicateRequest});
  SubmitKeyedCall("r2", "key");
  claims_.at("r2")({.kind = claims::VerdictKind::kReplay,
                    .answer = {.http_status = 201, .body = "held"}});
  EXPECT_EQ(TakeAnswers<Failure>()[0].kind, ErrorKind::kDuplicateRequest);
  EXPECT_TRUE(TakeAnswers<ServiceReply>()[0].is_replay);
  EXPECT_EQ(dispatcher_.active(), 0U);
  EXPECT_EQ(claim_log_, "");
}

// Guards against a key that can be claimed again after an unknown outcome, and
// against a key that stays claimed although no attempt was executed.
TEST_F(DispatcherTest, ClaimIsReleasedOnlyWhenNotExecuted) {
  ConnectSide("side-1");
  SubmitKeyedCall("r1", "key");
  claims_.at("r1")({.kind = claims::VerdictKind::kExecute});
  ReceiveGrant("side-1", 1, "holds");
  DisconnectSide("side-1");
  ConnectSide("side-1", {.start_us = 2});
  EXPECT_EQ(TakeAnswers<Failure>()[0].kind, ErrorKind::kOutcomeUnknown);
  EXPECT_EQ(claim_log_, "unknown ");
  claim_log_.clear();
  SubmitKeyedCall("r2", "key-2");
  claims_.at("r2")({.kind = claims::VerdictKind::kExecute});
  clock_.Advance(seconds(31));
  dispatcher_.Tick();
  EXPECT_EQ(claim_log_, "release ");
}

// Guards against a non-repeatable call that is cancelled when its caller
// disconnects.
TEST_F(DispatcherTest, NonRepeatableCallContinuesAfterDisconnect) {
  ConnectSide("side-1");
  SubmitKeyedCall("r1", "key");
  claims_.at("r1")({.kind = claims::VerdictKind::kExecute});
  ReceiveGrant("side-1", 1, "holds");
  dispatcher_.OnCallerEvent(CallerDisconnected{"r1"});
  clock_.Advance(seconds(11));
  dispatcher_.Tick();
  EXPECT_TRUE(TakeSent<protocol::Cancel>().empty());
  ReceiveFrom("side-1", protocol::Chunk{"r1", 1, 0, "held"});
  ReceiveFrom("side-1",
              protocol::Done{.request = "r1", .attempt = 1, .length = 4});
  EXPECT_EQ(claim_log_, "complete:held ");
  EXPECT_EQ(dispatcher_.active(), 0U);
}

// Guards against abandoned streams that are never cancelled, and against a
// resume within the grace period that loses tokens.
TEST_F(DispatcherTest, DisconnectedStreamCanBeResumedUntilTheGraceEnds) {
  ConnectSide("side-1");
  SubmitModelRequest("r1");
  ReceiveGrant("side-1", 1);
  ReceiveFrom("side-1", protocol::Accepted{"r1", 1});
  dispatcher_.OnCallerEvent(CallerDisconnected{"r1"});
  ReceiveFrom("side-1", protocol::Chunk{"r1", 1, 0, R"(["a","b"])"});
  clock_.Advance(kResumeGrace - milliseconds(1));
  dispatcher_.Tick();
  dispatcher_.OnCallerEvent(ResumeStream{
      .request = "r1", .side = "side-1", .workspace = "lodge", .offset = 1});
  const auto attaches = TakeSent<protocol::Attach>();
  ASSERT_FALSE(attaches.empty());
  EXPECT_EQ(attaches.back().second.offset, 1);
  ReceiveFrom("side-1", protocol::Accepted{"r1", 1});
  ReceiveFrom("side-1", protocol::Chunk{"r1", 1, 1, R"(["b"])"});
  EXPECT_EQ(TakeAnswers<Tokens>().back().offset, 1);
  dispatcher_.OnCallerEvent(CallerDisconnected{"r1"});
  clock_.Advance(kResumeGrace);
  dispatcher_.Tick();
  EXPECT_EQ(TakeSent<protocol::Cancel>().size(), 1U);
  EXPECT_EQ(dispatcher_.active(), 0U);
}

// Guards against an attach that takes a stream from another entry at which the
// caller resumed it.
TEST_F(DispatcherTest, DisconnectedStreamIsNotAttached) {
  SetPolicy(R"({"progress_limit_ms":1000})");
  ConnectSide("side-1");
  SubmitModelRequest("r1");
  ReceiveGrant("side-1", 1);
  ReceiveFrom("side-1", protocol::Accepted{"r1", 1});
  dispatcher_.OnCallerEvent(CallerDisconnected{"r1"});
  clock_.Advance(seconds(1));
  dispatcher_.Tick();
  EXPECT_EQ(TakeSent<protocol::Query>().size(), 1U);
  ReceiveFrom("side-1", protocol::Accepted{"r1", 1});
  EXPECT_TRUE(TakeSent<protocol::Attach>().empty());
  dispatcher_.OnCallerEvent(
      ResumeStream{.request = "r1", .side = "side-1", .workspace = "lodge"});
  EXPECT_EQ(TakeSent<protocol::Attach>().size(), 1U);
}

// Guards against a caller who resumes a stream of another workspace.
TEST_F(DispatcherTest, StreamOfAnotherWorkspaceIsNotFound) {
  ConnectSide("side-1");
  SubmitModelRequest("r1");
  ReceiveGrant("side-1", 1);
  dispatcher_.OnCallerEvent(CallerDisconnected{"r1"});
  dispatcher_.OnCallerEvent(
      ResumeStream{.request = "r1", .side = "side-1", .workspace = "hall"});
  EXPECT_EQ(TakeAnswers<Failure>()[0].kind, ErrorKind::kNotFound);
  EXPECT_TRUE(TakeSent<protocol::Attach>().empty());
}

// Guards against credit before the caller has taken the tokens.
TEST_F(DispatcherTest, CreditIsSentAfterTheCallerTookTheTokens) {
  ConnectSide("side-1");
  SubmitModelRequest("r1");
  ReceiveGrant("side-1", 1);
  ReceiveFrom("side-1", protocol::Chunk{"r1", 1, 0, R"(["a","b"])"});
  dispatcher_.Tick();
  EXPECT_TRUE(TakeSent<protocol::Credit>().empty());
  dispatcher_.OnCallerEvent(Consumed{"r1", 2});
  dispatcher_.Tick();
  // Credit for a few tokens is sent when no more follow within a tick.
  EXPECT_TRUE(TakeSent<protocol::Credit>().empty());
  dispatcher_.Tick();
  const auto credits = TakeSent<protocol::Credit>();
  ASSERT_EQ(credits.size(), 1U);
  EXPECT_EQ(credits[0].second.offset, 2);
}

// Guards against push strategies that wait for a grant.
TEST_F(DispatcherTest, PushStrategyStartsWithoutAGrant) {
  SetPolicy(R"({"placement":"round_robin"})");
  SubmitModelRequest("r1");
  EXPECT_TRUE(TakeSent<protocol::Start>().empty());
  ConnectSide("side-1");
  dispatcher_.FlushBids();
  const auto starts = TakeSent<protocol::Start>();
  ASSERT_EQ(starts.size(), 1U);
  EXPECT_EQ(starts[0].second.grant, 0U);
  EXPECT_TRUE(TakeSent<protocol::Bid>().empty());
}

// Guards against new requests for a side that is leaving or draining.
TEST_F(DispatcherTest, LeavingSideGetsNoBids) {
  ConnectSide("side-1");
  ConnectSide("side-2");
  dispatcher_.OnLinkEvent(InstanceLeavingChanged{"side-1", true});
  ReceiveFrom("side-2", protocol::Heartbeat{.draining = true});
  SubmitModelRequest("r1");
  EXPECT_TRUE(TakeSent<protocol::Bid>().empty());
  ReceiveFrom("side-2", protocol::Heartbeat{});
  dispatcher_.FlushBids();
  const auto bids = TakeSent<protocol::Bid>();
  ASSERT_EQ(bids.size(), 1U);
  EXPECT_EQ(bids[0].first, "side-2");
}

}  // namespace
}  // namespace jackdawshunt::entry
