// HTTP server on evhttp with streamed replies and size limits.
//
// Example:
//   http::Server server(loop, {.max_body_bytes = 1 << 20});
//   server.SetHandler([](const std::shared_ptr<http::Exchange>& exchange) {
//     exchange->Reply({.status = 200, .body = "ok"});
//   });
//   absl::StatusOr<uint16_t> port = server.Listen({"127.0.0.1", 0});
//
// Not thread-safe; runs on the loop's thread.
#ifndef JACKDAWSHUNT_HTTP_SERVER_H_
#define JACKDAWSHUNT_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "absl/status/statusor.h"
#include "jackdawshunt/http/http.h"
#include "jackdawshunt/kernel/event_loop.h"

namespace jackdawshunt::http {

// One request and its reply. The handler may keep the exchange and reply later.
// Destruction without a reply sends 500; destruction in the middle of a stream
// aborts it.
class Exchange {
 public:
  virtual ~Exchange() = default;

  virtual const Request& request() const = 0;

  // Sends a whole reply. Ignored if a reply was started or the caller has
  // disconnected.
  virtual void Reply(const Response& response) = 0;

  // Send a streamed reply: call StartStream() once, Write() any number of
  // times, and EndStream() once. Ignored if the caller has disconnected.
  virtual void StartStream(int status, const Headers& headers) = 0;
  virtual void Write(std::string_view data) = 0;
  virtual void EndStream() = 0;
  // Closes the connection in the middle of a stream, so that the caller sees
  // an incomplete reply instead of a short one.
  virtual void Abort() = 0;

  // Returns the number of written bytes that the socket has not accepted yet.
  virtual size_t buffered_bytes() const = 0;
  // Sets the callback for each time that all buffered output has been sent.
  virtual void OnDrained(std::function<void()> callback) = 0;
  // Sets the callback that runs once if the caller disconnects before the reply
  // is complete.
  virtual void OnClosed(std::function<void()> callback) = 0;
  // Returns false once the reply is complete or the connection is closed.
  virtual bool is_open() const = 0;
};

struct ServerLimits {
  size_t max_header_bytes = size_t{16} * 1024;
  size_t max_body_bytes = size_t{1024} * 1024;
};

class Server {
 public:
  using Handler = std::function<void(std::shared_ptr<Exchange>)>;

  Server(kernel::EventLoop& loop, ServerLimits limits);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // Sets the function that handles requests; without one the reply is 503.
  void SetHandler(Handler handler);
  // Sets the function that returns body and headers of the reply to a malformed
  // request (status 400) or one over a limit (413 or 431). Without one evhttp's
  // own page is sent.
  void SetErrorPage(std::function<Response(int status)> page);

  // Listens at `address` and returns the bound port. Error: Unavailable if the
  // address cannot be bound.
  absl::StatusOr<uint16_t> Listen(const Address& address);
  // Closes the listening socket; open exchanges continue.
  void StopListening();
  // Returns the number of requests whose replies are not complete.
  size_t open_exchanges() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace jackdawshunt::http

#endif  // JACKDAWSHUNT_HTTP_SERVER_H_
