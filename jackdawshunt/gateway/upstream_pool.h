// Pool of idle connections to upstreams.
//
// Example:
//   auto connection =
//       pool.Acquire(upstream, /*is_repeatable=*/true, key);
//   // ... one request ...
//   pool.Release(upstream, std::move(connection));
//
// An upstream may close an idle connection without notice, and a request sent
// on it is lost; a request that must not be repeated therefore uses only a
// connection that was used a short time ago, as far as losses of other requests
// show (routing/idle_limits.h). Not thread-safe.
#ifndef JACKDAWSHUNT_GATEWAY_UPSTREAM_POOL_H_
#define JACKDAWSHUNT_GATEWAY_UPSTREAM_POOL_H_

#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>

#include "jackdawshunt/http1/client.h"
#include "jackdawshunt/kernel/event_loop.h"
#include "jackdawshunt/routing/idle_limits.h"
#include "jackdawshunt/routing/upstream.h"

namespace jackdawshunt::gateway {

class UpstreamPool {
 public:
  using Connection = std::unique_ptr<http1::ClientConnection>;

  explicit UpstreamPool(kernel::EventLoop& loop);

  // Returns an idle connection that has not sent a request with `request_key`
  // and was used so recently that a request which is repeatable, or not, may be
  // sent on it; otherwise a new one that opens with the first request.
  Connection Acquire(const routing::Upstream& upstream,
                     bool is_repeatable,
                     uint64_t request_key);
  // Returns `connection`, which must not be null, to the pool. Discards it if
  // it is not usable or the upstream has enough idle connections.
  void Release(const routing::Upstream& upstream, Connection connection);
  // Destroys `connection`, if not null, in a later iteration of the loop, so
  // that a callback of the connection may call this.
  void Discard(Connection connection);
  // Closes connections that have been idle for too long; call every second.
  void CloseIdleConnections();

  // Returns the number of connections created so far.
  uint64_t connections_opened() const { return connections_opened_; }

 private:
  static bool IsReusable(const http1::ClientConnection& connection,
                         kernel::Duration max_idle,
                         kernel::TimePoint now);

  // A connection in use that had been idle.
  struct Reuse {
    std::string service;
    kernel::TimePoint at{};
    kernel::Duration idle{};
  };

  // Records what the use of the connection, if it had been idle, shows.
  void RecordReuse(const http1::ClientConnection& connection);

  kernel::EventLoop& loop_;
  routing::IdleLimits idle_limits_;
  std::unordered_map<const http1::ClientConnection*, Reuse> reuses_;
  // Idle connections by address, the most recently used first.
  std::unordered_map<std::string, std::list<Connection>> idle_;
  uint64_t connections_opened_ = 0;
};

}  // namespace jackdawshunt::gateway

#endif  // JACKDAWSHUNT_GATEWAY_UPSTREAM_POOL_H_
