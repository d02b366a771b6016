#include "jackdawshunt/protocol/internal/handshake.h"

#include <utility>

#include "jackdawshunt/base/crypto.h"
#include "nlohmann/json.hpp"
#include "openssl/rand.h"

namespace jackdawshunt::protocol::internal {
namespace {

using nlohmann::json;

constexpr int kProtocolVersion = 1;
constexpr size_t kNonceBytes = 32;

std::string NewNonce() {
  unsigned char bytes[kNonceBytes];
  RAND_bytes(bytes, sizeof(bytes));
  return base::Sha256Hex(
      std::string_view(reinterpret_cast<const char*>(bytes), sizeof(bytes)));
}

std::string HelloText(const PeerInfo& self) {
  return json{{"version", kProtocolVersion},
              {"instance", self.instance},
              {"role", RoleName(self.role)},
              {"region", self.region},
              {"data_centre", self.data_centre},
              {"incarnation", self.incarnation.ToString()},
              {"upstream", self.upstream},
              {"nonce", NewNonce()}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

// Sets `value` to a member of `object`. Returns false when the member is absent
// or not a string.
bool ReadString(const json& object, const char* name, std::string& value) {
  const auto found = object.find(name);
  if (found == object.end() || !found->is_string()) {
    return false;
  }
  value = found->get<std::string>();
  return true;
}

}  // namespace

Handshake::Handshake(const Identity& identity, Endpoint endpoint)
    : key_(identity.fleet_key),
      endpoint_(endpoint),
      own_hello_(HelloText(identity.self)) {}

absl::StatusOr<std::optional<std::string>> Handshake::Receive(
    std::string_view body) {
  if (peer_hello_.empty()) {
    if (const absl::Status status = ParseHello(body); !status.ok()) {
      return status;
    }
    if (endpoint_ == Endpoint::kListener) {
      return std::nullopt;
    }
    return Proof(Endpoint::kDialer);
  }
  const Endpoint other =
      endpoint_ == Endpoint::kDialer ? Endpoint::kListener : Endpoint::kDialer;
  if (!base::ConstantTimeEquals(body, Proof(other))) {
    return absl::UnauthenticatedError(
        "the peer's proof does not match the fleet key");
  }
  done_ = true;
  if (endpoint_ == Endpoint::kDialer) {
    return std::nullopt;
  }
  return Proof(Endpoint::kListener);
}

absl::Status Handshake::ParseHello(std::string_view body) {
  // The parser recurses for each level of nesting; kMaxHandshakeBytes bounds
  // them. A valid hello has 1 level.
  const json hello = json::parse(body, nullptr, /*allow_exceptions=*/false);
  std::string role;
  std::string incarnation;
  std::string nonce;
  if (!hello.is_object() || !hello.contains("version") ||
      hello["version"] != kProtocolVersion ||
      !ReadString(hello, "instance", peer_.instance) ||
      !ReadString(hello, "role", role) ||
      !ReadString(hello, "region", peer_.region) ||
      !ReadString(hello, "data_centre", peer_.data_centre) ||
      !ReadString(hello, "incarnation", incarnation) ||
      !ReadString(hello, "upstream", peer_.upstream) ||
      !ReadString(hello, "nonce", nonce) || nonce.size() != 2 * kNonceBytes) {
    return absl::InvalidArgumentError("malformed hello");
  }
  const auto parsed_role = ParseRole(role);
  const auto parsed_incarnation = base::Incarnation::Parse(incarnation);
  if (!parsed_role.has_value() || !parsed_incarnation.ok()) {
    return absl::InvalidArgumentError("malformed hello");
  }
  peer_.role = *parsed_role;
  peer_.incarnation = *parsed_incarnation;
  peer_hello_ = body;
  return absl::OkStatus();
}

std::string Handshake::Proof(Endpoint endpoint) const {
  const bool is_dialer = endpoint_ == Endpoint::kDialer;
  const std::string& dialer_hello = is_dialer ? own_hello_ : peer_hello_;
  const std::string& listener_hello = is_dialer ? peer_hello_ : own_hello_;
  std::string text = endpoint == Endpoint::kDialer ? "dialer:" : "listener:";
  text += base::Sha256Hex(dialer_hello);
  text += base::Sha256Hex(listener_hello);
  return base::HmacSha256Hex(key_, text);
}

}  // namespace jackdawshunt::protocol::internal
