#include "jackdawshunt/base/crypto.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

#include <array>

#include "absl/strings/escaping.h"

namespace jackdawshunt::base {
namespace {

using Digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

std::string Hex(const Digest& digest) {
  return absl::BytesToHexString(absl::string_view(
      reinterpret_cast<const char*>(digest.data()), digest.size()));
}

const unsigned char* Bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

}  // namespace

std::string Sha256Hex(std::string_view data) {
  Digest digest;
  SHA256(Bytes(data), data.size(), digest.data());
  return Hex(digest);
}

std::string HmacSha256Hex(std::string_view key, std::string_view data) {
  Digest digest;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), Bytes(data),
       data.size(), digest.data(), nullptr);
  return Hex(digest);
}

bool ConstantTimeEquals(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace jackdawshunt::base
