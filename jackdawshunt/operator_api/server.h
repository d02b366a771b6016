// The operator port of a process: /healthz, /readyz, /metrics and /status.
//
// Example:
//   operator_api::Server server(loop, token_sha256);
//   server.SetReadiness([&] { return task.is_ready(); });
//   server.SetStatus([&] { return nlohmann::json{{"revision", 7}}; });
//   auto& family = prometheus::BuildCounter().Name("...").Register(
//       server.registry());
//   auto port = server.Listen({"127.0.0.1", 0});
//
// /status wants "Authorization: Bearer <token>"; the others are open. /metrics
// is the Prometheus text format. Not thread-safe.
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
  Server(kernel::EventLoop& loop, std::string token_sha256);
  ~Server();

  prometheus::Registry& registry();
  // Called before each read of /metrics, to set gauges.
  void OnCollect(std::function<void()> callback);
  // /readyz answers 200 when true, 503 when false. Default: false.
  void SetReadiness(std::function<bool()> is_ready);
  void SetStatus(std::function<nlohmann::json()> status);

  // Returns the bound port. Error: Unavailable.
  absl::StatusOr<uint16_t> Listen(const http::Address& address);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace jackdawshunt::operator_api

#endif  // JACKDAWSHUNT_OPERATOR_API_SERVER_H_
