// Estimates the state of one engine: the prompts that wait for prefill and the
// prompt parts in its cache.
//
// An engine prefills prompts in the order of arrival, and all running requests
// wait during a long prefill. Requests admitted beyond the prefill capacity
// delay all later ones, so the expected wait determines where a request goes
// and whether it is admitted. This matters when long prompts with shared
// prefixes arrive faster than the engines can prefill them.
//
// During prefill each running stream gets one token per chunk instead of one
// per step, ten times slower. An engine that prefills all the time starts every
// stream in time and finishes few. So claims are also paced to the throughput
// that the operator states: `ahead_of_pace` is the time by which recent claims
// exceed it. Otherwise prompts would be prefilled in time, but long streams
// would be cut off at their deadline. An engine that is seen to prefill much
// faster than that sustains more, and is paced by its own rate.
//
// Where the engine's own report is available, OnReport() adds the requests that
// no one here has claimed. After a restart of the gateways and of the board the
// engine still works on requests of gateways that no longer exist. Without them
// it looks idle, and gets more than it can start in time.
//
// Example:
//   routing::EngineEstimate engine(profile, /*prefill_tokens_per_ms=*/32);
//   auto cost = engine.Estimate(keys, parts, now);
//   engine.Claim("9c41d07be2a35f68", keys, parts, 80, now);
//   engine.OnFirstEvent("9c41d07be2a35f68", later);
//   engine.OnEnd("9c41d07be2a35f68", /*was_executed=*/true, later);
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
#include "jackdawshunt/routing/engine_report.h"
#include "jackdawshunt/routing/prompt.h"

namespace jackdawshunt::routing {

struct EngineCost {
  kernel::Duration wait{};  // Until prefill of this prompt starts.
  // Time by which recent claims exceed the sustained throughput.
  kernel::Duration ahead_of_pace{};
  kernel::Duration prefill_time{};  // For the uncached parts.
  // Time since the engine had work ahead of its pace; 0 while it has.
  kernel::Duration idle_time{};
  uint64_t uncached_tokens = 0;
  uint64_t uncached_shared_tokens = 0;  // Excludes the last part.

  // Returns the wait when prefill is paced to the sustained throughput.
  kernel::Duration paced_wait() const { return std::max(wait, ahead_of_pace); }
};

class EngineEstimate {
 public:
  // `prefill_tokens_per_ms` is the prefill rate assumed until one is observed.
  EngineEstimate(EngineProfile profile, double prefill_tokens_per_ms);

  // Returns the expected cost of a prompt that is sent now. `keys` are the
  // PartKeys() of `parts`.
  EngineCost Estimate(const std::vector<uint64_t>& keys,
                      const std::vector<PromptPart>& parts,
                      kernel::TimePoint now) const;

  // Records that a request was sent to the engine, as a claim on its time and
  // cache. `keys` are the PartKeys() of `parts`.
  void Claim(std::string_view request,
             const std::vector<uint64_t>& keys,
             const std::vector<PromptPart>& parts,
             uint32_t output_tokens,
             kernel::TimePoint now);
  // Records that the first event of a request arrived, so that its prefill is
  // complete.
  void OnFirstEvent(std::string_view request, kernel::TimePoint now);
  // Removes the claim of a request that ended, complete or not. If
  // `was_executed` is false and no event arrived, its newly cached parts are
  // removed too.
  void OnEnd(std::string_view request,
             bool was_executed,
             kernel::TimePoint now);

  // Merges a report that the engine made now. Requests in the report beyond the
  // claims count in the offered wait. Claims that the engine does not hold any
  // more no longer delay others.
  void OnReport(const EngineReport& report, kernel::TimePoint now);

  // Forgets all claims and cached parts, for an engine that restarted.
  void Clear();
  // Sets the throughput that the engine can sustain, where an uncached prompt
  // token counts once and an output token twice. 0 means that it is unknown
  // and claims are not paced.
  void set_sustained_tokens_per_ms(double tokens) {
    sustained_tokens_per_ms_ = tokens;
  }

