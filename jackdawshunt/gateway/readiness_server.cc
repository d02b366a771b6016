#include "jackdawshunt/gateway/readiness_server.h"

#include <utility>

#include "jackdawshunt/platform/wire.h"

namespace jackdawshunt::gateway {
namespace {

// Checks are a few lines without a body, from a few balancers.
constexpr size_t kMaxHeaderBytes = size_t{8} * 1024;
constexpr size_t kMaxBodyBytes = 1024;
constexpr size_t kMaxConnections = 32;

}  // namespace

ReadinessServer::ReadinessServer(kernel::EventLoop& loop,
                                 std::function<bool()> is_ready,
                                 http1::ClientBudget& budget)
    : loop_(loop),
      is_ready_(std::move(is_ready)),
      connections_(loop,
                   *this,
                   {.limits = {.parse = {.header_bytes = kMaxHeaderBytes,
                                         .body_bytes = kMaxBodyBytes}},
                    .max_connections = kMaxConnections,
                    .budget = &budget}) {}

ReadinessServer::~ReadinessServer() = default;

absl::Status ReadinessServer::Listen(const http::Address& address) {
  auto listener = http1::Listener::Bind(
      loop_, address, [this](int fd) { connections_.Add(fd); },
      /*has_small_buffers=*/true);
  if (!listener.ok()) {
    return listener.status();
  }
  listener_ = *std::move(listener);
  return absl::OkStatus();
}

void ReadinessServer::OnRequest(http1::ServerConnection& connection,
                                const http1::RequestHead& head,
                                std::string& /*body*/) {
  http1::ResponseHead answer;
  answer.status = !platform::IsReadinessRequest(head) ? 404
                  : is_ready_()                       ? 200
                                                      : 503;
  connection.Reply(answer, {});
}

void ReadinessServer::OnRequestError(http1::ServerConnection& connection,
                                     http1::RequestError /*fault*/) {
  connection.Reply({.status = 400, .headers = {}}, {});
}

void ReadinessServer::OnDrained(http1::ServerConnection& /*connection*/) {}

void ReadinessServer::OnClosed(http1::ServerConnection& connection) {
  connections_.Remove(connection);
}

}  // namespace jackdawshunt::gateway
