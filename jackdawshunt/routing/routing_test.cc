// Unit tests of the directory, the retry budget, upstream health, key
// freshness, overload, the router, fair shares and engine estimates.
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "jackdawshunt/routing/directory.h"
#include "jackdawshunt/routing/key_freshness.h"
#include "jackdawshunt/routing/overload.h"
#include "jackdawshunt/routing/retry_budget.h"
#include "jackdawshunt/routing/router.h"
#include "jackdawshunt/routing/upstream_health.h"

namespace jackdawshunt::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ClockTest : public ::testing::Test {
 protected:
  kernel::TimePoint Now() const { return clock_.Now(); }
  kernel::ManualClock clock_;
};

using DirectoryTest = ClockTest;
using RetryBudgetTest = ClockTest;
using UpstreamHealthTest = ClockTest;
using KeyFreshnessTest = ClockTest;
using OverloadTest = ClockTest;
using RouterTest = ClockTest;
using FairShareTest = ClockTest;
using EngineEstimateTest = ClockTest;

Upstream MakeUpstream(std::string id, std::string service = "desk") {
  Upstream upstream;
  upstream.id = std::move(id);
  upstream.service = std::move(service);
  upstream.address = {"127.0.0.1", 1};
  return upstream;
}

TEST_F(DirectoryTest, DrainingUpstreamIsNotReady) {
  Directory directory(seconds(2));
  directory.Replace({MakeUpstream("a"), MakeUpstream("b")}, Now());
  Upstream draining = MakeUpstream("a");
  draining.is_draining = true;
  directory.Put(draining, Now());
  ASSERT_EQ(directory.Ready("desk", Now()).size(), 1u);
  EXPECT_EQ(directory.Ready("desk", Now())[0]->id, "b");
}

TEST_F(DirectoryTest, RemovesUpstreamAtOnceOutsideGracePeriod) {
  Directory directory(seconds(2));
  directory.Replace({MakeUpstream("a")}, Now());
  directory.Remove("a", Now());
  EXPECT_TRUE(directory.Ready("desk", Now()).empty());
}

// Guards against trust in an address that an older start has left, or another
// one has taken over.
TEST_F(DirectoryTest, KnowsThatAnotherStartTookAnAddressOver) {
  Directory directory(seconds(2));
  Upstream current = MakeUpstream("b");
  current.started_unix_ms = 20;
  Upstream older = MakeUpstream("a");
  older.started_unix_ms = 10;
  Upstream elsewhere = MakeUpstream("c");
  elsewhere.address.port = 2;
  directory.Replace({older, current, elsewhere}, Now());
  EXPECT_FALSE(directory.IsReplaced(*directory.Find("b")));
  EXPECT_FALSE(directory.IsReplaced(*directory.Find("c")));
  EXPECT_TRUE(directory.IsReplaced(*directory.Find("a")));
  // Of another service, without a known start.
  directory.Put(MakeUpstream("d", "llm"), Now());
  EXPECT_TRUE(directory.IsReplaced(*directory.Find("b")));
}

// Guards against a fleet that places requests on starts that have ended, and
// resets the estimate of the engine each time, after a data centre lost power:
// the records of the earlier starts stay for some seconds.
TEST_F(DirectoryTest, OnlyTheLatestStartAtAnAddressIsReady) {
  Directory directory(seconds(2));
  Upstream earlier = MakeUpstream("a");
  earlier.started_unix_ms = 10;
  Upstream latest = MakeUpstream("b");
  latest.started_unix_ms = 20;
  directory.Replace({earlier}, Now());
  EXPECT_EQ(directory.Ready("desk", Now()).size(), 1u);
  directory.Put(latest, Now());
  ASSERT_EQ(directory.Ready("desk", Now()).size(), 1u);
  EXPECT_EQ(directory.Ready("desk", Now())[0]->id, "b");
  EXPECT_TRUE(directory.IsSuperseded(earlier));
  // The latest start has gone, and its record was wrong.
  directory.Remove("b", Now());
  EXPECT_EQ(directory.Ready("desk", Now()).size(), 1u);
}

// Guards against requests that are sent again and again to an address where
// another start answers.
TEST_F(DirectoryTest, StartWhoseAddressAnswersForAnotherIsNotReady) {
  Directory directory(seconds(2));
  Upstream upstream = MakeUpstream("a");
  upstream.started_unix_ms = 10;
  directory.Replace({upstream, MakeUpstream("b")}, Now());
  directory.MarkAbsent(upstream, Now());
  ASSERT_EQ(directory.Ready("desk", Now()).size(), 1u);
  EXPECT_EQ(directory.Ready("desk", Now())[0]->id, "b");
  upstream.started_unix_ms = 30;  // It has started again under its id.
  directory.Put(upstream, Now());
  EXPECT_EQ(directory.Ready("desk", Now()).size(), 2u);
}

// Guards against a record from another writer that hides a live upstream.
TEST_F(DirectoryTest, LaterStartThatIsNotThereHidesNoOther) {
  Directory directory(seconds(2));
  Upstream live = MakeUpstream("a");
  live.started_unix_ms = 10;
  Upstream other = MakeUpstream("b");
  other.started_unix_ms = 20;
  directory.Replace({live, other}, Now());
  directory.MarkAbsent(other, Now());
  ASSERT_EQ(directory.Ready("desk", Now()).size(), 1u);
  EXPECT_EQ(directory.Ready("desk", Now())[0]->id, "a");
}

