#include "jackdawshunt/routing/prefill_interference.h"

#include <algorithm>

namespace jackdawshunt::routing {

kernel::Duration DelayOfRunning(const EngineCost& cost,
                                uint32_t slots,
                                const PrefillInterferenceSettings& settings) {
  if (!settings.is_enabled || slots == 0) {
    return kernel::Duration::zero();
  }
  const double used =
      std::min(1.0, static_cast<double>(cost.running_requests) / slots);
  return kernel::Duration(
      static_cast<int64_t>(settings.delay_factor * used *
                           static_cast<double>(cost.prefill_time.count())));
}

bool ShouldCompareFurther(const EngineCost& cost,
                          const PrefillInterferenceSettings& settings) {
  return settings.is_enabled && cost.paced_wait() > settings.compared_wait;
}

}  // namespace jackdawshunt::routing
