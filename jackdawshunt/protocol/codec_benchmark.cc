// Measures the time to encode and to decode one message of each kind that
// dominates the load, and the size of its frame.

#include <benchmark/benchmark.h>

#include <string>

#include "jackdawshunt/protocol/codec.h"

namespace jackdawshunt::protocol {
namespace {

constexpr int kWorkspaces = 16;
constexpr int kCounterEntries = 46;
constexpr size_t kStartBodyBytes = 1024;

const char* const kRequest = "0123456789abcdef0123456789abcdef";
constexpr base::Incarnation kIncarnation = {1'790'000'000'000'000, 0x9c2f1d07};

Message MakeBid() {
  Bid bid{.model = "harbour-large"};
  for (int i = 0; i < kWorkspaces; ++i) {
    bid.items.push_back({.workspace = "workspace-" + std::to_string(i),
                         .waiting = 3 * i,
                         .service = 123456.789 * i,
                         .estimate = 812.25});
  }
  return bid;
}

Message MakeGrant() {
  return Grant{.grant = 81234,
               .model = "harbour-large",
               .workspace = "workspace-7",
               .valid_ms = 500};
}

Message MakeStart() {
  return Start{.grant = 81234,
               .side_incarnation = kIncarnation,
               .request = kRequest,
               .workspace = "workspace-7",
               .model = "harbour-large",
               .content_type = "application/json",
               .body = std::string(kStartBodyBytes, 'x')};
}

Message MakeChunk() {
  return Chunk{.request = kRequest, .offset = 417, .data = "[\" token\"]"};
}

Message MakeCounters() {
  Counters counters{.backlogged = {"workspace-1", "workspace-4"},
                    .virtual_time = 98765.25};
  for (int i = 0; i < kCounterEntries; ++i) {
    const std::string workspace =
        "workspace-" + std::to_string(i % kWorkspaces);
    counters.counters.push_back({"entry-" + std::to_string(i / kWorkspaces),
                                 kIncarnation, workspace, 4321.375 * i});
  }
  return counters;
}

void BM_Encode(benchmark::State& state, Message (*make)()) {
  const Message message = make();
  while (state.KeepRunning()) {
    benchmark::DoNotOptimize(Encode(message));
  }
  state.counters["bytes"] = static_cast<double>(Encode(message).size());
}

void BM_Decode(benchmark::State& state, Message (*make)()) {
  const std::string frame = Encode(make());
  Decoder decoder;
  while (state.KeepRunning()) {
    decoder.Append(frame);
    auto message = decoder.Next();
    if (!message.ok() || !message->has_value()) {
      state.SkipWithError("the frame was not decoded");
      return;
    }
    benchmark::DoNotOptimize(message);
  }
  state.counters["bytes"] = static_cast<double>(frame.size());
}

BENCHMARK_CAPTURE(BM_Encode, bid_16_workspaces, MakeBid);
BENCHMARK_CAPTURE(BM_Decode, bid_16_workspaces, MakeBid);
BENCHMARK_CAPTURE(BM_Encode, grant, MakeGrant);
BENCHMARK_CAPTURE(BM_Decode, grant, MakeGrant);
BENCHMARK_CAPTURE(BM_Encode, start_1_kib, MakeStart);
BENCHMARK_CAPTURE(BM_Decode, start_1_kib, MakeStart);
BENCHMARK_CAPTURE(BM_Encode, chunk, MakeChunk);
BENCHMARK_CAPTURE(BM_Decode, chunk, MakeChunk);
BENCHMARK_CAPTURE(BM_Encode, counters_46_entries, MakeCounters);
BENCHMARK_CAPTURE(BM_Decode, counters_46_entries, MakeCounters);

}  // namespace
}  // namespace jackdawshunt::protocol
