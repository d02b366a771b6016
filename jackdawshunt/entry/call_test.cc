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
// used up, or reported as possibly run.
TEST_F(CallTest, RefusedRequestIsNotRunAfterTheLastAttempt) {
  Call call = Started(/*repeatable=*/false);
  const Decision first = call.OnRefused(1, "expired", limits_);
  EXPECT_EQ(first.step, NextStep::kRequeue);
  EXPECT_TRUE(first.was_refused);
  EXPECT_EQ(call.attempt(), 2);
  call.SetStarted("side-1", kFirst, 8, clock_.Now());
  const Decision second = call.OnRefused(2, "expired", limits_);
  EXPECT_EQ(second.step, NextStep::kFail);
  EXPECT_EQ(second.error, base::ErrorKind::kNoCapacity);
  EXPECT_EQ(second.ran, base::Ran::kNo);
}

// Guards against "not run" for a request whose earlier attempt may have run.
TEST_F(CallTest, LostAttemptRulesOutNotRun) {
  Call call = Started(/*repeatable=*/true);
  EXPECT_EQ(call.OnSideGone("gone", limits_).step, NextStep::kRequeue);
  call.SetStarted("side-2", kFirst, 9, clock_.Now());
  const Decision decision = call.OnRefused(2, "expired", limits_);
  EXPECT_EQ(decision.step, NextStep::kFail);
  EXPECT_NE(decision.ran, base::Ran::kNo);
}

