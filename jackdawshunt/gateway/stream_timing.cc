#include "jackdawshunt/gateway/stream_timing.h"

#include <algorithm>
#include <array>
#include <cstdint>

namespace jackdawshunt::gateway {
namespace {

constexpr std::array<std::string_view, 4> kLatenessNames = {
    "no", "first_event", "pause", "first_event_and_pause"};

int64_t ToWholeMs(kernel::Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace

std::string_view LatenessName(Lateness lateness) {
  return kLatenessNames.at(static_cast<size_t>(lateness));
}

kernel::Duration StreamTiming::LongestPause(kernel::TimePoint now) const {
  return PausesUntil(now) ? now - last_event_at_ : longest_pause_;
}

Lateness StreamTiming::LatenessOf(kernel::Duration first_event_limit,
                                  kernel::Duration pause_limit,
                                  kernel::TimePoint now) const {
  const bool is_first_late =
      first_event_limit > kernel::Duration::zero() &&
      first_event_.value_or(now - arrived_at_) > first_event_limit;
  const bool is_paused =
      pause_limit > kernel::Duration::zero() && LongestPause(now) > pause_limit;
  if (is_first_late) {
    return is_paused ? Lateness::kFirstEventAndPause : Lateness::kFirstEvent;
  }
  return is_paused ? Lateness::kPause : Lateness::kNone;
}

void StreamTiming::AddTo(base::LogLine& line,
                         kernel::Duration first_event_limit,
                         kernel::Duration pause_limit,
                         kernel::TimePoint now) const {
  if (first_event_.has_value()) {
    const kernel::TimePoint ended_at =
        PausesUntil(now) ? now : std::max(pause_ended_at_, arrived_at_);
    line.Add("first_event_ms", ToWholeMs(*first_event_))
        .Add("pause_ms", ToWholeMs(LongestPause(now)))
        .Add("pause_ended_ms", ToWholeMs(ended_at - arrived_at_));
  }
  line.Add("late",
           LatenessName(LatenessOf(first_event_limit, pause_limit, now)));
}

}  // namespace jackdawshunt::gateway
