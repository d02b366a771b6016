// SHA-256, HMAC-SHA256 and constant-time comparison, by libcrypto.
//
// Example:
//   if (base::Sha256Hex(token) == record.token_sha256) { ... }
#ifndef JACKDAWSHUNT_BASE_CRYPTO_H_
#define JACKDAWSHUNT_BASE_CRYPTO_H_

#include <string>
#include <string_view>

namespace jackdawshunt::base {

// Returns the digest as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view data);

// Returns the code as 64 lower-case hexadecimal digits.
std::string HmacSha256Hex(std::string_view key, std::string_view data);

// Compares in a time that depends on the lengths only.
bool ConstantTimeEquals(std::string_view a, std::string_view b);

}  // namespace jackdawshunt::base

#endif  // JACKDAWSHUNT_BASE_CRYPTO_H_
