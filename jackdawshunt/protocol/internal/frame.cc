#include "jackdawshunt/protocol/internal/frame.h"

#include "absl/strings/str_cat.h"
#include "jackdawshunt/protocol/internal/binary.h"
#include "jackdawshunt/protocol/internal/compact.h"
#include "jackdawshunt/protocol/internal/json_rpc.h"

namespace jackdawshunt::protocol::internal {
namespace {

constexpr size_t kLengthBytes = 4;

bool IsKnownKind(unsigned char kind) {
  return kind >= static_cast<unsigned char>(FrameKind::kJsonRpc) &&
         kind <= static_cast<unsigned char>(FrameKind::kCompact);
}

}  // namespace

std::string BuildFrame(FrameKind kind, std::string_view body) {
  std::string frame;
  frame.reserve(kLengthBytes + 1 + body.size());
  AppendBigEndian(frame, static_cast<uint32_t>(body.size() + 1));
  frame.push_back(static_cast<char>(kind));
  frame.append(body);
  return frame;
}

void FrameReader::Append(std::string_view bytes) {
  if (consumed_bytes_ > 0) {
    buffer_.erase(0, consumed_bytes_);
    consumed_bytes_ = 0;
  }
  buffer_.append(bytes);
}

absl::StatusOr<std::optional<Frame>> FrameReader::Next(size_t max_bytes) {
  std::string_view remaining =
      std::string_view(buffer_).substr(consumed_bytes_);
  const auto length = TakeBigEndian<uint32_t>(remaining);
  if (!length.has_value()) {
    return std::nullopt;
  }
  if (*length == 0 || *length > max_bytes) {
    return absl::InvalidArgumentError(absl::StrCat(
        "frame of ", *length, " bytes; the length must be 1 to ", max_bytes));
  }
  if (remaining.empty()) {
    return std::nullopt;
  }
  const auto kind = static_cast<unsigned char>(remaining.front());
  if (!IsKnownKind(kind)) {
    return absl::InvalidArgumentError(
        absl::StrCat("unknown frame kind ", static_cast<int>(kind)));
  }
  if (remaining.size() < *length) {
    return std::nullopt;
  }
  consumed_bytes_ += kLengthBytes + *length;
  return Frame{static_cast<FrameKind>(kind), remaining.substr(1, *length - 1),
               kLengthBytes + *length};
}

struct BodyDecoder::Impl {
  JsonRpcDecoder json_rpc;
};

BodyDecoder::BodyDecoder() : impl_(std::make_unique<Impl>()) {}

BodyDecoder::~BodyDecoder() = default;

absl::StatusOr<Message> BodyDecoder::Decode(const Frame& frame) {
  switch (frame.kind) {
    case FrameKind::kJsonRpc:
      return impl_->json_rpc.Decode(frame.body, /*blobs=*/{});
    case FrameKind::kJsonRpcWithBlob: {
      std::string_view remaining = frame.body;
      const auto length = TakeBigEndian<uint32_t>(remaining);
      if (!length.has_value() || *length > remaining.size()) {
        return absl::InvalidArgumentError("frame shorter than its JSON text");
      }
      return impl_->json_rpc.Decode(remaining.substr(0, *length),
                                    remaining.substr(*length));
    }
    case FrameKind::kChunk:
      return DecodeChunk(frame.body);
    case FrameKind::kCounters:
      return DecodeCounters(frame.body);
    case FrameKind::kCompact:
      return DecodeCompact(frame.body);
    case FrameKind::kHandshake:
      break;
  }
  return absl::InvalidArgumentError("unexpected handshake frame");
}

}  // namespace jackdawshunt::protocol::internal
