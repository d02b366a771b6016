// Converts an Address to the structure that socket calls take.
//
// Example:
//   std::optional<sockaddr_in> to = http::ToSocketAddress({"127.0.0.1", 80});
#ifndef JACKDAWSHUNT_HTTP_SOCKET_ADDRESS_H_
#define JACKDAWSHUNT_HTTP_SOCKET_ADDRESS_H_

#include <netinet/in.h>

#include <optional>

#include "jackdawshunt/http/http.h"

namespace jackdawshunt::http {

// Returns the socket address, or nullopt if the IP is not an IPv4 address.
// Port 0 is allowed.
std::optional<sockaddr_in> ToSocketAddress(const Address& address);

}  // namespace jackdawshunt::http

#endif  // JACKDAWSHUNT_HTTP_SOCKET_ADDRESS_H_
