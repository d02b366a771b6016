#include "jackdawshunt/entry/call.h"

#include <set>
#include <string>

#include "gtest/gtest.h"
#include "rapidcheck.h"
// Must follow the two headers above.
#include "rapidcheck/gtest.h"

namespace jackdawshunt::entry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Incarnation kFirst{.start_us = 1};
constexpr base::Incarnation kSecond{.start_us = 2};

class CallTest : public testing::Test {
 protected:
  Call Started(bool repeatable,
               protocol::StartKind kind = protocol::StartKind::kModel) {
    Call call(Submit{.request = "r", .kind = kind, .repeatable = repeatable},
              clock_.Now());
    call.SetStarted("side-1", kFirst, 7, clock_.Now());
    return call;
  }

  kernel::ManualClock clock_;
  CallLimits limits_{.max_attempts = 2, .progress_limit = seconds(10)};
};

// Guards against a refused request that is answered before its attempts are
// used up, or reported as possibly executed.
TEST_F(CallTest, RefusedRequestIsNotExecutedAfterTheLastAttempt) {
  Call call = Started(/*repeatable=*/false);
  const Decision first = call.OnRefused(1, "expired", limits_);
  EXPECT_EQ(first.step, NextStep::kRequeue);
  EXPECT_TRUE(first.not_executed);
  EXPECT_EQ(call.attempt(), 2);
  call.SetStarted("side-1", kFirst, 8, clock_.Now());
  const Decision second = call.OnRefused(2, "expired", limits_);
  EXPECT_EQ(second.step, NextStep::kFail);
  EXPECT_EQ(second.error, base::ErrorKind::kNoCapacity);
  EXPECT_EQ(second.executed, base::Executed::kNo);
}

// Guards against "not executed" for a request whose earlier attempt may have
// been executed.
TEST_F(CallTest, LostAttemptIsReportedAsPossiblyExecuted) {
  Call call = Started(/*repeatable=*/true);
  EXPECT_EQ(call.OnSideLost("side lost", limits_).step, NextStep::kRequeue);
  call.SetStarted("side-2", kFirst, 9, clock_.Now());
  const Decision decision = call.OnRefused(2, "expired", limits_);
  EXPECT_EQ(decision.step, NextStep::kFail);
  EXPECT_NE(decision.executed, base::Executed::kNo);
}

// Guards against a second execution of a call that must not be repeated.
TEST_F(CallTest, NonRepeatableCallIsNotRetriedAfterALoss) {
  for (const auto& lose :
       {+[](Call&call, const CallLimits&limits) {
          return call.OnSideLost("side lost", limits);
        },
        +[](Call&call, const CallLimits&limits) {
          return call.OnFailed(
              {.request = "r", .attempt = 1, .ran = base::Executed::kUnknown},
              limits);
        },
        +[](Call&call, const CallLimits&limits) {
          call.OnLinkDown({});
          return call.OnLinkUp(kSecond, limits, {});
        },
        +[](Call&call, const CallLimits&limits) {
          call.OnLinkDown({});
          return call.OnTick(limits, kernel::TimePoint(kRecoveryLimit));
        }}) {
    Call call = Started(/*repeatable=*/false, protocol::StartKind::kService);
    const Decision decision = lose(call, limits_);
    EXPECT_EQ(decision.step, NextStep::kFail);
    EXPECT_EQ(decision.error, base::ErrorKind::kOutcomeUnknown);
    EXPECT_EQ(decision.executed, base::Executed::kUnknown);
  }
}

// Guards against giving up a request whose side still executes it.
TEST_F(CallTest, BrokenLinkIsFollowedByQueryAndAttach) {
  Call call = Started(/*repeatable=*/true);
  call.OnChunk(1, 0, 4, clock_.Now());
  call.OnLinkDown(clock_.Now());
  EXPECT_EQ(call.OnLinkUp(kFirst, limits_, clock_.Now()).step,
            NextStep::kQuery);
  EXPECT_EQ(call.OnAccepted(1, clock_.Now()).step, NextStep::kAttach);
  EXPECT_EQ(call.next_offset(), 4);
  EXPECT_EQ(call.OnAccepted(1, clock_.Now()).step, NextStep::kNone);
}

