// Counters, gauges and latency histograms of the gateway role.
//
// Example:
//   gateway::Metrics metrics(server.registry());
//   metrics.CountAnswer("stream", 200, "forwarded");
//
// Keeps the metric of each combination of labels, since prometheus-cpp looks
// one up by building a map of strings. Names of kinds, reasons and outcomes
// must outlive this object; they come from name tables.
//
// Not thread-safe.
#ifndef JACKDAWSHUNT_GATEWAY_METRICS_H_
#define JACKDAWSHUNT_GATEWAY_METRICS_H_

#include <string>
#include <string_view>
#include <tuple>

#include "absl/container/flat_hash_map.h"
#include "jackdawshunt/kernel/clock.h"
#include "prometheus/counter.h"
#include "prometheus/family.h"
#include "prometheus/gauge.h"
#include "prometheus/histogram.h"
#include "prometheus/registry.h"

namespace jackdawshunt::gateway {

class Metrics {
 public:
  // `registry` must outlive this object.
  explicit Metrics(prometheus::Registry& registry);

  // Counts an answer to a caller.
  void CountAnswer(std::string_view route_kind,
                   int status,
                   std::string_view reason);
  // Counts an attempt at an upstream.
  void CountAttempt(std::string_view outcome);
  // Counts an attempt whose connection was lost, before or after the first
  // event of its answer.
  void CountLoss(std::string_view loss, bool has_begun);
  // Counts a started stream that was to be continued: `by` the gateway in the
  // same answer, or the caller with another request. `result` is "sent" or the
  // reason why it was not.
  void CountResumption(std::string_view by, std::string_view result);
  // Counts an answer that changed the state of its upstream: "leaving",
  // "held_back", "limited" or "unlimited".
  void CountUpstreamState(std::string_view state);
  // Counts an answer that may hold bytes of another one: "unframed", with
  // neither length nor chunks; "skipped", to another request; or ended before
  // "other_answer" or an event against the "event_order".
  void CountIrregularAnswer(std::string_view kind);
  // Records the time of a lookup of a stream's origin.
  void ObserveOriginLookup(kernel::Duration time);
  // Records the time from a request to the first byte of its answer.
  void ObserveFirstByte(std::string_view route_kind, kernel::Duration latency);
  // Records the time from a request to the end of its answer.
  void ObserveTotal(std::string_view route_kind, kernel::Duration latency);
  // Sets the gauge jackdawshunt_gateway_state whose label "name" is `name`.
  void SetGauge(const std::string& name, double value);

 private:
  struct LatencyMetric {
    prometheus::Family<prometheus::Histogram>& family;
    // By the kind of route.
    absl::flat_hash_map<std::string_view, prometheus::Histogram*> histograms;
  };

  static void Observe(LatencyMetric& metric,
                      std::string_view route_kind,
                      kernel::Duration latency);

  prometheus::Family<prometheus::Counter>& answers_;
  prometheus::Family<prometheus::Counter>& attempts_;
  prometheus::Family<prometheus::Counter>& losses_;
  prometheus::Family<prometheus::Counter>& resumptions_;
  prometheus::Family<prometheus::Counter>& upstream_states_;
  prometheus::Family<prometheus::Counter>& irregular_answers_;
  LatencyMetric first_byte_;
  LatencyMetric total_;
  prometheus::Histogram& origin_lookup_;
  prometheus::Family<prometheus::Gauge>& state_;
  // By the kind of route, the status and the reason.
  absl::flat_hash_map<std::tuple<std::string_view, int, std::string_view>,
                      prometheus::Counter*>
      answer_counters_;
  // By the outcome.
  absl::flat_hash_map<std::string_view, prometheus::Counter*> attempt_counters_;
};

}  // namespace jackdawshunt::gateway

#endif  // JACKDAWSHUNT_GATEWAY_METRICS_H_
