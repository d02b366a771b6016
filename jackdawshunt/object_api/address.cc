#include "jackdawshunt/object_api/address.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <string>

namespace jackdawshunt::object_api {

std::optional<http::Address> ParseAddress(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view ip = text.substr(0, colon);
  const std::string_view digits = text.substr(colon + 1);
  const bool is_v6 = ip.starts_with('[') && ip.ends_with(']');
  if (is_v6) {
    ip = ip.substr(1, ip.size() - 2);
  }
  http::Address address;
  address.ip = std::string(ip);
  std::array<unsigned char, sizeof(in6_addr)> parsed{};
  if (inet_pton(is_v6 ? AF_INET6 : AF_INET, address.ip.c_str(),
                parsed.data()) != 1) {
    return std::nullopt;
  }
  uint16_t port = 0;
  const char* const end = digits.data() + digits.size();
  const auto result = std::from_chars(digits.data(), end, port);
  if (result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  address.port = port;
  return address;
}

}  // namespace jackdawshunt::object_api
