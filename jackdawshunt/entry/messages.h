// Messages between the tasks of the entry role.
//
// The HTTP frontend posts CallerEvents to the dispatcher, which posts Answers
// back. The links task posts LinkEvents to the dispatcher, which posts
// LinkCommands back.
//
// Example:
//   dispatcher.Post(entry::Consumed{.request = id, .offset = 12});
#ifndef JACKDAWSHUNT_ENTRY_MESSAGES_H_
#define JACKDAWSHUNT_ENTRY_MESSAGES_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jackdawshunt/base/error.h"
#include "jackdawshunt/protocol/messages.h"

namespace jackdawshunt::entry {

// A validated request of an authenticated caller.
struct Submit {
  std::string request;
  std::string workspace;
  std::string model;  // "name" or "name@version", or the name of a service.
  protocol::RequestClass request_class = protocol::RequestClass::kShort;
  protocol::StartKind kind = protocol::StartKind::kModel;
  bool repeatable = true;
  bool is_stream = false;
  std::string method;
  std::string path;  // Services: path at the upstream, with the query.
  std::string content_type;
  std::string body;
  int64_t max_tokens = 0;
  int64_t resume_tokens = 0;
  std::string idempotency_key;  // Non-repeatable calls only.
};

// A caller resumes a stream from token `offset` on.
struct ResumeStream {
  std::string request;
  std::string side;
  std::string workspace;
  int64_t offset = 0;
};

// The caller has taken all tokens below `offset`.
struct Consumed {
  std::string request;
  int64_t offset = 0;
};

// The caller closed its connection before the answer was complete.
struct CallerDisconnected {
  std::string request;
};

using CallerEvent =
    std::variant<Submit, ResumeStream, Consumed, CallerDisconnected>;

// `side` accepted the request.
struct AcceptedBySide {
  std::string request;
  std::string side;
};

// Consecutive tokens of a model's answer.
struct Tokens {
  std::string request;
  int64_t offset = 0;  // Index of the first token.
  std::vector<std::string> tokens;
};

// Complete answer of a model.
struct Completed {
  std::string request;
  protocol::Done done;
};

// Complete answer of a plain service.
struct ServiceReply {
  std::string request;
  int32_t http_status = 200;
  std::string content_type;
  std::string body;
  bool is_replay = false;  // Recorded answer of an earlier call.
  bool has_body = true;    // False when the recorded body was too large.
};

// Error with which a request ended.
struct Failure {
  std::string request;
  base::ErrorKind kind = base::ErrorKind::kInternal;
  base::Executed executed = base::Executed::kUnknown;
  std::string message;
  std::optional<std::chrono::seconds> retry_after;
};

using Answer =
    std::variant<AcceptedBySide, Tokens, Completed, ServiceReply, Failure>;

struct LinkUp {
  protocol::PeerInfo peer;
};

struct LinkDown {
  protocol::PeerInfo peer;
};

struct LinkMessage {
  std::string instance;
  protocol::Message message;
};

// The instance was removed from the instance list and its link is down.
struct InstanceRemoved {
  std::string instance;
};

// The instance list marked the instance as leaving, or as live again.
struct InstanceLeavingChanged {
  std::string instance;
  bool is_leaving = false;
};

using LinkEvent = std::variant<LinkUp,
                               LinkDown,
                               LinkMessage,
                               InstanceRemoved,
                               InstanceLeavingChanged>;

struct LinkCommand {
  std::string instance;
  protocol::Message message;
};

}  // namespace jackdawshunt::entry

#endif  // JACKDAWSHUNT_ENTRY_MESSAGES_H_
