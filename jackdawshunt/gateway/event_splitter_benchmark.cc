// Cost of streams that upstreams send in pieces of one byte.
#include <string>

#include "benchmark/benchmark.h"
#include "jackdawshunt/gateway/event_splitter.h"

namespace jackdawshunt::gateway {
namespace {

// Feeds as many bytes as the argument of the benchmark, made of `piece`.
void FeedByteByByte(benchmark::State& state, std::string_view piece) {
  const auto size = static_cast<size_t>(state.range(0));
  std::string text;
  while (text.size() < size) {
    text.append(piece);
  }
  while (state.KeepRunning()) {
    EventSplitter splitter;
    for (const char& byte : text) {
      benchmark::DoNotOptimize(splitter.Feed({&byte, 1}));
    }
  }
  state.SetBytesProcessed(state.iterations() *
                          static_cast<int64_t>(text.size()));
}

constexpr int64_t kSmallest = 1 << 10;
constexpr int64_t kLargest = 1 << 18;
constexpr int kFactor = 16;

void BM_SmallEvents(benchmark::State& state) {
  FeedByteByByte(state, "d\n\n");
}
BENCHMARK(BM_SmallEvents)->RangeMultiplier(kFactor)->Range(kSmallest, kLargest);

void BM_LinesOfOneEvent(benchmark::State& state) {
  FeedByteByByte(state, "d\n");
}
BENCHMARK(BM_LinesOfOneEvent)
    ->RangeMultiplier(kFactor)
    ->Range(kSmallest, kLargest);

void BM_OneLine(benchmark::State& state) {
  FeedByteByByte(state, "d");
}
BENCHMARK(BM_OneLine)->RangeMultiplier(kFactor)->Range(kSmallest, kLargest);

}  // namespace
}  // namespace jackdawshunt::gateway
