#include "jackdawshunt/routing/idle_limits.h"

#include <algorithm>

namespace jackdawshunt::routing {
namespace {

// Reuses after long idle times that show that a service keeps connections.
constexpr uint32_t kConvincingReuses = 20;
// Part of the idle time of a loss that is still accepted, as a divisor.
constexpr int kLossDivisor = 2;
// A loss may have had another cause, or end with a release of the upstreams.
constexpr kernel::Duration kLossMemory = std::chrono::seconds(60);

}  // namespace

void IdleLimits::OnReused(std::string_view service,
                          kernel::Duration idle,
                          bool was_lost,
                          kernel::TimePoint now) {
  const auto found = services_.find(service);
  State& state = found != services_.end() ? found->second
                                          : services_[std::string(service)];
  if (!was_lost) {
    state.long_reuses += idle > kInitial ? 1 : 0;
    return;
  }
  const bool is_recent = now - state.lost_at <= kLossMemory;
  state.shortest_loss = is_recent ? std::min(state.shortest_loss, idle) : idle;
  state.lost_at = now;
  state.long_reuses = 0;
}

kernel::Duration IdleLimits::MaxIdle(std::string_view service,
                                     kernel::TimePoint now) const {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return kInitial;
  }
  const State& state = found->second;
  if (state.shortest_loss != kernel::Duration::max() &&
      now - state.lost_at <= kLossMemory) {
    return std::min(state.shortest_loss / kLossDivisor, kInitial);
  }
  return state.long_reuses >= kConvincingReuses ? kLongest : kInitial;
}

}  // namespace jackdawshunt::routing
