// Tests of what the gateways believe of prompt parts that end the engines that
// begin answers on them.
#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gtest/gtest.h"
#include "jackdawshunt/routing/beliefs.h"
#include "jackdawshunt/routing/testing/ending_upstreams.h"
#include "rapidcheck.h"
#include "rapidcheck/gtest.h"

namespace jackdawshunt::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint64_t kFirstPart = 0xf1;
constexpr uint64_t kDeadlyPart = 0xdead;

std::vector<Route> EngineRoutes() {
  Route route;
  route.name = "chapter";
  route.host = "h.example";
  route.path_prefix = "/a/";
  route.kind = RouteKind::kStream;
  route.timeout = seconds(8);
  route.latency_objective = seconds(1);
  route.services = {{"llm", 1}};
  Route resumable = route;
  resumable.path_prefix = "/resumable/";
  resumable.is_resumable = true;
  resumable.attempts = 2;
  return {route, resumable};
}

// Nine engines that restart when they end.
class EndedEnginesTest : public testing::EndingUpstreams {
 protected:
  EndedEnginesTest()
      : EndingUpstreams(
            EngineRoutes(),
            {.name = "llm",
             .engine = EngineProfile{.slots = 64, .cache_tokens = 500000}},
            9) {}

  // The last part is the request's own.
  RoutedRequest MakeRequest(const std::vector<uint64_t>& shared_parts,
                            bool is_resumable = false) {
    RoutedRequest request = NewRequest(is_resumable ? "/resumable/" : "/a/x");
    Prompt prompt;
    for (const uint64_t id : shared_parts) {
      prompt.parts.push_back({id, 400});
    }
    prompt.parts.push_back({1000000 + requests_, 100});
    prompt.prompt_tokens = 1000;
    prompt.max_output_tokens = 10;
    request.prompt = std::move(prompt);
    request.content = HashOf(request.id);
    router_.Prepare(request, seconds(8), Now());
    return request;
  }

  // Serves a request at an engine that answers it completely. Returns whether
  // it was sent.
  bool Serve(const std::vector<uint64_t>& shared_parts) {
    RoutedRequest request = MakeRequest(shared_parts);
    const Decision decision = Send(request);
    if (decision.verdict != Verdict::kSend) {
      return false;
    }
    clock_.Advance(milliseconds(50));
    router_.OnFirstEvent(request, decision.upstream, Now());
    clock_.Advance(milliseconds(400));
    router_.OnEnded(request, decision.upstream, Outcome::kSuccess, Now());
    return true;
  }

  // Sends a request to an engine that ends, with all that runs there, before
  // the first event, and starts again. Returns whether it was sent.
  bool SendToEngineThatEnds(
      const std::vector<uint64_t>& shared_parts,
      const std::vector<std::vector<uint64_t>>& beside = {}) {
    RoutedRequest request = MakeRequest(shared_parts);
    const Decision decision = Send(request);
    if (decision.verdict != Verdict::kSend) {
      return false;
    }
    std::vector<RoutedRequest> others;
    others.reserve(beside.size());
    for (const auto& parts : beside) {
      others.push_back(MakeRequest(parts));
    }
    EndUpstream(decision, request, std::move(others), milliseconds(300),
                /*is_refused=*/false);
    return true;
  }
};

// Guards against a part that ends one engine after the other because its
// requests are offered to the next one.
TEST_F(EndedEnginesTest, PartThatEndsEnginesIsNoLongerSent) {
  int ended = 0;
  for (int i = 0; i < 20; ++i) {
    ended += SendToEngineThatEnds({kFirstPart, kDeadlyPart}) ? 1 : 0;
    clock_.Advance(milliseconds(500));
    EXPECT_TRUE(Serve({kFirstPart})) << "after " << ended << " ends";
    clock_.Advance(milliseconds(500));
  }
  EXPECT_LE(ended, 5);
}

// Guards against the quarantine of a system prompt, which is in every request
// that is lost when engines end, for example in a release.
TEST_F(EndedEnginesTest, PartOfEveryRequestStaysInUseWhileEnginesEnd) {
  for (int i = 0; i < 20; ++i) {
    EXPECT_TRUE(SendToEngineThatEnds({kFirstPart}));
    clock_.Advance(milliseconds(500));
    EXPECT_TRUE(Serve({kFirstPart})) << "after " << i + 1 << " ends";
    clock_.Advance(milliseconds(500));
  }
}

