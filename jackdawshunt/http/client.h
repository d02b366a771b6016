// HTTP client on evhttp with streamed responses, time limits and backpressure.
//
// Example:
//   http::Client client(loop);
//   auto call = client.Send(
//       {"127.0.0.1", 8080}, {.path = "/load"},
//       {.on_done = [](absl::StatusOr<http::Response> response) {}});
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
  // Time limit from Send() to the complete response; zero means no limit.
  kernel::Duration timeout{0};
  // If set, receives the body in parts; the final Response then has an empty
  // body.
  std::function<void(const Response& head, std::string_view part)> on_chunk;
  // Called exactly once, unless the Call is destroyed before. Errors:
  // - Unavailable: the connection was refused; no part of the request was sent.
  // - Aborted: the connection broke after the request may have been sent, a
  //   chunk of the response, with its size, exceeds 8 MiB, or an interim
  //   response other than 100 came first, which the client does not support.
  // - DeadlineExceeded: the time limit passed.
  // - InvalidArgument: the method is unknown.
  std::function<void(absl::StatusOr<Response>)> on_done;
};

// A call in progress. Destruction cancels it and closes its connection.
class Call {
 public:
  virtual ~Call() = default;
  // Stops reading the response from the network and delivering it.
  virtual void Pause() = 0;
  // Undoes Pause().
  virtual void Resume() = 0;
};

class Client {
 public:
  explicit Client(kernel::EventLoop& loop);
  ~Client() = default;
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Sends `request` on a new connection. Callbacks run in later turns of the
  // loop, never from within Send().
  [[nodiscard]] std::unique_ptr<Call> Send(const Address& address,
                                           const Request& request,
                                           CallOptions options);

 private:
  kernel::EventLoop& loop_;
};

}  // namespace jackdawshunt::http

#endif  // JACKDAWSHUNT_HTTP_CLIENT_H_