// Guards against the loss of live upstreams: while the store is unavailable,
// their entries expire.
TEST_F(DirectoryTest, KeepsExpiredEntryDuringGracePeriodAfterOutage) {
  Directory directory(seconds(2));
  directory.Replace({MakeUpstream("a"), MakeUpstream("b")}, Now());
  directory.OnListOutageEnded(Now());
  directory.Replace({}, Now());
  EXPECT_EQ(directory.Ready("desk", Now()).size(), 2u);
  clock_.Advance(seconds(1));
  directory.Put(MakeUpstream("b"), Now());
  clock_.Advance(seconds(1));
  ASSERT_EQ(directory.Ready("desk", Now()).size(), 1u);
  EXPECT_EQ(directory.Ready("desk", Now())[0]->id, "b");
}

// Guards against an upstream that is gone and stays in use because the store
// goes away again and again.
TEST_F(DirectoryTest, FurtherOutagesDoNotExtendTheUseOfAnExpiredEntry) {
  Directory directory(seconds(2));
  directory.Replace({MakeUpstream("a"), MakeUpstream("b")}, Now());
  directory.OnListOutageEnded(Now());
  directory.Remove("a", Now());
  for (int i = 0; i < 3; ++i) {
    clock_.Advance(milliseconds(1200));
    directory.OnListOutageEnded(Now());
    directory.Remove("a", Now());
  }
  ASSERT_EQ(directory.Ready("desk", Now()).size(), 1u);
  EXPECT_EQ(directory.Ready("desk", Now())[0]->id, "b");
}

// Guards against a request that waited for a connection to an upstream that is
// gone and is sent after the grace period, since nothing else was asked for.
TEST_F(RouterTest, ExpiredUpstreamIsNotReadyAfterTheGracePeriod) {
  Router router({.return_grace = seconds(2)}, Now());
  const Upstream upstream = MakeUpstream("a");
  router.directory().Put(upstream, Now());
  router.directory().OnListOutageEnded(Now());
  router.directory().Remove("a", Now());
  clock_.Advance(seconds(1));
  EXPECT_TRUE(router.IsReady(upstream, Now()));
  clock_.Advance(seconds(1));
  EXPECT_FALSE(router.IsReady(upstream, Now()));
}

// Guards against an upstream that said itself that it leaves and is believed to
// be ready again because of its entry.
TEST_F(DirectoryTest, LeavingUpstreamStaysDrainingUntilItStartsAgain) {
  Directory directory(seconds(2));
  Upstream a = MakeUpstream("a");
  a.started_unix_ms = 5000;
  directory.Replace({a, MakeUpstream("b")}, Now());
  EXPECT_EQ(directory.MarkLeaving(a, 9000, Now()), Directory::Leaving::kNew);
  EXPECT_EQ(directory.MarkLeaving(a, 9000, Now()), Directory::Leaving::kKnown);
  EXPECT_EQ(directory.Ready("desk", Now()).size(), 1u);
  directory.Put(a, Now());
  directory.Replace({a, MakeUpstream("b")}, Now(), /*is_restored=*/true);
  EXPECT_EQ(directory.Ready("desk", Now()).size(), 1u);
  directory.Remove("a", Now());
  directory.Put(a, Now());
  EXPECT_EQ(directory.Ready("desk", Now()).size(), 1u);
  Upstream restarted = a;
  restarted.started_unix_ms = 11000;
  directory.Put(restarted, Now());
  EXPECT_EQ(directory.Ready("desk", Now()).size(), 2u);
  // Of an earlier start.
  EXPECT_EQ(directory.MarkLeaving(a, 9000, Now()),
            Directory::Leaving::kOtherStart);
  EXPECT_EQ(directory.Ready("desk", Now()).size(), 2u);
}

// Guards against a start that said that it leaves, and is ready once the list
// shows it, since it was taken for the earlier start that was listed then.
TEST_F(DirectoryTest, StartThatIsListedAfterItSaidThatItLeavesIsDraining) {
  Directory directory(seconds(2));
  Upstream earlier = MakeUpstream("a");
  earlier.started_unix_ms = 5000;
  directory.Replace({earlier, MakeUpstream("b")}, Now());
  Upstream later = earlier;
  later.started_unix_ms = 8000;
  EXPECT_EQ(directory.MarkLeaving(earlier, 9000, Now()),
            Directory::Leaving::kNew);
  directory.Put(later, Now());
  EXPECT_EQ(directory.Ready("desk", Now()).size(), 1u);
  // A start that still writes its entry now was taken for it by a wrong clock.
  clock_.Advance(seconds(61));
  directory.Put(later, Now());
  EXPECT_EQ(directory.Ready("desk", Now()).size(), 2u);
}

