// Value types shared by the HTTP server and client.
//
// Example:
//   http::Request request{.method = "POST",
//                         .path = "/load",
//                         .headers = {{"Content-Type", "application/json"}},
//                         .body = "{}"};
//   std::string_view type = http::FindHeader(request.headers, "content-type");
#ifndef JACKDAWSHUNT_HTTP_HTTP_H_
#define JACKDAWSHUNT_HTTP_HTTP_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jackdawshunt::http {

using Headers = std::vector<std::pair<std::string, std::string>>;

// Returns the first value of the header `name`, compared without case, or an
// empty string if it is absent. The result points into `headers`.
std::string_view FindHeader(const Headers& headers, std::string_view name);

// Encodes `text` for a path or a value of a query; slashes stay.
std::string PercentEncode(std::string_view text);

// An IP address and a port. Host names are not resolved.
struct Address {
  std::string ip = "127.0.0.1";
  uint16_t port = 0;

  auto operator<=>(const Address&) const = default;
  // Returns "ip:port".
  std::string ToString() const;
};

struct Request {
  std::string method = "GET";
  std::string path;  // Without the query string.
  std::string query;
  Headers headers;
  std::string body;
};

struct Response {
  int status = 200;
  Headers headers;
  std::string body;
};

}  // namespace jackdawshunt::http

#endif  // JACKDAWSHUNT_HTTP_HTTP_H_