// Guards against a request that waits forever for a link, and against a stream
// that stalls for longer than it takes to detect that its side is lost.
TEST_F(CallTest, LinkIsGivenUpAfterItsLimit) {
  for (const bool repeatable : {true, false}) {
    Call call = Started(repeatable);
    call.OnChunk(1, 0, 3, clock_.Now());
    call.OnLinkDown(clock_.Now());
    clock_.Advance((repeatable ? kRepeatableReconnectLimit : kRecoveryLimit) -
                   milliseconds(1));
    EXPECT_EQ(call.OnTick(limits_, clock_.Now()).step, NextStep::kNone);
    clock_.Advance(milliseconds(1));
    EXPECT_EQ(call.OnTick(limits_, clock_.Now()).step,
              repeatable ? NextStep::kRequeue : NextStep::kFail);
    EXPECT_EQ(call.next_offset(), 3);  // Resumed from here.
  }
}

// Guards against a request that waits forever for the reply to a query.
TEST_F(CallTest, QueryWithoutReplyIsGivenUpAfterItsLimit) {
  Call call = Started(/*repeatable=*/true);
  call.OnLinkDown(clock_.Now());
  call.OnLinkUp(kFirst, limits_, clock_.Now());
  clock_.Advance(kRecoveryLimit - milliseconds(1));
  EXPECT_EQ(call.OnTick(limits_, clock_.Now()).step, NextStep::kNone);
  clock_.Advance(milliseconds(1));
  EXPECT_EQ(call.OnTick(limits_, clock_.Now()).step, NextStep::kRequeue);
}

// Guards against a stalled stream that is never queried, and against a query
// that ends a stream that is delayed only by its slow caller.
TEST_F(CallTest, StalledStreamIsQueriedUnlessItsCallerIsSlow) {
  Call call = Started(/*repeatable=*/true);
  call.OnChunk(1, 0, 3, clock_.Now());
  clock_.Advance(limits_.progress_limit);
  EXPECT_EQ(call.OnTick(limits_, clock_.Now()).step, NextStep::kNone);
  call.SetConsumed(3);
  EXPECT_EQ(call.OnTick(limits_, clock_.Now()).step, NextStep::kQuery);
}

// Guards against output of an earlier attempt within a later one.
TEST_F(CallTest, MessagesOfAnEarlierAttemptAreDropped) {
  Call call = Started(/*repeatable=*/true);
  call.OnSideLost("side lost", limits_);
  call.SetStarted("side-2", kFirst, 9, clock_.Now());
  EXPECT_FALSE(call.OnChunk(1, 0, 4, clock_.Now()).is_accepted);
  EXPECT_EQ(call.OnDone({.request = "r", .attempt = 1}, clock_.Now()).step,
            NextStep::kNone);
  EXPECT_EQ(call.OnRefused(1, "late", limits_).step, NextStep::kNone);
  EXPECT_EQ(call.state(), CallState::kStarted);
}

// Guards against an answer that ends before its last part arrived.
TEST_F(CallTest, DoneWithMissingPartsLeadsToAnAttach) {
  Call call = Started(/*repeatable=*/true);
  call.OnChunk(1, 0, 4, clock_.Now());
  const protocol::Done done{.request = "r", .attempt = 1, .length = 6};
  EXPECT_EQ(call.OnDone(done, clock_.Now()).step, NextStep::kAttach);
  call.OnChunk(1, 4, 2, clock_.Now());
  EXPECT_EQ(call.OnDone(done, clock_.Now()).step, NextStep::kComplete);
}

