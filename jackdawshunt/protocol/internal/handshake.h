// Implements mutual challenge-response authentication with the fleet key.
//
// Both endpoints send a hello with a fresh nonce. The dialer then sends its
// proof that it knows the key. The listener sends its own proof only after it
// has verified the dialer's, so that an unauthenticated peer receives no HMAC
// to test keys against. A proof is an HMAC over the endpoint's name and both
// hello texts: the nonces prevent replay, the endpoint's name prevents
// reflection.
#ifndef JACKDAWSHUNT_PROTOCOL_INTERNAL_HANDSHAKE_H_
#define JACKDAWSHUNT_PROTOCOL_INTERNAL_HANDSHAKE_H_

#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "jackdawshunt/protocol/connection.h"

namespace jackdawshunt::protocol::internal {

// Longest handshake frame. Bounds what the process buffers for an
// unauthenticated peer.
inline constexpr size_t kMaxHandshakeBytes = size_t{4} * 1024;

// The two endpoints of a connection.
enum class Endpoint { kDialer, kListener };

// The state of one endpoint of a handshake.
class Handshake {
 public:
  Handshake(const Identity& identity, Endpoint endpoint);

  // Returns the body of the first frame to send.
  const std::string& hello() const { return own_hello_; }
  // Processes the body of a received frame and returns the body of the next
  // frame to send, if any. Errors: InvalidArgument for a malformed frame,
  // Unauthenticated for a wrong proof.
  absl::StatusOr<std::optional<std::string>> Receive(std::string_view body);
  // Returns true once the peer has proved that it knows the key.
  bool is_done() const { return done_; }
  // Returns the content of the peer's hello, unauthenticated until is_done().
  const PeerInfo& peer() const { return peer_; }

 private:
  absl::Status ParseHello(std::string_view body);
  std::string Proof(Endpoint endpoint) const;

  std::string key_;
  Endpoint endpoint_;
  std::string own_hello_;
  std::string peer_hello_;
  PeerInfo peer_;
  bool done_ = false;
};

}  // namespace jackdawshunt::protocol::internal

#endif  // JACKDAWSHUNT_PROTOCOL_INTERNAL_HANDSHAKE_H_
