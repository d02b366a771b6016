#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "jackdawshunt/fairness/bid_book.h"
#include "jackdawshunt/fairness/ledger.h"
#include "jackdawshunt/fairness/request_queue.h"

namespace jackdawshunt::fairness {
namespace {

// A tenth of the 460 workspaces of the design target is backlogged.
constexpr int kWorkspaces = 46;

std::string Workspace(int number) {
  return "workspace-" + std::to_string(number);
}

protocol::Counters CountersOf(int64_t origins, double service) {
  protocol::Counters counters;
  for (int64_t origin = 0; origin < origins; ++origin) {
    for (int i = 0; i < kWorkspaces; ++i) {
      counters.counters.push_back({"entry-" + std::to_string(origin),
                                   {origin + 1, 0},
                                   Workspace(i),
                                   service});
    }
  }
  for (int i = 0; i < kWorkspaces; ++i) {
    counters.backlogged.push_back(Workspace(i));
  }
  return counters;
}

// Merges one message with new counters of all origins.
void MergeAllOrigins(benchmark::State& state) {
  Ledger ledger("self", {1, 1});
  protocol::Counters counters = CountersOf(state.range(0), 1);
  while (state.KeepRunning()) {
    ledger.Merge("peer", counters);
    state.PauseTiming();
    for (protocol::CounterEntry& entry : counters.counters) {
      entry.service += 1;
    }
    state.ResumeTiming();
  }
  state.SetItemsProcessed(state.iterations() * state.range(0) * kWorkspaces);
}
BENCHMARK(MergeAllOrigins)->Arg(4)->Arg(32)->Arg(530);

// Merges the changes of one origin into a ledger that knows many.
void MergeOneOrigin(benchmark::State& state) {
  Ledger ledger("self", {1, 1});
  ledger.Merge("peer", CountersOf(state.range(0), 1));
  protocol::Counters counters = CountersOf(1, 1);
  while (state.KeepRunning()) {
    ledger.Merge("peer", counters);
  }
  state.SetItemsProcessed(state.iterations() * kWorkspaces);
}
BENCHMARK(MergeOneOrigin)->Arg(4)->Arg(32)->Arg(530);

void Charge(benchmark::State& state) {
  Ledger ledger("self", {1, 1});
  ledger.Merge("peer", CountersOf(32, 1));
  const std::string workspace = Workspace(7);
  while (state.KeepRunning()) {
    ledger.Charge(workspace, 1);
  }
}
BENCHMARK(Charge);

protocol::Bid BidOfAll(double service) {
  protocol::Bid bid{.model = "model"};
  for (int i = 0; i < kWorkspaces; ++i) {
    bid.items.push_back({.workspace = Workspace(i),
                         .waiting = 1'000'000'000,
                         .service = service + i,
                         .estimate = 10});
  }
  return bid;
}

void Choose(benchmark::State& state) {
  BidBook book;
  for (int64_t entry = 0; entry < state.range(0); ++entry) {
    book.Replace("entry-" + std::to_string(entry), BidOfAll(0));
  }
  while (state.KeepRunning()) {
    benchmark::DoNotOptimize(book.Choose(/*short_only=*/false));
  }
}
BENCHMARK(Choose)->Arg(2)->Arg(16)->Arg(64);

void ReplaceBid(benchmark::State& state) {
  BidBook book;
  for (int64_t entry = 0; entry < state.range(0); ++entry) {
    book.Replace("entry-" + std::to_string(entry), BidOfAll(0));
  }
  protocol::Bid bid = BidOfAll(0);
  while (state.KeepRunning()) {
    book.Choose(/*short_only=*/false);
    bid.items[0].service += 1;
    book.Replace("entry-0", bid);
  }
}
BENCHMARK(ReplaceBid)->Arg(2)->Arg(16)->Arg(64);

// Adds and takes one request beside `range` waiting ones.
void AddAndTake(benchmark::State& state) {
  RequestQueue queue;
  for (int64_t i = 0; i < state.range(0); ++i) {
    queue.Add({.request = "waiting-" + std::to_string(i),
               .model = "model",
               .workspace = Workspace(static_cast<int>(i % kWorkspaces))});
  }
  while (state.KeepRunning()) {
    queue.Add({.request = "request", .model = "model", .workspace = "lodge"});
    benchmark::DoNotOptimize(
        queue.Take("model", "lodge", protocol::RequestClass::kShort));
  }
}
BENCHMARK(AddAndTake)->Arg(100)->Arg(10'000);

void ExpireNone(benchmark::State& state) {
  RequestQueue queue;
  for (int64_t i = 0; i < state.range(0); ++i) {
    queue.Add({.request = "waiting-" + std::to_string(i),
               .model = "model",
               .workspace = Workspace(static_cast<int>(i % kWorkspaces)),
               .since = kernel::TimePoint(std::chrono::seconds(1))});
  }
  while (state.KeepRunning()) {
    benchmark::DoNotOptimize(queue.TakeOlderThan(kernel::TimePoint()));
  }
}
BENCHMARK(ExpireNone)->Arg(100)->Arg(10'000);

}  // namespace
}  // namespace jackdawshunt::fairness
