// SHA-256, HMAC-SHA256 and constant-time comparison, implemented by libcrypto.
//
// Example:
//   if (base::Sha256Hex(token) == record.token_sha256) { ... }
#ifndef JACKDAWSHUNT_BASE_CRYPTO_H_
#define JACKDAWSHUNT_BASE_CRYPTO_H_

#include <string>
#include <string_view>

namespace jackdawshunt::base {

// Returns the SHA-256 digest as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view data);

// Returns the HMAC-SHA256 of `data` as 64 lower-case hexadecimal digits.
std::string HmacSha256Hex(std::string_view key, std::string_view data);

// Returns whether `a` equals `b`, in a time that depends on their lengths only.
bool ConstantTimeEquals(std::string_view a, std::string_view b);

}  // namespace jackdawshunt::base

#endif  // JACKDAWSHUNT_BASE_CRYPTO_H_
