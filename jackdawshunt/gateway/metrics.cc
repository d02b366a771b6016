#include "jackdawshunt/gateway/metrics.h"

namespace jackdawshunt::gateway {
namespace {

// Upper bounds in seconds, around the latency objectives of the routes.
const prometheus::Histogram::BucketBoundaries& LatencyBounds() {
  static const prometheus::Histogram::BucketBoundaries bounds = {
      0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3,
      0.45,  0.6,  0.8,   1.0,  1.2, 2.0,  4.0, 8.0};
  return bounds;
}

double ToSeconds(kernel::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

Metrics::Metrics(prometheus::Registry& registry)
    : answers_(prometheus::BuildCounter()
                   .Name("jackdawshunt_gateway_answers_total")
                   .Help("Answers given to callers.")
                   .Register(registry)),
      attempts_(prometheus::BuildCounter()
                    .Name("jackdawshunt_gateway_attempts_total")
                    .Help("Requests sent to upstreams, by outcome.")
                    .Register(registry)),
      losses_(prometheus::BuildCounter()
                  .Name("jackdawshunt_gateway_losses_total")
                  .Help("Attempts whose connection was lost.")
                  .Register(registry)),
      resumptions_(prometheus::BuildCounter()
                       .Name("jackdawshunt_gateway_resumptions_total")
                       .Help("Started streams that were to be continued.")
                       .Register(registry)),
      upstream_states_(prometheus::BuildCounter()
                           .Name("jackdawshunt_gateway_upstream_states_total")
                           .Help("Answers by which an upstream said that it "
                                 "leaves or wants no requests.")
                           .Register(registry)),
      irregular_answers_(
          prometheus::BuildCounter()
              .Name("jackdawshunt_gateway_irregular_answers_total")
              .Help("Answers of upstreams that may hold bytes of another one.")
              .Register(registry)),
      first_byte_{prometheus::BuildHistogram()
                      .Name("jackdawshunt_gateway_first_byte_seconds")
                      .Help("From the request to the first byte of its answer.")
                      .Register(registry),
                  {}},
      total_{prometheus::BuildHistogram()
                 .Name("jackdawshunt_gateway_answer_seconds")
                 .Help("From the request to the end of its answer.")
                 .Register(registry),
             {}},
      origin_lookup_(
          prometheus::BuildHistogram()
              .Name("jackdawshunt_gateway_origin_lookup_seconds")
              .Help("Time to find the software version of a resumed stream.")
              .Register(registry)
              .Add({},
                   prometheus::Histogram::BucketBoundaries{
                       0.001, 0.005, 0.01, 0.02, 0.04, 0.08, 0.16})),
      state_(prometheus::BuildGauge()
                 .Name("jackdawshunt_gateway_state")
                 .Help("What the process holds and believes.")
                 .Register(registry)) {}

void Metrics::CountAnswer(std::string_view route_kind,
                          int status,
                          std::string_view reason) {
  prometheus::Counter*& counter =
      answer_counters_[{route_kind, status, reason}];
  if (counter == nullptr) {
    counter = &answers_.Add({{"kind", std::string(route_kind)},
                             {"status", std::to_string(status)},
                             {"reason", std::string(reason)}});
  }
  counter->Increment();
}

void Metrics::CountAttempt(std::string_view outcome) {
  prometheus::Counter*& counter = attempt_counters_[outcome];
  if (counter == nullptr) {
    counter = &attempts_.Add({{"outcome", std::string(outcome)}});
  }
  counter->Increment();
}

void Metrics::CountLoss(std::string_view loss, bool has_begun) {
  losses_
      .Add({{"loss", std::string(loss)},
            {"begun", has_begun ? "true" : "false"}})
      .Increment();
}

void Metrics::CountResumption(std::string_view by, std::string_view result) {
  resumptions_.Add({{"by", std::string(by)}, {"result", std::string(result)}})
      .Increment();
}

void Metrics::CountUpstreamState(std::string_view state) {
  upstream_states_.Add({{"state", std::string(state)}}).Increment();
}

void Metrics::CountIrregularAnswer(std::string_view kind) {
  irregular_answers_.Add({{"kind", std::string(kind)}}).Increment();
}

void Metrics::ObserveOriginLookup(kernel::Duration time) {
  origin_lookup_.Observe(ToSeconds(time));
}

void Metrics::Observe(LatencyMetric& metric,
                      std::string_view route_kind,
                      kernel::Duration latency) {
  prometheus::Histogram*& histogram = metric.histograms[route_kind];
  if (histogram == nullptr) {
    histogram = &metric.family.Add({{"kind", std::string(route_kind)}},
                                   LatencyBounds());
  }
  histogram->Observe(ToSeconds(latency));
}

void Metrics::ObserveFirstByte(std::string_view route_kind,
                               kernel::Duration latency) {
  Observe(first_byte_, route_kind, latency);
}

void Metrics::ObserveTotal(std::string_view route_kind,
                           kernel::Duration latency) {
  Observe(total_, route_kind, latency);
}

void Metrics::SetGauge(const std::string& name, double value) {
  state_.Add({{"name", name}}).Set(value);
}

}  // namespace jackdawshunt::gateway
