// Counters and latency histograms of the gateway role.
//
// Example:
//   gateway::Metrics metrics(server.registry());
//   metrics.CountAnswer("stream", 200, "forwarded");
//
// Not thread-safe.
#ifndef JACKDAWSHUNT_GATEWAY_METRICS_H_
#define JACKDAWSHUNT_GATEWAY_METRICS_H_

#include <string>
#include <string_view>

#include "jackdawshunt/kernel/clock.h"
#include "prometheus/counter.h"
#include "prometheus/family.h"
#include "prometheus/gauge.h"
#include "prometheus/histogram.h"
#include "prometheus/registry.h"

namespace jackdawshunt::gateway {

class Metrics {
 public:
  explicit Metrics(prometheus::Registry& registry);

  void CountAnswer(std::string_view route_kind,
                   int status,
                   std::string_view reason);
  void CountAttempt(std::string_view outcome);
  void ObserveFirstByte(std::string_view route_kind, kernel::Duration after);
  void ObserveTotal(std::string_view route_kind, kernel::Duration after);
  void SetGauge(const std::string& name, double value);

 private:
  prometheus::Histogram& HistogramFor(
      prometheus::Family<prometheus::Histogram>& family,
      std::string_view route_kind);

  prometheus::Family<prometheus::Counter>& answers_;
  prometheus::Family<prometheus::Counter>& attempts_;
  prometheus::Family<prometheus::Histogram>& first_byte_;
  prometheus::Family<prometheus::Histogram>& total_;
  prometheus::Family<prometheus::Gauge>& state_;
};

}  // namespace jackdawshunt::gateway

#endif  // JACKDAWSHUNT_GATEWAY_METRICS_H_