// As above, if the list shows it while the answer is on its way.
TEST_F(DirectoryTest, StartThatIsListedBeforeItsAnswerArrivesIsDraining) {
  Directory directory(seconds(2));
  Upstream earlier = MakeUpstream("a");
  earlier.started_unix_ms = 5000;
  Upstream later = earlier;
  later.started_unix_ms = 8000;
  directory.Replace({later, MakeUpstream("b")}, Now());
  EXPECT_EQ(directory.MarkLeaving(earlier, 9000, Now()),
            Directory::Leaving::kNew);
  EXPECT_EQ(directory.Ready("desk", Now()).size(), 1u);
}

TEST_F(DirectoryTest, ReportsRestartUnderSameId) {
  Directory directory(seconds(2));
  std::vector<Directory::Change> changes;
  directory.SetObserver([&](const Upstream&, Directory::Change change) {
    changes.push_back(change);
  });
  Upstream upstream = MakeUpstream("a");
  upstream.started_unix_ms = 1;
  directory.Put(upstream, Now());
  directory.Put(upstream, Now());
  upstream.started_unix_ms = 2;
  directory.Put(upstream, Now());
  EXPECT_EQ(changes,
            (std::vector<Directory::Change>{Directory::Change::kAdded,
                                            Directory::Change::kRestarted}));
}

TEST_F(RetryBudgetTest, AllInstancesTogetherStayWithinBudget) {
  constexpr uint32_t kInstances = 10;
  constexpr int kRequests = 100;
  const RetryBudgetSettings settings{
      .ratio = 0.2, .window = seconds(10), .allowance = 52};
  uint64_t spent = 0;
  for (uint32_t i = 0; i < kInstances; ++i) {
    RetryBudget budget(settings, Now() - seconds(100));
    for (int n = 0; n < kRequests; ++n) {
      budget.OnRequest("desk", Now());
      spent += budget.TrySpend("desk", kInstances, Now()) ? 1 : 0;
      spent += budget.TrySpend("desk", kInstances, Now()) ? 1 : 0;
    }
  }
  EXPECT_LE(spent, 0.2 * kInstances * kRequests + 52);
  EXPECT_GT(spent, 100u);
}

TEST_F(RetryBudgetTest, SpendsNoAllowanceWhileInstanceCountIsUnknown) {
  RetryBudget budget({.ratio = 0.2, .window = seconds(10), .allowance = 52},
                     Now());
  budget.OnRequest("desk", Now());
  EXPECT_FALSE(budget.TrySpend("desk", 0, Now()));
  EXPECT_TRUE(budget.TrySpend("desk", 4, Now()));
}

TEST_F(RetryBudgetTest, AllowsRetriesAgainAfterWindow) {
  RetryBudget budget({.ratio = 1.0, .window = seconds(10), .allowance = 0},
                     Now());
  budget.OnRequest("desk", Now());
  budget.OnRequest("desk", Now());
  EXPECT_TRUE(budget.TrySpend("desk", 1, Now()));
  EXPECT_FALSE(budget.TrySpend("desk", 1, Now()));
  clock_.Advance(seconds(11));
  budget.OnRequest("desk", Now());
  budget.OnRequest("desk", Now());
  EXPECT_TRUE(budget.TrySpend("desk", 1, Now()));
}

TEST_F(UpstreamHealthTest, AvoidsUnreachableUpstreamAndTriesItAgain) {
  UpstreamHealth health;
  health.Record("a", Outcome::kUnreachable, Now());
  EXPECT_FALSE(health.IsAvoided("a", Now()));
  health.Record("a", Outcome::kUnreachable, Now());
  EXPECT_TRUE(health.IsAvoided("a", Now()));
  clock_.Advance(milliseconds(600));
  EXPECT_FALSE(health.IsAvoided("a", Now()));
  health.StartTrial("a", Now());
  EXPECT_TRUE(health.IsAvoided("a", Now()));  // For other requests.
  health.Record("a", Outcome::kSuccess, Now());
  EXPECT_FALSE(health.IsAvoided("a", Now()));
}

TEST_F(UpstreamHealthTest, CountsFrequentFailuresAndToleratesOccasionalOnes) {
  UpstreamHealth health;
  for (int i = 0; i < 30; ++i) {
    health.Record(
        "grey", i % 2 == 0 ? Outcome::kServerError : Outcome::kSuccess, Now());
    health.Record(
        "usual", i % 7 == 0 ? Outcome::kServerError : Outcome::kSuccess, Now());
  }
  EXPECT_GT(health.FailureShare("grey"), 0.35);
  EXPECT_FALSE(health.IsAvoided("usual", Now()));
}

TEST_F(UpstreamHealthTest, OverloadedOutcomesDoNotCauseAvoidance) {
  UpstreamHealth health;
  for (int i = 0; i < 20; ++i) {
    health.Record("a", Outcome::kOverloaded, Now());
  }
  EXPECT_FALSE(health.IsAvoided("a", Now()));
}

TEST_F(KeyFreshnessTest, AcceptsKeysForLessThanRevocationTime) {
  KeyFreshness freshness(
      {.max_revocation_delay = seconds(5), .is_strict = true});
  EXPECT_FALSE(freshness.MayAccept(Now()));
  freshness.RecordCurrentAt(Now());
  clock_.Advance(milliseconds(4600));
  EXPECT_TRUE(freshness.MayAccept(Now()));
  clock_.Advance(milliseconds(200));
  EXPECT_FALSE(freshness.MayAccept(Now()));
  // An older read has no effect.
  freshness.RecordCurrentAt(Now() - seconds(10));
  EXPECT_FALSE(freshness.MayAccept(Now()));
}

