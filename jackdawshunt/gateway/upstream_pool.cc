#include "jackdawshunt/gateway/upstream_pool.h"

#include <algorithm>
#include <utility>

namespace jackdawshunt::gateway {
namespace {

// An idle connection is not reused in this last part of the upstream's
// keep-alive time.
constexpr kernel::Duration kKeepAliveMargin = std::chrono::milliseconds(700);
// Idle connections are closed after this time.
constexpr kernel::Duration kMaxIdle = std::chrono::seconds(8);
constexpr size_t kMaxIdlePerUpstream = 16;

}  // namespace

UpstreamPool::UpstreamPool(kernel::EventLoop& loop) : loop_(loop) {}

bool UpstreamPool::IsReusable(const http1::ClientConnection& connection,
                              kernel::Duration max_idle,
                              kernel::TimePoint now) {
  const kernel::Duration idle = now - connection.idle_since();
  return connection.is_usable() && idle < max_idle &&
         (connection.keep_alive() == kernel::Duration::max() ||
          idle + kKeepAliveMargin < connection.keep_alive());
}

UpstreamPool::Connection UpstreamPool::Acquire(
    const routing::Upstream& upstream,
    kernel::Duration max_idle,
    uint64_t request_key) {
  const kernel::TimePoint now = loop_.clock().Now();
  auto& idle = idle_[upstream.address.ToString()];
  while (!idle.empty() && !idle.front()->is_usable()) {
    idle.pop_front();
    --idle_count_;
  }
  ++in_use_;
  const auto found =
      std::find_if(idle.begin(), idle.end(), [&](const Connection& candidate) {
        return IsReusable(*candidate, max_idle, now) &&
               !candidate->has_sent(request_key);
      });
  if (found != idle.end()) {
    Connection connection = std::move(*found);
    idle.erase(found);
    --idle_count_;
    return connection;
  }
  ++connections_opened_;
  return std::make_unique<http1::ClientConnection>(
      loop_, upstream.address, http1::ClientConnectionOptions{});
}

void UpstreamPool::Release(const routing::Upstream& upstream,
                           Connection connection) {
  auto& idle = idle_[upstream.address.ToString()];
  if (!connection->is_usable() || connection->is_busy() ||
      idle.size() >= kMaxIdlePerUpstream) {
    Discard(std::move(connection));
    return;
  }
  --in_use_;
  ++idle_count_;
  idle.push_front(std::move(connection));
}

void UpstreamPool::Discard(Connection connection) {
  if (connection == nullptr) {
    return;
  }
  --in_use_;
  loop_.Post([discarded = std::shared_ptr<http1::ClientConnection>(
                  std::move(connection))] {});
}

void UpstreamPool::CloseIdleConnections() {
  const kernel::TimePoint now = loop_.clock().Now();
  for (auto row = idle_.begin(); row != idle_.end();) {
    idle_count_ -= row->second.remove_if([now](const Connection& connection) {
      return !IsReusable(*connection, kMaxIdle, now);
    });
    row = row->second.empty() ? idle_.erase(row) : std::next(row);
  }
}

}  // namespace jackdawshunt::gateway