// Guards against a second engine that a request ends because it is repeated.
TEST_F(EndedEnginesTest, RequestThatMayHaveEndedAnEngineIsNotRepeated) {
  RoutedRequest request = MakeRequest({kDeadlyPart}, /*is_resumable=*/true);
  const Decision decision = router_.Choose(request, {}, Now());
  router_.OnSent(request, decision, Now());
  router_.set_instances(1);
  router_.OnEnded(request, decision.upstream, Outcome::kLost, Now());
  router_.OnConnectionRefused(decision.upstream, Now());
  EXPECT_FALSE(router_.TrySpendRetry(request, Now()));
}

// Guards against requests that are not repeated because others ended engines.
TEST_F(EndedEnginesTest, RequestOfSoundPartsIsRepeatedAfterAnEnd) {
  EXPECT_TRUE(Serve({kFirstPart}));
  RoutedRequest request = MakeRequest({kFirstPart}, /*is_resumable=*/true);
  const Decision decision = router_.Choose(request, {}, Now());
  router_.OnSent(request, decision, Now());
  router_.set_instances(1);
  router_.OnEnded(request, decision.upstream, Outcome::kLost, Now());
  router_.OnConnectionRefused(decision.upstream, Now());
  EXPECT_TRUE(router_.TrySpendRetry(request, Now()));
}

std::vector<Subject> Parts(const std::vector<uint64_t>& ids) {
  std::vector<Subject> subjects;
  subjects.reserve(ids.size());
  for (const uint64_t id : ids) {
    subjects.push_back({SubjectKind::kPart, id});
  }
  return subjects;
}

Upstream MakeStart(int number) {
  Upstream upstream;
  upstream.id = "start-" + std::to_string(number);
  upstream.started_unix_ms = number;
  return upstream;
}

class BeliefsTest : public ::testing::Test {
 protected:
  kernel::TimePoint Now() const { return clock_.Now(); }

  // A start of an upstream ends while answers on `parts` have not begun.
  void End(Beliefs& beliefs, const std::vector<uint64_t>& parts) {
    const Upstream upstream = MakeStart(++starts_);
    beliefs.OnLostBeforeAnswer(upstream, Parts(parts), Now(), Now());
    beliefs.OnEnded(upstream.id);
  }
  void End(const std::vector<uint64_t>& parts) { End(beliefs_, parts); }

  kernel::ManualClock clock_;
  Beliefs beliefs_{1};
  int starts_ = 0;
};

TEST_F(BeliefsTest, OnlyThePartOfAllEndsIsQuarantined) {
  End({1, 2, kDeadlyPart});
  clock_.Advance(seconds(1));
  End({3, 4, kDeadlyPart});
  ASSERT_EQ(beliefs_.quarantine().size(), 1u);
  EXPECT_EQ(beliefs_.quarantine()[0].subjects, Parts({kDeadlyPart}));
  EXPECT_NE(beliefs_.FindQuarantine(Parts({9, kDeadlyPart}), Now()), nullptr);
  EXPECT_EQ(beliefs_.FindQuarantine(Parts({1, 2, 3, 4}), Now()), nullptr);
}

// Guards against a part that stays unknown because the gateway that lost its
// request could not tell that the engine had ended, while another one could.
TEST_F(BeliefsTest, EndSeenByAnotherGatewayConfirmsOwnLosses) {
  for (int i = 0; i < 2; ++i) {
    const Upstream upstream = MakeStart(++starts_);
    beliefs_.OnLostBeforeAnswer(upstream, Parts({kDeadlyPart}), Now(), Now());
    beliefs_.MergeFacts({{.kind = FactKind::kStartEnded,
                          .subject = StartOf(upstream),
                          .source = 2,
                          .at = Now(),
                          .suspects = Parts({kFirstPart})}},
                        Now());
    beliefs_.OnAnswerBegan(Parts({kFirstPart}), Now(), Now());
    clock_.Advance(seconds(1));
  }
  EXPECT_NE(beliefs_.FindQuarantine(Parts({kDeadlyPart}), Now()), nullptr);
  EXPECT_EQ(beliefs_.FindQuarantine(Parts({kFirstPart}), Now()), nullptr);
}

