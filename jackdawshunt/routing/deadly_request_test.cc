// Tests of what the gateways believe of whole requests that end the upstreams
// that run them.
#include <utility>
#include <vector>

#include "gtest/gtest.h"
#include "jackdawshunt/routing/testing/ending_upstreams.h"

namespace jackdawshunt::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint64_t kDeadlyContent = 0xdead;
// Ends, and requests that reach upstreams later, that the operator allows.
constexpr int kAllowedEnds = 3;
constexpr int kAllowedLateSends = 3;

std::vector<Route> PlainRoutes() {
  Route route;
  route.name = "status";
  route.host = "h.example";
  route.path_prefix = "/safe/";
  route.kind = RouteKind::kSafe;
  route.attempts = 2;
  route.timeout = seconds(8);
  route.latency_objective = seconds(1);
  route.services = {{"jobs", 1}};
  return {route};
}

// Four plain upstreams that restart when they end.
class EndedPlainUpstreamsTest : public testing::EndingUpstreams {
 protected:
  EndedPlainUpstreamsTest()
      : EndingUpstreams(PlainRoutes(), {.name = "jobs"}, 4) {
    router_.set_instances(1);
  }

  RoutedRequest MakeRequest(uint64_t content) {
    RoutedRequest request = NewRequest("/safe/x");
    request.content = content;
    router_.Prepare(request, seconds(8), Now());
    return request;
  }

  // Returns whether the request was sent, and served.
  bool Serve(uint64_t content) {
    RoutedRequest request = MakeRequest(content);
    const Decision decision = Send(request);
    if (decision.verdict != Verdict::kSend) {
      return false;
    }
    clock_.Advance(milliseconds(20));
    router_.OnEnded(request, decision.upstream, Outcome::kSuccess, Now());
    return true;
  }

  // Sends a request under which its upstream ends, with all that runs there,
  // and repeats it as often as the router allows. Returns how often it was
  // sent.
  int SendToUpstreamsThatEnd(uint64_t content,
                             const std::vector<uint64_t>& beside = {}) {
    RoutedRequest request = MakeRequest(content);
    int sent = 0;
    do {
      const Decision decision = Send(request);
      if (decision.verdict != Verdict::kSend) {
        return sent;
      }
      ++sent;
      std::vector<RoutedRequest> others;
      others.reserve(beside.size());
      for (const uint64_t other : beside) {
        others.push_back(MakeRequest(other));
      }
      EndUpstream(decision, request, std::move(others), milliseconds(60),
                  /*is_refused=*/true);
    } while (router_.TrySpendRetry(request, Now()));
    return sent;
  }
};

// Guards against a request that ends one upstream after the other because it
// comes again and is offered to the next one.
TEST_F(EndedPlainUpstreamsTest, RequestThatEndsUpstreamsIsNoLongerSent) {
  int sent = 0;
  for (int i = 0; i < 60; ++i) {
    sent += SendToUpstreamsThatEnd(kDeadlyContent);
    clock_.Advance(milliseconds(500));
    EXPECT_TRUE(Serve(static_cast<uint64_t>(100 + i))) << "after " << sent;
    clock_.Advance(milliseconds(500));
  }
  EXPECT_LE(sent, kAllowedEnds + kAllowedLateSends);
}

// Guards against several upstreams that end at once when a quarantine is over,
// because all that comes meanwhile is sent.
TEST_F(EndedPlainUpstreamsTest, OneRequestAtATimeTriesWhetherItIsSound) {
  clock_.Advance(seconds(10));  // The gateway has learned what is sound.
  while (SendToUpstreamsThatEnd(kDeadlyContent) > 0) {
    clock_.Advance(milliseconds(500));
  }
  int sent = 0;
  RoutedRequest first;
  for (int i = 0; i < 600 && sent == 0; ++i) {
    clock_.Advance(milliseconds(100));
    first = MakeRequest(kDeadlyContent);
    const Decision decision = router_.Choose(first, {}, Now());
    if (decision.verdict == Verdict::kSend) {
      router_.OnSent(first, decision, Now());
      ++sent;
    }
  }
  ASSERT_EQ(sent, 1);
  EXPECT_FALSE(router_.RefuseQuarantined(first, Now()).has_value());
  const RoutedRequest second = MakeRequest(kDeadlyContent);
  const auto refusal = router_.RefuseQuarantined(second, Now());
  ASSERT_TRUE(refusal.has_value());
  EXPECT_GT(refusal->retry_after, kernel::Duration::zero());
  // A trial without an answer does not hold up the next one for long.
  clock_.Advance(seconds(2));
  EXPECT_FALSE(router_.RefuseQuarantined(second, Now()).has_value());
}

// Guards against the refusal of requests that were beside the deadly one.
TEST_F(EndedPlainUpstreamsTest, RequestsBesideTheDeadlyOneStayInUse) {
  for (uint64_t i = 0; i < 10; ++i) {
    SendToUpstreamsThatEnd(kDeadlyContent, {1, 2, 100 + i});
    clock_.Advance(milliseconds(500));
    for (const uint64_t sound : {uint64_t{1}, uint64_t{2}, 100 + i}) {
      EXPECT_TRUE(Serve(sound)) << sound;
    }
    clock_.Advance(milliseconds(500));
  }
}

}  // namespace
}  // namespace jackdawshunt::routing