// Guards against a second run of a call that may not be repeated.
TEST_F(CallTest, NonRepeatableCallIsNeverStartedAgainAfterALoss) {
  for (const auto& lose :
       {+[](Call&call, const CallLimits&limits) {
          return call.OnSideGone("gone", limits);
        },
        +[](Call&call, const CallLimits&limits) {
          return call.OnFailed(
              {.request = "r", .attempt = 1, .ran = base::Ran::kUnknown},
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
    EXPECT_EQ(decision.ran, base::Ran::kUnknown);
  }
}

// Guards against giving up a request whose side is still there.
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
// that stalls for longer than it takes to find out that its side is gone.
TEST_F(CallTest, LinkIsGivenUpAfterItsLimit) {
  for (const bool repeatable : {true, false}) {
    Call call = Started(repeatable);
    call.OnChunk(1, 0, 3, clock_.Now());
    call.OnLinkDown(clock_.Now());
    clock_.Advance((repeatable ? kRelinkLimit : kRecoveryLimit) -
                   milliseconds(1));
    EXPECT_EQ(call.OnTick(limits_, clock_.Now()).step, NextStep::kNone);
    clock_.Advance(milliseconds(1));
    EXPECT_EQ(call.OnTick(limits_, clock_.Now()).step,
              repeatable ? NextStep::kRequeue : NextStep::kFail);
    EXPECT_EQ(call.next_offset(), 3);  // Resumed from here.
  }
}

// Guards against a request that waits forever for the answer to a query.
TEST_F(CallTest, UnansweredQueryIsGivenUpAfterItsLimit) {
  Call call = Started(/*repeatable=*/true);
  call.OnLinkDown(clock_.Now());
  call.OnLinkUp(kFirst, limits_, clock_.Now());
  clock_.Advance(kRecoveryLimit - milliseconds(1));
  EXPECT_EQ(call.OnTick(limits_, clock_.Now()).step, NextStep::kNone);
  clock_.Advance(milliseconds(1));
  EXPECT_EQ(call.OnTick(limits_, clock_.Now()).step, NextStep::kRequeue);
}

// Guards against a silent stream that is never queried, and against a query
// that ends a stream which only its slow caller holds up.
TEST_F(CallTest, SilenceIsQueriedUnlessTheCallerHoldsTheStreamUp) {
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
  call.OnSideGone("gone", limits_);
  call.SetStarted("side-2", kFirst, 9, clock_.Now());
  EXPECT_FALSE(call.OnChunk(1, 0, 4, clock_.Now()).is_taken);
  EXPECT_EQ(call.OnDone({.request = "r", .attempt = 1}, clock_.Now()).step,
            NextStep::kNone);
  EXPECT_EQ(call.OnRefused(1, "late", limits_).step, NextStep::kNone);
  EXPECT_EQ(call.state(), CallState::kStarted);
}

// Guards against an answer that ends before its last part arrived.
TEST_F(CallTest, DoneWithMissingPartsAsksForThem) {
  Call call = Started(/*repeatable=*/true);
  call.OnChunk(1, 0, 4, clock_.Now());
  const protocol::Done done{.request = "r", .attempt = 1, .length = 6};
  EXPECT_EQ(call.OnDone(done, clock_.Now()).step, NextStep::kAttach);
  call.OnChunk(1, 4, 2, clock_.Now());
  EXPECT_EQ(call.OnDone(done, clock_.Now()).step, NextStep::kComplete);
}

// Guards against a service's answer that mixes the parts of two runs.
TEST_F(CallTest, ServiceStartsAgainFromItsFirstByte) {
  Call call = Started(/*repeatable=*/true, protocol::StartKind::kService);
  call.OnChunk(1, 0, 100, clock_.Now());
  EXPECT_EQ(call.OnSideGone("gone", limits_).step, NextStep::kRequeue);
  EXPECT_EQ(call.next_offset(), 0);
}

// Guards against an attached stream that is run again without its body.
TEST_F(CallTest, AttachedStreamIsNeverRequeued) {
  Call call(Join{.request = "r", .side = "side-1", .offset = 5}, clock_.Now());
  EXPECT_EQ(call.OnLinkUp(kSecond, limits_, clock_.Now()).step,
            NextStep::kAttach);
  call.OnAccepted(3, clock_.Now());
  EXPECT_TRUE(call.OnChunk(3, 5, 2, clock_.Now()).is_taken);
  const Decision decision = call.OnSideGone("gone", limits_);
  EXPECT_EQ(decision.step, NextStep::kFail);
  EXPECT_EQ(decision.error, base::ErrorKind::kStreamLost);
}

// Guards against lost, doubled or exchanged tokens whatever the order,
// repetition and loss of chunks: every token is taken once, in order.
RC_GTEST_PROP(CallChunks, AreTakenOnceAndInOrder, ()) {
  const kernel::TimePoint now{};
  Call call(Submit{.request = "r"}, now);
  call.SetStarted("side-1", kFirst, 1, now);
  int64_t taken = 0;
  const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 20), rc::gen::inRange(1, 6)));
  for (const auto& [offset, count] : steps) {
    const Call::ChunkResult result = call.OnChunk(1, offset, count, now);
    if (result.is_taken) {
      RC_ASSERT(offset + result.skip == taken);
      taken = offset + count;
    }
    RC_ASSERT(call.next_offset() == taken);
    if (offset > taken) {
      RC_ASSERT(!result.is_taken);
      RC_ASSERT(call.state() == CallState::kQuerying);
    }
  }
}

// Guards against a non-repeatable call that is requeued after anything but a
// proof that it did not run, over any sequence of events.
RC_GTEST_PROP(CallEvents, NonRepeatableIsRequeuedOnlyWhenNotRun, ()) {
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
        decision =
            call.OnFailed({.attempt = attempt, .ran = base::Ran::kNo}, limits);
        break;
      case 2:
        decision = call.OnFailed(
            {.attempt = attempt, .ran = base::Ran::kUnknown}, limits);
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
        decision = call.OnSideGone("gone", limits);
        break;
    }
    if (decision.step == NextStep::kRequeue) {
      RC_ASSERT(is_proof);
      call.SetStarted("side-1", kFirst, 1, now);
    }
    if (decision.step == NextStep::kFail && !is_proof) {
      RC_ASSERT(decision.ran != base::Ran::kNo);
    }
    if (call.state() == CallState::kFinished) {
      break;
    }
  }
}

}  // namespace
}  // namespace jackdawshunt::entry