TEST_F(OverloadTest, PersistentLagWithdrawsInstanceForLongerEachTime) {
  OverloadGauge gauge;
  const auto lag_for = [&](kernel::Duration time, kernel::Duration lag) {
    for (kernel::Duration t{}; t < time; t += milliseconds(25)) {
      gauge.OnLag(lag, Now());
      clock_.Advance(milliseconds(25));
    }
  };
  lag_for(seconds(1), milliseconds(5));
  EXPECT_FALSE(gauge.ShouldRefuse(0, false));
  lag_for(seconds(2), milliseconds(80));
  EXPECT_TRUE(gauge.ShouldRefuse(0, false));
  EXPECT_TRUE(gauge.IsWithdrawn(Now()));
  lag_for(seconds(9), milliseconds(0));
  EXPECT_FALSE(gauge.IsWithdrawn(Now()));
  EXPECT_FALSE(gauge.ShouldRefuse(0, false));
  lag_for(seconds(2), milliseconds(80));
  lag_for(seconds(9), milliseconds(0));
  EXPECT_TRUE(gauge.IsWithdrawn(Now()));
}

TEST_F(OverloadTest, SinglePauseDoesNotWithdrawInstance) {
  OverloadGauge gauge;
  gauge.OnLag(seconds(5), Now());
  for (int i = 0; i < 80; ++i) {
    clock_.Advance(milliseconds(25));
    gauge.OnLag(milliseconds(1), Now());
  }
  EXPECT_FALSE(gauge.IsWithdrawn(Now()));
}

DesiredState MakeState(uint64_t version) {
  DesiredState state;
  state.version = version;
  Route route;
  route.name = "r";
  route.host = "h.example";
  route.path_prefix = "/a/";
  route.timeout = seconds(8);
  route.latency_objective = seconds(1);
  route.services = {{"desk", 1}};
  state.routes.push_back(route);
  route.name = "longer";
  route.path_prefix = "/a/b/";
  state.routes.push_back(route);
  Service service;
  service.name = "desk";
  state.services.push_back(service);
  state.workspaces.push_back({"lodge", {"key"}, std::nullopt});
  return state;
}

TEST_F(RouterTest, IgnoresStateThatIsNotNewer) {
  Router router({}, Now());
  EXPECT_TRUE(router.SetDesiredState(MakeState(7)));
  EXPECT_FALSE(router.SetDesiredState(MakeState(5)));
  EXPECT_FALSE(router.SetDesiredState(MakeState(7)));
  EXPECT_EQ(router.table()->version(), 7u);
}

// Guards against starts of a service that is not configured which hide those of
// another one, or not their own earlier ones.
TEST_F(DirectoryTest, UnknownServicesAreMistakenForOneAnother) {
  Directory directory(seconds(2));
  directory.SetServices({"desk"});
  int64_t started = 0;
  const auto put = [&](const std::string& id, const std::string& service) {
    Upstream upstream = MakeUpstream(id, service);
    upstream.started_unix_ms = ++started;
    directory.Put(upstream, Now());
    return upstream;
  };
  const Upstream first = put("a", "unknown");
  const Upstream other = put("b", "other");
  EXPECT_FALSE(directory.IsSuperseded(first));
  const Upstream second = put("c", "unknown");
  EXPECT_TRUE(directory.IsSuperseded(first));
  EXPECT_FALSE(directory.IsSuperseded(other));
  put("d", "desk");
  EXPECT_TRUE(directory.IsSuperseded(other));
  EXPECT_TRUE(directory.IsSuperseded(second));
}

// Guards against an entry of another writer that hides a sound upstream: no
// request goes to its service, so no answer shows that it is not there.
TEST_F(RouterTest, EntryOfAnUnknownServiceHidesNoUpstream) {
  Router router({}, Now());
  Upstream sound = MakeUpstream("a");
  sound.started_unix_ms = 10;
  Upstream other = MakeUpstream("b", "unknown");
  other.started_unix_ms = 20;
  router.ReplaceUpstreams({sound, other}, Now(), /*is_restored=*/false);
  router.SetDesiredState(MakeState(1));
  EXPECT_EQ(router.directory().Ready("desk", Now()).size(), 1u);
  EXPECT_FALSE(router.directory().IsReplaced(*router.directory().Find("a")));
  // A later configuration has the service.
  DesiredState state = MakeState(2);
  state.services.push_back({.name = "unknown"});
  router.SetDesiredState(state);
  EXPECT_TRUE(router.directory().Ready("desk", Now()).empty());
  EXPECT_TRUE(router.directory().IsReplaced(*router.directory().Find("a")));
}

TEST_F(RouterTest, MatchesLongestPathPrefix) {
  const RoutingTable table(MakeState(1));
  EXPECT_EQ(table.Match("h.example", "/a/x")->name, "r");
  EXPECT_EQ(table.Match("H.example:80", "/a/b/x?q=1")->name, "longer");
  EXPECT_EQ(table.Match("h.example", "/a"), nullptr);
  EXPECT_EQ(table.Match("h.example", "/b/?/a/"), nullptr);
  EXPECT_EQ(table.Match("other", "/a/x"), nullptr);
  EXPECT_NE(table.FindWorkspace("key"), nullptr);
  EXPECT_EQ(table.FindWorkspace("k"), nullptr);
}

