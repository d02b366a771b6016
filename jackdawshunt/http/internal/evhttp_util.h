// Conversions between evhttp's structures and the value types of http.h.
//
// Example:
//   Headers headers =
//       internal::CopyHeaders(evhttp_request_get_input_headers(request));
#ifndef JACKDAWSHUNT_HTTP_INTERNAL_EVHTTP_UTIL_H_
#define JACKDAWSHUNT_HTTP_INTERNAL_EVHTTP_UTIL_H_

#include <event2/buffer.h>
#include <event2/http.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "jackdawshunt/http/http.h"

namespace jackdawshunt::http::internal {

// Limit for bytes that evhttp has received and cannot parse yet: a chunk, or
// its size with extensions, which evhttp searches again for each further piece.
inline constexpr size_t kMaxUnparsedBytes = size_t{8} * 1024 * 1024;

// Returns a copy of evhttp's list of headers.
Headers CopyHeaders(const evkeyvalq* list);

// Appends `headers` to evhttp's list, except headers that contain a line break.
void AddHeaders(const Headers& headers, evkeyvalq* list);

// Removes and returns all bytes of `buffer`.
std::string TakeAll(evbuffer* buffer);

// Appends a copy of `data` to `buffer`.
void AppendTo(evbuffer* buffer, std::string_view data);

// Returns the name of the method, or "UNKNOWN".
std::string_view MethodName(evhttp_cmd_type type);
// Returns the method called `name`, or nullopt if evhttp has none.
std::optional<evhttp_cmd_type> ParseMethod(std::string_view name);

// Makes the socket send each write at once (disables Nagle's algorithm).
void SetNoDelay(evutil_socket_t fd);

}  // namespace jackdawshunt::http::internal

#endif  // JACKDAWSHUNT_HTTP_INTERNAL_EVHTTP_UTIL_H_
