// Replaces the error pages that evhttp 2.1 generates for malformed requests and
// requests over a limit. evhttp has no hook for them (2.2 adds one), and sends
// status 400 for an oversized header instead of 431. The page is replaced in
// the output buffer of the connection, before any of it is sent.
//
// Example:
//   internal::ErrorPages pages(/*max_header_bytes=*/4096);
//   pages.SetPage([](int status) { return Response{.body = "error"}; });
//   evhttp_set_bevcb(
//       http,
//       [](event_base* base, void* self) {
//         return static_cast<internal::ErrorPages*>(self)->NewTransport(base);
//       },
//       &pages);
#ifndef JACKDAWSHUNT_HTTP_INTERNAL_ERROR_PAGES_H_
#define JACKDAWSHUNT_HTTP_INTERNAL_ERROR_PAGES_H_

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

#include "jackdawshunt/http/http.h"

namespace jackdawshunt::http::internal {

// The error pages of one server. Not thread-safe.
class ErrorPages {
 public:
  explicit ErrorPages(size_t max_header_bytes)
      : max_header_bytes_(max_header_bytes) {}

  // Sets the function that returns headers and body of the page for a status.
  void SetPage(std::function<Response(int status)> page) {
    page_ = std::move(page);
  }

  // Returns a new bufferevent for a connection; call from the callback of
  // evhttp_set_bevcb().
  bufferevent* NewTransport(event_base* base);
  // Stops replacing output of the connection: until EndExchange() the output is
  // the server's reply, not a page of evhttp.
  void BeginExchange(bufferevent* transport);
  // Resumes replacing output, for the next request of the connection.
  void EndExchange(bufferevent* transport, evhttp_connection* connection);
  // Removes the state of a connection that is being closed.
  void RemoveConnection(bufferevent* transport) {
    connections_.erase(transport);
  }

 private:
  // The state of one connection. evhttp reports a close only after the first
  // request of a connection; the entry of a connection that closed earlier is
  // replaced when the address of its bufferevent is reused.
  struct ConnectionState {
    ErrorPages* owner;
    bufferevent* transport;
    size_t header_bytes = 0;
    int line_breaks = 0;  // Consecutive, at the end of the header so far.
    bool in_exchange = false;
    bool is_replacing = false;
    std::string page;  // The replacement; empty if none is needed yet.
  };

  // Counts header bytes and line breaks in the last `added` bytes of input.
  static void ScanHeader(ConnectionState& state, size_t added);
  // Replaces the output if it is a page of evhttp.
  static void HandleOutput(ConnectionState& state);
  // Returns the status of the evhttp page in the output, corrected to 431 for
  // an oversized header, or 0 if the output is no such page.
  static int EvhttpPageStatus(const ConnectionState& state);

  size_t max_header_bytes_;
  std::function<Response(int status)> page_;
  std::unordered_map<bufferevent*, std::unique_ptr<ConnectionState>>
      connections_;
};

}  // namespace jackdawshunt::http::internal

#endif  // JACKDAWSHUNT_HTTP_INTERNAL_ERROR_PAGES_H_
