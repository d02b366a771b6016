#include "jackdawshunt/protocol/codec.h"

#include <utility>

#include "jackdawshunt/protocol/internal/binary.h"
#include "jackdawshunt/protocol/internal/compact.h"
#include "jackdawshunt/protocol/internal/frame.h"
#include "jackdawshunt/protocol/internal/json_rpc.h"
#include "jackdawshunt/protocol/internal/schema.h"

namespace jackdawshunt::protocol {

std::string Encode(const Message& message) {
  if (const auto* chunk = std::get_if<Chunk>(&message)) {
    return internal::BuildFrame(FrameKind::kChunk,
                                internal::EncodeChunk(*chunk));
  }
  if (const auto* counters = std::get_if<Counters>(&message)) {
    return internal::BuildFrame(FrameKind::kCounters,
                                internal::EncodeCounters(*counters));
  }
  if (const auto body = internal::EncodeCompact(message)) {
    return internal::BuildFrame(FrameKind::kCompact, *body);
  }
  const internal::JsonRpcText text = internal::EncodeJsonRpc(message);
  const bool has_blob = std::visit(
      []<typename M>(const M&) { return internal::kHasBlob<M>; }, message);
  if (!has_blob) {
    return internal::BuildFrame(FrameKind::kJsonRpc, text.json);
  }
  std::string body;
  body.reserve(sizeof(uint32_t) + text.json.size() + text.blobs.size());
  internal::AppendBigEndian(body, static_cast<uint32_t>(text.json.size()));
  body += text.json;
  body += text.blobs;
  return internal::BuildFrame(FrameKind::kJsonRpcWithBlob, body);
}

struct Decoder::Impl {
  internal::FrameReader frames;
  internal::BodyDecoder bodies;
};

Decoder::Decoder() : impl_(std::make_unique<Impl>()) {}

Decoder::~Decoder() = default;

void Decoder::Append(std::string_view bytes) {
  impl_->frames.Append(bytes);
}

absl::StatusOr<std::optional<Message>> Decoder::Next() {
  auto frame = impl_->frames.Next(kMaxFrameBytes);
  if (!frame.ok()) {
    return frame.status();
  }
  if (!frame->has_value()) {
    return std::nullopt;
  }
  auto message = impl_->bodies.Decode(**frame);
  if (!message.ok()) {
    return message.status();
  }
  return *std::move(message);
}

}  // namespace jackdawshunt::protocol
