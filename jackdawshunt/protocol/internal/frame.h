// Builds frames, splits a byte stream into frames and decodes their bodies.
#ifndef JACKDAWSHUNT_PROTOCOL_INTERNAL_FRAME_H_
#define JACKDAWSHUNT_PROTOCOL_INTERNAL_FRAME_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "jackdawshunt/protocol/codec.h"

namespace jackdawshunt::protocol::internal {

// Appends an unsigned integer in big-endian order.
template <typename T>
void AppendBigEndian(std::string& out, T value) {
  for (int shift = static_cast<int>(sizeof(T)) * 8 - 8; shift >= 0;
       shift -= 8) {
    out.push_back(static_cast<char>((value >> shift) & 0xff));
  }
}

// Removes an unsigned integer in big-endian order from the front of `in` and
// returns it. Returns nullopt when `in` is too short.
template <typename T>
std::optional<T> TakeBigEndian(std::string_view& in) {
  if (in.size() < sizeof(T)) {
    return std::nullopt;
  }
  T value = 0;
  for (size_t i = 0; i < sizeof(T); ++i) {
    value = static_cast<T>((static_cast<uint64_t>(value) << 8) |
                           static_cast<unsigned char>(in[i]));
  }
  in.remove_prefix(sizeof(T));
  return value;
}

// Returns a whole frame.
std::string BuildFrame(FrameKind kind, std::string_view body);

struct Frame {
  FrameKind kind;
  std::string_view body;   // Valid until the next call of the reader.
  size_t frame_bytes = 0;  // Length of the whole frame.
};

// Splits a byte stream into frames.
class FrameReader {
 public:
  // Adds received bytes.
  void Append(std::string_view bytes);
  // Returns the next frame, or nullopt when more bytes are needed. Error:
  // InvalidArgument for a frame that is empty, longer than `max_bytes` or of an
  // unknown kind.
  absl::StatusOr<std::optional<Frame>> Next(size_t max_bytes);
  // Returns the number of bytes not yet returned in a frame.
  size_t buffered_bytes() const { return buffer_.size() - consumed_bytes_; }

 private:
  std::string buffer_;
  size_t consumed_bytes_ = 0;  // Length of the frames already returned.
};

// Decodes the body of a frame other than a handshake.
class BodyDecoder {
 public:
  BodyDecoder();
  ~BodyDecoder();
  // Error: InvalidArgument.
  absl::StatusOr<Message> Decode(const Frame& frame);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace jackdawshunt::protocol::internal

#endif  // JACKDAWSHUNT_PROTOCOL_INTERNAL_FRAME_H_
