// HTTP server for the balancer's readiness checks: answers 200 when this
// instance accepts callers, else 503.
//
// Example:
//   gateway::ReadinessServer server(loop, [] { return true; }, budget);
//   absl::Status status = server.Listen({"10.1.0.33", 8780});
//
// Not thread-safe.
#ifndef JACKDAWSHUNT_GATEWAY_READINESS_SERVER_H_
#define JACKDAWSHUNT_GATEWAY_READINESS_SERVER_H_

#include <functional>
#include <memory>

#include "absl/status/status.h"
#include "jackdawshunt/http1/listener.h"
#include "jackdawshunt/http1/server.h"

namespace jackdawshunt::gateway {

class ReadinessServer final : public http1::ServerConnection::Handler {
 public:
  // `budget` must outlive the loop.
  ReadinessServer(kernel::EventLoop& loop,
                  std::function<bool()> is_ready,
                  http1::ClientBudget& budget);
  ~ReadinessServer() override;

  // Starts to accept connections at `address`.
  // Error: Unavailable when the address cannot be bound.
  absl::Status Listen(const http::Address& address);

  // http1::ServerConnection::Handler:
  void OnRequest(http1::ServerConnection& connection,
                 const http1::RequestHead& head,
                 std::string& body) override;
  void OnRequestError(http1::ServerConnection& connection,
                      http1::RequestError fault) override;
  void OnDrained(http1::ServerConnection& connection) override;
  void OnClosed(http1::ServerConnection& connection) override;

 private:
  kernel::EventLoop& loop_;
  const std::function<bool()> is_ready_;
  std::unique_ptr<http1::Listener> listener_;
  http1::ConnectionSet connections_;
};

}  // namespace jackdawshunt::gateway

#endif  // JACKDAWSHUNT_GATEWAY_READINESS_SERVER_H_
