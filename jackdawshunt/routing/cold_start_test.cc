// Tests of cold upstreams: what a gateway believes of them, and that all
// gateways together send them no more than they bear.
#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "jackdawshunt/routing/permits.h"
#include "jackdawshunt/routing/router.h"
#include "rapidcheck.h"
#include "rapidcheck/gtest.h"

namespace jackdawshunt::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kColdRate = 9.1;
constexpr kernel::Duration kColdTime = seconds(3);
constexpr double kOverage = 1.5;
constexpr double kSlack = 5;

constexpr double Allowed(double rate) {
  return kOverage * rate + kSlack;
}

// Most times in any second; `times` are in order.
size_t MostInASecond(const std::vector<kernel::TimePoint>& times) {
  size_t most = 0;
  for (size_t first = 0, last = 0; last < times.size(); ++last) {
    while (times[last] - times[first] >= seconds(1)) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return most;
}

// Guards against gateways that each send a little to a cold upstream while they
// reach no board, have just started, or ask a board that has just restarted.
RC_GTEST_PROP(ColdPermitsTest,
              AnySecondKeepsWithinTheBoundForAnyPartition,
              ()) {
  const size_t gateways = *rc::gen::element<size_t>(4, 20, 68, 530);
  const PermitRate rate{.per_second = *rc::gen::inRange(4, 400) / 10.0,
                        .is_cold = true};
  std::mt19937 random(*rc::gen::arbitrary<uint32_t>());
  kernel::ManualClock clock;
  auto board = std::make_unique<PermitCounter>();
  std::vector<std::unique_ptr<PermitFallback>> fallbacks(gateways);
  std::vector<bool> reaches_board(gateways, true);
  std::vector<kernel::TimePoint> grants;
  for (int step = 0; step < 3000; ++step) {
    clock.Advance(milliseconds(random() % 4));
    const size_t gateway = random() % gateways;
    switch (random() % 200) {
      case 0:
        board = std::make_unique<PermitCounter>();
        break;
      case 1:
        fallbacks[gateway] = nullptr;  // It restarts.
        break;
      case 2:
        for (size_t i = 0; i < gateways; ++i) {
          reaches_board[i] = random() % 3 != 0;
        }
        break;
      default:
        break;
    }
    if (fallbacks[gateway] == nullptr) {
      fallbacks[gateway] = std::make_unique<PermitFallback>();
    }
    // A gateway may know of only some of the others, or of none.
    const auto known = static_cast<uint32_t>(random() % (gateways + 1));
    const Permit permit =
        reaches_board[gateway]
            ? board->Take(7, rate, clock.Now())
            : fallbacks[gateway]->Take(7, rate, known, clock.Now());
    if (permit.is_granted) {
      grants.push_back(clock.Now());
    }
  }
  RC_ASSERT(static_cast<double>(MostInASecond(grants)) <=
            Allowed(rate.per_second));
}

DesiredState MakeState() {
  DesiredState state;
  state.version = 1;
  Route route;
  route.name = "stream";
  route.host = "h.example";
  route.path_prefix = "/s/";
  route.kind = RouteKind::kStream;
  route.timeout = seconds(8);
  route.latency_objective = milliseconds(800);
  route.services = {{"llm", 1}};
  state.routes.push_back(route);
  route.name = "plain";
  route.path_prefix = "/p/";
  route.kind = RouteKind::kSafe;
  route.services = {{"desk", 1}};
  state.routes.push_back(route);
  state.services.push_back(
      {.name = "llm",
       .engine = EngineProfile{.slots = 48, .cache_tokens = 444000},
       .cold_time = kColdTime,
       .cold_requests_per_second = kColdRate});
  state.services.push_back({.name = "desk"});
  state.limits.tokens_per_second = 1'200'000;
  state.workspaces.push_back({.name = "lodge"});
  return state;
}

RouterSettings MakeSettings() {
  RouterSettings settings;
  settings.data_centre = "a";
  settings.cold_overage = kOverage;
  settings.cold_slack = kSlack;
  return settings;
}

Upstream MakeEngine(std::string id,
                    int64_t started,
                    std::optional<kernel::Duration> cold_remaining,
                    std::string data_centre = "a") {
  Upstream upstream;
  upstream.id = std::move(id);
  upstream.service = "llm";
  upstream.address = {absl::StrCat("10.0.0.", upstream.id), 80};
  upstream.data_centre = std::move(data_centre);
  upstream.started_unix_ms = started;
  upstream.cold_remaining = cold_remaining;
  return upstream;
}

class ColdRouterTest : public ::testing::Test {
 protected:
  ColdRouterTest() : router_(MakeSettings(), clock_.Now()) {
    router_.SetColdObserver(
        [this](const Upstream&, ColdSource source, kernel::Duration) {
          sources_.push_back(source);
        });
    router_.SetDesiredState(MakeState());
  }
  kernel::TimePoint Now() const { return clock_.Now(); }
  bool IsCold(const Upstream& upstream) const {
    return router_.RateOf(upstream, Now()).has_value();
  }
  RoutedRequest MakeRequest(const std::string& id,
                            const std::string& path = "/s/x") {
    RoutedRequest request;
    request.id = id;
    request.table = router_.table();
    request.route = request.table->Match("h.example", path);
    if (path[1] == 's') {
      request.prompt = Prompt{.prompt_tokens = 100, .max_output_tokens = 10};
      request.prompt->parts = {{.id = HashOf(id), .tokens = 100}};
    }
    router_.Prepare(request, seconds(8), Now());
    return request;
  }

  kernel::ManualClock clock_;
  Router router_;
  std::vector<ColdSource> sources_;
};

// Guards against a herd of requests at an upstream whose record says that it
// has just started.
TEST_F(ColdRouterTest, RecordIsBelievedForItsTime) {
  const Upstream engine = MakeEngine("1", 5, milliseconds(2000));
  router_.ReplaceUpstreams({engine, MakeEngine("2", 5, milliseconds(0))}, Now(),
                           false);
  EXPECT_EQ(router_.RateOf(engine, Now()),
            (PermitRate{.per_second = kColdRate, .is_cold = true}));
  EXPECT_FALSE(IsCold(MakeEngine("2", 5, {})));
  clock_.Advance(milliseconds(2000));
  EXPECT_FALSE(IsCold(engine));
  EXPECT_EQ(sources_, std::vector<ColdSource>{ColdSource::kRecord});
}

// Guards against a gateway that starts beside cold upstreams and reads their
// records before it knows which services have cold starts.
TEST_F(ColdRouterTest, RecordsReadBeforeTheServicesAreAppliedLater) {
  Router router(MakeSettings(), Now());
  const Upstream engine = MakeEngine("1", 5, milliseconds(2000));
  router.ReplaceUpstreams({engine}, Now(), false);
  clock_.Advance(milliseconds(500));
  router.SetDesiredState(MakeState());
  EXPECT_TRUE(router.RateOf(engine, Now()).has_value());
  clock_.Advance(milliseconds(1500));
  EXPECT_FALSE(router.RateOf(engine, Now()).has_value());
}

// Guards against an upstream that turns cold again under its old id and start.
TEST_F(ColdRouterTest, WarmStartTurnsColdAgain) {
  const Upstream warm = MakeEngine("1", 5, milliseconds(0));
  router_.ReplaceUpstreams({warm}, Now(), false);
  EXPECT_FALSE(IsCold(warm));
  router_.PutUpstream(MakeEngine("1", 5, milliseconds(2500)), Now());
  EXPECT_TRUE(IsCold(warm));
  // An older record that arrives late does not end it.
  router_.PutUpstream(warm, Now());
  EXPECT_TRUE(IsCold(warm));
}

// Guards against trust in a start whose first records do not say that it is
// cold yet.
TEST_F(ColdRouterTest, NewStartAfterTheFirstListCountsAsCold) {
  router_.ReplaceUpstreams({MakeEngine("1", 5, milliseconds(0))}, Now(), false);
  const Upstream restarted = MakeEngine("1", 9, milliseconds(0));
  router_.PutUpstream(restarted, Now());
  EXPECT_TRUE(IsCold(restarted));
  const Upstream added = MakeEngine("2", 9, {});
  router_.PutUpstream(added, Now());
  EXPECT_TRUE(IsCold(added));
  EXPECT_EQ(sources_, (std::vector<ColdSource>{ColdSource::kNewStart,
                                               ColdSource::kNewStart}));
  clock_.Advance(kColdTime);
  router_.PutUpstream(added, Now());  // Its next heartbeat.
  EXPECT_FALSE(IsCold(added));
}

// Guards against a fleet that slows all upstreams down because their records
// expired while the store was away.
TEST_F(ColdRouterTest, SameStartThatIsListedAgainIsWarm) {
  const Upstream engine = MakeEngine("1", 5, milliseconds(0));
  router_.ReplaceUpstreams({engine}, Now(), false);
  router_.ReplaceUpstreams({}, Now(), false);
  clock_.Advance(seconds(5));
  router_.PutUpstream(engine, Now());
  EXPECT_FALSE(IsCold(engine));
}

// Guards against a herd at an upstream that was silent, and returns cold at its
// old id before its record tells it.
TEST_F(ColdRouterTest, UnreachedUpstreamIsSuspected) {
  const Upstream engine = MakeEngine("1", 5, milliseconds(0));
  router_.ReplaceUpstreams({engine, MakeEngine("2", 5, milliseconds(0))}, Now(),
                           false);
  RoutedRequest request = MakeRequest("r");
  Decision decision{.verdict = Verdict::kSend, .upstream = engine};
  router_.OnSent(request, decision, Now());
  router_.OnEnded(request, engine, Outcome::kUnreachable, Now());
  EXPECT_TRUE(IsCold(engine));
  clock_.Advance(seconds(8));
  EXPECT_FALSE(IsCold(engine));
}

TEST_F(ColdRouterTest, UpstreamThatRefusesConnectionsIsToldToOtherGateways) {
  const Upstream engine = MakeEngine("1", 5, milliseconds(0));
  router_.ReplaceUpstreams({engine}, Now(), false);
  router_.OnConnectionRefused(engine, Now());
  EXPECT_TRUE(IsCold(engine));
  Router other(MakeSettings(), Now());
  other.SetDesiredState(MakeState());
  std::vector<Fact> facts;
  for (const auto& [key, row] : router_.beliefs().facts().rows()) {
    facts.push_back(row.fact);
  }
  other.beliefs().MergeFacts(facts, Now());
  EXPECT_TRUE(other.RateOf(engine, Now()).has_value());
}

// Guards against a change for deployments whose services name no rate.
TEST_F(ColdRouterTest, ServiceWithoutARateHasNoColdUpstreams) {
  Upstream desk = MakeEngine("1", 5, milliseconds(3000));
  desk.service = "desk";
  router_.ReplaceUpstreams({desk}, Now(), false);
  router_.OnConnectionRefused(desk, Now());
  EXPECT_FALSE(IsCold(desk));
  EXPECT_TRUE(router_.beliefs().facts().rows().empty());
}

TEST_F(ColdRouterTest, LowerOfLimitAndColdRateHolds) {
  const Upstream engine = MakeEngine("1", 5, milliseconds(2000));
  router_.ReplaceUpstreams({engine}, Now(), false);
  router_.beliefs().OnLimit(engine, 3.0, Now(), Now());
  EXPECT_EQ(router_.RateOf(engine, Now()),
            (PermitRate{.per_second = 3.0, .is_cold = true}));
}

TEST(ColdFactTest, LaterEndIsKeptInWhicheverOrderGatewaysTell) {
  kernel::ManualClock clock;
  clock.Advance(seconds(100));
  const Fact early{.kind = FactKind::kStartCold,
                   .subject = 1,
                   .source = 1,
                   .at = clock.Now(),
                   .value = 3};
  Fact late = early;
  late.source = 2;
  late.at -= seconds(1);
  late.value = 6;
  for (const auto& order : {std::vector{early, late}, {late, early}}) {
    FactStore facts;
    for (const Fact& fact : order) {
      facts.Merge(fact, clock.Now());
    }
    EXPECT_EQ(*facts.Find(FactKind::kStartCold, 1), late);
  }
}

// Guards against a cold time without end from a record that nobody corrects.
TEST(ColdFactTest, ColdTimeIsBounded) {
  kernel::ManualClock clock;
  Beliefs beliefs(1);
  beliefs.OnCold(7, clock.Now() + std::chrono::hours(100), clock.Now());
  EXPECT_GT(beliefs.ColdUntil(7, clock.Now()), clock.Now());
  clock.Advance(Beliefs::kMaxColdTime);
  EXPECT_EQ(beliefs.ColdUntil(7, clock.Now()), clock.Now());
}

// Replays the return of a data centre's engines, cold, among 38, while 20
// gateways place more requests than the others serve.
class ColdReturnReplay {
 public:
  static constexpr size_t kGateways = 20;
  static constexpr size_t kEngines = 38;
  static constexpr size_t kCold = 13;
  static constexpr double kRequestsPerSecond = 460;

  void Run() {
    std::vector<Upstream> list;
    for (size_t i = 0; i < kEngines; ++i) {
      list.push_back(MakeEngine(
          absl::StrCat(i), 5,
          i < kCold ? milliseconds(3000) : kernel::Duration::zero()));
    }
    for (size_t i = 0; i < kGateways; ++i) {
      routers_.push_back(
          std::make_unique<Router>(MakeSettings(), clock_.Now()));
      routers_.back()->SetDesiredState(MakeState());
      routers_.back()->ReplaceUpstreams(list, clock_.Now(), false);
    }
    const auto gap = std::chrono::duration_cast<kernel::Duration>(
        std::chrono::duration<double>(1 / kRequestsPerSecond));
    const kernel::TimePoint end = clock_.Now() + seconds(3);
    for (int i = 0; clock_.Now() < end; ++i) {
      Serve(absl::StrCat("r", i), *routers_[random_() % kGateways]);
      clock_.Advance(gap);
    }
  }

  const std::vector<kernel::TimePoint>& arrivals(size_t engine) {
    return arrivals_[absl::StrCat(engine)];
  }
  std::optional<kernel::TimePoint> first_refusal() const {
    return first_refusal_;
  }
  kernel::TimePoint now() const { return clock_.Now(); }

 private:
  void Serve(const std::string& id, Router& router) {
    RoutedRequest request;
    request.id = id;
    request.table = router.table();
    request.route = request.table->Match("h.example", "/s/x");
    request.prompt = Prompt{.prompt_tokens = 7600, .max_output_tokens = 100};
    request.prompt->parts = {{.id = 1 + random_() % 1000, .tokens = 6000},
                             {.id = HashOf(id), .tokens = 1600}};
    router.Prepare(request, seconds(8), clock_.Now());
    for (int tries = 0; tries < 4; ++tries) {
      const Decision decision = router.Choose(request, {}, clock_.Now());
      if (decision.verdict != Verdict::kSend) {
        Refuse();
        return;
      }
      const auto rate = router.RateOf(decision.upstream, clock_.Now());
      if (rate.has_value()) {
        const Permit permit = boards_[decision.upstream.id].Take(
            StartOf(decision.upstream), *rate, clock_.Now());
        if (!permit.is_granted) {
          router.beliefs().OnPermitRefused(decision.upstream, permit.wait,
                                           clock_.Now());
          continue;
        }
      }
      arrivals_[decision.upstream.id].push_back(clock_.Now());
      router.OnSent(request, decision, clock_.Now());
      return;
    }
    Refuse();
  }
  void Refuse() {
    if (!first_refusal_.has_value()) {
      first_refusal_ = clock_.Now();
    }
  }

  kernel::ManualClock clock_;
  std::mt19937 random_{1};
  std::vector<std::unique_ptr<Router>> routers_;
  std::map<std::string, PermitCounter> boards_;  // By engine.
  std::map<std::string, std::vector<kernel::TimePoint>> arrivals_;
  std::optional<kernel::TimePoint> first_refusal_;
};

// Guards against a herd at engines that return together, and against cold
// engines that are left idle while requests are refused elsewhere.
TEST(ColdReturnTest, EnginesThatReturnTogetherAreFilledAtTheRateTheyBear) {
  ColdReturnReplay replay;
  replay.Run();
  ASSERT_TRUE(replay.first_refusal().has_value());
  const kernel::TimePoint from = *replay.first_refusal();
  ptrdiff_t taken = 0;
  for (size_t engine = 0; engine < ColdReturnReplay::kCold; ++engine) {
    const auto& arrivals = replay.arrivals(engine);
    EXPECT_LE(static_cast<double>(MostInASecond(arrivals)), Allowed(kColdRate))
        << engine;
    taken += std::count_if(arrivals.begin(), arrivals.end(),
                           [from](kernel::TimePoint at) { return at >= from; });
  }
  const double seconds =
      std::chrono::duration<double>(replay.now() - from).count();
  EXPECT_GE(seconds, 1);
  EXPECT_GE(static_cast<double>(taken),
            0.9 * seconds * kColdRate * ColdReturnReplay::kCold);
}

}  // namespace
}  // namespace jackdawshunt::routing
