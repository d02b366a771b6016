#include "jackdawshunt/routing/prefill_interference.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "jackdawshunt/routing/router.h"

namespace jackdawshunt::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kSlots = 64;
constexpr size_t kEngines = 9;

class PrefillInterferenceTest : public ::testing::Test {
 protected:
  kernel::TimePoint Now() const { return clock_.Now(); }

  Router MakeRouter(bool is_enabled) const {
    Router router({.prefill_interference = {.is_enabled = is_enabled}}, Now());
    DesiredState state;
    state.version = 1;
    Route route;
    route.name = "chat";
    route.host = "h.example";
    route.path_prefix = "/";
    route.kind = RouteKind::kStream;
    route.timeout = seconds(8);
    route.latency_objective = milliseconds(1500);
    route.services = {{"llm", 1}};
    state.routes.push_back(route);
    state.services.push_back(
        {.name = "llm", .engine = EngineProfile{.slots = kSlots}});
    router.SetDesiredState(std::move(state));
    std::vector<Upstream> engines;
    engines.reserve(kEngines);
    for (size_t i = 0; i < kEngines; ++i) {
      Upstream upstream;
      upstream.id = absl::StrCat("e", i);
      upstream.service = "llm";
      upstream.address = {absl::StrCat("10.0.0.", i + 1), 80};
      upstream.hash = HashOf(upstream.id);
      engines.push_back(upstream);
    }
    router.ReplaceUpstreams(engines, Now(), false);
    return router;
  }

  RoutedRequest MakeRequest(Router& router, bool has_shared_prefix) const {
    RoutedRequest request;
    request.id = "r1";
    request.table = router.table();
    request.route = router.table()->Match("h.example", "/");
    Prompt prompt;
    if (has_shared_prefix) {
      prompt.parts.push_back({7, 9000});
    }
    prompt.parts.push_back({8, 9000});
    prompt.prompt_tokens = 9000;
    request.prompt = prompt;
    router.Prepare(request, std::nullopt, Now());
    return request;
  }

  // Returns offers of the engines to query for the request, of which only the
  // last one has few running streams.
  static std::vector<BoardOffer> MakeOffers(
      const std::vector<Upstream>& engines,
      kernel::Duration wait) {
    std::vector<BoardOffer> offers;
    offers.reserve(engines.size());
    for (const Upstream& engine : engines) {
      offers.push_back({.upstream = engine.id,
                        .cost = {.wait = wait,
                                 .prefill_time = milliseconds(150),
                                 .uncached_tokens = 9000,
                                 .running_requests = kSlots}});
    }
    offers.back().cost.running_requests = 4;
    return offers;
  }

  kernel::ManualClock clock_;
};

// Guards against a long prompt that pauses many streams although an equally
// short queue beside few streams is there.
TEST_F(PrefillInterferenceTest, LongPromptGoesWhereItDelaysFewStreams) {
  for (const bool is_enabled : {false, true}) {
    Router router = MakeRouter(is_enabled);
    RoutedRequest request = MakeRequest(router, false);
    const std::vector<BoardOffer> offers =
        MakeOffers(router.EnginesToQuery(request, Now()), milliseconds(40));
    const Decision decision = router.Choose(request, offers, Now());
    ASSERT_EQ(decision.verdict, Verdict::kSend);
    EXPECT_EQ(decision.upstream.id == offers.back().upstream, is_enabled);
    EXPECT_EQ(decision.delay_of_running > kernel::Duration::zero(), is_enabled);
  }
}

// Guards against a prompt that leaves the engines that have cached its prefix,
// and against one without such a prefix that waits beside idle engines.
TEST_F(PrefillInterferenceTest, ComparesFurtherEnginesWithoutSharedPrefix) {
  struct Case {
    bool is_enabled;
    bool has_shared_prefix;
    kernel::Duration wait;
    size_t further;
  };
  for (const Case& row : {Case{true, false, milliseconds(300), 6},
                          Case{true, false, milliseconds(60), 0},
                          Case{true, true, milliseconds(300), 0},
                          Case{false, false, milliseconds(300), 0}}) {
    Router router = MakeRouter(row.is_enabled);
    RoutedRequest request = MakeRequest(router, row.has_shared_prefix);
    const std::vector<Upstream> first = router.EnginesToQuery(request, Now());
    const Decision decision =
        router.Choose(request, MakeOffers(first, row.wait), Now());
    ASSERT_EQ(decision.verdict, Verdict::kSend);
    const std::vector<Upstream> further =
        router.FurtherEnginesToQuery(request, decision, Now());
    EXPECT_EQ(further.size(), row.further);
    for (size_t i = 0; i < std::min(first.size(), further.size()); ++i) {
      EXPECT_EQ(further[i].id, first[i].id);
    }
  }
}

// Guards against a division by the slots of an engine that does not state them.
TEST_F(PrefillInterferenceTest, EngineWithoutSlotsCostsNothingMore) {
  const EngineCost cost{.prefill_time = milliseconds(150),
                        .running_requests = 30};
  EXPECT_EQ(DelayOfRunning(cost, 0, {.is_enabled = true}),
            kernel::Duration::zero());
  // More requests than slots wait and do not pause.
  EXPECT_EQ(DelayOfRunning(cost, 10, {.is_enabled = true, .delay_factor = 1}),
            milliseconds(150));
}

}  // namespace
}  // namespace jackdawshunt::routing
