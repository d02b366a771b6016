// HTTP/1.1 client connections. A connection sends one request at a time and
// streams its response.
//
// Example:
//   auto connection = std::make_unique<http1::ClientConnection>(
//       loop, address, http1::ClientConnectionOptions{});
//   std::string request =
//       http1::Serialize(head, /*body_bytes=*/body.size()) + body;
//   connection->Send(request, /*is_head_request=*/false, receiver);
//
// The connection is opened by the first Send(). Not thread-safe.
#ifndef JACKDAWSHUNT_HTTP1_CLIENT_H_
#define JACKDAWSHUNT_HTTP1_CLIENT_H_

#include <cstdint>
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
  // Time after which unacknowledged sent bytes end the connection.
  kernel::Duration unacknowledged_timeout = std::chrono::milliseconds(2000);
};

// The way in which a connection was lost before the response was complete.
enum class Loss {
  kNotConnected,  // Not established; no byte of the request was sent.
  kClosed,        // Closed by the peer without a reset.
  // Reset, or closed before the peer had received the whole request, or sent
  // bytes stayed unacknowledged for too long.
  kReset,
  kMalformed,  // The peer sent bytes that are not a valid response.
  kWithdrawn,  // IsStillWanted() was false; no byte was sent.
};
// Returns the name of `loss` for logs.
std::string_view LossName(Loss loss);

// Receives the response to one request. No callback follows OnEnd() or
// OnLost(). The callbacks must not destroy the connection, but may schedule
// that for a later turn of the loop.
class ResponseReceiver {
 public:
  virtual ~ResponseReceiver() = default;
  // Called when a new connection is established, before the request is sent:
  // the state on which the request was based can change while the connection is
  // opened. If it returns false, OnLost(kWithdrawn) follows.
  virtual bool IsStillWanted() { return true; }
  // Returns whether the response belongs to the request that was sent. A
  // response that does not is skipped, and the connection is not reused.
  virtual bool MatchesRequest(const ResponseHead& head) = 0;
  virtual void OnHead(const ResponseHead& head) = 0;
  virtual void OnBody(std::string_view data) = 0;
  // A body without length or chunks may hold another response, since only the
  // end of the connection marks its end. It is then reported as malformed, with
  // the bytes before it as the body, if one of these says so:
  // Returns whether the body received so far may go on with bytes like a status
  // line.
  virtual bool MayContinueWithStatusLine() { return true; }
  // Returns whether `head`, which was received inside the body, begins another
  // response.
  virtual bool IsOtherResponse(const ResponseHead& /*head*/) { return false; }
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

  // Sends the bytes of one request. Requires !is_busy() and is_usable().
  // `receiver` must stay valid until OnEnd(), OnLost() or CancelRequest(). No
  // callback runs before Send() returns. `request_key` is a hash of the id that
  // responses name, if they do; see has_sent(). A `body` that is given follows
  // `request`; it is not copied if it is large.
  void Send(std::string_view request,
            bool is_head_request,
            ResponseReceiver& receiver,
            uint64_t request_key = 0,
            std::shared_ptr<const std::string> body = nullptr);
  // Closes the connection without a callback; it is not usable afterwards.
  void CancelRequest();

  // Stops and resumes reading, for flow control.
  void PauseReading();
  void ResumeReading();

  // Returns false once the connection has ended, or can't be reused because the
  // peer sent bytes outside the response.
  bool is_usable() const;
  // Returns whether a request with this key was sent on the connection, so that
  // a late response to it would be taken for that to another one.
  bool has_sent(uint64_t request_key) const;
  // Returns whether a request was sent and its response is not complete.
  bool is_busy() const;
  // Returns whether the latest response has neither a length nor chunks, so
  // that only the end of the connection marks its end.
  bool is_unframed() const;
  // Returns whether the end of the connection marked the end of the latest
  // response.
  bool was_ended_by_close() const;
  // Returns whether it was not established because nothing listens at the
  // address.
  bool was_refused() const;
  // Returns whether the peer accepted it, also if it reset it at once.
  bool was_accepted() const;
  // Returns whether the latest request was not the first one.
  bool was_reused() const;
  // Returns how long the peer keeps an idle connection open, or max() if the
  // peer did not announce it.
  kernel::Duration keep_alive() const;
  // Returns when the latest response was completed.
  kernel::TimePoint idle_since() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace jackdawshunt::http1

#endif  // JACKDAWSHUNT_HTTP1_CLIENT_H_