// Guards against blame for requests that were sent to a start that had ended.
TEST_F(BeliefsTest, RequestsSentAfterTheEndAreNotSuspected) {
  constexpr uint64_t kLate = 5;
  for (int i = 0; i < 4; ++i) {
    const Upstream upstream = MakeStart(++starts_);
    const kernel::TimePoint sent_at = Now();
    clock_.Advance(milliseconds(60));
    beliefs_.OnLostBeforeAnswer(upstream, Parts({kDeadlyPart}), sent_at, Now());
    clock_.Advance(milliseconds(10));
    const kernel::TimePoint late = Now();
    clock_.Advance(milliseconds(5));
    if (i % 2 == 0) {
      beliefs_.OnEnded(upstream.id);
    }
    beliefs_.OnLostBeforeAnswer(upstream, Parts({kLate}), late, Now());
    beliefs_.OnEnded(upstream.id);
    clock_.Advance(seconds(2));
  }
  EXPECT_NE(beliefs_.FindQuarantine(Parts({kDeadlyPart}), Now()), nullptr);
  EXPECT_EQ(beliefs_.FindQuarantine(Parts({kLate}), Now()), nullptr);
  EXPECT_EQ(beliefs_.FindQuarantine(Parts({kDeadlyPart, kLate}), Now()),
            beliefs_.FindQuarantine(Parts({kDeadlyPart}), Now()));
}

// Guards against the quarantine of rare parts when a data centre is lost.
TEST_F(BeliefsTest, SimultaneousEndsBlameNoPart) {
  for (int i = 0; i < 30; ++i) {
    End({1, 2});
    clock_.Advance(milliseconds(3));
  }
  EXPECT_TRUE(beliefs_.quarantine().empty());
}

// Guards against blame for connections that live upstreams drop.
TEST_F(BeliefsTest, LossesAtLiveUpstreamsBlameNoPart) {
  for (int i = 0; i < 10; ++i) {
    beliefs_.OnLostBeforeAnswer(MakeStart(i), Parts({1}), Now(), Now());
    clock_.Advance(seconds(1));
    beliefs_.DropExpired(Now());
  }
  EXPECT_TRUE(beliefs_.quarantine().empty());
  EXPECT_EQ(beliefs_.facts().rows().size(), 0u);
}

TEST_F(BeliefsTest, AnnouncedEndsBlameNoPart) {
  for (int i = 0; i < 10; ++i) {
    Upstream upstream = MakeStart(i);
    upstream.is_draining = true;
    beliefs_.OnLostBeforeAnswer(upstream, Parts({1}), Now(), Now());
    beliefs_.OnEnded(upstream.id);
    clock_.Advance(seconds(1));
  }
  EXPECT_TRUE(beliefs_.quarantine().empty());
}

// Guards against the refusal of all requests that share a sound part with the
// deadly one, while the ends do not tell the two apart.
TEST_F(BeliefsTest, PartsOfTheSameEndsAreRefusedOnlyTogether) {
  End({kFirstPart, kDeadlyPart});
  clock_.Advance(seconds(1));
  End({kFirstPart, kDeadlyPart});
  EXPECT_NE(beliefs_.FindQuarantine(Parts({kFirstPart, kDeadlyPart}), Now()),
            nullptr);
  EXPECT_EQ(beliefs_.FindQuarantine(Parts({kFirstPart, 7}), Now()), nullptr);
  EXPECT_EQ(beliefs_.FindQuarantine(Parts({7, kDeadlyPart}), Now()), nullptr);
  // An answer on one of them tells them apart.
  clock_.Advance(seconds(1));
  beliefs_.OnAnswerBegan(Parts({kFirstPart}), Now(), Now());
  EXPECT_EQ(beliefs_.FindQuarantine(Parts({kFirstPart, 7}), Now()), nullptr);
  EXPECT_NE(beliefs_.FindQuarantine(Parts({7, kDeadlyPart}), Now()), nullptr);
}

// Guards against trust in what a part did long ago: a release of the engines
// can make it deadly.
TEST_F(BeliefsTest, PartThatWasSoundAndTurnsDeadlyIsQuarantined) {
  beliefs_.OnAnswerBegan(Parts({5}), Now(), Now());
  clock_.Advance(seconds(20));
  for (int i = 0; i < 3; ++i) {
    End({5});
    clock_.Advance(seconds(1));
    EXPECT_EQ(beliefs_.FindQuarantine(Parts({5}), Now()), nullptr);
  }
  End({5});
  EXPECT_NE(beliefs_.FindQuarantine(Parts({5}), Now()), nullptr);
}

