// HTTP/1.1 server connections. A connection serves one request at a time: it
// buffers the whole request and can stream the response.
//
// Example:
//   auto listener = http1::Listener::Bind(loop, address, [&](int fd) {
//     connections.push_back(std::make_unique<http1::ServerConnection>(
//         loop, fd, limits, handler));
//   });
//
// Not thread-safe; runs on the loop's thread.
#ifndef JACKDAWSHUNT_HTTP1_SERVER_H_
#define JACKDAWSHUNT_HTTP1_SERVER_H_

#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "jackdawshunt/http1/client_budget.h"
#include "jackdawshunt/http1/connection_use.h"
#include "jackdawshunt/http1/message.h"
#include "jackdawshunt/http1/parser.h"
#include "jackdawshunt/kernel/event_loop.h"

namespace jackdawshunt::http1 {

struct ServerConnectionLimits {
  ParseLimits parse;
  // Time from the first byte of a request to the end of its body.
  kernel::Duration request_timeout = std::chrono::seconds(10);
  // Time without a request after which the connection is closed.
  kernel::Duration idle_timeout = std::chrono::seconds(60);
};

// The reason why a request was not delivered to the handler.
enum class RequestError {
  kMalformed,
  kHeadTooLarge,
  kBodyTooLarge,
  kTimeout,
  kNoMemory,  // The clients of the process hold too much.
};

class ServerConnection {
 public:
  // Receives the events of one connection. The callbacks may respond, but must
  // not destroy the connection; OnClosed() may schedule that.
  class Handler {
   public:
    virtual ~Handler() = default;
    // Returns the limits of the next request; `initial` are those that the
    // connection was created with.
    virtual ServerConnectionLimits CurrentLimits(
        const ServerConnectionLimits& initial) const {
      return initial;
    }
    // Called when the head of a request is complete and its body is not. The
    // handler may Reply() to refuse the request: the rest of it is then
    // dropped, and the connection closes unless the rest is short.
    virtual void OnHead(ServerConnection& /*connection*/,
                        const RequestHead& /*head*/) {}
    // Called when a request is complete; `body` may be moved from.
    virtual void OnRequest(ServerConnection& connection,
                           const RequestHead& head,
                           std::string& body) = 0;
    // Called when a request was rejected. The handler must respond; the
    // connection then closes.
    virtual void OnRequestError(ServerConnection& connection,
                                RequestError error) = 0;
    // Called when all buffered output of the current response has been sent.
    virtual void OnDrained(ServerConnection& connection) = 0;
    // Called when the connection has ended. If a response was not finished, its
    // caller has disconnected or Abort() was called.
    virtual void OnClosed(ServerConnection& connection) = 0;
  };

  // Takes ownership of the accepted, non-blocking socket `fd`. `loop`,
  // `handler` and `budget` must outlive the connection. With a budget, requests
  // for which it has no room are rejected, and the connection may be closed for
  // others.
  ServerConnection(kernel::EventLoop& loop,
                   int fd,
                   ServerConnectionLimits limits,
                   Handler& handler,
                   ClientBudget* budget = nullptr);
  ~ServerConnection();
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  // Starts the response to the current request, with the first part of its
  // body, which may be empty; call once per request. The body is dropped if the
  // status or the request's method, HEAD, allows none. With `close_after` the
  // connection closes when the response is complete.
  void StartResponse(const ResponseHead& head,
                     BodyFraming framing,
                     bool close_after = false,
                     std::string_view first_part = {});
  // Sends part of the body, framed as a chunk if the response is chunked.
  void WriteBody(std::string_view data);
  // Ends the response; the next request may then be read.
  void FinishResponse();
  // Sends a whole response.
  void Reply(const ResponseHead& head,
             std::string_view body,
             bool close_after = false);
  // Starts a response whose end is marked by the close of the connection.
  void StartUnframedResponse(const ResponseHead& head);
  // Sends bytes outside any response, for stand-ins that simulate errors.
  void WriteRaw(std::string_view bytes);
  // Resets the connection, so that the caller sees an incomplete response.
  void Abort();
  // Sets the workspace whose part of the budget the current request takes.
  void SetWorkspace(std::string_view workspace);
  // Takes room for the current request, until its response is finished. Returns
  // false if there is none.
  bool HoldRequest(size_t bytes);
  // Takes room for a response of `bytes` that is kept until it is complete.
  // Returns false if there is none.
  bool HoldAnswer(size_t bytes);
  // Returns whether responses should not be buffered, since the clients of the
  // process hold much.
  bool is_under_pressure() const;
  // Returns whether the first bytes of a request that was not delivered yet
  // have been received, whether parsed or still in the socket.
  bool has_arriving_request() const;
  // Closes the connection now if it is idle, else after the current response. A
  // request that is arriving is still delivered; the handler should pass
  // `close_after` with its response.
  void CloseWhenIdle();

  // Returns how the connection uses its descriptor.
  ConnectionUse use() const;
  // Returns whether input waits that has not been read, such as a request on a
  // new connection. If so, use() returns kBusy until it is read.
  bool HasUnreadInput();
  // Closes the connection at once, for one that needs its descriptor.
  void Yield();

  // Returns whether the caller has closed its side of the connection, also if
  // that was not read yet.
  bool has_caller_left() const;

  bool is_open() const;
  // Returns whether a request was delivered and its response is not complete.
  bool is_busy() const;
  // Returns whether part of the next request has been parsed.
  bool has_partial_request() const;
  // Returns the number of written bytes that the socket has not accepted yet.
  size_t buffered_bytes() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

struct ConnectionSetOptions {
  ServerConnectionLimits limits;
  // A further connection takes the place of one that may yield, or is closed.
  size_t max_connections = std::numeric_limits<size_t>::max();
  ClientBudget* budget = nullptr;  // Must outlive the loop.
};

// Owns the open connections of a server whose handler has no other state per
// connection.
//
// Example:
//   ConnectionSet connections(loop, handler);
//   auto listener = Listener::Bind(loop, address,
//                                  [&](int fd) { connections.Add(fd); });
//   // In the handler's OnClosed():
//   connections.Remove(connection);
class ConnectionSet {
 public:
  ConnectionSet(kernel::EventLoop& loop,
                ServerConnection::Handler& handler,
                ConnectionSetOptions options = {})
      : loop_(loop), handler_(handler), options_(options) {}
  ConnectionSet(const ConnectionSet&) = delete;
  ConnectionSet& operator=(const ConnectionSet&) = delete;

  // Creates a connection that owns the accepted socket `fd`.
  void Add(int fd);
  // Removes the connection and destroys it in a later turn of the loop, since
  // it may be the caller.
  void Remove(ServerConnection& connection);
  // Returns whether the connection was added and not removed.
  bool Contains(ServerConnection& connection) const {
    return connections_.contains(&connection);
  }
  // Resets all connections; the handler's OnClosed() is called for each.
  void AbortAll();

 private:
  kernel::EventLoop& loop_;
  ServerConnection::Handler& handler_;
  const ConnectionSetOptions options_;
  std::unordered_map<ServerConnection*, std::unique_ptr<ServerConnection>>
      connections_;
};

}  // namespace jackdawshunt::http1

#endif  // JACKDAWSHUNT_HTTP1_SERVER_H_
