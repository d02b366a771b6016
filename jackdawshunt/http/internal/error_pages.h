// Replaces the pages that evhttp 2.1 writes by itself for malformed requests
// and for requests over a limit. evhttp has no hook for them (2.2 adds one),
// and answers 400 to an oversized header; the replacement happens in the output
// buffer of the connection, before anything of it is sent.
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

  void SetPage(std::function<Response(int status)> page) {
    page_ = std::move(page);
  }

  // Creates the bufferevent of a connection; for evhttp_set_bevcb().
  bufferevent* NewTransport(event_base* base);
  // The server, not evhttp, writes to the connection from here on ...
  void BeginExchange(bufferevent* transport);
  // ... until here.
  void EndExchange(bufferevent* transport, evhttp_connection* connection);
  // The connection is being closed.
  void Forget(bufferevent* transport) { watches_.erase(transport); }

 private:
  // What is known of a connection. evhttp tells of a closed connection only
  // after its first request; the entry of one that closed before is replaced
  // when its address is used again.
  struct Watch {
    ErrorPages* owner;
    bufferevent* transport;
    size_t header_bytes = 0;
    int line_breaks = 0;  // Consecutive ones at the end of the header so far.
    bool in_exchange = false;
    bool replacing = false;
    std::string page;  // Sent instead of evhttp's; empty until there is one.
  };

  static void ScanHeader(Watch& watch, size_t added);
  static void HandleOutput(Watch& watch);
  // Status of evhttp's own page in the output; 0 when it holds none.
  static int OwnPageStatus(const Watch& watch);

  size_t max_header_bytes_;
  std::function<Response(int status)> page_;
  std::unordered_map<bufferevent*, std::unique_ptr<Watch>> watches_;
};

}  // namespace jackdawshunt::http::internal

#endif  // JACKDAWSHUNT_HTTP_INTERNAL_ERROR_PAGES_H_
