// Mutual challenge-response with the fleet key.
//
// Both ends send a hello with a fresh nonce. The dialer then proves that it
// holds the key, and the listener answers with its own proof only after it has
// checked the dialer's, so that a stranger who connects receives no code to
// test keys against. A proof is an HMAC over the end's name and both hello
// texts; the fresh nonces make a replayed proof useless, and the end's name a
// reflected one.
#ifndef JACKDAWSHUNT_PROTOCOL_INTERNAL_HANDSHAKE_H_
#define JACKDAWSHUNT_PROTOCOL_INTERNAL_HANDSHAKE_H_

#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "jackdawshunt/protocol/connection.h"

namespace jackdawshunt::protocol::internal {

// Longest handshake frame; a stranger cannot make the process buffer more.
inline constexpr size_t kMaxHandshakeBytes = size_t{4} * 1024;

enum class End { kDialer, kListener };

class Handshake {
 public:
  Handshake(const Identity& identity, End end);

  // Body of the first frame to send.
  const std::string& hello() const { return own_hello_; }
  // Takes the body of a received frame and returns the body of the frame to
  // send next, if any. Errors: InvalidArgument for a malformed frame,
  // Unauthenticated for a wrong proof.
  absl::StatusOr<std::optional<std::string>> Receive(std::string_view body);
  // True when the peer has proved that it holds the key.
  bool is_done() const { return done_; }
  const PeerInfo& peer() const { return peer_; }

 private:
  absl::Status ReadHello(std::string_view body);
  std::string Proof(End end) const;

  std::string key_;
  End end_;
  std::string own_hello_;
  std::string peer_hello_;
  PeerInfo peer_;
  bool done_ = false;
};

}  // namespace jackdawshunt::protocol::internal

#endif  // JACKDAWSHUNT_PROTOCOL_INTERNAL_HANDSHAKE_H_
