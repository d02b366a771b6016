// HTTP server on evhttp with streamed replies and limits.
//
// Example:
//   http::Server server(loop, {.max_body_bytes = 1 << 20});
//   server.SetHandler([](std::shared_ptr<http::Exchange> exchange) {
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

// One request and its reply. The handler may keep it and reply later. An
// exchange that is dropped without a reply answers 500.
class Exchange {
 public:
  virtual ~Exchange() = default;

  virtual const Request& request() const = 0;

  // Sends a whole reply. Ignored when a reply was sent or the caller left.
  virtual void Reply(const Response& response) = 0;

  // Streamed reply: StartStream once, Write any number of times, EndStream
  // once.
  virtual void StartStream(int status, const Headers& headers) = 0;
  virtual void Write(std::string_view data) = 0;
  virtual void EndStream() = 0;
  // Closes the connection in the middle of a stream, so that the caller sees
  // an incomplete answer instead of a short one.
  virtual void Abort() = 0;

  // Bytes written but not yet taken by the network.
  virtual size_t buffered_bytes() const = 0;
  // Calls `callback` each time the output buffer has drained to empty.
  virtual void OnDrained(std::function<void()> callback) = 0;
  // Calls `callback` once when the caller closes before the reply is complete.
  virtual void OnClosed(std::function<void()> callback) = 0;
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

  void SetHandler(Handler handler);
  // Body and headers of the reply to a request over a limit or malformed;
  // status is 400, 413 or 431. Without it evhttp's own page is sent.
  void SetErrorPage(std::function<Response(int status)> page);

  // Returns the port that is bound. Error: Unavailable.
  absl::StatusOr<uint16_t> Listen(const Address& address);
  // Closes the listening socket; open exchanges go on.
  void StopListening();
  size_t open_exchanges() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace jackdawshunt::http

#endif  // JACKDAWSHUNT_HTTP_SERVER_H_
