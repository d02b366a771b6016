#include <benchmark/benchmark.h>

#include <functional>
#include <string>
#include <vector>

#include "jackdawshunt/claims/internal/core.h"

namespace jackdawshunt::claims::internal {
namespace {

// Store that answers in the next turn.
class InstantStore final : public object_api::Client {
 public:
  InstantStore(kernel::EventLoop& loop,
               std::vector<std::function<void()>>& posted)
      : Client(loop, {}), posted_(posted) {}

  void Get(const std::string& key,
           object_api::Callback<object_api::Object> done) override {
    posted_.emplace_back([this, key, done = std::move(done)] {
      done(version_ == 0
               ? absl::StatusOr<object_api::Object>(
                     absl::NotFoundError("no such object"))
               : object_api::Object{
                     .key = key, .version = version_, .value = value_});
    });
  }

  void Put(const std::string&,
           const std::string& value,
           std::optional<uint64_t>,
           object_api::Callback<uint64_t> done) override {
    value_ = value;
    bytes_ += value.size();
    ++version_;
    posted_.emplace_back([this, done = std::move(done)] { done(version_); });
  }

  size_t bytes() const { return bytes_; }

 private:
  std::vector<std::function<void()>>& posted_;
  std::string value_;
  uint64_t version_ = 0;
  size_t bytes_ = 0;
};

// Acquires and releases a claim, which takes two writes. Arguments: the number
// of other claims in the object, and the number of claims that share an update.
void AcquireAndRelease(benchmark::State& state) {
  kernel::EventLoop loop;
  std::vector<std::function<void()>> posted;
  const auto run_posted = [&posted] {
    while (!posted.empty()) {
      std::vector<std::function<void()>> turn;
      turn.swap(posted);
      for (const auto& callback : turn) {
        callback();
      }
    }
  };
  InstantStore store(loop, posted);
  Core core(store,
            {.now = [] { return kernel::TimePoint(); },
             .unix_seconds = [] { return int64_t{1'800'000'000}; },
             .post =
                 [&posted](std::function<void()> callback) {
                   posted.push_back(std::move(callback));
                 }},
            "entry-1", /*shards=*/1);
  int64_t number = 0;
  std::vector<std::string> batch;
  const auto acquire = [&](int64_t count) {
    batch.clear();
    for (int64_t i = 0; i < count; ++i) {
      batch.push_back("0123456789abcdef" + std::to_string(++number));
      core.Acquire({.workspace = "lodge",
                    .key = std::to_string(number),
                    .request = batch.back(),
                    .fingerprint = std::string(64, 'f')},
                   [](const Verdict&) {});
    }
    run_posted();
  };
  acquire(state.range(0));
  const size_t bytes_before = store.bytes();
  while (state.KeepRunning()) {
    acquire(state.range(1));
    for (const std::string& request : batch) {
      core.Release(request);
    }
    run_posted();
  }
  const auto claims = static_cast<double>(state.iterations() * state.range(1));
  state.counters["bytes_per_claim"] =
      static_cast<double>(store.bytes() - bytes_before) / claims;
  state.SetItemsProcessed(state.iterations() * state.range(1));
}
BENCHMARK(AcquireAndRelease)->ArgsProduct({{10, 100, 1000}, {1, 10}});

// Parses the object, as after a change by another process.
void ParseDocument(benchmark::State& state) {
  Document document;
  for (int64_t i = 0; i < state.range(0); ++i) {
    document.Put({.key = std::string(16, 'k') + std::to_string(i),
                  .workspace = "lodge",
                  .request = std::string(32, 'r'),
                  .fingerprint = std::string(64, 'f'),
                  .time = 1'800'000'000,
                  .write_id = "entry-1/0123456789abcdef"});
  }
  const std::string text = document.Serialise();
  while (state.KeepRunning()) {
    benchmark::DoNotOptimize(Document::Parse(text));
  }
  state.counters["object_bytes"] = static_cast<double>(text.size());
}
BENCHMARK(ParseDocument)->Arg(10)->Arg(100)->Arg(1000);

}  // namespace
}  // namespace jackdawshunt::claims::internal
