// Costs of what a gateway believes, for docs/CAPACITY.md.
#include <string>
#include <vector>

#include "benchmark/benchmark.h"
#include "jackdawshunt/routing/beliefs.h"

namespace jackdawshunt::routing {
namespace {

constexpr uint64_t kDeadlyPart = 0xdead;

Upstream MakeStart(int number) {
  Upstream upstream;
  upstream.id = "start-" + std::to_string(number);
  upstream.started_unix_ms = number;
  return upstream;
}

// Ends `count` starts, each beside other parts and with the deadly one.
void EndStarts(Beliefs& beliefs, kernel::ManualClock& clock, int count) {
  static uint64_t part = 1000;
  for (int i = 0; i < count; ++i) {
    std::vector<Subject> parts = {{SubjectKind::kPart, kDeadlyPart}};
    while (parts.size() < MaxSuspects(SubjectKind::kPart)) {
      parts.push_back({SubjectKind::kPart, ++part});
    }
    const Upstream upstream = MakeStart(static_cast<int>(part));
    beliefs.OnLostBeforeAnswer(upstream, parts, clock.Now(), clock.Now());
    beliefs.OnEnded(upstream.id);
    clock.Advance(std::chrono::milliseconds(500));
  }
}

// The check of a request: no quarantine, and with `range(0)` ends.
void CheckOfARequest(benchmark::State& state) {
  kernel::ManualClock clock;
  Beliefs beliefs(1);
  EndStarts(beliefs, clock, static_cast<int>(state.range(0)));
  const std::vector<Subject> subjects = {{SubjectKind::kPart, 1},
                                         {SubjectKind::kPart, 2},
                                         {SubjectKind::kRequest, 3}};
  while (state.KeepRunning()) {
    benchmark::DoNotOptimize(beliefs.FindQuarantine(subjects, clock.Now()));
  }
}
BENCHMARK(CheckOfARequest)->Arg(0)->Arg(64);

// The proof of an answer while `range(0)` ends are known.
void ProofOfAnAnswer(benchmark::State& state) {
  kernel::ManualClock clock;
  Beliefs beliefs(1);
  EndStarts(beliefs, clock, static_cast<int>(state.range(0)));
  const std::vector<Subject> subjects = {{SubjectKind::kPart, 1},
                                         {SubjectKind::kPart, 2},
                                         {SubjectKind::kRequest, 3}};
  while (state.KeepRunning()) {
    beliefs.OnAnswerBegan(subjects, clock.Now(), clock.Now());
  }
}
BENCHMARK(ProofOfAnAnswer)->Arg(0)->Arg(64);

void EndOfAStart(benchmark::State& state) {
  kernel::ManualClock clock;
  Beliefs beliefs(1);
  EndStarts(beliefs, clock, 64);
  while (state.KeepRunning()) {
    EndStarts(beliefs, clock, 1);
  }
}
BENCHMARK(EndOfAStart);

// The check of an upstream where `range(0)` upstreams name limits.
void CheckOfAnUpstream(benchmark::State& state) {
  kernel::ManualClock clock;
  Beliefs beliefs(1);
  for (int i = 0; i < state.range(0); ++i) {
    beliefs.OnLimit(MakeStart(i), 1.7, clock.Now(), clock.Now());
  }
  const uint64_t start = StartOf(MakeStart(7));
  while (state.KeepRunning()) {
    benchmark::DoNotOptimize(beliefs.MayPlaceAt(start, clock.Now()));
    benchmark::DoNotOptimize(beliefs.LimitOf(start, clock.Now()));
  }
}
BENCHMARK(CheckOfAnUpstream)->Arg(0)->Arg(7700);

}  // namespace
}  // namespace jackdawshunt::routing