// Guards against a service's answer that mixes parts of two attempts.
TEST_F(CallTest, ServiceStartsAgainFromItsFirstByte) {
  Call call = Started(/*repeatable=*/true, protocol::StartKind::kService);
  call.OnChunk(1, 0, 100, clock_.Now());
  EXPECT_EQ(call.OnSideLost("side lost", limits_).step, NextStep::kRequeue);
  EXPECT_EQ(call.next_offset(), 0);
}

// Guards against a retry of an attached stream, whose request body is unknown.
TEST_F(CallTest, AttachedStreamIsNeverRequeued) {
  Call call(ResumeStream{.request = "r", .side = "side-1", .offset = 5},
            clock_.Now());
  EXPECT_EQ(call.OnLinkUp(kSecond, limits_, clock_.Now()).step,
            NextStep::kAttach);
  call.OnAccepted(3, clock_.Now());
  EXPECT_TRUE(call.OnChunk(3, 5, 2, clock_.Now()).is_accepted);
  const Decision decision = call.OnSideLost("side lost", limits_);
  EXPECT_EQ(decision.step, NextStep::kFail);
  EXPECT_EQ(decision.error, base::ErrorKind::kStreamLost);
}

// Guards against lost, repeated or reordered tokens for any order, repetition
// and loss of chunks.
RC_GTEST_PROP(CallChunks, AreAcceptedOnceAndInOrder, ()) {
  const kernel::TimePoint now{};
  Call call(Submit{.request = "r"}, now);
  call.SetStarted("side-1", kFirst, 1, now);
  int64_t taken = 0;
  const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 20), rc::gen::inRange(1, 6)));
  for (const auto& [offset, count] : steps) {
    const Call::ChunkResult result = call.OnChunk(1, offset, count, now);
    if (result.is_accepted) {
      RC_ASSERT(offset + result.skip == taken);
      taken = offset + count;
    }
    RC_ASSERT(call.next_offset() == taken);
    if (offset > taken) {
      RC_ASSERT(!result.is_accepted);
      RC_ASSERT(call.state() == CallState::kQuerying);
    }
  }
}

// Guards against a non-repeatable call that is requeued without proof that it
// was not executed, for any sequence of events.
RC_GTEST_PROP(CallEvents, NonRepeatableIsRequeuedOnlyWhenNotExecuted, ()) {
  const CallLimits limits{.max_attempts = 5};
  kernel::TimePoint now{};
  Call call(Submit{.request = "r",
                   .kind = protocol::StartKind::kService,
                   .repeatable = false},
            now);
  call.SetStarted("side-1", kFirst, 1, now);
  for (const int event :
       *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8))) {
    now += seconds(3);
    Decision decision;
    bool is_proof = false;
    const int attempt = call.attempt();
    switch (event) {
      case 0:
        is_proof = call.state() != CallState::kRunning;
        decision = call.OnRefused(attempt, "refused", limits);
        break;
      case 1:
        is_proof = true;
        decision = call.OnFailed(
            {.attempt = attempt, .ran = base::Executed::kNo}, limits);
        break;
      case 2:
        decision = call.OnFailed(
            {.attempt = attempt, .ran = base::Executed::kUnknown}, limits);
        break;
      case 3:
        decision = call.OnLinkDown(now);
        break;
      case 4:
        decision = call.OnLinkUp(kFirst, limits, now);
        break;
      case 5:
        decision = call.OnTick(limits, now);
        break;
      case 6:
        decision = call.OnAccepted(attempt, now);
        break;
      default:
        decision = call.OnSideLost("side lost", limits);
        break;
    }
    if (decision.step == NextStep::kRequeue) {
      RC_ASSERT(is_proof);
      call.SetStarted("side-1", kFirst, 1, now);
    }
    if (decision.step == NextStep::kFail && !is_proof) {
      RC_ASSERT(decision.executed != base::Executed::kNo);
    }
    if (call.state() == CallState::kFinished) {
      break;
    }
  }
}

}  // namespace
}  // namespace jackdawshunt::entry
