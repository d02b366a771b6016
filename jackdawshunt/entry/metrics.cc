#include "jackdawshunt/entry/metrics.h"

namespace jackdawshunt::entry {
namespace {

double Seconds(kernel::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Bounds in seconds, from the first token of a local model to the default wait
// limit.
const prometheus::Histogram::BucketBoundaries& SecondBuckets() {
  static const prometheus::Histogram::BucketBoundaries buckets = {
      0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30};
  return buckets;
}

prometheus::Gauge& AddGauge(prometheus::Registry& registry,
                            const std::string& name,
                            const std::string& help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add(
      {});
}

}  // namespace

Metrics::Metrics(prometheus::Registry& registry)
    : outcomes_(prometheus::BuildCounter()
                    .Name("jackdawshunt_requests_total")
                    .Help("Requests answered, by outcome.")
                    .Register(registry)),
      routing_decisions_(prometheus::BuildCounter()
                             .Name("jackdawshunt_routing_decisions_total")
                             .Help("Starts sent to sides.")
                             .Register(registry)
                             .Add({})),
      waiting_(AddGauge(registry,
                        "jackdawshunt_requests_waiting",
                        "Requests in the queue.")),
      running_(AddGauge(registry,
                        "jackdawshunt_requests_running",
                        "Requests sent to a side and not ended.")),
      rejected_records_(AddGauge(registry,
                                 "jackdawshunt_config_rejected_records",
                                 "Records whose newest version is not valid.")),
      first_token_(prometheus::BuildHistogram()
                       .Name("jackdawshunt_first_token_seconds")
                       .Help("Time from the request to its first token.")
                       .Register(registry)
                       .Add({}, SecondBuckets())),
      queue_wait_(prometheus::BuildHistogram()
                      .Name("jackdawshunt_queue_wait_seconds")
                      .Help("Time in the queue, by class.")
                      .Register(registry)) {}

void Metrics::CountOutcome(std::string_view outcome) {
  outcomes_.Add({{"outcome", std::string(outcome)}}).Increment();
}

void Metrics::ObserveFirstToken(kernel::Duration since_submit) {
  first_token_.Observe(Seconds(since_submit));
}

void Metrics::ObserveQueueWait(protocol::RequestClass request_class,
                               kernel::Duration wait) {
  queue_wait_
      .Add({{"class", std::string(protocol::RequestClassName(request_class))}},
           SecondBuckets())
      .Observe(Seconds(wait));
}

void Metrics::CountSentStart() {
  routing_decisions_.Increment();
}

void Metrics::SetRequestCounts(size_t waiting, size_t running) {
  waiting_.Set(static_cast<double>(waiting));
  running_.Set(static_cast<double>(running));
}

void Metrics::SetRejectedRecords(size_t count) {
  rejected_records_.Set(static_cast<double>(count));
}

}  // namespace jackdawshunt::entry
