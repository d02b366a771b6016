// Cost of recording the origins of streams and of finding their homes.
#include <memory>
#include <string>
#include <vector>

#include "benchmark/benchmark.h"
#include "jackdawshunt/routing/router.h"
#include "jackdawshunt/routing/stream_origins.h"

namespace jackdawshunt::routing {
namespace {

std::unique_ptr<Router> MakeRouter(int64_t engines) {
  const kernel::TimePoint now{};
  auto router = std::make_unique<Router>(RouterSettings{}, now);
  DesiredState state;
  state.version = 1;
  state.services = {{.name = "llm", .engine = EngineProfile{64, 500000}}};
  router->SetDesiredState(std::move(state));
  std::vector<Upstream> list;
  for (int64_t i = 0; i < engines; ++i) {
    Upstream engine;
    engine.id = "i-" + std::to_string(i);
    engine.service = "llm";
    engine.software_version = "v1";
    engine.data_centre = "z" + std::to_string(i % 6);
    engine.address = {"10." + std::to_string(i / 62500) + "." +
                          std::to_string(i / 250 % 250) + "." +
                          std::to_string(1 + i % 250),
                      8080};
    list.push_back(std::move(engine));
  }
  router->directory().Replace(list, now);
  return router;
}

void BM_OriginHomes(benchmark::State& state) {
  const auto router = MakeRouter(state.range(0));
  uint64_t key = 1;
  while (state.KeepRunning()) {
    benchmark::DoNotOptimize(router->OriginHomesOf(++key, {}));
  }
}
BENCHMARK(BM_OriginHomes)->Arg(9)->Arg(120)->Arg(7700);

void BM_PossibleOriginHomes(benchmark::State& state) {
  const auto router = MakeRouter(state.range(0));
  uint64_t key = 1;
  while (state.KeepRunning()) {
    benchmark::DoNotOptimize(router->PossibleOriginHomesOf(++key, {}));
  }
}
BENCHMARK(BM_PossibleOriginHomes)->Arg(9)->Arg(120)->Arg(7700);

void BM_RecordAndFind(benchmark::State& state) {
  StreamOrigins origins;
  const kernel::TimePoint now{};
  for (uint64_t i = 0; i < static_cast<uint64_t>(state.range(0)); ++i) {
    origins.Record(i, 1, now + std::chrono::seconds(1));
  }
  uint64_t key = 0;
  while (state.KeepRunning()) {
    key = (key + 1) % static_cast<uint64_t>(state.range(0));
    origins.Record(key, 2, now + std::chrono::seconds(1));
    benchmark::DoNotOptimize(origins.Find(key, now));
  }
}
BENCHMARK(BM_RecordAndFind)->Arg(1500)->Arg(100000);

}  // namespace
}  // namespace jackdawshunt::routing
