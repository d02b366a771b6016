// Metrics of every process: processor time, memory, calls to the platform, and
// messages and bytes between processes, with control and data counted
// separately.
//
// Example:
//   operator_api::ProcessMetrics metrics(server.registry());
//   server.OnCollect([&] { metrics.Update(calls, store.revision()); });
#ifndef JACKDAWSHUNT_OPERATOR_API_PROCESS_METRICS_H_
#define JACKDAWSHUNT_OPERATOR_API_PROCESS_METRICS_H_

#include <cstdint>

#include "prometheus/family.h"
#include "prometheus/gauge.h"
#include "prometheus/registry.h"

namespace jackdawshunt::operator_api {

// Not thread-safe.
class ProcessMetrics {
 public:
  explicit ProcessMetrics(prometheus::Registry& registry);

  // Sets the metrics from the arguments, getrusage() and
  // protocol::ProcessTraffic().
  void Update(uint64_t platform_calls, uint64_t config_revision);

 private:
  prometheus::Gauge& cpu_seconds_;
  prometheus::Gauge& max_resident_bytes_;
  prometheus::Gauge& platform_calls_;
  prometheus::Gauge& config_revision_;
  prometheus::Family<prometheus::Gauge>& bytes_;
  prometheus::Family<prometheus::Gauge>& messages_;
};

}  // namespace jackdawshunt::operator_api

#endif  // JACKDAWSHUNT_OPERATOR_API_PROCESS_METRICS_H_
