// Parses the text form of an IP address and port.
//
// Example:
//   std::optional<http::Address> address =
//       object_api::ParseAddress("127.0.0.1:80");
#ifndef JACKDAWSHUNT_OBJECT_API_ADDRESS_H_
#define JACKDAWSHUNT_OBJECT_API_ADDRESS_H_

#include <optional>
#include <string_view>

#include "jackdawshunt/http/http.h"

namespace jackdawshunt::object_api {

// Parses "a.b.c.d:port" or "[v6]:port". Returns nullopt for anything else,
// including host names. Accepts port 0.
std::optional<http::Address> ParseAddress(std::string_view text);

}  // namespace jackdawshunt::object_api

#endif  // JACKDAWSHUNT_OBJECT_API_ADDRESS_H_
