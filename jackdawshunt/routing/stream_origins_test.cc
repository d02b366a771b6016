#include "jackdawshunt/routing/stream_origins.h"

#include <algorithm>
#include <random>
#include <set>
#include <string>

#include "gtest/gtest.h"
#include "jackdawshunt/routing/origin_lookup.h"
#include "jackdawshunt/routing/router.h"

namespace jackdawshunt::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint64_t kV1 = 11;

TEST(StreamOriginsTest, ServicesAndVersionsDiffer) {
  EXPECT_NE(StreamOriginOf("llm", "v1"), StreamOriginOf("llm", "v1.1"));
  EXPECT_NE(StreamOriginOf("llm", "v1"), StreamOriginOf("small", "v1"));
  EXPECT_NE(StreamOriginOf("a", "bc"), StreamOriginOf("ab", "c"));
  EXPECT_EQ(StreamOriginOf("llm", ""), kUnknownOrigin);
}

TEST(StreamOriginsTest, ForgetsStreamsThatCannotBeResumed) {
  const kernel::TimePoint now{};
  StreamOrigins origins;
  origins.Record(1, kV1, now + seconds(8));
  origins.Record(2, kV1, now + seconds(12));
  EXPECT_EQ(origins.Find(1, now + seconds(7)), kV1);
  EXPECT_EQ(origins.Find(1, now + seconds(8)), kUnknownOrigin);
  EXPECT_EQ(origins.Find(3, now), kUnknownOrigin);
  origins.DropExpired(now + seconds(8));
  EXPECT_EQ(origins.size(), 1u);
}

TEST(StreamOriginsTest, MemoryIsBounded) {
  const kernel::TimePoint now{};
  StreamOrigins origins;
  for (uint64_t i = 0; i < StreamOrigins::kMaxStreams + 5; ++i) {
    origins.Record(i, kV1, now + seconds(8));
  }
  EXPECT_EQ(origins.size(), StreamOrigins::kMaxStreams);
  EXPECT_EQ(origins.rejected(), 5u);
  origins.Record(0, kV1 + 1, now + seconds(9));  // Known streams are updated.
  EXPECT_EQ(origins.Find(0, now), kV1 + 1);
  origins.DropExpired(now + seconds(8));
  EXPECT_EQ(origins.size(), 1u);
}

TEST(OriginLookupTest, EndsWithFirstRecord) {
  OriginLookup lookup({"a", "b", "c"});
  EXPECT_EQ(lookup.StartRound().size(), 3u);
  lookup.OnReply("b", kUnknownOrigin);
  EXPECT_EQ(lookup.result(), std::nullopt);
  lookup.OnReply("c", kV1);
  EXPECT_EQ(lookup.result(), kV1);
  EXPECT_TRUE(lookup.StartRound().empty());
  lookup.OnReply("a", kV1 + 1);
  EXPECT_EQ(lookup.result(), kV1);
}

// Guards against giving up a stream whose record is still on the way.
TEST(OriginLookupTest, AsksAgainWhenNoHomeHasARecordYet) {
  OriginLookup lookup({"a", "b"});
  lookup.StartRound();
  lookup.OnReply("a", kUnknownOrigin);
  lookup.OnReply("b", kUnknownOrigin);
  EXPECT_EQ(lookup.StartRound().size(), 2u);
  EXPECT_EQ(lookup.result(), std::nullopt);
  lookup.OnReply("a", kV1);
  EXPECT_EQ(lookup.result(), kV1);
}

TEST(OriginLookupTest, EndsSoonWhenAllHomesHaveNoRecord) {
  OriginLookup lookup({"a", "b"});
  for (int round = 0; round < 2; ++round) {
    lookup.StartRound();
    lookup.OnReply("a", kUnknownOrigin);
    lookup.OnReply("b", kUnknownOrigin);
  }
  EXPECT_TRUE(lookup.StartRound().empty());
  EXPECT_EQ(lookup.result(), kUnknownOrigin);
}

TEST(OriginLookupTest, SilentHomesEndTheLookupAfterAllRounds) {
  OriginLookup lookup({"a", "b"});
  int rounds = 0;
  while (!lookup.StartRound().empty()) {
    lookup.OnReply("a", kUnknownOrigin);
    ++rounds;
  }
  EXPECT_EQ(rounds, OriginLookup::kMaxRounds);
  EXPECT_EQ(lookup.result(), kUnknownOrigin);
}

TEST(OriginLookupTest, WithoutHomesTheOriginIsUnknown) {
  OriginLookup lookup({});
  EXPECT_TRUE(lookup.StartRound().empty());
  EXPECT_EQ(lookup.result(), kUnknownOrigin);
}

// A fleet of engines, each with a board, in some data centres.
class StreamOriginRouterTest : public ::testing::Test {
 protected:
  static constexpr std::array<const char*, 3> kVersions = {"v1", "v1.1", "v9"};

