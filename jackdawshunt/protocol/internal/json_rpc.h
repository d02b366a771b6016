// JSON-RPC 2.0 notifications: encoded with jsoncpp, decoded and dispatched by
// libjsonrpccpp's server half.
#ifndef JACKDAWSHUNT_PROTOCOL_INTERNAL_JSON_RPC_H_
#define JACKDAWSHUNT_PROTOCOL_INTERNAL_JSON_RPC_H_

#include <memory>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "jackdawshunt/protocol/messages.h"

namespace jackdawshunt::protocol::internal {

struct JsonRpcText {
  std::string json;
  std::string blobs;  // Contents of the blob fields, one after the other.
};

// `message` is neither a Chunk nor a Counters.
JsonRpcText EncodeJsonRpc(const Message& message);

class JsonRpcDecoder {
 public:
  JsonRpcDecoder();
  ~JsonRpcDecoder();

  // Error: InvalidArgument. Unknown fields are ignored and absent ones keep
  // their defaults, so that two releases can run side by side.
  absl::StatusOr<Message> Decode(std::string_view json, std::string_view blobs);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace jackdawshunt::protocol::internal

#endif  // JACKDAWSHUNT_PROTOCOL_INTERNAL_JSON_RPC_H_