TEST_F(RouterTest, TriesEachUpstreamOncePerRequest) {
  Router router({}, Now());
  router.SetDesiredState(MakeState(1));
  router.directory().Replace({MakeUpstream("a"), MakeUpstream("b")}, Now());
  RoutedRequest request;
  request.id = "1";
  request.table = router.table();
  request.route = router.table()->Match("h.example", "/a/x");
  router.Prepare(request, seconds(8), Now());
  const Decision first = router.Choose(request, {}, Now());
  ASSERT_EQ(first.verdict, Verdict::kSend);
  router.OnSent(request, first, Now());
  const Decision second = router.Choose(request, {}, Now());
  ASSERT_EQ(second.verdict, Verdict::kSend);
  EXPECT_NE(second.upstream.id, first.upstream.id);
  router.OnSent(request, second, Now());
  EXPECT_EQ(router.Choose(request, {}, Now()).verdict, Verdict::kNoUpstream);
}

DesiredState MakeEngineState() {
  DesiredState state = MakeState(1);
  state.services[0].engine = EngineProfile{.slots = 64, .cache_tokens = 90000};
  return state;
}

RoutedRequest MakePromptRequest(Router& router, kernel::TimePoint now) {
  RoutedRequest request;
  request.id = "1";
  request.table = router.table();
  request.route = router.table()->Match("h.example", "/a/x");
  request.workspace = "lodge";
  request.prompt = Prompt{.parts = {{1, 900}, {2, 100}},
                          .prompt_tokens = 1000,
                          .max_output_tokens = 10};
  router.Prepare(request, seconds(8), now);
  return request;
}

// Guards against a crash when engines of a service without a profile in the
// newest configuration start beside older ones: a stream that began before the
// service was dropped goes on at either.
TEST_F(RouterTest, StreamOfADroppedServiceGoesOnAtAnEngineThatStartedLater) {
  for (const char* const later : {"a", "z"}) {
    Router router({}, Now());
    router.SetDesiredState(MakeEngineState());
    router.directory().Put(MakeUpstream("m"), Now());
    RoutedRequest request = MakePromptRequest(router, Now());
    ASSERT_EQ(router.Choose(request, {}, Now()).upstream.id, "m");
    DesiredState without_service = MakeEngineState();
    without_service.version = 2;
    without_service.services.clear();
    router.SetDesiredState(std::move(without_service));
    router.directory().Put(MakeUpstream(later), Now());
    EXPECT_EQ(router.EnginesToQuery(request, Now()).size(), 2u);
    const Decision decision = router.Choose(request, {}, Now());
    EXPECT_EQ(decision.verdict, Verdict::kSend);
    EXPECT_TRUE(decision.is_engine);
    router.OnSent(request, decision, Now());
    EXPECT_EQ(router.Choose(request, {}, Now()).verdict, Verdict::kSend);
  }
}

// Guards against a crash when a configuration adds the engine profile to a
// service, or takes it away: upstreams that were used before and ones that are
// used for the first time serve the same request.
TEST_F(RouterTest, EngineProfileMayChangeWhileUpstreamsAreInUse) {
  for (const bool adds_profile : {true, false}) {
    for (const char* const later : {"a", "z"}) {
      Router router({}, Now());
      router.SetDesiredState(adds_profile ? MakeState(1) : MakeEngineState());
      router.directory().Put(MakeUpstream("m"), Now());
      RoutedRequest before = MakePromptRequest(router, Now());
      router.OnSent(before, router.Choose(before, {}, Now()), Now());
      DesiredState changed = adds_profile ? MakeEngineState() : MakeState(1);
      changed.version = 2;
      router.SetDesiredState(std::move(changed));
      router.directory().Put(MakeUpstream(later), Now());
      RoutedRequest after = MakePromptRequest(router, Now());
      for (RoutedRequest* const request : {&before, &after}) {
        const Decision decision = router.Choose(*request, {}, Now());
        EXPECT_EQ(decision.verdict, Verdict::kSend);
        EXPECT_EQ(decision.is_engine, adds_profile == (request == &after));
        router.OnSent(*request, decision, Now());
      }
    }
  }
}

// Guards against failed connections that count against a workspace: while
// engines are down, its share would be used up by requests that were never
// executed.
TEST_F(RouterTest, UnexecutedRequestUsesNoShare) {
  Router router({}, Now());
  router.SetDesiredState(MakeEngineState());
  router.directory().Replace({MakeUpstream("a"), MakeUpstream("b")}, Now());
  router.shares().OnRequest(HashOf("other"), 100000, Now());  // Not admitted.
  RoutedRequest request = MakePromptRequest(router, Now());
  router.OnSent(request, router.Choose(request, {}, Now()), Now());
  clock_.Advance(milliseconds(300));
  const double used = router.shares().ShareUsed(HashOf("lodge"), Now());
  EXPECT_GT(used, 0);
  clock_.Advance(milliseconds(300));
  const Upstream first = MakeUpstream(request.tried_upstreams.back());
  router.OnEnded(request, first, Outcome::kUnreachable, Now());
  EXPECT_EQ(router.shares().ShareUsed(HashOf("lodge"), Now()), 0);
  // When sent to another upstream it is charged again, and only once.
  router.OnSent(request, router.Choose(request, {}, Now()), Now());
  clock_.Advance(milliseconds(300));
  const double again = router.shares().ShareUsed(HashOf("lodge"), Now());
  EXPECT_GT(again, 0);
  EXPECT_LE(again, used);
}

