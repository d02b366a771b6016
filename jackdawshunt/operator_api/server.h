// HTTP server for the operator port of a process: /healthz, /readyz, /metrics
// and /status.
//
// Example:
//   operator_api::Server server(loop, token_sha256);
//   server.SetReadiness([&] { return task.is_ready(); });
//   server.SetStatus([&] { return nlohmann::json{{"revision", 7}}; });
//   auto& family = prometheus::BuildCounter().Name("...").Register(
//       server.registry());
//   auto port = server.Listen({"127.0.0.1", 0});
//
// /status requires "Authorization: Bearer <token>"; the others need no token.
// /metrics returns the Prometheus text format. Not thread-safe.
#ifndef JACKDAWSHUNT_OPERATOR_API_SERVER_H_
#define JACKDAWSHUNT_OPERATOR_API_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "jackdawshunt/http/http.h"
#include "jackdawshunt/kernel/event_loop.h"
#include "nlohmann/json.hpp"
#include "prometheus/registry.h"

namespace jackdawshunt::operator_api {

class Server {
 public:
  // `token_sha256` is the hexadecimal SHA-256 of the token for /status.
  Server(kernel::EventLoop& loop, std::string token_sha256);
  ~Server();

  // Returns the registry of the metrics that /metrics returns.
  prometheus::Registry& registry();
  // Sets a function to be called before each read of /metrics, to set gauges.
  void OnCollect(std::function<void()> callback);
  // Sets the function that decides whether /readyz returns 200 (true) or 503
  // (false). Default: false.
  void SetReadiness(std::function<bool()> is_ready);
  // Sets the function that returns the body of /status. Default: an empty
  // object.
  void SetStatus(std::function<nlohmann::json()> status);

  // Starts to listen and returns the bound port. Error: Unavailable.
  absl::StatusOr<uint16_t> Listen(const http::Address& address);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace jackdawshunt::operator_api

#endif  // JACKDAWSHUNT_OPERATOR_API_SERVER_H_
