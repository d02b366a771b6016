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
// A connection that the upstream had forgotten is reset within a round trip.
constexpr kernel::Duration kMaxTimeToReset = std::chrono::milliseconds(100);

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
    bool is_repeatable,
    uint64_t request_key) {
  const kernel::TimePoint now = loop_.clock().Now();
  const kernel::Duration max_idle =
      is_repeatable ? kMaxIdle : idle_limits_.MaxIdle(upstream.service, now);
  auto& idle = idle_[upstream.address.ToString()];
  while (!idle.empty() && !idle.front()->is_usable()) {
    idle.pop_front();
  }
  const auto found =
      std::find_if(idle.begin(), idle.end(), [&](const Connection& candidate) {
        return IsReusable(*candidate, max_idle, now) &&
               !candidate->has_sent(request_key);
      });
  if (found != idle.end()) {
    Connection connection = std::move(*found);
    idle.erase(found);
    reuses_[connection.get()] = {.service = upstream.service,
                                 .at = now,
                                 .idle = now - connection->idle_since()};
    return connection;
  }
  ++connections_opened_;
  return std::make_unique<http1::ClientConnection>(
      loop_, upstream.address, http1::ClientConnectionOptions{});
}

void UpstreamPool::Release(const routing::Upstream& upstream,
                           Connection connection) {
  RecordReuse(*connection);
  auto& idle = idle_[upstream.address.ToString()];
  if (!connection->is_usable() || connection->is_busy() ||
      idle.size() >= kMaxIdlePerUpstream) {
    Discard(std::move(connection));
    return;
  }
  idle.push_front(std::move(connection));
}

void UpstreamPool::RecordReuse(const http1::ClientConnection& connection) {
  const auto reuse = reuses_.find(&connection);
  if (reuse == reuses_.end()) {
    return;
  }
  const kernel::TimePoint now = loop_.clock().Now();
  const bool has_answered = connection.idle_since() > reuse->second.at;
  const bool was_lost = !has_answered && !connection.is_usable() &&
                        now - reuse->second.at <= kMaxTimeToReset;
  if (has_answered || was_lost) {
    idle_limits_.OnReused(reuse->second.service, reuse->second.idle, was_lost,
                          now);
  }
  reuses_.erase(reuse);
}

void UpstreamPool::Discard(Connection connection) {
  if (connection == nullptr) {
    return;
  }
  reuses_.erase(connection.get());
  loop_.Post([discarded = std::shared_ptr<http1::ClientConnection>(
                  std::move(connection))] {});
}

void UpstreamPool::CloseIdleConnections() {
  const kernel::TimePoint now = loop_.clock().Now();
  for (auto row = idle_.begin(); row != idle_.end();) {
    row->second.remove_if([now](const Connection& connection) {
      return !IsReusable(*connection, kMaxIdle, now);
    });
    row = row->second.empty() ? idle_.erase(row) : std::next(row);
  }
}

}  // namespace jackdawshunt::gateway
