// Learns how fast one start of an engine works: its prefill rate and its time
// per event.
//
// Answers the load of engines whose speeds differ by 0.7 to 1.7 and that are at
// times 2.5 times slower for about 600 ms. Such a slow period is seen within
// some hundred milliseconds from the events of running streams and the time of
// prefills. It delays what is sent now, but is not learned as the speed of the
// engine.
//
// Example:
//   routing::UpstreamSpeed speed(/*assumed_prefill_tokens_per_ms=*/30);
//   speed.set_prior({.prefill_tokens_per_ms = 64, .event_ms = 4.2});
//   speed.OnReport(report, now);
//   speed.OnPrefill(/*tokens=*/9000, /*ms=*/140, now);
//   kernel::Duration delay = speed.SlowDelay(work, now);
//
// Without reports the prefill rate alone is learned, and no slow period is
// seen. Not thread-safe.
#ifndef JACKDAWSHUNT_ROUTING_UPSTREAM_SPEED_H_
#define JACKDAWSHUNT_ROUTING_UPSTREAM_SPEED_H_

#include <cstdint>
#include <deque>

#include "jackdawshunt/kernel/clock.h"
#include "jackdawshunt/routing/engine_report.h"

namespace jackdawshunt::routing {

// What is known of the speed of an engine; 0 if unknown.
struct Speed {
  double prefill_tokens_per_ms = 0;
  double event_ms = 0;  // Between two events of a stream, without prefill.

  bool operator==(const Speed&) const = default;
};

class UpstreamSpeed {
 public:
  // `assumed_prefill_tokens_per_ms` is used until a rate is known.
  explicit UpstreamSpeed(double assumed_prefill_tokens_per_ms);

  // Sets what others have seen of this start, or of starts of the same service
  // and software version. Ignored once a prior is set or the field was
  // observed.
  void set_prior(const Speed& prior);
  // Records that the prefill of `tokens` took `ms`, apart from waiting.
  void OnPrefill(uint64_t tokens, double ms, kernel::TimePoint now);
  // Records the events of the running streams. Calls are at most 500 ms apart,
  // else the time between them is not used.
  void OnReport(const EngineReport& report, kernel::TimePoint now);

  // Returns the rate outside slow periods.
  double prefill_tokens_per_ms() const { return prefill_.value; }
  // Returns what was observed of this start, outside slow periods; zeros until
  // there are enough observations, and without reports.
  Speed Observed() const;
  // Returns how many times slower than usual the engine is now; 1 if it is not
  // in a slow period.
  double Slowdown(kernel::TimePoint now) const;
  // Returns by how much a slow period delays `work`, which takes that long
  // outside of slow periods.
  kernel::Duration SlowDelay(kernel::Duration work,
                             kernel::TimePoint now) const;

 private:
  // A mean in which the first observations have more weight.
  struct Mean {
    double value = 0;
    double weight = 0;      // Of the value, in observations.
    uint32_t observed = 0;  // Without the prior.

    void Add(double sample, double least_weight);
  };
  // A part of recent work, of which the usual time is known.
  struct Sample {
    kernel::TimePoint at{};
    double ms = 0;
    double expected_ms = 0;  // 0 if unknown.
    double value = 0;        // Of the mean; 0 if it shows none.
    Mean* mean = nullptr;
    bool is_slow = false;
  };

  void Add(Sample sample);
  // Takes samples that are no longer recent into their means.
  void Learn(kernel::TimePoint now);
  void UpdateSlowdown(kernel::TimePoint now);

  const double assumed_prefill_tokens_per_ms_;
  Mean prefill_;
  Mean event_;
  bool has_prior_ = false;
  bool has_reports_ = false;
  EngineReport last_report_;
  kernel::TimePoint last_report_at_{};
  std::deque<Sample> recent_;
  double slowdown_ = 1;
  kernel::TimePoint slow_since_{};
};

}  // namespace jackdawshunt::routing

#endif  // JACKDAWSHUNT_ROUTING_UPSTREAM_SPEED_H_