  // Sets the number of requests that the engine runs at once; 0 if unknown.
  void set_slots(uint64_t slots) { slots_ = slots; }

  // Drops claims older than `age`, and claims whose first event is overdue by
  // more than 4 s. Their requests are assumed to have ended without a report.
  void DropExpired(kernel::Duration age, kernel::TimePoint now);

  double prefill_tokens_per_ms() const { return prefill_tokens_per_ms_; }
  size_t running() const { return claims_.size(); }
  size_t waiting() const { return waiting_.size(); }
  uint64_t cached_tokens() const { return cached_tokens_; }
  // Returns the requests of the last report that wait for prefill and that no
  // one has claimed.
  size_t unclaimed() const { return reported_.unclaimed; }

 private:
  struct Part {
    uint32_t tokens = 0;
    // Running requests that use the part; it is not evicted while there are
    // any.
    uint32_t users = 0;
    std::list<uint64_t>::iterator position;
  };
  struct RunningClaim {
    std::vector<uint64_t> keys;
    size_t cached_parts = 0;  // Leading parts that were cached before.
    kernel::TimePoint claimed_at{};
    kernel::TimePoint expected_prefill_end{};
    uint64_t uncached_tokens = 0;
    uint32_t output_tokens = 0;
    bool has_started = false;
    std::list<std::string>::iterator waiting_position;
  };

  // What the last report says beyond the claims.
  struct Reported {
    kernel::TimePoint at{};
    size_t unclaimed = 0;  // Wait for prefill.
    kernel::Duration unclaimed_time{};
    size_t waiting = 0;    // In the engine's queue.
    bool is_full = false;  // The next one in the queue waits for a release.
    std::vector<uint64_t> runs;  // Sorted.
  };

  bool HasFreshReport(kernel::TimePoint now) const;
  // Returns whether the first request in the queue of `report` waits until a
  // running one ends.
  bool IsFull(const EngineReport& report) const;
  // Returns the time until a request that is sent now gets a slot.
  kernel::Duration TimeToSlot(kernel::TimePoint now) const;
  // Updates the rate at which running requests end.
  void ObserveReleases(const Reported& current);
  // Removes the oldest claims from those that wait if the engine has had fewer
  // than they are for some time.
  void ReleaseUnheld(size_t held, kernel::TimePoint now);
  // Lowers the expected times of the claims from `first` on by `saved`, but not
  // below `now`.
  void MoveUp(std::list<std::string>::iterator first,
              kernel::Duration saved,
              kernel::TimePoint now);
  kernel::Duration PaceTime(uint64_t uncached_tokens,
                            uint32_t output_tokens) const;
  kernel::Duration PrefillTime(uint64_t tokens) const;
  void ObservePrefill(const RunningClaim& claim, kernel::TimePoint now);
  void Evict();

  const EngineProfile profile_;
  const double initial_prefill_tokens_per_ms_;
  double prefill_tokens_per_ms_;
  double sustained_tokens_per_ms_ = 0;
  std::unordered_map<std::string, RunningClaim> claims_;
  // Claims without a first event, oldest first.
  std::list<std::string> waiting_;
  std::unordered_map<uint64_t, Part> parts_;
  std::list<uint64_t> recency_;  // Most recently used first.
  uint64_t cached_tokens_ = 0;
  uint64_t output_tokens_ = 0;  // Sum over running requests.
  kernel::TimePoint busy_until_{};
  kernel::TimePoint paced_until_{};
  kernel::TimePoint last_first_event_{};

  uint64_t slots_ = 0;
  Reported reported_;
  kernel::TimePoint last_unclaimed_at_{};
  size_t claims_since_report_ = 0;
  double mean_uncached_tokens_ = 0;  // Of recent claims; 0 without any.
  double releases_per_s_ = 0;        // While the engine is full; 0 if unknown.
  // Lowest number of claims that the engine did not hold, and since when.
  size_t unheld_ = 0;
  kernel::TimePoint unheld_since_{};
};

}  // namespace jackdawshunt::routing

#endif  // JACKDAWSHUNT_ROUTING_ENGINE_ESTIMATE_H_