  Upstream Engine(size_t i) const {
    Upstream engine;
    engine.id = "i-" + std::to_string(i);
    engine.service = "llm";
    engine.software_version = kVersions.at(i % kVersions.size());
    engine.data_centre = "z" + std::to_string(i % 5);
    engine.address = {
        "10.0." + std::to_string(i / 250) + "." + std::to_string(1 + i % 250),
        8080};
    return engine;
  }
  std::unique_ptr<Router> MakeRouter(size_t engines) const {
    auto router = std::make_unique<Router>(RouterSettings{}, Now());
    DesiredState state;
    state.version = 1;
    Route route;
    route.name = "r";
    route.kind = RouteKind::kStream;
    route.is_resumable = true;
    route.attempts = 3;
    route.timeout = seconds(12);
    route.latency_objective = seconds(1);
    route.services = {{"llm", 9}, {"small", 1}};
    state.routes = {route};
    state.services = {{.name = "llm", .engine = EngineProfile{64, 500000}},
                      {.name = "small"}};
    router->SetDesiredState(std::move(state));
    std::vector<Upstream> list;
    for (size_t i = 0; i < engines; ++i) {
      list.push_back(Engine(i));
    }
    router->directory().Replace(list, Now());
    return router;
  }
  RoutedRequest MakeRequest(Router& router, const std::string& id) const {
    RoutedRequest request;
    request.id = id;
    request.table = router.table();
    request.route = &router.table()->state().routes[0];
    request.prompt = Prompt{.prompt_tokens = 1000, .max_output_tokens = 20};
    request.prompt->parts = {{.id = HashOf(id) % 7, .tokens = 800},
                             {.id = 9, .tokens = 200}};
    router.Prepare(request, seconds(12), Now());
    return request;
  }
  kernel::TimePoint Now() const { return clock_.Now(); }
  kernel::ManualClock clock_;
};

// Guards against a continuation at another software version: in queries to
// boards, by their offers, and by own estimates, for all orders of versions.
TEST_F(StreamOriginRouterTest, StartedStreamUsesOnlyItsSoftwareVersion) {
  const auto router = MakeRouter(9);
  for (int i = 0; i < 60; ++i) {
    RoutedRequest request = MakeRequest(*router, "r" + std::to_string(i));
    const std::string version = kVersions.at(i % kVersions.size());
    const uint64_t origin = StreamOriginOf("llm", version);
    router->BindToOrigin(request, origin, Now());
    EXPECT_EQ(request.service, "llm");
    std::vector<BoardOffer> offers;  // Of boards of all versions.
    for (size_t engine = 0; engine < 9; ++engine) {
      offers.push_back({.upstream = Engine(engine).id});
    }
    for (const Upstream& engine : router->EnginesToQuery(request, Now())) {
      EXPECT_EQ(engine.software_version, version);
    }
    for (const auto& row : {offers, std::vector<BoardOffer>{}}) {
      const Decision decision = router->Choose(request, row, Now());
      ASSERT_EQ(decision.verdict, Verdict::kSend);
      EXPECT_EQ(decision.upstream.software_version, version);
      EXPECT_EQ(decision.candidates, 3u);
    }
  }
}

// Guards against a guess when the version that began a stream is unknown, is
// gone, or serves another service now.
TEST_F(StreamOriginRouterTest, StreamWithoutUpstreamOfItsOriginIsNotPlaced) {
  const auto router = MakeRouter(9);
  for (const uint64_t origin : {kUnknownOrigin, StreamOriginOf("llm", "v2"),
                                StreamOriginOf("other", "v1")}) {
    RoutedRequest request = MakeRequest(*router, "r");
    router->BindToOrigin(request, origin, Now());
    EXPECT_EQ(router->Choose(request, {{.upstream = "i-0"}}, Now()).verdict,
              Verdict::kNoUpstream);
  }
  Upstream unstated = Engine(20);
  unstated.software_version = "";
  router->directory().Replace({unstated}, Now());
  RoutedRequest request = MakeRequest(*router, "r");
  router->BindToOrigin(request, unstated.origin, Now());
  EXPECT_EQ(router->Choose(request, {}, Now()).verdict, Verdict::kNoUpstream);
}

// Guards against a resumed stream that is refused because its caller has waited
// since the first attempt.
TEST_F(StreamOriginRouterTest, ResumedStreamHasAWholeObjective) {
  const auto router = MakeRouter(9);
  MakeRequest(*router, "first");
  RoutedRequest request;
  request.id = "second";
  request.table = router->table();
  request.route = &router->table()->state().routes[0];
  request.resumption = {.first_request = "first", .last_event_id = "7"};
  router->Prepare(request, seconds(5), Now());
  EXPECT_EQ(request.remaining_objective_at_arrival,
            request.route->latency_objective);
}

