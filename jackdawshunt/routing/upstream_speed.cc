#include "jackdawshunt/routing/upstream_speed.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <unordered_map>

namespace jackdawshunt::routing {
namespace {

// Least weight of one observation in the mean of prefill rates and of times per
// event.
constexpr double kPrefillWeight = 0.08;
constexpr double kEventWeight = 0.02;
// Weight of a prior, in observations.
constexpr double kPriorWeight = 8;
// Observations before a mean is stated to others.
constexpr uint32_t kMinObservations = 5;
// Observed prefill rates are limited to these factors of the assumed one. The
// upper factor is larger where reports tell waits from prefills.
constexpr double kMinRateFactor = 0.1;
constexpr double kMaxRateFactor = 3.0;
constexpr double kMaxRateFactorWithReports = 10.0;
// Time over which the speed now is measured, and after which samples are
// learned.
constexpr kernel::Duration kRecentTime = std::chrono::milliseconds(200);
// The engine counts as slow from the first of these factors on, until it is
// below the second one. Slow periods are 2.5 times slower.
constexpr double kSlowFrom = 1.6;
constexpr double kSlowUntil = 1.4;
// Limits the factor of one sample, so that a prefill of a part that was wrongly
// taken for cached does not outweigh the others.
constexpr double kMaxSlowdown = 3.5;
constexpr size_t kMinSlowSamples = 2;
// Expected length of a slow period, and the least remainder of one that lasts
// longer.
constexpr kernel::Duration kSlowPeriod = std::chrono::milliseconds(600);
constexpr kernel::Duration kMinSlowRemainder = std::chrono::milliseconds(100);
// What lasts longer is no slow period, but the speed of the engine.
constexpr kernel::Duration kMaxSlowPeriod = std::chrono::seconds(3);
constexpr kernel::Duration kMaxReportGap = std::chrono::milliseconds(500);

double ToMs(kernel::Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

kernel::Duration FromMs(double ms) {
  return std::chrono::duration_cast<kernel::Duration>(
      std::chrono::duration<double, std::milli>(ms));
}

bool Prefills(const EngineReport& report) {
  return report.waiting > 0 ||
         std::any_of(report.runs.begin(), report.runs.end(),
                     [](const EngineRun& run) { return run.events == 0; });
}

// Returns the events of a stream between two reports; nullopt if nothing ran or
// a prompt may have been prefilled in between, which delays all streams.
std::optional<uint32_t> EventsBetween(const EngineReport& before,
                                      const EngineReport& after) {
  if (before.runs.empty() || after.runs.empty() || Prefills(before) ||
      Prefills(after)) {
    return std::nullopt;
  }
  std::unordered_map<uint64_t, uint32_t> events;
  for (const EngineRun& run : before.runs) {
    events[run.request] = run.events;
  }
  uint32_t most = 0;
  for (const EngineRun& run : after.runs) {
    const auto found = events.find(run.request);
    if (found == events.end() || run.events < found->second) {
      return std::nullopt;
    }
    most = std::max(most, run.events - found->second);
  }
  return most;
}

}  // namespace

void UpstreamSpeed::Mean::Add(double sample, double least_weight) {
  weight += 1;
  ++observed;
  value += std::max(least_weight, 1 / weight) * (sample - value);
}

UpstreamSpeed::UpstreamSpeed(double assumed_prefill_tokens_per_ms)
    : assumed_prefill_tokens_per_ms_(assumed_prefill_tokens_per_ms) {
  prefill_.value = assumed_prefill_tokens_per_ms;
}

void UpstreamSpeed::set_prior(const Speed& prior) {
  if (has_prior_) {
    return;
  }
  const auto apply = [this](double value, Mean& mean) {
    if (value > 0 && mean.observed == 0) {
      mean.value = value;
      mean.weight = kPriorWeight;
      has_prior_ = true;
    }
  };
  apply(prior.prefill_tokens_per_ms, prefill_);
  apply(prior.event_ms, event_);
}

void UpstreamSpeed::OnPrefill(uint64_t tokens,
                              double ms,
                              kernel::TimePoint now) {
  const double max_factor =
      has_reports_ ? kMaxRateFactorWithReports : kMaxRateFactor;
  const double rate =
      std::clamp(static_cast<double>(tokens) / ms,
                 assumed_prefill_tokens_per_ms_ * kMinRateFactor,
                 assumed_prefill_tokens_per_ms_ * max_factor);
  if (!has_reports_) {
    prefill_.value += kPrefillWeight * (rate - prefill_.value);
    return;
  }
  Add({.at = now,
       .ms = ms,
       .expected_ms = prefill_.weight > 0
                          ? static_cast<double>(tokens) / prefill_.value
                          : 0,
       .value = rate,
       .mean = &prefill_});
}

void UpstreamSpeed::OnReport(const EngineReport& report,
                             kernel::TimePoint now) {
  const kernel::Duration time = now - last_report_at_;
  if (has_reports_ && time > kernel::Duration::zero() &&
      time <= kMaxReportGap) {
    if (const auto events = EventsBetween(last_report_, report)) {
      const double ms = ToMs(time);
      // Without an event the engine is at least as slow as can be told.
      const double expected_ms =
          *events > 0 ? *events * event_.value : ms / kMaxSlowdown;
      Add({.at = now,
           .ms = ms,
           .expected_ms = event_.weight > 0 ? expected_ms : 0,
           .value = *events > 0 ? ms / *events : 0,
           .mean = &event_});
    }
  }
  has_reports_ = true;
  last_report_ = report;
  last_report_at_ = now;
  Learn(now);
  UpdateSlowdown(now);
}

void UpstreamSpeed::Add(Sample sample) {
  sample.expected_ms =
      std::max(sample.expected_ms,
               sample.expected_ms > 0 ? sample.ms / kMaxSlowdown : 0);
  recent_.push_back(sample);
  Learn(sample.at);
  UpdateSlowdown(sample.at);
}

void UpstreamSpeed::Learn(kernel::TimePoint now) {
  while (!recent_.empty() && (now - recent_.front().at > kRecentTime ||
                              recent_.front().mean->weight == 0)) {
    const Sample& sample = recent_.front();
    if (!sample.is_slow && sample.value > 0) {
      sample.mean->Add(sample.value, sample.mean == &prefill_ ? kPrefillWeight
                                                              : kEventWeight);
    }
    recent_.pop_front();
  }
}

void UpstreamSpeed::UpdateSlowdown(kernel::TimePoint now) {
  double ms = 0;
  double expected_ms = 0;
  size_t samples = 0;
  for (const Sample& sample : recent_) {
    if (sample.expected_ms > 0) {
      ms += sample.ms;
      expected_ms += sample.expected_ms;
      ++samples;
    }
  }
  const double factor = expected_ms > 0 ? ms / expected_ms : 1;
  const bool was_slow = slowdown_ > 1;
  if (factor < (was_slow ? kSlowUntil : kSlowFrom) ||
      (!was_slow && samples < kMinSlowSamples)) {
    slowdown_ = 1;
    return;
  }
  if (!was_slow) {
    slow_since_ = recent_.front().at;
  }
  slowdown_ = std::min(factor, kMaxSlowdown);
  if (now - slow_since_ > kMaxSlowPeriod) {
    prefill_.weight = 0;
    event_.weight = 0;
    slowdown_ = 1;
    recent_.clear();
    return;
  }
  for (Sample& sample : recent_) {
    sample.is_slow = true;
  }
}

Speed UpstreamSpeed::Observed() const {
  const auto value = [this](const Mean& mean) {
    return has_reports_ && mean.observed >= kMinObservations ? mean.value : 0;
  };
  return {.prefill_tokens_per_ms = value(prefill_), .event_ms = value(event_)};
}

double UpstreamSpeed::Slowdown(kernel::TimePoint now) const {
  return recent_.empty() || now - recent_.back().at > kRecentTime ? 1
                                                                  : slowdown_;
}

kernel::Duration UpstreamSpeed::SlowDelay(kernel::Duration work,
                                          kernel::TimePoint now) const {
  const double factor = Slowdown(now);
  if (factor <= 1) {
    return kernel::Duration::zero();
  }
  const kernel::Duration remainder =
      std::max(kSlowPeriod - (now - slow_since_), kMinSlowRemainder);
  return FromMs(
      std::min(ToMs(work) * (factor - 1), ToMs(remainder) * (1 - 1 / factor)));
}

}  // namespace jackdawshunt::routing
