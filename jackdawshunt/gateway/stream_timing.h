// Measures why a stream is late: because its first event is, or because it
// pauses between events.
//
// Example:
//   gateway::StreamTiming timing(arrived_at);
//   timing.OnEvents(now);
//   timing.AddTo(line, route.latency_objective, route.longest_gap, now);
//
// Not thread-safe.
#ifndef JACKDAWSHUNT_GATEWAY_STREAM_TIMING_H_
#define JACKDAWSHUNT_GATEWAY_STREAM_TIMING_H_

#include <optional>
#include <string_view>

#include "jackdawshunt/base/log_line.h"
#include "jackdawshunt/kernel/clock.h"

namespace jackdawshunt::gateway {

enum class Lateness { kNone, kFirstEvent, kPause, kFirstEventAndPause };
std::string_view LatenessName(Lateness lateness);

// Measures one stream over all its attempts: a pause while another upstream
// resumes it counts like any other.
class StreamTiming {
 public:
  explicit StreamTiming(kernel::TimePoint arrived_at)
      : arrived_at_(arrived_at) {}

  // Records that one or more whole events arrived.
  void OnEvents(kernel::TimePoint now) {
    if (!first_event_.has_value()) {
      first_event_ = now - arrived_at_;
    } else if (now - last_event_at_ > longest_pause_) {
      longest_pause_ = now - last_event_at_;
      pause_ended_at_ = now;
    }
    last_event_at_ = now;
  }

  // Returns the time from the request's arrival to the first event, if there
  // was one.
  std::optional<kernel::Duration> first_event() const { return first_event_; }
  // Returns the longest time between two events, or from the last one to `now`;
  // zero before the first event.
  kernel::Duration LongestPause(kernel::TimePoint now) const;
  // Returns why a stream that ends now is late. Limits of zero do not apply. A
  // stream without events is late if `first_event_limit` has passed.
  Lateness LatenessOf(kernel::Duration first_event_limit,
                      kernel::Duration pause_limit,
                      kernel::TimePoint now) const;
  // Adds the times and the lateness of a stream that ends now to its log line,
  // in milliseconds: first_event_ms (absent without events), pause_ms,
  // pause_ended_ms (after the request's arrival) and late.
  void AddTo(base::LogLine& line,
             kernel::Duration first_event_limit,
             kernel::Duration pause_limit,
             kernel::TimePoint now) const;

 private:
  bool PausesUntil(kernel::TimePoint now) const {
    return first_event_.has_value() && now - last_event_at_ > longest_pause_;
  }

  const kernel::TimePoint arrived_at_;
  std::optional<kernel::Duration> first_event_;
  kernel::TimePoint last_event_at_{};
  kernel::Duration longest_pause_{};
  kernel::TimePoint pause_ended_at_{};
};

}  // namespace jackdawshunt::gateway

#endif  // JACKDAWSHUNT_GATEWAY_STREAM_TIMING_H_
