#include "jackdawshunt/routing/engine_estimate.h"

#include <algorithm>
#include <utility>

namespace jackdawshunt::routing {
namespace {

// Fixed time per prompt, independent of its tokens: setup and one batch step.
constexpr kernel::Duration kPromptOverhead = std::chrono::milliseconds(15);
// Weight of one observation in the estimated prefill rate.
constexpr double kObservationWeight = 0.08;
// The prefill rate is not updated from prompts with fewer uncached tokens,
// whose time depends little on the rate.
constexpr uint64_t kMinObservedTokens = 1500;
// Each observed rate is limited to these factors of the initial rate.
constexpr double kMinRateFactor = 0.1;
constexpr double kMaxRateFactor = 3.0;
// Fraction of its prefill rate at which an engine can work all the time without
// cutting its streams off.
constexpr double kSustainedPrefillFraction = 0.87;
// Fraction of the engine's cache that cached parts and running requests fill
// before the least recently used parts count as evicted.
constexpr double kUsableCacheFraction = 0.9;
// Fraction of the error in an expected end of prefill that is carried over to
// the prompts behind it.
constexpr double kCarriedErrorFraction = 0.7;

// Prefill is in order, so a waiting request is assumed to have ended without a
// report when one that was claimed more than this time later starts first.
constexpr kernel::Duration kOvertakenAfter = std::chrono::milliseconds(800);
// A prompt that waits this much longer than expected counts as lost and no
// longer delays others.
constexpr kernel::Duration kLostAfter = std::chrono::seconds(4);
// Longer idle times are reported as this.
constexpr kernel::Duration kMaxIdleTime = std::chrono::seconds(10);

// Reports are read every 100 ms. An older one says nothing of the present.
constexpr kernel::Duration kReportValidity = std::chrono::milliseconds(500);
// A claim may arrive before its request reaches the engine.
constexpr kernel::Duration kSettleTime = std::chrono::milliseconds(100);
// The first event of a claim may be reported this much later than it was made.
constexpr kernel::Duration kUnheldAfter = std::chrono::milliseconds(300);
// Weight of one claim in the mean of uncached tokens.
constexpr double kMeanTokensWeight = 0.05;
// Weight of the time between two reports in the rate of releases.
constexpr double kReleaseWeight = 0.2;
// Bounds the wait for a slot while no request ends.
constexpr double kMinReleasesPerSecond = 1.0;

double ToMs(kernel::Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

kernel::Duration FromMs(double ms) {
  return std::chrono::duration_cast<kernel::Duration>(
      std::chrono::duration<double, std::milli>(ms));
}

}  // namespace

EngineEstimate::EngineEstimate(EngineProfile profile,
                               double prefill_tokens_per_ms)
    : profile_(profile),
      initial_prefill_tokens_per_ms_(prefill_tokens_per_ms),
      prefill_tokens_per_ms_(prefill_tokens_per_ms) {}

kernel::Duration EngineEstimate::PrefillTime(uint64_t tokens) const {
  return kPromptOverhead +
         FromMs(static_cast<double>(tokens) / prefill_tokens_per_ms_);
}

kernel::Duration EngineEstimate::PaceTime(uint64_t uncached_tokens,
                                          uint32_t output_tokens) const {
  if (sustained_tokens_per_ms_ <= 0) {
    return kernel::Duration::zero();
  }
  const double rate =
      std::max(sustained_tokens_per_ms_,
               kSustainedPrefillFraction * prefill_tokens_per_ms_);
  return FromMs(
      static_cast<double>(uncached_tokens + uint64_t{2} * output_tokens) /
      rate);
}

EngineCost EngineEstimate::Estimate(const std::vector<uint64_t>& keys,
                                    const std::vector<PromptPart>& parts,
                                    kernel::TimePoint now) const {
  EngineCost cost;
  bool is_cached = true;
  for (size_t i = 0; i < parts.size(); ++i) {
    is_cached = is_cached && parts_.contains(keys[i]);
    if (!is_cached) {
      cost.uncached_tokens += parts[i].tokens;
      if (i + 1 < parts.size()) {
        cost.uncached_shared_tokens += parts[i].tokens;
      }
    }
  }
  cost.prefill_time = PrefillTime(cost.uncached_tokens);
  cost.wait = std::max(busy_until_ - now, kernel::Duration::zero());
  cost.ahead_of_pace = std::max(paced_until_ - now, kernel::Duration::zero());
  cost.idle_time = std::clamp(now - std::max(busy_until_, paced_until_),
                              kernel::Duration::zero(), kMaxIdleTime);
  if (!waiting_.empty()) {
    // A prompt whose prefill is overdue delays the ones behind it.
    const RunningClaim& oldest = claims_.at(waiting_.front());
    cost.wait +=
        std::max(now - oldest.expected_prefill_end, kernel::Duration::zero());
  }
  if (HasFreshReport(now)) {
    const kernel::Duration unclaimed =
        std::max(reported_.unclaimed_time - (now - reported_.at),
                 kernel::Duration::zero());
    cost.wait = std::max(cost.wait + unclaimed, TimeToSlot(now));
    if (reported_.unclaimed > 0 || reported_.is_full) {
      cost.idle_time = kernel::Duration::zero();
    }
  }
  return cost;
}

bool EngineEstimate::HasFreshReport(kernel::TimePoint now) const {
  return now - reported_.at <= kReportValidity;
}

bool EngineEstimate::IsFull(const EngineReport& report) const {
  const bool has_memory =
      report.cache_tokens == 0 || report.next_prompt_tokens == 0 ||
      report.unevictable_tokens + report.next_prompt_tokens <=
          report.cache_tokens;
  const bool has_slot = slots_ == 0 || report.running < slots_;
  return report.waiting > 0 && (!has_memory || !has_slot);
}

kernel::Duration EngineEstimate::TimeToSlot(kernel::TimePoint now) const {
  if (!reported_.is_full || releases_per_s_ <= 0) {
    return kernel::Duration::zero();
  }
  const auto releases =
      static_cast<double>(reported_.waiting + claims_since_report_ + 1);
  const kernel::Duration time = FromMs(
      1000 * releases / std::max(releases_per_s_, kMinReleasesPerSecond));
  return std::max(time - (now - reported_.at), kernel::Duration::zero());
}

void EngineEstimate::ObserveReleases(const Reported& current) {
  const kernel::Duration time = current.at - reported_.at;
  if (!reported_.is_full || time <= kernel::Duration::zero() ||
      time > kReportValidity) {
    return;
  }
  const auto ended = static_cast<double>(std::count_if(
      reported_.runs.begin(), reported_.runs.end(), [&](uint64_t request) {
        return !std::binary_search(current.runs.begin(), current.runs.end(),
                                   request);
      }));
  const double rate = 1000 * ended / ToMs(time);
  releases_per_s_ +=
      releases_per_s_ <= 0 ? rate : kReleaseWeight * (rate - releases_per_s_);
}

void EngineEstimate::OnReport(const EngineReport& report,
                              kernel::TimePoint now) {
  Reported current{
      .at = now, .waiting = report.waiting, .is_full = IsFull(report)};
  size_t held = report.waiting;  // Without a first event.
  for (const EngineRun& run : report.runs) {
    held += run.events == 0 ? 1 : 0;
    current.runs.push_back(run.request);
  }
  std::sort(current.runs.begin(), current.runs.end());
  ObserveReleases(current);
  ReleaseUnheld(held, now);
  if (held > waiting_.size()) {
    current.unclaimed = held - waiting_.size();
    const double tokens = mean_uncached_tokens_ > 0
                              ? mean_uncached_tokens_
                              : static_cast<double>(report.next_prompt_tokens);
    current.unclaimed_time =
        PrefillTime(static_cast<uint64_t>(tokens)) *
        static_cast<kernel::Duration::rep>(current.unclaimed);
    last_unclaimed_at_ = now;
  }
  reported_ = std::move(current);
  claims_since_report_ = 0;
}

void EngineEstimate::ReleaseUnheld(size_t held, kernel::TimePoint now) {
  const auto settled = static_cast<size_t>(std::count_if(
      waiting_.begin(), waiting_.end(), [&](const std::string& request) {
        return claims_.at(request).claimed_at + kSettleTime <= now;
      }));
  const size_t unheld = settled > held ? settled - held : 0;
  if (unheld == 0 || unheld_ == 0) {
    unheld_ = unheld;
    unheld_since_ = now;
    return;
  }
  unheld_ = std::min(unheld_, unheld);
  if (now - unheld_since_ < kUnheldAfter) {
    return;
  }
  // Prefill is in order, so those that the engine does not hold are the oldest.
  for (; unheld_ > 0; --unheld_) {
    RunningClaim& claim = claims_.at(waiting_.front());
    claim.has_started = true;
    const kernel::Duration saved =
        std::clamp(claim.expected_prefill_end - now, kernel::Duration::zero(),
                   PrefillTime(claim.uncached_tokens));
    waiting_.pop_front();
    MoveUp(waiting_.begin(), saved, now);
  }
  if (waiting_.empty()) {
    busy_until_ = std::min(busy_until_, now);
  }
}

void EngineEstimate::MoveUp(std::list<std::string>::iterator first,
                            kernel::Duration saved,
                            kernel::TimePoint now) {
  busy_until_ = std::max(now, busy_until_ - saved);
  for (auto other = first; other != waiting_.end(); ++other) {
    RunningClaim& later = claims_.at(*other);
    later.expected_prefill_end =
        std::max(now, later.expected_prefill_end - saved);
  }
}

void EngineEstimate::Claim(std::string_view request,
                           const std::vector<uint64_t>& keys,
                           const std::vector<PromptPart>& parts,
                           uint32_t output_tokens,
                           kernel::TimePoint now) {
  OnEnd(request, true, now);
  const EngineCost cost = Estimate(keys, parts, now);
  busy_until_ = std::max(busy_until_, now) + cost.prefill_time;
  paced_until_ = std::max(paced_until_, now) +
                 PaceTime(cost.uncached_tokens, output_tokens);
  RunningClaim claim;
  claim.keys = keys;
  claim.claimed_at = now;
  claim.expected_prefill_end = busy_until_;
  claim.uncached_tokens = cost.uncached_tokens;
  claim.output_tokens = output_tokens;
  waiting_.emplace_back(request);
  claim.waiting_position = std::prev(waiting_.end());
  for (size_t i = 0; i < parts.size(); ++i) {
    const auto [found, is_new] = parts_.try_emplace(keys[i]);
    Part& part = found->second;
    if (!is_new && claim.cached_parts == i) {
      ++claim.cached_parts;
    }
    if (is_new) {
      part.tokens = parts[i].tokens;
      cached_tokens_ += part.tokens;
    } else {
      recency_.erase(part.position);
    }
    recency_.push_front(keys[i]);
    part.position = recency_.begin();
    ++part.users;
  }
  output_tokens_ += output_tokens;
  ++claims_since_report_;
  const auto uncached_tokens = static_cast<double>(cost.uncached_tokens);
  mean_uncached_tokens_ +=
      mean_uncached_tokens_ <= 0
          ? uncached_tokens
          : kMeanTokensWeight * (uncached_tokens - mean_uncached_tokens_);
  claims_.emplace(request, std::move(claim));
  Evict();
}

void EngineEstimate::OnFirstEvent(std::string_view request,
                                  kernel::TimePoint now) {
  const auto found = claims_.find(std::string(request));
  if (found == claims_.end() || found->second.has_started) {
    return;
  }
  RunningClaim& claim = found->second;
  claim.has_started = true;
  ObservePrefill(claim, now);
  const kernel::Duration error = now - claim.expected_prefill_end;
  const bool is_last = std::next(claim.waiting_position) == waiting_.end();
  waiting_.erase(claim.waiting_position);
  last_first_event_ = now;
  while (!waiting_.empty() &&
         claim.claimed_at - claims_.at(waiting_.front()).claimed_at >
             kOvertakenAfter) {
    claims_.at(waiting_.front()).has_started = true;
    waiting_.pop_front();
  }
  if (waiting_.empty()) {
    busy_until_ = now;
    return;
  }
  if (is_last) {
    return;  // Overtook older prompts; their expected times stay.
  }
  const auto shift = std::chrono::duration_cast<kernel::Duration>(
      std::chrono::duration<double, std::micro>(
          kCarriedErrorFraction * static_cast<double>(error.count())));
  busy_until_ = std::max(now, busy_until_ + shift);
  for (const std::string& other : waiting_) {
    RunningClaim& later = claims_.at(other);
    later.expected_prefill_end =
        std::max(now, later.expected_prefill_end + shift);
  }
}

void EngineEstimate::ObservePrefill(const RunningClaim& claim,
                                    kernel::TimePoint now) {
  // A claim that waited for requests of others shows no rate.
  if (claim.uncached_tokens < kMinObservedTokens ||
      claim.claimed_at <= last_unclaimed_at_ + kReportValidity) {
    return;
  }
  const kernel::TimePoint began = std::max(claim.claimed_at, last_first_event_);
  const double ms = ToMs(now - began) - ToMs(kPromptOverhead);
  if (ms <= 1.0) {
    return;
  }
  const double observed =
      std::clamp(static_cast<double>(claim.uncached_tokens) / ms,
                 initial_prefill_tokens_per_ms_ * kMinRateFactor,
                 initial_prefill_tokens_per_ms_ * kMaxRateFactor);
  prefill_tokens_per_ms_ +=
      kObservationWeight * (observed - prefill_tokens_per_ms_);
}

void EngineEstimate::OnEnd(std::string_view request,
                           bool was_executed,
                           kernel::TimePoint now) {
  const auto found = claims_.find(std::string(request));
  if (found == claims_.end()) {
    return;
  }
  RunningClaim& claim = found->second;
  if (!claim.has_started) {
    // The prompts behind it move up by its prefill time.
    const kernel::Duration saved = PrefillTime(claim.uncached_tokens);
    paced_until_ -= PaceTime(claim.uncached_tokens, claim.output_tokens);
    MoveUp(std::next(claim.waiting_position), saved, now);
    waiting_.erase(claim.waiting_position);
  }
  const bool was_prefilled = was_executed || claim.has_started;
  for (size_t i = 0; i < claim.keys.size(); ++i) {
    const auto part = parts_.find(claim.keys[i]);
    if (part == parts_.end()) {
      continue;
    }
    part->second.users -= part->second.users > 0 ? 1 : 0;
    if (!was_prefilled && i >= claim.cached_parts && part->second.users == 0) {
      cached_tokens_ -= part->second.tokens;
      recency_.erase(part->second.position);
      parts_.erase(part);
    }
  }
  output_tokens_ -= claim.output_tokens;
  claims_.erase(found);
}

void EngineEstimate::Evict() {
  const auto usable = static_cast<uint64_t>(
      kUsableCacheFraction * static_cast<double>(profile_.cache_tokens));
  if (usable == 0) {
    return;
  }
  auto oldest = recency_.end();
  while (cached_tokens_ + output_tokens_ > usable &&
         oldest != recency_.begin()) {
    --oldest;
    const auto part = parts_.find(*oldest);
    if (part->second.users > 0) {
      continue;
    }
    cached_tokens_ -= part->second.tokens;
    parts_.erase(part);
    oldest = recency_.erase(oldest);
  }
}

void EngineEstimate::Clear() {
  claims_.clear();
  waiting_.clear();
  parts_.clear();
  recency_.clear();
  cached_tokens_ = 0;
  output_tokens_ = 0;
  busy_until_ = {};
  paced_until_ = {};
  last_first_event_ = {};
  reported_ = {};
  last_unclaimed_at_ = {};
  claims_since_report_ = 0;
  releases_per_s_ = 0;
  unheld_ = 0;
}

void EngineEstimate::DropExpired(kernel::Duration age, kernel::TimePoint now) {
  std::vector<std::string> expired;
  for (const auto& [request, claim] : claims_) {
    const bool is_lost =
        !claim.has_started && now - claim.expected_prefill_end > kLostAfter;
    if (now - claim.claimed_at > age || is_lost) {
      expired.push_back(request);
    }
  }
  for (const std::string& request : expired) {
    OnEnd(request, true, now);
  }
}

}  // namespace jackdawshunt::routing
