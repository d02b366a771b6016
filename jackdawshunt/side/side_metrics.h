// Publishes the metrics of a side's dispatcher on its operator port.
//
// Example:
//   side::SideMetrics metrics(server.registry());
//   server.OnCollect([&] { metrics.Update(dispatcher); });
//
// Not thread-safe.
#ifndef JACKDAWSHUNT_SIDE_SIDE_METRICS_H_
#define JACKDAWSHUNT_SIDE_SIDE_METRICS_H_

#include "jackdawshunt/side/dispatcher.h"
#include "prometheus/family.h"
#include "prometheus/gauge.h"
#include "prometheus/registry.h"

namespace jackdawshunt::side {

class SideMetrics {
 public:
  // `registry` must outlive the metrics.
  explicit SideMetrics(prometheus::Registry& registry);

  // Sets all metrics from the dispatcher's current state.
  void Update(Dispatcher& dispatcher);

 private:
  prometheus::Family<prometheus::Gauge>& events_;
  prometheus::Family<prometheus::Gauge>& slot_seconds_;
  prometheus::Family<prometheus::Gauge>& slots_;
};

}  // namespace jackdawshunt::side

#endif  // JACKDAWSHUNT_SIDE_SIDE_METRICS_H_
