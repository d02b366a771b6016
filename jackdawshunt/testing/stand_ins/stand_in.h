// Common part of the stand-ins for the outside systems: a main port, an admin
// port and the announcement of both.
//
// Example:
//   EngineStandIn engine(loop, options);
//   absl::Status status = engine.Listen({.port = 0, .ports_file = path});
//   loop.Run();
#ifndef JACKDAWSHUNT_TESTING_STAND_INS_STAND_IN_H_
#define JACKDAWSHUNT_TESTING_STAND_INS_STAND_IN_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "jackdawshunt/http/http.h"
#include "jackdawshunt/http/server.h"
#include "jackdawshunt/kernel/event_loop.h"
#include "nlohmann/json.hpp"

namespace jackdawshunt::testing {

struct ListenOptions {
  std::string ip = "127.0.0.1";  // Of the main port.
  uint16_t port = 0;
  uint16_t admin_port = 0;
  std::string ports_file;  // Optional; receives {"port","admin_port"}.
};

using ExchangePtr = std::shared_ptr<http::Exchange>;

void ReplyJson(http::Exchange& exchange,
               int status,
               const nlohmann::json& body);

// Decodes "%2F" and the like; "+" becomes a space.
std::string DecodePercent(std::string_view text);

// Decodes the query string "a=1&b=%2F" into names and values.
std::map<std::string, std::string> ParseQuery(std::string_view query);

// Returns the request's body as a JSON object; null after it has answered 400.
nlohmann::json ParseBody(http::Exchange& exchange);

// Writes {"event":"listening","port","admin_port"} to standard output and the
// ports to the file. Error: Unavailable when the file cannot be written.
absl::Status Announce(const ListenOptions& options,
                      uint16_t port,
                      uint16_t admin_port);

// A stand-in that speaks HTTP. Paths under /admin/ are answered on both ports;
// faults never affect them. Not thread-safe.
class HttpStandIn {
 public:
  HttpStandIn(kernel::EventLoop& loop, http::ServerLimits limits);
  virtual ~HttpStandIn() = default;
  HttpStandIn(const HttpStandIn&) = delete;
  HttpStandIn& operator=(const HttpStandIn&) = delete;

  // Binds both ports and announces them. Error: Unavailable.
  absl::Status Listen(const ListenOptions& options);

 protected:
  virtual void Handle(const ExchangePtr& exchange) = 0;
  virtual void HandleAdmin(const ExchangePtr& exchange) = 0;

  kernel::EventLoop& loop() const { return loop_; }
  // Closes or opens the main port's listening socket; the port stays the same.
  void SetRefusing(bool is_refusing);

 private:
  kernel::EventLoop& loop_;
  http::Server server_;
  http::Server admin_server_;
  uint16_t port_ = 0;
  bool is_refusing_ = false;
};

// Runs timers that delete themselves after their call.
class DelayedCalls {
 public:
  explicit DelayedCalls(kernel::EventLoop& loop) : loop_(loop) {}

  // Calls `callback` after `delay_ms`; at once when it is zero.
  void Run(int64_t delay_ms, std::function<void()> callback);

 private:
  kernel::EventLoop& loop_;
  std::map<uint64_t, kernel::Timer> timers_;
  uint64_t next_ = 0;
};

}  // namespace jackdawshunt::testing

#endif  // JACKDAWSHUNT_TESTING_STAND_INS_STAND_IN_H_
