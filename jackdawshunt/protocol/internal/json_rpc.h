// Encodes messages as JSON-RPC 2.0 notifications with jsoncpp, and decodes them
// with the server part of libjsonrpccpp.
#ifndef JACKDAWSHUNT_PROTOCOL_INTERNAL_JSON_RPC_H_
#define JACKDAWSHUNT_PROTOCOL_INTERNAL_JSON_RPC_H_

#include <memory>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "jackdawshunt/protocol/messages.h"

namespace jackdawshunt::protocol::internal {

// An encoded notification.
struct JsonRpcText {
  std::string json;
  std::string blobs;  // Contents of the blob fields, concatenated.
};

// Encodes a message other than Chunk and Counters.
JsonRpcText EncodeJsonRpc(const Message& message);

// Decodes the output of EncodeJsonRpc().
class JsonRpcDecoder {
 public:
  JsonRpcDecoder();
  ~JsonRpcDecoder();

  // Returns the decoded message. Unknown fields are ignored and absent ones
  // keep their defaults, so that two releases can run in one fleet. Error:
  // InvalidArgument.
  absl::StatusOr<Message> Decode(std::string_view json, std::string_view blobs);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace jackdawshunt::protocol::internal

#endif  // JACKDAWSHUNT_PROTOCOL_INTERNAL_JSON_RPC_H_
