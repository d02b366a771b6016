// Prometheus metrics of the entry role.
//
// Example:
//   entry::Metrics metrics(server.registry());
//   metrics.CountOutcome("done");
#ifndef JACKDAWSHUNT_ENTRY_METRICS_H_
#define JACKDAWSHUNT_ENTRY_METRICS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "jackdawshunt/kernel/clock.h"
#include "jackdawshunt/protocol/messages.h"
#include "prometheus/counter.h"
#include "prometheus/family.h"
#include "prometheus/gauge.h"
#include "prometheus/histogram.h"
#include "prometheus/registry.h"

namespace jackdawshunt::entry {

// Registers the metrics of the entry and updates them. Not thread-safe.
class Metrics {
 public:
  explicit Metrics(prometheus::Registry& registry);

  // Counts an ended request. `outcome` is "done", "replayed" or the name of the
  // error kind of the answer.
  void CountOutcome(std::string_view outcome);
  // Records the time from the request to its first token.
  void ObserveFirstToken(kernel::Duration since_submit);
  void ObserveQueueWait(protocol::RequestClass request_class,
                        kernel::Duration wait);
  // Counts a start that was sent to a side.
  void CountSentStart();
  void SetRequestCounts(size_t waiting, size_t running);
  void SetRejectedRecords(size_t count);

 private:
  prometheus::Family<prometheus::Counter>& outcomes_;
  prometheus::Counter& routing_decisions_;
  prometheus::Gauge& waiting_;
  prometheus::Gauge& running_;
  prometheus::Gauge& rejected_records_;
  prometheus::Histogram& first_token_;
  prometheus::Family<prometheus::Histogram>& queue_wait_;
};

}  // namespace jackdawshunt::entry

#endif  // JACKDAWSHUNT_ENTRY_METRICS_H_
