#include "jackdawshunt/http/socket_address.h"

#include <arpa/inet.h>

namespace jackdawshunt::http {

std::optional<sockaddr_in> ToSocketAddress(const Address& address) {
  sockaddr_in converted{};
  converted.sin_family = AF_INET;
  converted.sin_port = htons(address.port);
  if (inet_pton(AF_INET, address.ip.c_str(), &converted.sin_addr) != 1) {
    return std::nullopt;
  }
  return converted;
}

}  // namespace jackdawshunt::http
