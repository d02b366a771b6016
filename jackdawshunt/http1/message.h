// Heads of HTTP/1.1 messages and their serialization.
//
// Example:
//   http1::ResponseHead head{.status = 503,
//                            .headers = {{"Retry-After", "0.3"}}};
//   std::string text = http1::Serialize(head, http1::BodyFraming::Length(0));
#ifndef JACKDAWSHUNT_HTTP1_MESSAGE_H_
#define JACKDAWSHUNT_HTTP1_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "jackdawshunt/http/http.h"

namespace jackdawshunt::http1 {

struct RequestHead {
  std::string method = "GET";
  std::string target;  // Path and query, as received.
  http::Headers headers;
};

struct ResponseHead {
  int status = 200;
  http::Headers headers;
};

// Specifies how the end of a body is marked.
struct BodyFraming {
  std::optional<uint64_t> length;  // In bytes; chunked if absent.

  static BodyFraming Length(uint64_t bytes) { return {bytes}; }
  static BodyFraming Chunked() { return {std::nullopt}; }
};

// Returns whether the header `name` applies to one connection only and must not
// be forwarded.
bool IsHopByHop(std::string_view name);

// Returns `headers` without hop-by-hop headers, headers listed in `Connection`,
// and headers that describe the framing.
http::Headers EndToEndHeaders(const http::Headers& headers);

// Returns whether `a` and `b` are equal, ignoring ASCII case.
bool EqualsIgnoreCase(std::string_view a, std::string_view b);

// Returns the number of headers called `name`.
size_t CountHeader(const http::Headers& headers, std::string_view name);

// Returns whether responses with this status have no body, whatever the request
// (RFC 9110, 6.4.1).
bool IsBodiless(int status);

// Returns the bytes of the head with its framing header and the final empty
// line. A response without a body has no framing header. `close_after` adds
// "Connection: close".
std::string Serialize(const RequestHead& head,
                      std::optional<uint64_t> body_bytes);
std::string Serialize(const ResponseHead& head,
                      BodyFraming framing,
                      bool close_after = false);

// Appends `data` as one chunk to `out`; `data` must not be empty.
void AppendChunk(std::string_view data, std::string& out);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace jackdawshunt::http1

#endif  // JACKDAWSHUNT_HTTP1_MESSAGE_H_
