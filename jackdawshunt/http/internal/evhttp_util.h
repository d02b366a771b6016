// Conversions between evhttp's structures and the value types of http.h.
#ifndef JACKDAWSHUNT_HTTP_INTERNAL_EVHTTP_UTIL_H_
#define JACKDAWSHUNT_HTTP_INTERNAL_EVHTTP_UTIL_H_

#include <event2/buffer.h>
#include <event2/http.h>

#include <optional>
#include <string>
#include <string_view>

#include "jackdawshunt/http/http.h"

namespace jackdawshunt::http::internal {

// Returns a copy of evhttp's list of headers.
Headers CopyHeaders(const evkeyvalq* list);

// Appends to evhttp's list. A header with a line break in it is left out.
void AddHeaders(const Headers& headers, evkeyvalq* list);

// Takes all bytes out of the buffer.
std::string TakeAll(evbuffer* buffer);

void AppendTo(evbuffer* buffer, std::string_view data);

std::string_view MethodName(evhttp_cmd_type type);
std::optional<evhttp_cmd_type> ParseMethod(std::string_view name);

// Sends each write at once instead of waiting for more data (Nagle).
void SetNoDelay(evutil_socket_t fd);

}  // namespace jackdawshunt::http::internal

#endif  // JACKDAWSHUNT_HTTP_INTERNAL_EVHTTP_UTIL_H_
