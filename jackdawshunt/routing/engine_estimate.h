// What is known of one engine: the prompts that wait to be read, and the prompt
// parts that it holds in its cache.
//
// An engine reads prompts in the order of arrival, and all running requests
// wait while a long one is read. Requests admitted beyond what it can read in
// time make every later one late, so the expected wait decides where a request
// goes and whether it is taken at all. Answers the load pattern "long prompts
// with shared beginnings arrive faster than they can be read".
//
// While an engine reads, each running stream gets one token a chunk instead of
// one a step, ten times slower. An engine that always reads starts every stream
// in time and finishes few. So claims are also paced to the throughput that the
// operator states: `ahead` tells how much more was claimed lately. Answers the
// load pattern "prompts are read in time, but long streams end at their
// deadline".
//
// Example:
//   routing::EngineEstimate engine(profile, /*tokens_per_ms=*/32);
//   auto cost = engine.Estimate(keys, parts, now);
//   engine.Claim("9c41d07be2a35f68", keys, parts, 80, now);
//   engine.OnFirstEvent("9c41d07be2a35f68", later);
//   engine.OnEnd("9c41d07be2a35f68");
//
// Not thread-safe.
#ifndef JACKDAWSHUNT_ROUTING_ENGINE_ESTIMATE_H_
#define JACKDAWSHUNT_ROUTING_ENGINE_ESTIMATE_H_

#include <algorithm>
#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "jackdawshunt/kernel/clock.h"
#include "jackdawshunt/routing/desired_state.h"
#include "jackdawshunt/routing/prompt.h"

namespace jackdawshunt::routing {

struct EngineCost {
  kernel::Duration wait{};  // Until the engine begins to read this prompt.
  kernel::Duration
      ahead_of_pace{};  // Of the pace that leaves time for the streams.
  kernel::Duration prefill_time{};  // For the parts that it does not hold.
  uint64_t uncached_tokens = 0;
  uint64_t uncached_shared_tokens = 0;  // Of the parts before the last one.

  // What the request would wait if reading kept its pace.
  kernel::Duration paced_wait() const { return std::max(wait, ahead_of_pace); }
};

class EngineEstimate {
 public:
  // `tokens_per_ms` is the reading rate assumed until one is observed.
  EngineEstimate(EngineProfile profile, double tokens_per_ms);

  EngineCost Estimate(const std::vector<uint64_t>& keys,
                      const std::vector<PromptPart>& parts,
                      kernel::TimePoint now) const;

  // A request was sent to the engine.
  void Claim(std::string_view request,
             const std::vector<uint64_t>& keys,
             const std::vector<PromptPart>& parts,
             uint32_t output_tokens,
             kernel::TimePoint now);
  // Its first event arrived, so its prompt has been read.
  void OnFirstEvent(std::string_view request, kernel::TimePoint now);
  // It has ended, whether complete or not. `was_run` false: it never ran.
  void OnEnd(std::string_view request, bool was_run, kernel::TimePoint now);

  // The engine restarted: it holds nothing.
  void Clear();
  // Tokens, read once and generated twice, that the engine can take for long;
  // 0: not known, nothing is paced.
  void set_sustained_tokens_per_ms(double tokens) {
    sustained_tokens_per_ms_ = tokens;
  }

  // Drops claims older than `age`, whose end was not heard, and those that
  // have waited far too long: the engine has lost them.
  void Expire(kernel::Duration age, kernel::TimePoint now);

  double tokens_per_ms() const { return tokens_per_ms_; }
  size_t running() const { return claims_.size(); }
  size_t waiting() const { return waiting_.size(); }
  uint64_t cached_tokens() const { return cached_tokens_; }

 private:
  struct Part {
    uint32_t tokens = 0;
    uint32_t users = 0;  // Running requests; such a part is not evicted.
    std::list<uint64_t>::iterator position;
  };
  struct RunningClaim {
    std::vector<uint64_t> keys;
    size_t held_parts = 0;  // Leading parts that were held already.
    kernel::TimePoint claimed{};
    kernel::TimePoint expected_read{};  // When the prompt should be read.
    uint64_t uncached_tokens = 0;
    uint32_t output_tokens = 0;
    bool has_started = false;
    std::list<std::string>::iterator waiting_position;
  };

  kernel::Duration PaceTime(uint64_t missing, uint32_t output) const;
  kernel::Duration ReadTime(uint64_t tokens) const;
  void Learn(const RunningClaim& claim, kernel::TimePoint now);
  void Evict();

  const EngineProfile profile_;
  const double initial_tokens_per_ms_;
  double tokens_per_ms_;
  double sustained_tokens_per_ms_ = 0;
  std::unordered_map<std::string, RunningClaim> claims_;
  std::list<std::string>
      waiting_;  // Claims without a first event, oldest first.
  std::unordered_map<uint64_t, Part> parts_;
  std::list<uint64_t> recency_;  // Most recently used first.
  uint64_t cached_tokens_ = 0;
  uint64_t output_tokens_ = 0;  // Of running requests.
  kernel::TimePoint busy_until_{};
  kernel::TimePoint paced_until_{};
  kernel::TimePoint last_first_event_{};
};

}  // namespace jackdawshunt::routing

#endif  // JACKDAWSHUNT_ROUTING_ENGINE_ESTIMATE_H_