// Guards against tokens of an attempt that ran and are given back because a
// later attempt was refused.
TEST_F(RouterTest, ARefusedRepeatKeepsTheShareOfTheAttemptThatRan) {
  Router router({}, Now());
  router.SetDesiredState(MakeEngineState());
  router.directory().Replace({MakeUpstream("a"), MakeUpstream("b")}, Now());
  router.shares().OnRequest(HashOf("other"), 100000, Now());  // Not admitted.
  RoutedRequest request = MakePromptRequest(router, Now());
  for (const Outcome outcome : {Outcome::kLost, Outcome::kOverloaded}) {
    router.OnSent(request, router.Choose(request, {}, Now()), Now());
    clock_.Advance(milliseconds(300));
    EXPECT_GT(router.shares().ShareUsed(HashOf("lodge"), Now()), 0);
    router.OnEnded(request, MakeUpstream(request.tried_upstreams.back()),
                   outcome, Now());
  }
  clock_.Advance(milliseconds(300));
  EXPECT_GT(router.shares().ShareUsed(HashOf("lodge"), Now()), 0);
}

// Guards against streams that are cut off, or not resumed after a loss, because
// their workspace has used its share meanwhile: they counted when they began.
TEST_F(RouterTest, BegunStreamIsNotRefusedForItsWorkspacesShare) {
  Router router({}, Now());
  router.SetDesiredState(MakeEngineState());
  Upstream engine = MakeUpstream("a");
  engine.software_version = "v1";
  router.directory().Replace({engine}, Now());
  RoutedRequest request = MakePromptRequest(router, Now());
  router.shares().OnRequest(HashOf("other"), 100000, Now());  // Not admitted.
  router.shares().OnRequest(HashOf("lodge"), 900000, Now());
  router.shares().OnAdmitted(HashOf("lodge"), 300000, Now());
  clock_.Advance(milliseconds(100));
  BoardOffer offer{.upstream = "a", .cost = {.wait = milliseconds(50)}};
  const auto verdict = [&] {
    return router.Choose(request, {offer}, Now()).verdict;
  };
  EXPECT_EQ(verdict(), Verdict::kRefuse);
  request.origin = StreamOriginOf("desk", "v1");
  EXPECT_EQ(verdict(), Verdict::kSend);
  request.resumption = {.first_request = "", .last_event_id = "3"};
  EXPECT_EQ(verdict(), Verdict::kRefuse);
  request.resumption->first_request = "first";
  EXPECT_EQ(verdict(), Verdict::kSend);
}

// Guards against a workspace that starts to flood and takes its share of the
// whole window within a second, while all others wait.
TEST_F(FairShareTest, StartOfFloodGetsLittleMoreThanOthersInItsFirstSecond) {
  constexpr uint64_t kFlooding = 1;
  constexpr uint64_t kWorkspaces = 10;
  constexpr uint64_t kTokens = 1000;
  constexpr double kMaxShareUsed = 1.3;  // Beyond it nothing is admitted.
  // Admissions in each millisecond, by what the engines can do.
  constexpr uint64_t kCapacity = 4;
  FairShare shares(seconds(4));
  std::map<uint64_t, uint64_t> admitted;
  const auto run = [&](kernel::Duration time, bool is_flooding) {
    admitted.clear();
    for (kernel::Duration t{}; t < time; t += milliseconds(1)) {
      clock_.Advance(milliseconds(1));
      uint64_t remaining = kCapacity;
      for (uint64_t n = 0; n < 4 * kWorkspaces; ++n) {
        const uint64_t workspace =
            is_flooding && n % 4 != 0 ? kFlooding : 1 + n / 4;
        if (!is_flooding && workspace == kFlooding) {
          continue;
        }
        shares.OnRequest(workspace, kTokens, Now());
        if (remaining > 0 &&
            shares.ShareUsed(workspace, Now()) < kMaxShareUsed) {
          --remaining;
          shares.OnAdmitted(workspace, kTokens, Now());
          admitted[workspace] += kTokens;
        }
      }
    }
  };
  run(seconds(4), /*is_flooding=*/false);
  run(seconds(1), /*is_flooding=*/true);
  EXPECT_LT(admitted[kFlooding], 2 * admitted[kWorkspaces]);
  EXPECT_GT(admitted[kFlooding], 0u);
}

