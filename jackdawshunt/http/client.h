// HTTP client on evhttp with streamed responses, time limit and backpressure.
//
// Example:
//   http::Client client(loop);
//   auto call = client.Send({"127.0.0.1", 8080}, {.path = "/load"}, {
//       .on_done = [](absl::StatusOr<http::Response> response) { ... }});
//
// Not thread-safe; runs on the loop's thread.
#ifndef JACKDAWSHUNT_HTTP_CLIENT_H_
#define JACKDAWSHUNT_HTTP_CLIENT_H_

#include <functional>
#include <memory>
#include <string_view>

#include "absl/status/statusor.h"
#include "jackdawshunt/http/http.h"
#include "jackdawshunt/kernel/event_loop.h"

namespace jackdawshunt::http {

struct CallOptions {
  // From the send to the complete response; zero means no limit.
  kernel::Duration timeout{0};
  // When set, body parts go here and the final Response has an empty body.
  std::function<void(const Response& head, std::string_view part)> on_chunk;
  // Called exactly once, unless the Call is destroyed before. Errors:
  // Unavailable: nothing of the request was sent, the connection was refused.
  // Aborted: the connection broke after the request may have been sent.
  // DeadlineExceeded: the time limit passed.
  std::function<void(absl::StatusOr<Response>)> on_done;
};

// One call; destruction cancels it and closes its connection.
class Call {
 public:
  virtual ~Call() = default;
  // Stops and resumes reading the response from the network.
  virtual void Pause() = 0;
  virtual void Resume() = 0;
};

class Client {
 public:
  explicit Client(kernel::EventLoop& loop);
  ~Client() = default;
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Uses a new connection for each call; callbacks come in later turns of the
  // loop, never from within Send().
  [[nodiscard]] std::unique_ptr<Call> Send(const Address& address,
                                           const Request& request,
                                           CallOptions options);

 private:
  kernel::EventLoop& loop_;
};

}  // namespace jackdawshunt::http

#endif  // JACKDAWSHUNT_HTTP_CLIENT_H_
