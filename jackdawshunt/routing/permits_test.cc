// Tests of the counts of requests to upstreams that name a limit, and of what a
// gateway believes of a start of an upstream.
#include "jackdawshunt/routing/permits.h"

#include <algorithm>
#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "jackdawshunt/routing/beliefs.h"
#include "jackdawshunt/routing/router.h"
#include "rapidcheck.h"
#include "rapidcheck/gtest.h"

namespace jackdawshunt::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Most grants in any 4 s.
size_t MostIn4Seconds(const std::vector<kernel::TimePoint>& grants) {
  size_t most = 0;
  for (size_t first = 0, last = 0; last < grants.size(); ++last) {
    while (grants[last] - grants[first] > seconds(4)) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return most;
}

constexpr double Allowed(double limit) {
  return 1.5 * limit * 4 + 5;
}

// Guards against a wait beyond what a time can hold, which would be negative.
TEST(PermitCounterTest, WaitOfATinyRateOverflows) {
  for (const double rate : {1e-12, 1e-300, 5e-324}) {
    PermitCounter counter;
    const Permit permit =
        counter.Take(1, {.per_second = rate}, kernel::ManualClock().Now());
    EXPECT_FALSE(permit.is_granted);
    EXPECT_EQ(permit.wait, std::chrono::hours(24)) << rate;
  }
}

// A limit below one a second for many gateways is still a limit, and one that
// changes at any moment is never exceeded by what was saved before.
RC_GTEST_PROP(PermitCounterTest, AnyFourSecondsKeepWithinTheLimit, ()) {
  const double limit = *rc::gen::inRange(1, 400) / 20.0;
  kernel::ManualClock clock;
  PermitCounter counter;
  std::vector<kernel::TimePoint> grants;
  const auto gaps =
      *rc::gen::container<std::vector<int>>(500, rc::gen::inRange(0, 120));
  for (const int gap : gaps) {
    clock.Advance(milliseconds(gap));
    if (counter.Take(7, {.per_second = limit}, clock.Now()).is_granted) {
      grants.push_back(clock.Now());
    }
  }
  RC_ASSERT(static_cast<double>(MostIn4Seconds(grants)) <= Allowed(limit));
}

TEST(PermitCounterTest, RefusalTellsWhenTheNextPermitIsToBeHad) {
  kernel::ManualClock clock;
  PermitCounter counter;
  counter.Take(7, {.per_second = 2}, clock.Now());
  clock.Advance(seconds(5));
  EXPECT_TRUE(counter.Take(7, {.per_second = 2}, clock.Now()).is_granted);
  const Permit refused = counter.Take(7, {.per_second = 2}, clock.Now());
  EXPECT_FALSE(refused.is_granted);
  EXPECT_LE(refused.wait, milliseconds(501));
  clock.Advance(refused.wait);
  EXPECT_TRUE(counter.Take(7, {.per_second = 2}, clock.Now()).is_granted);
}

TEST(PermitCounterTest, StateIsBounded) {
  kernel::ManualClock clock;
  PermitCounter counter;
  for (uint64_t start = 0; start < 20000; ++start) {
    counter.Take(start, {.per_second = 1}, clock.Now());
  }
  EXPECT_LE(counter.size(), 8192u);
  clock.Advance(seconds(200));
  counter.DropExpired(clock.Now());
  EXPECT_EQ(counter.size(), 0u);
}

// Whichever gateways reach the board, all together keep within the tolerance.
TEST(PermitFallbackTest, GatewaysWithoutTheBoardKeepWithinTheLimitTogether) {
  for (const double limit : {0.1, 0.7, 1.7, 3.0, 12.0}) {
    for (const uint32_t gateways : {1u, 4u, 9u, 30u, 68u}) {
      kernel::ManualClock clock;
      PermitCounter board;
      std::vector<PermitFallback> fallbacks(gateways);
      std::vector<kernel::TimePoint> grants;
      for (int step = 0; step < 3000; ++step) {
        clock.Advance(milliseconds(10));
        // One in three gateways reaches the board.
        for (uint32_t i = 0; i < gateways; ++i) {
          const Permit permit =
              i % 3 == 0 ? board.Take(7, {.per_second = limit}, clock.Now())
                         : fallbacks[i].Take(7, {.per_second = limit}, gateways,
                                             clock.Now());
          if (permit.is_granted) {
            grants.push_back(clock.Now());
          }
        }
      }
      EXPECT_LE(static_cast<double>(MostIn4Seconds(grants)), Allowed(limit))
          << limit << " for " << gateways;
    }
  }
}

Upstream MakeStart(std::string id, int64_t started) {
  Upstream upstream;
  upstream.id = std::move(id);
  upstream.service = "desk";
  upstream.address = {"127.0.0.1", 1};
  upstream.started_unix_ms = started;
  return upstream;
}

class StartBeliefsTest : public ::testing::Test {
 protected:
  kernel::TimePoint Now() const { return clock_.Now(); }

  kernel::ManualClock clock_;
  Beliefs beliefs_{1};
  const Upstream upstream_ = MakeStart("a", 5);
  const uint64_t start_ = StartOf(upstream_);
};

TEST_F(StartBeliefsTest, LimitHoldsUntilAnAnswerNamesNone) {
  EXPECT_TRUE(beliefs_.OnLimit(upstream_, 1.7, Now(), Now()));
  EXPECT_EQ(beliefs_.LimitOf(start_, Now()), 1.7);
  // An answer that began before the limit was named shows nothing.
  const kernel::TimePoint sent_before = Now() - milliseconds(100);
  clock_.Advance(milliseconds(200));
  EXPECT_FALSE(beliefs_.OnLimit(upstream_, std::nullopt, sent_before, Now()));
  EXPECT_EQ(beliefs_.LimitOf(start_, Now()), 1.7);
  const kernel::TimePoint sent = Now();
  clock_.Advance(milliseconds(200));
  EXPECT_TRUE(beliefs_.OnLimit(upstream_, std::nullopt, sent, Now()));
  EXPECT_EQ(beliefs_.LimitOf(start_, Now()), std::nullopt);
}

TEST_F(StartBeliefsTest, LimitOfAnEarlierStartDoesNotHold) {
  beliefs_.OnLimit(upstream_, 1.7, Now(), Now());
  EXPECT_EQ(beliefs_.LimitOf(StartOf(MakeStart("a", 6)), Now()), std::nullopt);
}

// An upstream that is never asked again cannot tell that its limit has ended.
TEST_F(StartBeliefsTest, LimitThatNobodyHearsOfExpires) {
  beliefs_.OnLimit(upstream_, 1.7, Now(), Now());
  clock_.Advance(seconds(61));
  EXPECT_EQ(beliefs_.LimitOf(start_, Now()), std::nullopt);
}

TEST_F(StartBeliefsTest, LimitStaysWhileAnswersRepeatIt) {
  for (int i = 0; i < 100; ++i) {
    beliefs_.OnLimit(upstream_, 1.7, Now(), Now());
    clock_.Advance(seconds(1));
    beliefs_.DropExpired(Now());
    EXPECT_EQ(beliefs_.LimitOf(start_, Now()), 1.7);
  }
}

TEST_F(StartBeliefsTest, NewerLimitOfAnotherGatewayWins) {
  beliefs_.OnLimit(upstream_, 9, Now(), Now());
  const Fact older{.kind = FactKind::kStartLimit,
                   .subject = start_,
                   .source = 2,
                   .at = Now() - seconds(1),
                   .value = 3};
  beliefs_.MergeFacts({older}, Now());
  EXPECT_EQ(beliefs_.LimitOf(start_, Now()), 9);
  clock_.Advance(seconds(1));
  Fact newer = older;
  newer.at = Now();
  beliefs_.MergeFacts({newer}, Now());
  EXPECT_EQ(beliefs_.LimitOf(start_, Now()), 3);
}

// Guards against a lost request because another one gets no permit: a request
// that has its permit may still be sent.
TEST_F(StartBeliefsTest, UpstreamWithoutPermitsIsNotClosed) {
  beliefs_.OnPermitRefused(upstream_, milliseconds(500), Now());
  EXPECT_GT(beliefs_.MayPlaceAt(start_, Now()), Now());
  EXPECT_FALSE(beliefs_.IsClosed(start_, Now()));
  beliefs_.HoldBack(upstream_, Now() + seconds(1));
  EXPECT_TRUE(beliefs_.IsClosed(start_, Now()));
  clock_.Advance(seconds(1));
  EXPECT_FALSE(beliefs_.IsClosed(start_, Now()));
  EXPECT_EQ(beliefs_.MayPlaceAt(start_, Now()), Now());
}

// Guards against a gateway that sends to an upstream until it hears itself that
// the upstream leaves.
TEST_F(StartBeliefsTest, LeavingToldByAnotherGatewayHoldsForThatStart) {
  beliefs_.MergeFacts({{.kind = FactKind::kStartLeaving,
                        .subject = start_,
                        .source = 2,
                        .at = Now()}},
                      Now());
  EXPECT_TRUE(beliefs_.IsClosed(start_, Now()));
  EXPECT_FALSE(beliefs_.IsClosed(StartOf(MakeStart("a", 6)), Now()));
}

// Guards against callers that wait for an upstream which takes nothing now.
TEST(LimitedRouterTest, RequestIsRefusedAtOnceWhileNoPermitIsToBeHad) {
  kernel::ManualClock clock;
  Router router({}, clock.Now());
  DesiredState state;
  state.version = 1;
  Route route;
  route.name = "r";
  route.host = "h.example";
  route.path_prefix = "/a/";
  route.timeout = seconds(8);
  route.services = {{"desk", 1}};
  state.routes.push_back(route);
  state.services.push_back({.name = "desk"});
  router.SetDesiredState(std::move(state));
  router.directory().Replace({MakeStart("a", 5), MakeStart("b", 5)},
                             clock.Now());
  RoutedRequest request;
  request.id = "1";
  request.table = router.table();
  request.route = request.table->Match("h.example", "/a/x");
  router.Prepare(request, seconds(8), clock.Now());
  router.beliefs().OnPermitRefused(MakeStart("a", 5), milliseconds(900),
                                   clock.Now());
  EXPECT_EQ(router.Choose(request, {}, clock.Now()).upstream.id, "b");
  router.beliefs().OnPermitRefused(MakeStart("b", 5), milliseconds(600),
                                   clock.Now());
  const Decision refused = router.Choose(request, {}, clock.Now());
  EXPECT_EQ(refused.verdict, Verdict::kNoUpstream);
  EXPECT_GE(refused.retry_after, milliseconds(600));
  EXPECT_LE(refused.retry_after, milliseconds(900));
  clock.Advance(milliseconds(600));
  EXPECT_EQ(router.Choose(request, {}, clock.Now()).upstream.id, "b");
}

}  // namespace
}  // namespace jackdawshunt::routing