// Guards against a long quarantine of a part that was beside few ends by
// chance, and against a short one of a part that ends an engine each time.
TEST_F(BeliefsTest, EachFurtherEndDoublesTheQuarantine) {
  End({kDeadlyPart});
  clock_.Advance(seconds(1));
  for (const int time : {20, 40, 80, 160}) {
    End({kDeadlyPart});
    const kernel::TimePoint trial =
        beliefs_.TrialFrom(beliefs_.quarantine().at(0));
    EXPECT_GE(trial, Now() + seconds(time));
    EXPECT_LE(trial, Now() + seconds(time) * 5 / 4);
    clock_.Advance(trial - Now() - milliseconds(1));
    beliefs_.DropExpired(Now());
    EXPECT_NE(beliefs_.FindQuarantine(Parts({kDeadlyPart}), Now()), nullptr)
        << time;
    clock_.Advance(milliseconds(1));
    EXPECT_EQ(beliefs_.FindQuarantine(Parts({kDeadlyPart}), Now()), nullptr)
        << time;
  }
}

// Guards against gateways that all try a subject again at the same moment.
TEST_F(BeliefsTest, GatewaysTryAgainOneAfterTheOther) {
  std::vector<Fact> ends;
  for (uint64_t start = 1; start <= 2; ++start) {
    ends.push_back({.kind = FactKind::kStartEnded,
                    .subject = start,
                    .source = 1,
                    .at = Now(),
                    .suspects = Parts({kDeadlyPart})});
    clock_.Advance(seconds(1));
  }
  std::set<kernel::TimePoint> trials;
  for (uint64_t source = 1; source <= 4; ++source) {
    Beliefs gateway(source);
    gateway.MergeFacts(ends, Now());
    ASSERT_EQ(gateway.quarantine().size(), 1u);
    trials.insert(gateway.TrialFrom(gateway.quarantine()[0]));
  }
  EXPECT_EQ(trials.size(), 4u);
  EXPECT_GE(*trials.begin(), ends.back().at + seconds(20));
  EXPECT_LE(*trials.rbegin(), ends.back().at + seconds(25));
}

// Guards against the refusal of sound parts by a gateway that has just started
// and has not heard of them.
TEST_F(BeliefsTest, GatewayThatHasJustStartedHearsTheOthersFirst) {
  Beliefs started(2, Now());
  End(started, {5});
  clock_.Advance(milliseconds(200));
  End(started, {5});
  EXPECT_EQ(started.FindQuarantine(Parts({5}), Now()), nullptr);
  clock_.Advance(seconds(1));
  started.DropExpired(Now());
  EXPECT_NE(started.FindQuarantine(Parts({5}), Now()), nullptr);
}

// Guards against the refusal of a sound part that is beside some of many ends.
TEST_F(BeliefsTest, PartBesideFewOfManyEndsIsNotQuarantined) {
  for (uint64_t i = 0; i < 12; ++i) {
    End(i % 5 == 0 ? std::vector<uint64_t>{7, 100 + i}
                   : std::vector<uint64_t>{100 + i});
    clock_.Advance(seconds(1));
  }
  EXPECT_EQ(beliefs_.FindQuarantine(Parts({7}), Now()), nullptr);
  EXPECT_TRUE(beliefs_.quarantine().empty());
}

// Guards against blame for a request that was beside two deadly ones by chance,
// while it explains as many ends as each of them.
TEST_F(BeliefsTest, SubjectsThatExplainEquallyManyEndsAwaitAnother) {
  constexpr uint64_t kSound = 5;
  constexpr uint64_t kOtherDeadlyPart = 0xdeae;
  const auto end = [this](const std::vector<uint64_t>& parts) {
    End(parts);
    clock_.Advance(seconds(1));
  };
  end({kDeadlyPart, kSound});
  end({kDeadlyPart});
  end({kOtherDeadlyPart, kSound});
  EXPECT_EQ(beliefs_.FindQuarantine(Parts({kSound}), Now()), nullptr);
  end({kOtherDeadlyPart});
  EXPECT_EQ(beliefs_.FindQuarantine(Parts({kSound}), Now()), nullptr);
  end({kDeadlyPart});
  EXPECT_NE(beliefs_.FindQuarantine(Parts({kDeadlyPart}), Now()), nullptr);
  EXPECT_EQ(beliefs_.FindQuarantine(Parts({kSound}), Now()), nullptr);
}