// Guards against a guess for a caller that does not name the request that began
// its stream: the version is known only if no other one can have begun it.
TEST_F(StreamOriginRouterTest, SoleOriginNeedsOneVersionForTheWholeWindow) {
  Directory directory(seconds(2));
  constexpr kernel::Duration kWindow = seconds(12);
  const auto sole_origin = [&] {
    return directory.SoleOrigin("llm", kWindow, Now());
  };
  const uint64_t v1 = StreamOriginOf("llm", "v1");
  const uint64_t v2 = StreamOriginOf("llm", "v1.1");
  EXPECT_EQ(sole_origin(), kUnknownOrigin);
  directory.Replace({Engine(0), Engine(3)}, Now());
  clock_.Advance(seconds(11));
  EXPECT_EQ(sole_origin(), kUnknownOrigin);  // Earlier versions are unknown.
  clock_.Advance(seconds(1));
  EXPECT_EQ(sole_origin(), v1);
  directory.Put(Engine(1), Now());
  EXPECT_EQ(sole_origin(), kUnknownOrigin);
  directory.Remove("i-0", Now());
  Upstream draining = Engine(3);
  draining.is_draining = true;
  directory.Put(draining, Now());
  clock_.Advance(seconds(20));
  EXPECT_EQ(sole_origin(), kUnknownOrigin);
  directory.Remove("i-3", Now());
  clock_.Advance(seconds(12));
  EXPECT_EQ(sole_origin(), kUnknownOrigin);
  clock_.Advance(milliseconds(1));
  EXPECT_EQ(sole_origin(), v2);
  Upstream unstated = Engine(4);
  unstated.software_version = "";
  directory.Put(unstated, Now());
  EXPECT_EQ(sole_origin(), kUnknownOrigin);
}

// Guards against a guess by an instance that did not follow every change: a
// version may have come and gone between two lists, or between two answers to a
// watch.
TEST_F(StreamOriginRouterTest, SoleOriginNeedsEveryChangeOfTheWindow) {
  Directory directory(seconds(2));
  constexpr kernel::Duration kWindow = seconds(12);
  const auto sole_origin = [&] {
    return directory.SoleOrigin("llm", kWindow, Now());
  };
  const uint64_t v1 = StreamOriginOf("llm", "v1");
  directory.Replace({Engine(0), Engine(3)}, Now());
  clock_.Advance(kWindow);
  EXPECT_EQ(sole_origin(), v1);
  directory.Replace({Engine(0), Engine(3)}, Now());
  EXPECT_EQ(sole_origin(), kUnknownOrigin);
  clock_.Advance(kWindow);
  EXPECT_EQ(sole_origin(), v1);
  directory.Remove("i-never-seen", Now());
  EXPECT_EQ(sole_origin(), kUnknownOrigin);
  clock_.Advance(kWindow);
  EXPECT_EQ(sole_origin(), v1);
}

TEST_F(StreamOriginRouterTest, HomesAreInDifferentDataCentres) {
  const auto router = MakeRouter(120);
  for (uint64_t key = 1; key <= 200; ++key) {
    const auto homes =
        router->OriginHomesOf(HashOf(std::to_string(key)), Now());
    ASSERT_EQ(homes.size(), 3u);
    std::set<std::string> zones;
    for (const std::string& ip : homes) {
      for (size_t i = 0; i < 120; ++i) {
        if (Engine(i).address.ip == ip) {
          zones.insert(Engine(i).data_centre);
        }
      }
    }
    EXPECT_EQ(zones.size(), 3u);
  }
  EXPECT_EQ(MakeRouter(1)->OriginHomesOf(7, Now()).size(), 1u);
  EXPECT_TRUE(MakeRouter(0)->OriginHomesOf(7, Now()).empty());
}

// Guards against a record that another gateway cannot find: the lists of the
// two differ while a release replaces a third of the engines, and some boards
// are down.
TEST_F(StreamOriginRouterTest, HomesAreFoundWhileEnginesAreReplaced) {
  for (const size_t engines : {size_t{9}, size_t{49}, size_t{120}}) {
    const auto writer = MakeRouter(engines);
    const auto reader = MakeRouter(engines);
    std::mt19937_64 random(engines);
    std::set<std::string> down;
    for (size_t i = 0; i < engines / 3; ++i) {
      Upstream old = Engine(i);
      old.is_draining = true;
      reader->directory().Put(old, Now());
      reader->directory().Put(Engine(engines + i), Now());
      if (i % 2 == 0) {
        down.insert(old.address.ip);
      }
    }
    size_t found = 0;
    constexpr size_t kStreams = 400;
    for (size_t i = 0; i < kStreams; ++i) {
      const uint64_t key = random();
      const auto written = writer->OriginHomesOf(key, Now());
      const auto asked = reader->PossibleOriginHomesOf(key, Now());
      EXPECT_LE(asked.size(), 18u);
      found += std::any_of(written.begin(), written.end(),
                           [&](const std::string& ip) {
                             return !down.contains(ip) &&
                                    std::find(asked.begin(), asked.end(), ip) !=
                                        asked.end();
                           })
                   ? 1
                   : 0;
    }
    EXPECT_GE(found, kStreams * 98 / 100) << engines << " engines";
  }
}

}  // namespace
}  // namespace jackdawshunt::routing
