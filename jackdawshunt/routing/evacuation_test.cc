// Tests of evacuated data centres: nothing is placed there, their capacity is
// not counted on, and they count as cold afterwards.
#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "jackdawshunt/routing/router.h"

namespace jackdawshunt::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class EvacuationTest : public ::testing::Test {
 protected:
  EvacuationTest()
      : router_({.data_centre = "a", .follows_evacuations = true},
                clock_.Now()) {
    DesiredState state;
    state.version = 1;
    Route route;
    route.name = "plain";
    route.host = "h.example";
    route.path_prefix = "/p/";
    route.kind = RouteKind::kSafe;
    route.timeout = seconds(8);
    route.latency_objective = milliseconds(800);
    route.services = {{"llm", 1}};
    state.routes.push_back(route);
    state.services.push_back({.name = "llm",
                              .engine = EngineProfile{.slots = 4},
                              .cold_time = seconds(3),
                              .cold_requests_per_second = 9});
    state.limits.tokens_per_second = 3000;
    router_.SetDesiredState(std::move(state));
    router_.ReplaceUpstreams(
        {Engine("1", "a"), Engine("2", "b"), Engine("3", "c")}, Now(), false);
  }
  static Upstream Engine(std::string id, std::string data_centre) {
    Upstream upstream;
    upstream.id = std::move(id);
    upstream.service = "llm";
    upstream.address = {"10.0.0." + upstream.id, 80};
    upstream.data_centre = std::move(data_centre);
    upstream.cold_remaining = kernel::Duration::zero();
    return upstream;
  }
  kernel::TimePoint Now() const { return clock_.Now(); }
  RoutedRequest MakeRequest() {
    RoutedRequest request;
    request.id = "r";
    request.table = router_.table();
    request.route = request.table->Match("h.example", "/p/x");
    request.prompt = Prompt{.prompt_tokens = 100, .max_output_tokens = 10};
    request.prompt->parts = {{.id = 1, .tokens = 100}};
    router_.Prepare(request, seconds(8), Now());
    return request;
  }

  kernel::ManualClock clock_;
  Router router_;
};

// Guards against a restarted gateway that places requests before it has read
// which data centres are evacuated.
TEST_F(EvacuationTest, NothingIsPlacedBeforeEvacuationsAreKnown) {
  EXPECT_FALSE(router_.knows_evacuations());
  RoutedRequest request = MakeRequest();
  EXPECT_EQ(router_.Choose(request, {}, Now()).verdict, Verdict::kNoUpstream);
  router_.SetEvacuated({}, Now());
  EXPECT_TRUE(router_.knows_evacuations());
  EXPECT_EQ(router_.Choose(request, {}, Now()).verdict, Verdict::kSend);
}

TEST_F(EvacuationTest, NothingIsPlacedInEvacuatedDataCentres) {
  router_.SetEvacuated({"a", "b"}, Now());
  RoutedRequest request = MakeRequest();
  EXPECT_EQ(router_.Choose(request, {}, Now()).upstream.id, "3");
  // Not on the offer of a board either.
  EXPECT_EQ(router_.Choose(request, {{.upstream = "1"}}, Now()).upstream.id,
            "3");
  // A request that waits for a connection or a permit is checked again.
  EXPECT_FALSE(router_.IsReady(*router_.directory().Find("1"), Now()));
  EXPECT_TRUE(router_.IsReady(*router_.directory().Find("3"), Now()));
}

// Guards against requests that wait for upstreams which nobody may use.
TEST_F(EvacuationTest, RequestIsRefusedAtOnceWhileAllAreEvacuated) {
  router_.SetEvacuated({"a", "b", "c", "unknown"}, Now());
  RoutedRequest request = MakeRequest();
  const Decision refused = router_.Choose(request, {}, Now());
  EXPECT_EQ(refused.verdict, Verdict::kNoUpstream);
  EXPECT_GT(refused.retry_after, kernel::Duration::zero());
}

// Guards against gateways that lose the boards at which they meet when a data
// centre is evacuated.
TEST_F(EvacuationTest, BoardsInEvacuatedDataCentresAreUsed) {
  router_.SetEvacuated({}, Now());
  const auto before = router_.EnginesForExchange(2, Now());
  router_.SetEvacuated({before[0].data_centre}, Now());
  EXPECT_EQ(router_.EnginesForExchange(2, Now()), before);
}

// Guards against missed objectives on the remaining engines, which would get
// the pace of the whole fleet.
TEST_F(EvacuationTest, PaceOfTheRemainingEnginesStays) {
  router_.SetEvacuated({}, Now());
  RoutedRequest before = MakeRequest();
  router_.EnginesToQuery(before, Now());
  router_.SetEvacuated({"a", "b"}, Now());
  RoutedRequest after = MakeRequest();
  router_.EnginesToQuery(after, Now());
  EXPECT_GT(before.engine_tokens_per_s, 0);
  EXPECT_EQ(after.engine_tokens_per_s, before.engine_tokens_per_s);
}

// Guards against admission that counts on the evacuated engines: 4 s of a third
// of 3,000 tokens a second are 4,000 tokens.
TEST_F(EvacuationTest, SharesCountOnlyTheRemainingCapacity) {
  router_.SetEvacuated({"a", "b"}, Now());
  router_.shares().OnAdmitted(HashOf("lodge"), 5000, Now());
  EXPECT_FALSE(router_.shares().FleetHasSpareCapacity(Now()));
  router_.SetEvacuated({}, Now());
  EXPECT_TRUE(router_.shares().FleetHasSpareCapacity(Now()));
}

// Guards against a herd at upstreams that lost their memory while they were
// evacuated.
TEST_F(EvacuationTest, UpstreamsCountAsColdWhenTheEvacuationEnds) {
  router_.SetEvacuated({"a", "b"}, Now());
  clock_.Advance(seconds(10));
  router_.SetEvacuated({"b"}, Now());
  EXPECT_TRUE(router_.RateOf(Engine("1", "a"), Now()).has_value());
  EXPECT_FALSE(router_.RateOf(Engine("2", "b"), Now()).has_value());
  EXPECT_FALSE(router_.RateOf(Engine("3", "c"), Now()).has_value());
  clock_.Advance(seconds(3));
  EXPECT_FALSE(router_.RateOf(Engine("1", "a"), Now()).has_value());
  // Evacuated again before its time has passed.
  router_.SetEvacuated({"a"}, Now());
  EXPECT_FALSE(router_.IsReady(*router_.directory().Find("1"), Now()));
}

}  // namespace
}  // namespace jackdawshunt::routing
