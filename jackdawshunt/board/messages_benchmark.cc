// Size and cost of the datagrams that record and look up origins of streams.
#include "benchmark/benchmark.h"
#include "jackdawshunt/board/messages.h"

namespace jackdawshunt::board {
namespace {

void EncodeAndDecode(benchmark::State& state, const Message& message) {
  size_t bytes = 0;
  while (state.KeepRunning()) {
    const std::string encoded = Encode(message);
    bytes = encoded.size();
    benchmark::DoNotOptimize(Decode(encoded));
  }
  state.counters["bytes"] = static_cast<double>(bytes);
}

constexpr uint64_t kHash = 0x9c41d07be2a35f68;

void BM_OriginRecord(benchmark::State& state) {
  EncodeAndDecode(state,
                  OriginRecord{.request = kHash,
                               .origin = kHash,
                               .resumable_for = std::chrono::seconds(12)});
}
BENCHMARK(BM_OriginRecord);

void BM_OriginQuery(benchmark::State& state) {
  EncodeAndDecode(state, OriginQuery{.nonce = 100000, .request = kHash});
}
BENCHMARK(BM_OriginQuery);

void BM_OriginReply(benchmark::State& state) {
  EncodeAndDecode(
      state, OriginReply{.nonce = 100000, .request = kHash, .origin = kHash});
}
BENCHMARK(BM_OriginReply);

}  // namespace
}  // namespace jackdawshunt::board
