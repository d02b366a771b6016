// Bodies of the chunk frames (binary) and the counters frames (CBOR).
#ifndef JACKDAWSHUNT_PROTOCOL_INTERNAL_BINARY_H_
#define JACKDAWSHUNT_PROTOCOL_INTERNAL_BINARY_H_

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "jackdawshunt/protocol/messages.h"

namespace jackdawshunt::protocol::internal {

// Layout, big-endian: 16-bit length of the request id, the id, 32-bit attempt,
// 64-bit offset, data.
std::string EncodeChunk(const Chunk& chunk);
// Error: InvalidArgument.
absl::StatusOr<Message> DecodeChunk(std::string_view body);

// An array of six: origins as [instance, start_us, random], workspaces,
// counters as a flat list of origin index, workspace index and service, lifts
// as a flat list of workspace index and lift, indices of the backlogged
// workspaces, virtual time. The indices keep repeated names out of the frame.
std::string EncodeCounters(const Counters& counters);
// Error: InvalidArgument.
absl::StatusOr<Message> DecodeCounters(std::string_view body);

// True when `data` is one CBOR item of definite lengths, no tags and a nesting
// of at most 8. nlohmann's reader recurses for each level and would overflow
// the stack on hostile input.
bool IsBoundedCbor(std::string_view data);

}  // namespace jackdawshunt::protocol::internal

#endif  // JACKDAWSHUNT_PROTOCOL_INTERNAL_BINARY_H_