// Guards against one workspace that gets half of its share among many others:
// compared with the tokens of all of them it lacks little.
TEST_F(FairShareTest, OneOfManyWorkspacesThatLacksItsShareIsEnough) {
  FairShare shares(seconds(4));
  constexpr uint64_t kWorkspaces = 60;
  for (uint64_t workspace = 1; workspace <= kWorkspaces; ++workspace) {
    const bool is_flooding = workspace == 1;
    const bool lacks = workspace == 2;
    shares.OnRequest(workspace, is_flooding || lacks ? 900000 : 100000, Now());
    shares.OnAdmitted(workspace,
                      is_flooding ? 150000
                      : lacks     ? 50000
                                  : 100000,
                      Now());
  }
  EXPECT_GT(shares.ShareUsed(1, Now()), 1.2);
  EXPECT_GT(shares.ShareUsed(2, Now()), 0);
  EXPECT_LT(shares.ShareUsed(2, Now()), 0.6);
}

TEST_F(FairShareTest, FleetHasSpareCapacityBelowStatedThroughput) {
  FairShare shares(seconds(4));
  shares.OnAdmitted(1, 5000, Now());
  EXPECT_TRUE(shares.FleetHasSpareCapacity(Now()));  // No throughput is stated.
  shares.set_tokens_per_second(1000);
  EXPECT_FALSE(shares.FleetHasSpareCapacity(Now()));
  clock_.Advance(seconds(5));
  EXPECT_TRUE(shares.FleetHasSpareCapacity(Now()));
}

TEST_F(RouterTest, AvoidsEngineReportedUnreachable) {
  Router router({}, Now());
  router.SetDesiredState(MakeEngineState());
  router.directory().Replace(
      {MakeUpstream("a"), MakeUpstream("b"), MakeUpstream("c")}, Now());
  RoutedRequest request = MakePromptRequest(router, Now());
  const std::vector<BoardOffer> offers = {
      {.upstream = "a", .cost = {}, .is_reachable = false},
      {.upstream = "b", .cost = {.wait = milliseconds(100)}}};
  EXPECT_EQ(router.Choose(request, offers, Now()).upstream.id, "b");
  // The unreachable engine is not queried for a while.
  for (const Upstream& engine : router.EnginesToQuery(request, Now())) {
    EXPECT_NE(engine.id, "a");
  }
  // When all engines are unreachable, one is chosen anyway.
  const std::vector<BoardOffer> none = {
      {.upstream = "a", .cost = {}, .is_reachable = false},
      {.upstream = "b", .cost = {}, .is_reachable = false},
      {.upstream = "c", .cost = {}, .is_reachable = false}};
  EXPECT_EQ(router.Choose(request, none, Now()).verdict, Verdict::kSend);
}

// Guards against requests that waited for the reply of a board and are sent to
// an engine that may no longer be used when it comes.
TEST_F(RouterTest, OffersOfEnginesThatMayNoLongerBeUsedAreIgnored) {
  const std::vector<BoardOffer> offers = {
      {.upstream = "a", .cost = {}},
      {.upstream = "b", .cost = {.wait = milliseconds(100)}}};
  Upstream a = MakeUpstream("a");
  a.started_unix_ms = 1000;
  Upstream b = MakeUpstream("b");
  b.address.port = 2;
  const auto choose = [&](const std::function<void(Directory&)>& change) {
    Router router({.return_grace = seconds(1)}, Now());
    DesiredState state = MakeEngineState();
    state.services.push_back({.name = "other"});
    router.SetDesiredState(std::move(state));
    router.directory().Replace({a, b}, Now());
    RoutedRequest request = MakePromptRequest(router, Now());
    change(router.directory());
    return router.Choose(request, offers, Now()).upstream.id;
  };
  EXPECT_EQ(choose([](Directory&) {}), "a");
  EXPECT_EQ(choose([&](Directory& directory) {
              directory.OnListOutageEnded(Now());
              directory.Remove("a", Now());
              clock_.Advance(milliseconds(1500));
            }),
            "b");
  EXPECT_EQ(choose([&](Directory& directory) {
              Upstream later = MakeUpstream("later", "other");
              later.started_unix_ms = 2000;
              directory.Put(later, Now());
            }),
            "b");
  EXPECT_EQ(choose([&](Directory& directory) {
              directory.MarkLeaving(a, 5000, Now());
            }),
            "b");
}

// Guards against the processor time of three queries for each refusal while one
// workspace sends many times its usual load.
TEST_F(RouterTest, RefusesByRecentOffersWithoutQuery) {
  Router router({}, Now());
  router.SetDesiredState(MakeEngineState());
  router.directory().Replace({MakeUpstream("a"), MakeUpstream("b")}, Now());
  RoutedRequest request = MakePromptRequest(router, Now());
  const auto is_refused = [&] {
    return router
        .RefuseWithoutQuery(request, router.EnginesToQuery(request, Now()),
                            Now())
        .has_value();
  };
  EXPECT_FALSE(is_refused());
  const auto offer = [&](kernel::Duration wait_at_b) {
    router.Choose(request,
                  {{.upstream = "a", .cost = {.wait = seconds(3)}},
                   {.upstream = "b", .cost = {.wait = wait_at_b}}},
                  Now());
  };
  offer(milliseconds(10));
  EXPECT_FALSE(is_refused());
  offer(seconds(3));
  EXPECT_TRUE(is_refused());
  clock_.Advance(milliseconds(200));
  EXPECT_FALSE(is_refused());  // The offers are too old.
}

