// Cost of finding the starts that later ones have replaced, after each change
// of the list.
#include <string>

#include "benchmark/benchmark.h"
#include "jackdawshunt/routing/directory.h"

namespace jackdawshunt::routing {
namespace {

// `range(0)` entries of services that are not configured have one address.
void ChangeOfEntriesAtOneAddress(benchmark::State& state) {
  kernel::ManualClock clock;
  Directory directory(std::chrono::seconds(2));
  directory.SetServices({"s"});
  Upstream upstream;
  upstream.address = {"10.0.0.1", 8080};
  for (int64_t i = 0; i < state.range(0); ++i) {
    upstream.id = "i-" + std::to_string(i);
    upstream.service = "unknown-" + std::to_string(i);
    upstream.started_unix_ms = i + 1;
    directory.Put(upstream, clock.Now());
  }
  while (state.KeepRunning()) {
    ++upstream.started_unix_ms;
    directory.Put(upstream, clock.Now());
    benchmark::DoNotOptimize(directory.IsSuperseded(upstream));
  }
}
BENCHMARK(ChangeOfEntriesAtOneAddress)->Arg(10)->Arg(700)->Arg(10000);

}  // namespace
}  // namespace jackdawshunt::routing
