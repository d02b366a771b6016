// HTTP/1.1 client connections: one request at a time, its answer in pieces.
//
// Example:
//   auto connection = std::make_unique<http1::ClientConnection>(
//       loop, address, http1::ClientConnectionOptions{});
//   connection->Send(bytes_of_request, /*is_head_request=*/false, receiver);
//
// The connection is opened by the first Send(). Not thread-safe.
#ifndef JACKDAWSHUNT_HTTP1_CLIENT_H_
#define JACKDAWSHUNT_HTTP1_CLIENT_H_

#include <memory>
#include <string>
#include <string_view>

#include "jackdawshunt/http/http.h"
#include "jackdawshunt/http1/message.h"
#include "jackdawshunt/http1/parser.h"
#include "jackdawshunt/kernel/event_loop.h"

namespace jackdawshunt::http1 {

struct ClientConnectionOptions {
  kernel::Duration connect_timeout = std::chrono::milliseconds(500);
  // Sent bytes that stay unacknowledged for so long end the connection.
  kernel::Duration silence_timeout = std::chrono::milliseconds(2000);
};

// How a connection was lost before the answer was complete.
enum class Loss {
  kNotConnected,  // No byte of the request was sent.
  kClosed,        // Closed by the peer in order.
  kReset,         // Reset, or silent for too long.
  kMalformed,     // The peer sent bytes that are not an answer.
};
std::string_view LossName(Loss loss);

// Receives the answer to one request. After OnEnd() or OnLost() nothing more
// comes. The callbacks may destroy the connection only through a later turn of
// the loop.
class ResponseReceiver {
 public:
  virtual ~ResponseReceiver() = default;
  // Whether the answer belongs to the request that is waiting. An answer that
  // does not is skipped, and the connection is not used again.
  virtual bool MatchesRequest(const ResponseHead& head) = 0;
  virtual void OnHead(const ResponseHead& head) = 0;
  virtual void OnBody(std::string_view data) = 0;
  virtual void OnEnd() = 0;
  virtual void OnLost(Loss loss) = 0;
};

class ClientConnection {
 public:
  ClientConnection(kernel::EventLoop& loop,
                   const http::Address& address,
                   ClientConnectionOptions options);
  ~ClientConnection();
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  // Requires !is_busy() and is_usable(). `receiver` must outlive the answer or
  // Forget().
  void Send(std::string_view request,
            bool is_head_request,
            ResponseReceiver& receiver);
  // Drops the receiver; the connection is then not usable any more.
  void CancelRequest();

  // Stops and resumes reading, for flow control.
  void PauseReading();
  void ResumeReading();

  // False once the connection ended or sent bytes that nobody asked for.
  bool is_usable() const;
  bool is_busy() const;
  bool was_reused() const;  // The current request is not the first one.
  // How long the peer keeps an idle connection; max() when it did not say.
  kernel::Duration keep_alive() const;
  kernel::TimePoint idle_since() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace jackdawshunt::http1

#endif  // JACKDAWSHUNT_HTTP1_CLIENT_H_
