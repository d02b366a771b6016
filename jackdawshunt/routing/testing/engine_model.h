// A small model of an engine for tests. Prefills prompts in chunks in the order
// of arrival, gives each running stream one token per step, which includes at
// most one chunk, and keeps prompt parts in a cache of limited size. A stream
// pauses while a chunk is prefilled. A prompt waits while all slots are taken.
//
// Example:
//   routing::testing::EngineModel engine({});
//   engine.Submit("r1", prompt, keys, now, deadline);
//   engine.AdvanceTo(later);
//   for (const auto& result : engine.results()) Check(result);
//
// Not thread-safe.
#ifndef JACKDAWSHUNT_ROUTING_TESTING_ENGINE_MODEL_H_
#define JACKDAWSHUNT_ROUTING_TESTING_ENGINE_MODEL_H_

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

#include "jackdawshunt/kernel/clock.h"
#include "jackdawshunt/routing/prompt.h"

namespace jackdawshunt::routing::testing {

struct EngineModelSettings {
  double prefill_tokens_per_ms = 48;
  double step_ms = 3;
  uint32_t chunk_tokens = 4096;
  uint64_t cache_tokens = 500000;
  uint32_t slots = 0;  // Requests that run at once; 0 means unlimited.
};

class EngineModel {
 public:
  struct Result {
    std::string request;
    kernel::Duration first_event{};    // Time after the submission.
    bool is_complete = false;          // Before its deadline.
    kernel::Duration longest_pause{};  // Between two of its events.
  };

  explicit EngineModel(EngineModelSettings settings) : settings_(settings) {}

  void Submit(std::string request,
              const Prompt& prompt,
              const std::vector<uint64_t>& keys,
              kernel::TimePoint now,
              kernel::TimePoint deadline);
  // Runs steps up to `now`; returns the requests whose first event occurred.
  std::vector<std::string> AdvanceTo(kernel::TimePoint now);

  // Makes all later steps take `factor` times as long; 1 is the usual speed.
  void set_slowdown(double factor) { slowdown_ = factor; }

  const std::vector<Result>& results() const { return results_; }
  uint64_t shared_tokens_prefilled() const { return shared_tokens_prefilled_; }

 private:
  struct Work {
    std::string request;
    Prompt prompt;
    std::vector<uint64_t> keys;
    kernel::TimePoint submitted_at{};
    kernel::TimePoint deadline{};
    uint64_t uncached_tokens = 0;
    bool is_counted = false;  // uncached_tokens is set.
    uint32_t tokens_to_generate = 0;
    kernel::Duration first_event{};
    kernel::Duration longest_pause{};
  };

  void CountUncached(Work& work);
  void CacheParts(const Work& work);
  // Returns whether the oldest waiting prompt has a slot.
  bool MayPrefill() const;

  const EngineModelSettings settings_;
  double slowdown_ = 1;
  kernel::TimePoint clock_{};
  std::deque<Work> waiting_;
  std::list<Work> running_;
  std::unordered_map<uint64_t,
                     std::pair<uint32_t, std::list<uint64_t>::iterator>>
      parts_;
  std::list<uint64_t> recency_;
  uint64_t cached_tokens_ = 0;
  uint64_t shared_tokens_prefilled_ = 0;
  std::vector<Result> results_;
};

}  // namespace jackdawshunt::routing::testing

#endif  // JACKDAWSHUNT_ROUTING_TESTING_ENGINE_MODEL_H_
