// Encodes and decodes the compact form of the control messages that are sent
// for every request or several times a second: a CBOR array of the message
// number and the fields in the order of the schema. Less frequent messages use
// JSON-RPC, which is easier to read in a capture and to extend.
#ifndef JACKDAWSHUNT_PROTOCOL_INTERNAL_COMPACT_H_
#define JACKDAWSHUNT_PROTOCOL_INTERNAL_COMPACT_H_

#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "jackdawshunt/protocol/messages.h"

namespace jackdawshunt::protocol::internal {

// Returns the body of a compact frame, or nullopt for a message without a
// compact form.
std::optional<std::string> EncodeCompact(const Message& message);

// Returns the decoded message. Fields after the known ones are ignored and
// absent trailing fields keep their defaults, so that two releases can run in
// one fleet. Error: InvalidArgument.
absl::StatusOr<Message> DecodeCompact(std::string_view body);

}  // namespace jackdawshunt::protocol::internal

#endif  // JACKDAWSHUNT_PROTOCOL_INTERNAL_COMPACT_H_