// Guards against deadly subjects that are not found because each of them
// explains only few of the ends.
TEST_F(BeliefsTest, SeveralDeadlySubjectsAreFoundBesideEachOther) {
  constexpr uint64_t kCount = 4;
  for (uint64_t round = 0; round < 6; ++round) {
    for (uint64_t deadly = 0; deadly < kCount; ++deadly) {
      End({kDeadlyPart + deadly, 1000 + round * kCount + deadly});
      clock_.Advance(milliseconds(300));
    }
  }
  for (uint64_t deadly = 0; deadly < kCount; ++deadly) {
    EXPECT_NE(beliefs_.FindQuarantine(Parts({kDeadlyPart + deadly}), Now()),
              nullptr)
        << deadly;
  }
  EXPECT_EQ(beliefs_.quarantine().size(), kCount);
}

// Guards against a deadly part that is not found because other upstreams end
// for other reasons at the same time.
TEST_F(BeliefsTest, DeadlyPartIsFoundBesideOtherEnds) {
  for (uint64_t i = 0; i < 6; ++i) {
    End({100 + i, kDeadlyPart});
    clock_.Advance(milliseconds(300));
    End({200 + i});
    clock_.Advance(milliseconds(300));
  }
  ASSERT_EQ(beliefs_.quarantine().size(), 1u);
  EXPECT_EQ(beliefs_.quarantine()[0].subjects, Parts({kDeadlyPart}));
}

// Guards against a caller that sends new parts without end, and against ends
// of many upstreams, both of which must not push the quarantine out.
TEST_F(BeliefsTest, QuarantineOutlastsManyOtherEndsInBoundedState) {
  End({kFirstPart, kDeadlyPart});
  clock_.Advance(seconds(1));
  End({kFirstPart + 1, kDeadlyPart});
  uint64_t part = 1u << 20;
  for (int i = 0; i < 2000; ++i) {
    std::vector<uint64_t> parts;
    for (size_t k = 0; k < 2 * MaxSuspects(SubjectKind::kPart); ++k) {
      parts.push_back(++part);
    }
    End(parts);
    beliefs_.OnAnswerBegan(Parts({++part, ++part}), Now(), Now());
    clock_.Advance(milliseconds(1));
  }
  EXPECT_NE(beliefs_.FindQuarantine(Parts({kDeadlyPart}), Now()), nullptr);
  EXPECT_EQ(beliefs_.quarantine().size(), 1u);
  EXPECT_LE(beliefs_.facts().rows().size(), 2000u);
}

// Facts arrive in any order and more than once.
RC_GTEST_PROP(FactStoreTest, GatewaysConcludeTheSameFromTheSameFacts, ()) {
  const kernel::TimePoint now = kernel::ManualClock().Now();
  std::vector<Fact> facts;
  const auto count = *rc::gen::inRange(0, 12);
  for (int i = 0; i < count; ++i) {
    std::set<uint64_t> parts;
    for (const int part :
         *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 6))) {
      parts.insert(static_cast<uint64_t>(part));
    }
    facts.push_back({.kind = FactKind::kStartEnded,
                     .subject = static_cast<uint64_t>(i % 8),
                     .source = static_cast<uint64_t>(i),
                     // All gateways see an end at the same time.
                     .at = now - seconds(60 - 3 * (i % 8)),
                     .suspects = Parts({parts.begin(), parts.end()})});
  }
  Beliefs one(1);
  Beliefs other(2);
  one.MergeFacts(facts, now);
  const auto order = *rc::gen::container<std::vector<size_t>>(
      40, rc::gen::inRange<size_t>(0, std::max<size_t>(facts.size(), 1)));
  for (const size_t i : order) {
    if (i < facts.size()) {
      other.MergeFacts({facts[i]}, now);
    }
  }
  other.MergeFacts(facts, now);
  RC_ASSERT(one.quarantine().size() == other.quarantine().size());
  for (size_t i = 0; i < one.quarantine().size(); ++i) {
    RC_ASSERT(one.quarantine()[i].subjects == other.quarantine()[i].subjects);
  }
}

}  // namespace
}  // namespace jackdawshunt::routing
