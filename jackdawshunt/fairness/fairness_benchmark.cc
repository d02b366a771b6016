#include <benchmark/benchmark.h>

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "jackdawshunt/fairness/bid_book.h"
#include "jackdawshunt/fairness/exchange.h"
#include "jackdawshunt/fairness/ledger.h"
#include "jackdawshunt/fairness/request_queue.h"
#include "jackdawshunt/kernel/registry.h"
#include "jackdawshunt/protocol/codec.h"

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

// Merges the changes of one origin into a ledger with `range` origins.
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

// Adds and takes one request while `range` others wait.
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

// Entries that exchange counters over a network without latency. All serve the
// backlogged workspaces all the time, and each has served others before.
class ExchangeFleet {
 public:
  ExchangeFleet(const std::string& exchange, size_t entries)
      : entries_(entries), bytes_(entries) {
    for (size_t i = 0; i < entries; ++i) {
      names_.push_back("entry-" + std::to_string(i));
    }
    for (size_t i = 0; i < entries; ++i) {
      Entry& entry = entries_[i];
      entry.ledger = std::make_unique<Ledger>(
          names_[i], base::Incarnation{static_cast<int64_t>(i + 1), 7});
      entry.exchange = kernel::Registry<Exchange>::Create(exchange);
      entry.peers = names_;
      entry.peers.erase(entry.peers.begin() + static_cast<ptrdiff_t>(i));
      for (int w = 0; w < kWorkspaces; ++w) {
        entry.ledger->SetBacklogged(Workspace(w), true);
      }
    }
  }

  // One period of 100 ms. Messages arrive after all entries have sent.
  void Tick() {
    std::vector<std::pair<size_t, OutgoingCounters>> messages;
    for (size_t i = 0; i < entries_.size(); ++i) {
      Entry& entry = entries_[i];
      for (int w = 0; w < kWorkspaces; ++w) {
        entry.ledger->Charge(Workspace(w), kCharge);
      }
      for (OutgoingCounters& message :
           entry.exchange->Tick(*entry.ledger, entry.peers)) {
        messages.emplace_back(i, std::move(message));
      }
    }
    for (const auto& [from, message] : messages) {
      const size_t to = std::stoul(message.entry.substr(6));
      const size_t bytes = protocol::Encode(message.counters).size();
      bytes_[from].sent += bytes;
      bytes_[to].received += bytes;
      entries_[to].exchange->OnReceived(*entries_[to].ledger, names_[from],
                                        message.counters);
    }
    ++ticks_;
  }

  // Returns the highest age, in ticks, of an entry's view of the fleet's
  // service just before the next tick. The sum of charges grows by the same
  // amount in each tick.
  double Staleness() const {
    double oldest = 0;
    const double per_tick = kCharge * static_cast<double>(entries_.size());
    for (const Entry& entry : entries_) {
      for (int w = 0; w < kWorkspaces; ++w) {
        // Lifts are 0: all workspaces were backlogged before any service.
        const double known = entry.ledger->NormalisedService(Workspace(w));
        oldest = std::max(oldest, 1 + ticks_ - known / per_tick);
      }
    }
    return oldest;
  }

  void ResetBytes() {
    bytes_.assign(entries_.size(), {});
    bytes_since_ = ticks_;
  }
  void Report(benchmark::State& state, double staleness) const {
    constexpr double kTickSeconds = 0.1;
    const double seconds = (ticks_ - bytes_since_) * kTickSeconds;
    double sent = 0;
    double most_sent = 0;
    double most_received = 0;
    for (const Traffic& traffic : bytes_) {
      sent += static_cast<double>(traffic.sent);
      most_sent = std::max(most_sent, static_cast<double>(traffic.sent));
      most_received =
          std::max(most_received, static_cast<double>(traffic.received));
    }
    state.counters["sent_B/s"] =
        sent / seconds / static_cast<double>(bytes_.size());
    state.counters["max_sent_B/s"] = most_sent / seconds;
    state.counters["max_received_B/s"] = most_received / seconds;
    state.counters["staleness_s"] = staleness * kTickSeconds;
  }

 private:
  struct Entry {
    std::unique_ptr<Ledger> ledger;
    std::unique_ptr<Exchange> exchange;
    std::vector<std::string> peers;
  };
  // Encoded as a double in CBOR, like most sums in production.
  static constexpr double kCharge = 1.1;

  struct Traffic {
    size_t sent = 0;
    size_t received = 0;
  };

  std::vector<std::string> names_;
  std::vector<Entry> entries_;
  std::vector<Traffic> bytes_;
  double ticks_ = 0;
  double bytes_since_ = 0;
};

// The time is that of one tick of all entries. Run with
// --benchmark_min_time=1x, because the counters do not depend on the number of
// iterations.
void ExchangeTraffic(benchmark::State& state, const std::string& exchange) {
  constexpr int kWarmUpTicks = 150;
  constexpr int kMeasuredTicks = 150;
  while (state.KeepRunning()) {
    ExchangeFleet fleet(exchange, static_cast<size_t>(state.range(0)));
    const int factor = exchange == "mesh" ? 75 : 1;  // Converges at once.
    for (int i = 0; i < kWarmUpTicks / factor; ++i) {
      fleet.Tick();
    }
    fleet.ResetBytes();
    double staleness = 0;
    for (int i = 0; i < kMeasuredTicks / factor; ++i) {
      fleet.Tick();
      staleness = std::max(staleness, fleet.Staleness());
    }
    fleet.Report(state, staleness);
  }
}
// `mesh` does not run with 530 entries, which would take over a gigabyte in one
// process. Its traffic there follows from that of 128 entries, because every
// entry sends the same message to each of the others.
BENCHMARK_CAPTURE(ExchangeTraffic, mesh, "mesh")
    ->Arg(4)
    ->Arg(32)
    ->Arg(128)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);
BENCHMARK_CAPTURE(ExchangeTraffic, tree, "tree")
    ->Arg(4)
    ->Arg(32)
    ->Arg(128)
    ->Arg(530)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

// Measures the counters sent over a new connection after `range` days with 640
// restarts a day among 530 instances.
void GrowthByRestarts(benchmark::State& state) {
  constexpr int64_t kEntries = 530;
  constexpr int64_t kRestarts = 640;
  constexpr int64_t kDayUs = int64_t{24} * 3600 * 1'000'000;
  while (state.KeepRunning()) {
    Ledger ledger("self", {0, 0});
    for (int64_t i = 0; i < kRestarts * state.range(0); ++i) {
      Ledger origin("entry-" + std::to_string(i % kEntries),
                    {i * kDayUs / kRestarts, 7});
      for (int w = 0; w < kWorkspaces; ++w) {
        origin.Charge(Workspace(w), 1.1);
      }
      ledger.Merge(origin.AllCounters().counters.front().origin,
                   origin.AllCounters());
    }
    const protocol::Counters full = ledger.AllCounters();
    state.counters["rows"] = static_cast<double>(full.counters.size());
    state.counters["bytes"] =
        static_cast<double>(protocol::Encode(full).size());
  }
}
BENCHMARK(GrowthByRestarts)
    ->Arg(1)
    ->Arg(7)
    ->Arg(28)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace jackdawshunt::fairness