// Guards against a workspace far beyond its share that is served because its
// gateway is too busy to read the boards' replies: by the gateway's own
// requests alone every engine looks idle.
TEST_F(RouterTest, OwnEstimateDoesNotShowThatEngineIsIdle) {
  Router router({}, Now());
  router.SetDesiredState(MakeEngineState());
  router.directory().Replace({MakeUpstream("a")}, Now());
  const RoutedRequest request = MakePromptRequest(router, Now());
  router.shares().OnRequest(HashOf("lodge"), 1000000, Now());
  router.shares().OnAdmitted(HashOf("lodge"), 500000, Now());
  router.shares().OnRequest(HashOf("other"), 1000000, Now());
  router.shares().OnAdmitted(HashOf("other"), 100000, Now());
  EXPECT_EQ(router.Choose(request, {}, Now()).verdict, Verdict::kRefuse);
  EXPECT_EQ(
      router
          .Choose(request,
                  {{.upstream = "a", .cost = {.idle_time = seconds(1)}}}, Now())
          .verdict,
      Verdict::kSend);
}

// Guards against a request that an upstream gets later than it may, because it
// waited for a connection.
TEST_F(RouterTest, DrainingOrReplacedUpstreamIsNotReady) {
  Router router({}, Now());
  router.SetDesiredState(MakeState(1));
  Upstream upstream = MakeUpstream("a");
  router.directory().Put(upstream, Now());
  EXPECT_TRUE(router.IsReady(upstream, Now()));
  Upstream moved = upstream;
  moved.address.port = 2;
  EXPECT_FALSE(router.IsReady(moved, Now()));
  upstream.is_draining = true;
  router.directory().Put(upstream, Now());
  EXPECT_FALSE(router.IsReady(upstream, Now()));
  router.directory().Remove("a", Now());
  EXPECT_FALSE(router.IsReady(upstream, Now()));
}

TEST_F(RouterTest, RetryAfterRefusalHasShorterObjective) {
  Router router({}, Now());
  router.SetDesiredState(MakeState(1));
  RoutedRequest first;
  first.id = "1";
  first.route = router.table()->Match("h.example", "/a/x");
  router.Prepare(first, seconds(8), Now());
  EXPECT_EQ(first.remaining_objective_at_arrival, kernel::Duration(seconds(1)));
  RoutedRequest again = first;
  router.Prepare(again, milliseconds(7700), Now());
  EXPECT_EQ(again.remaining_objective_at_arrival,
            kernel::Duration(milliseconds(700)));
  EXPECT_TRUE(router.IsRetryAfterRefusal(*first.route, milliseconds(7700)));
  EXPECT_FALSE(router.IsRetryAfterRefusal(*first.route, seconds(8)));
}

TEST_F(EngineEstimateTest, UnexecutedRequestChangesNoEstimate) {
  EngineEstimate engine({.slots = 64, .cache_tokens = 100000}, 30);
  const std::vector<PromptPart> parts = {{1, 9000}, {2, 3000}};
  const std::vector<uint64_t> keys = PartKeys(parts);
  engine.Claim("a", keys, parts, 10, Now());
  EXPECT_GT(engine.Estimate(keys, parts, Now()).wait.count(), 0);
  engine.OnEnd("a", false, Now());
  const EngineCost cost = engine.Estimate(keys, parts, Now());
  EXPECT_EQ(cost.wait.count(), 0);
  EXPECT_EQ(cost.uncached_tokens, 12000u);
}

TEST_F(EngineEstimateTest, EvictsLeastRecentlyUsedParts) {
  EngineEstimate engine({.slots = 64, .cache_tokens = 30000}, 30);
  const auto run = [&](uint64_t id) {
    const std::vector<PromptPart> parts = {{id, 9000}, {id + 100, 1000}};
    engine.Claim(std::to_string(id), PartKeys(parts), parts, 0, Now());
    engine.OnFirstEvent(std::to_string(id), Now());
    engine.OnEnd(std::to_string(id), true, Now());
  };
  run(1);
  run(2);
  run(3);
  const std::vector<PromptPart> first = {{1, 9000}, {7, 10}};
  const std::vector<PromptPart> last = {{3, 9000}, {7, 10}};
  EXPECT_EQ(engine.Estimate(PartKeys(first), first, Now()).uncached_tokens,
            9010u);
  EXPECT_EQ(engine.Estimate(PartKeys(last), last, Now()).uncached_tokens, 10u);
}

// Guards against a wait that grows without bound: a gateway that crashes cannot
// report the end of its requests.
TEST_F(EngineEstimateTest, LostClaimDoesNotDelayLaterRequests) {
  EngineEstimate engine({.slots = 64, .cache_tokens = 500000}, 30);
  const std::vector<PromptPart> parts = {{1, 3000}};
  engine.Claim("lost", PartKeys(parts), parts, 10, Now());
  clock_.Advance(seconds(2));
  EXPECT_GT(engine.Estimate(PartKeys(parts), parts, Now()).wait,
            kernel::Duration(seconds(1)));
  engine.Claim("next", PartKeys(parts), parts, 10, Now());
  clock_.Advance(milliseconds(50));
  engine.OnFirstEvent("next", Now());
  EXPECT_EQ(engine.Estimate(PartKeys(parts), parts, Now()).wait.count(), 0);
}

}  // namespace
}  // namespace jackdawshunt::routing
