// Value types shared by the HTTP server and client.
#ifndef JACKDAWSHUNT_HTTP_HTTP_H_
#define JACKDAWSHUNT_HTTP_HTTP_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jackdawshunt::http {

using Headers = std::vector<std::pair<std::string, std::string>>;

// Returns the first value of a header, names compared without case; empty when
// the header is absent.
std::string_view FindHeader(const Headers& headers, std::string_view name);

// An IP address and a port. Host names are not resolved.
struct Address {
  std::string ip = "127.0.0.1";
  uint16_t port = 0;

  auto operator<=>(const Address&) const = default;
  std::string ToString() const;  // "ip:port"
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
