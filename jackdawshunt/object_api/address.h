// Text form of an address.
//
// Example:
//   std::optional<http::Address> a = object_api::ParseAddress("127.0.0.1:80");
#ifndef JACKDAWSHUNT_OBJECT_API_ADDRESS_H_
#define JACKDAWSHUNT_OBJECT_API_ADDRESS_H_

#include <optional>
#include <string_view>

#include "jackdawshunt/http/http.h"

namespace jackdawshunt::object_api {

// Parses "a.b.c.d:port" or "[v6]:port"; nullopt for anything else, host names
// included. Port 0 is accepted.
std::optional<http::Address> ParseAddress(std::string_view text);

}  // namespace jackdawshunt::object_api

#endif  // JACKDAWSHUNT_OBJECT_API_ADDRESS_H_
