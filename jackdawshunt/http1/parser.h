// Strict incremental parsers of HTTP/1.1 messages, on http_parser.
//
// Example:
//   http1::ParseLimits limits{.header_bytes = 16384, .body_bytes = 1 << 20};
//   http1::RequestParser parser(limits);
//   size_t consumed = parser.Feed(bytes);
//   if (parser.state() == http1::ParseState::kComplete) {
//     Handle(parser.head(), parser.body());
//     parser.Reset();
//   }
//
// A message is invalid if two implementations could frame it differently: both
// a length and a transfer coding, a coding other than "chunked", repeated
// lengths, names with blanks, control characters in values. Not thread-safe.
#ifndef JACKDAWSHUNT_HTTP1_PARSER_H_
#define JACKDAWSHUNT_HTTP1_PARSER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "jackdawshunt/http1/message.h"

namespace jackdawshunt::http1 {

enum class ParseState {
  kStart,     // No byte of the message has arrived.
  kHead,      // The head is incomplete.
  kBody,      // The head is complete.
  kComplete,  // The message is complete; Feed() consumes no further bytes.
  kInvalid,   // The message was rejected; see ParseError.
};

enum class ParseError {
  kNone,
  kMalformed,
  kHeadTooLarge,
  kBodyTooLarge,
  kNoMemory,  // There is no room for the message.
};

struct ParseLimits {
  size_t header_bytes = size_t{16} * 1024;
  size_t body_bytes = size_t{4} * 1024 * 1024;
};

// Parses one request and buffers its whole body.
class RequestParser {
 public:
  // Returns whether the message may take `bytes` of memory.
  using MayHold = std::function<bool(size_t bytes)>;

  // Asks `may_hold`, if given, before the message takes more memory.
  explicit RequestParser(ParseLimits limits, MayHold may_hold = {});
  ~RequestParser();
  RequestParser(const RequestParser&) = delete;
  RequestParser& operator=(const RequestParser&) = delete;

  // Parses `data` and returns the number of bytes consumed; the rest belongs
  // to a later message.
  size_t Feed(std::string_view data);
  // Discards the current message and expects a new one.
  void Reset();
  // Releases the body and drops the rest of it; the head must be complete.
  void DropBody();
  // Ends the message as invalid and releases its memory.
  void Abandon();
  // Sets the limits for all bytes that are fed from now on.
  void set_limits(ParseLimits limits);

  ParseState state() const;
  ParseError error() const;
  const RequestHead& head() const;
  std::string& body();
  // Returns an upper bound of the memory that the message takes.
  size_t held_bytes() const;
  // Returns the bytes of the body that have not arrived; nullopt if the body is
  // chunked. The head must be complete.
  std::optional<uint64_t> remaining_bytes() const;
  // Returns whether the connection stays open for another request.
  bool keep_alive() const;
  // Returns whether the caller waits for "100 Continue" before it sends the
  // body.
  bool expects_continue() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// Receives the head of one response, then the parts of its body.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  virtual void OnHead(const ResponseHead& head) = 0;
  virtual void OnBody(std::string_view data) = 0;
};

// Parses one response and skips informational ones (1xx).
class ResponseParser {
 public:
  ResponseParser();
  ~ResponseParser();
  ResponseParser(const ResponseParser&) = delete;
  ResponseParser& operator=(const ResponseParser&) = delete;

  // Parses `data`, passes its parts to `sink`, and returns the number of bytes
  // consumed. `sink` must not destroy the parser.
  size_t Feed(std::string_view data, ResponseSink& sink);
  // Records that the peer closed the connection without a reset. An unfinished
  // message becomes complete if its end is marked by the close, else invalid.
  void FeedEnd(ResponseSink& sink);
  // Discards the current message and expects a new one. A response to HEAD has
  // no body.
  void Reset(bool to_head_request = false);

  ParseState state() const;
  bool keep_alive() const;
  // Returns whether the head is complete and only the end of the connection
  // marks the end of the body.
  bool is_unframed() const;
  // Returns whether only FeedEnd() marked the end of the message.
  bool was_ended_by_close() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace jackdawshunt::http1

#endif  // JACKDAWSHUNT_HTTP1_PARSER_H_
