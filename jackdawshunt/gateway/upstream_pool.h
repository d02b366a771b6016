// Pool of idle connections to upstreams.
//
// Example:
//   auto connection =
//       pool.Acquire(upstream, /*max_idle=*/std::chrono::seconds(2), key);
//   // ... one request ...
//   pool.Release(upstream, std::move(connection));
//
// An upstream may close an idle connection without notice, and a request sent
// on it is lost; a request that must not be repeated therefore uses only a
// connection that was used a short time ago. Not thread-safe.
#ifndef JACKDAWSHUNT_GATEWAY_UPSTREAM_POOL_H_
#define JACKDAWSHUNT_GATEWAY_UPSTREAM_POOL_H_

#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>

#include "jackdawshunt/http1/client.h"
#include "jackdawshunt/kernel/event_loop.h"
#include "jackdawshunt/routing/upstream.h"

namespace jackdawshunt::gateway {

class UpstreamPool {
 public:
  using Connection = std::unique_ptr<http1::ClientConnection>;

  explicit UpstreamPool(kernel::EventLoop& loop);

  // Returns an idle connection that was used less than `max_idle` ago and has
  // not sent a request with `request_key`, or a new one that opens with the
  // first request.
  Connection Acquire(const routing::Upstream& upstream,
                     kernel::Duration max_idle,
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
  // Returns the number of connections that are idle or in use.
  size_t open_connections() const { return in_use_ + idle_count_; }

 private:
  static bool IsReusable(const http1::ClientConnection& connection,
                         kernel::Duration max_idle,
                         kernel::TimePoint now);

  kernel::EventLoop& loop_;
  // Idle connections by address, the most recently used first.
  std::unordered_map<std::string, std::list<Connection>> idle_;
  uint64_t connections_opened_ = 0;
  size_t in_use_ = 0;
  size_t idle_count_ = 0;
};

}  // namespace jackdawshunt::gateway

#endif  // JACKDAWSHUNT_GATEWAY_UPSTREAM_POOL_H_
