// Encodes messages as frames and decodes them. A frame is the 32-bit big-endian
// length of kind and body, the kind (one byte) and the body.
//
// Example:
//   std::string frame = protocol::Encode(protocol::Decline{.grant = 17});
//   protocol::Decoder decoder;
//   decoder.Append(frame);
//   absl::StatusOr<std::optional<protocol::Message>> next = decoder.Next();
#ifndef JACKDAWSHUNT_PROTOCOL_CODEC_H_
#define JACKDAWSHUNT_PROTOCOL_CODEC_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "jackdawshunt/protocol/messages.h"

namespace jackdawshunt::protocol {

// 1 MiB for a caller's body and 64 KiB for the other fields.
inline constexpr size_t kMaxFrameBytes = size_t{1024 + 64} * 1024;

// Format of the body of a frame.
enum class FrameKind : uint8_t {
  kJsonRpc = 1,
  kChunk = 2,
  kCounters = 3,
  kHandshake = 4,
  // 32-bit length of the JSON-RPC text, the text, and the contents of its blob
  // fields. Escaped in JSON, a body of 1 MiB could exceed the longest frame; a
  // body may also contain bytes that are not UTF-8.
  kJsonRpcWithBlob = 5,
  kCompact = 6,  // CBOR, for the frequent control messages.
};

// Returns the whole frame of a message.
std::string Encode(const Message& message);

// Splits a byte stream into messages. Not thread-safe.
class Decoder {
 public:
  Decoder();
  ~Decoder();

  // Adds received bytes.
  void Append(std::string_view bytes);
  // Returns the next message, or nullopt when more bytes are needed. Error:
  // InvalidArgument for a frame that is too long or malformed; the connection
  // must then be closed.
  absl::StatusOr<std::optional<Message>> Next();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace jackdawshunt::protocol

#endif  // JACKDAWSHUNT_PROTOCOL_CODEC_H_
