// HTTP/1.1 server connections: one request at a time, read whole, answered in
// pieces.
//
// Example:
//   http1::Listener listener(loop, address, [&](int fd) {
//     connections.push_back(std::make_unique<http1::ServerConnection>(
//         loop, fd, limits, handler));
//   });
//
// Not thread-safe; runs on the loop's thread.
#ifndef JACKDAWSHUNT_HTTP1_SERVER_H_
#define JACKDAWSHUNT_HTTP1_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "absl/status/statusor.h"
#include "jackdawshunt/http/http.h"
#include "jackdawshunt/http1/message.h"
#include "jackdawshunt/http1/parser.h"
#include "jackdawshunt/kernel/event_loop.h"

namespace jackdawshunt::http1 {

// A listening socket. Destruction closes it; accepted sockets stay open.
class Listener {
 public:
  using AcceptCallback = std::function<void(int fd)>;

  // Error: Unavailable when the address cannot be bound.
  static absl::StatusOr<std::unique_ptr<Listener>> Bind(
      kernel::EventLoop& loop,
      const http::Address& address,
      AcceptCallback accept);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  uint16_t port() const;
  // Accepts what waits to be accepted; closing the listener would reset it.
  void AcceptPending();

 private:
  struct Impl;
  explicit Listener(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

struct ServerConnectionLimits {
  ParseLimits parse;
  // From the first byte of a request to the end of its body.
  kernel::Duration request_timeout = std::chrono::seconds(10);
  // Without a request.
  kernel::Duration idle_timeout = std::chrono::seconds(60);
};

// Why a request was not delivered to the handler.
enum class RequestError {
  kMalformed,
  kHeadTooLarge,
  kBodyTooLarge,
  kTimeout,
};

class ServerConnection {
 public:
  // The callbacks of one connection. They may answer, but must not destroy the
  // connection; OnClosed() is the place to schedule that.
  class Handler {
   public:
    virtual ~Handler() = default;
    // A request is complete; `body` may be moved away.
    virtual void OnRequest(ServerConnection& connection,
                           const RequestHead& head,
                           std::string& body) = 0;
    // No further request can be read. The handler answers; the connection
    // closes after that.
    virtual void OnRequestError(ServerConnection& connection,
                                RequestError fault) = 0;
    // The output buffer has drained to empty.
    virtual void OnDrained(ServerConnection& connection) = 0;
    // The connection has ended. If a request was being answered, its caller
    // has left.
    virtual void OnClosed(ServerConnection& connection) = 0;
  };

  ServerConnection(kernel::EventLoop& loop,
                   int fd,
                   ServerConnectionLimits limits,
                   Handler& handler);
  ~ServerConnection();
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  // Starts the answer to the current request; once per request. With
  // `close_after` the connection closes when the answer is complete.
  void StartResponse(const ResponseHead& head,
                     BodyFraming framing,
                     bool close_after = false);
  void WriteBody(std::string_view data);
  // Ends the answer; the next request may be read.
  void FinishResponse();
  // A whole answer at once.
  void Reply(const ResponseHead& head,
             std::string_view body,
             bool close_after = false);
  // An answer whose end is marked by the end of the connection.
  void StartUnframedResponse(const ResponseHead& head);
  // Bytes outside any answer, for stand-ins that misbehave.
  void WriteRaw(std::string_view bytes);
  // Resets the connection, so that the caller sees an incomplete answer.
  void Abort();
  // Whether bytes of a request have arrived that is not delivered yet, read or
  // not.
  bool has_arriving_request() const;
  // Closes the connection now if it is idle, else after the current answer. A
  // request that is arriving is delivered; its answer should close.
  void CloseWhenIdle();

  bool is_open() const;
  // A request was delivered and its answer is not complete.
  bool is_busy() const;
  // Some bytes of the next request have arrived.
  bool has_partial_request() const;
  size_t buffered_bytes() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// The open connections of a server whose handler keeps nothing else for them.
//
// Example:
//   ConnectionSet connections(loop, handler);
//   Listener::Bind(loop, address, [&](int fd) { connections.Add(fd); });
//   // In the handler's OnClosed():
//   connections.Remove(connection);
class ConnectionSet {
 public:
  ConnectionSet(kernel::EventLoop& loop, ServerConnection::Handler& handler)
      : loop_(loop), handler_(handler) {}
  ConnectionSet(const ConnectionSet&) = delete;
  ConnectionSet& operator=(const ConnectionSet&) = delete;

  // Takes an accepted socket.
  void Add(int fd);
  // Destroys the connection in a later turn, since it may be calling.
  void Remove(ServerConnection& connection);
  // False once the connection was removed.
  bool Contains(ServerConnection& connection) const {
    return connections_.contains(&connection);
  }
  // Resets all; the handler hears OnClosed() for each.
  void AbortAll();

 private:
  kernel::EventLoop& loop_;
  ServerConnection::Handler& handler_;
  std::unordered_map<ServerConnection*, std::unique_ptr<ServerConnection>>
      connections_;
};

}  // namespace jackdawshunt::http1

#endif  // JACKDAWSHUNT_HTTP1_SERVER_H_
