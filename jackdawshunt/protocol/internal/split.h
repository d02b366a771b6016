// Splits messages that are longer than a frame.
#ifndef JACKDAWSHUNT_PROTOCOL_INTERNAL_SPLIT_H_
#define JACKDAWSHUNT_PROTOCOL_INTERNAL_SPLIT_H_

#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "jackdawshunt/protocol/messages.h"

namespace jackdawshunt::protocol::internal {

// Returns the frames of a message, each of at most `max_bytes`. A config_push
// or counters message that does not fit into one frame is split into several;
// the receiver merges both entry by entry, so that the parts have the same
// effect as the whole. Error: OutOfRange when a part that cannot be split is
// too long.
absl::StatusOr<std::vector<std::string>> EncodeParts(const Message& message,
                                                     size_t max_bytes);

}  // namespace jackdawshunt::protocol::internal

#endif  // JACKDAWSHUNT_PROTOCOL_INTERNAL_SPLIT_H_
