// Encodes and decodes the bodies of chunk frames (binary) and counters frames
// (CBOR).
#ifndef JACKDAWSHUNT_PROTOCOL_INTERNAL_BINARY_H_
#define JACKDAWSHUNT_PROTOCOL_INTERNAL_BINARY_H_

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "jackdawshunt/protocol/messages.h"

namespace jackdawshunt::protocol::internal {

// Returns the body of a chunk frame. Layout, big-endian: 16-bit length of the
// request id, the id, 32-bit attempt, 64-bit offset, data.
std::string EncodeChunk(const Chunk& chunk);
// Error: InvalidArgument.
absl::StatusOr<Message> DecodeChunk(std::string_view body);

// Returns the body of a counters frame, a CBOR array of six parts: origins as
// [instance, start_us, random]; workspaces; counters as a flat list of origin
// index, workspace index and service; lifts as a flat list of workspace index
// and lift; indices of the backlogged workspaces; virtual time. With the
// indices, each name occurs once in the frame.
std::string EncodeCounters(const Counters& counters);
// Error: InvalidArgument.
absl::StatusOr<Message> DecodeCounters(std::string_view body);

// Returns true when `data` is one CBOR item with definite lengths only, without
// byte strings, maps and tags, and with at most 8 levels of nesting.
// nlohmann::json recurses for each level, so that hostile input would overflow
// the stack.
bool IsBoundedCbor(std::string_view data);

}  // namespace jackdawshunt::protocol::internal

#endif  // JACKDAWSHUNT_PROTOCOL_INTERNAL_BINARY_H_
