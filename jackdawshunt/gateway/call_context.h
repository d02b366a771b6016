// Objects of a gateway that all its calls share.
//
// Example:
//   gateway::CallContext context{.loop = loop, .router = router, ...};
//   gateway::HttpFrontend frontend(context, freshness, budget, limits);
#ifndef JACKDAWSHUNT_GATEWAY_CALL_CONTEXT_H_
#define JACKDAWSHUNT_GATEWAY_CALL_CONTEXT_H_

#include "jackdawshunt/gateway/board_client.h"
#include "jackdawshunt/gateway/metrics.h"
#include "jackdawshunt/gateway/origin_client.h"
#include "jackdawshunt/gateway/permit_client.h"
#include "jackdawshunt/gateway/start_checks.h"
#include "jackdawshunt/gateway/upstream_pool.h"
#include "jackdawshunt/kernel/event_loop.h"
#include "jackdawshunt/routing/overload.h"
#include "jackdawshunt/routing/router.h"

namespace jackdawshunt::gateway {

// The objects must outlive the calls.
struct CallContext {
  kernel::EventLoop& loop;
  routing::Router& router;
  UpstreamPool& pool;
  BoardClient& boards;
  OriginClient& origins;
  StartChecks& start_checks;
  PermitClient& permits;
  Metrics& metrics;
  const routing::OverloadGauge& overload;
  // Each answer closes its connection, so that the caller opens the next one at
  // another instance. Set while the process shuts down or is overloaded.
  bool closes_connections = false;
  // Whether the process is shutting down.
  bool is_draining = false;

  kernel::TimePoint Now() const { return loop.clock().Now(); }
  // Returns the time of day, which upstreams state the times of their starts
  // in.
  static int64_t UnixNowMs() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
  }
};

}  // namespace jackdawshunt::gateway

#endif  // JACKDAWSHUNT_GATEWAY_CALL_CONTEXT_H_
