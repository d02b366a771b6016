// Strict incremental parsers of HTTP/1.1 messages, on http_parser.
//
// Example:
//   http1::RequestParser parser({.header_bytes = 16384, .body_bytes = 1 <<
//   20}); size_t consumed = parser.Feed(bytes); if (parser.state() ==
//   http1::ParseState::kComplete) {
//     Handle(parser.head(), parser.body());
//     parser.Reset();
//   }
//
// A message whose framing two readers could understand differently is invalid:
// both a length and a transfer coding, a coding other than "chunked", repeated
// lengths, names with blanks, control characters in values. Not thread-safe.
#ifndef JACKDAWSHUNT_HTTP1_PARSER_H_
#define JACKDAWSHUNT_HTTP1_PARSER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "jackdawshunt/http1/message.h"

namespace jackdawshunt::http1 {

enum class ParseState {
  kStart,     // No byte of a message yet.
  kHead,      // Inside the head.
  kBody,      // The head is complete.
  kComplete,  // The message is complete; Feed() takes nothing more.
  kInvalid,   // See ParseFault.
};

enum class ParseFault { kNone, kMalformed, kHeadTooLarge, kBodyTooLarge };

struct ParseLimits {
  size_t header_bytes = size_t{16} * 1024;
  size_t body_bytes = size_t{4} * 1024 * 1024;
};

// Reads one request with its whole body.
class RequestParser {
 public:
  explicit RequestParser(ParseLimits limits);
  ~RequestParser();
  RequestParser(const RequestParser&) = delete;
  RequestParser& operator=(const RequestParser&) = delete;

  // Returns how many bytes were consumed; the rest belongs to a later message.
  size_t Feed(std::string_view data);
  // Starts with a new message, under new limits if given.
  void Reset();
  void set_limits(ParseLimits limits);

  ParseState state() const;
  ParseFault fault() const;
  const RequestHead& head() const;
  std::string& body();
  // Whether the caller may send another request on the connection.
  bool keep_alive() const;
  // Whether the caller waits for "100 Continue" before it sends the body.
  bool expects_continue() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// Receives the parts of one response.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  virtual void OnHead(const ResponseHead& head) = 0;
  virtual void OnBody(std::string_view data) = 0;
};

// Reads one response; informational ones (1xx) are skipped.
class ResponseParser {
 public:
  ResponseParser();
  ~ResponseParser();
  ResponseParser(const ResponseParser&) = delete;
  ResponseParser& operator=(const ResponseParser&) = delete;

  // Returns how many bytes were consumed. `sink` must not destroy the parser.
  size_t Feed(std::string_view data, ResponseSink& sink);
  // The peer closed the connection in order. The message is then complete only
  // if its end is marked by the close.
  void FeedEnd(ResponseSink& sink);
  // Starts with a new message. A response to HEAD has no body.
  void Reset(bool to_head_request = false);

  ParseState state() const;
  bool keep_alive() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace jackdawshunt::http1

#endif  // JACKDAWSHUNT_HTTP1_PARSER_H_
