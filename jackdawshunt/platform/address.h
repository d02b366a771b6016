// Text form of an address.
//
// Example:
//   std::optional<http::Address> a = platform::ParseAddress("127.0.0.1:80");
#ifndef JACKDAWSHUNT_PLATFORM_ADDRESS_H_
#define JACKDAWSHUNT_PLATFORM_ADDRESS_H_

#include <optional>
#include <string_view>

#include "jackdawshunt/http/http.h"

namespace jackdawshunt::platform {

// Parses "a.b.c.d:port" or "[v6]:port"; nullopt for anything else, host names
// included. Port 0 is accepted.
std::optional<http::Address> ParseAddress(std::string_view text);

}  // namespace jackdawshunt::platform

#endif  // JACKDAWSHUNT_PLATFORM_ADDRESS_H_
