// Requests and answers as callers and upstreams of the platform write them.
//
// Example:
//   absl::StatusOr<platform::CallerRequest> request =
//       platform::DecodeRequest(head);
//   http1::RequestHead forwarded = platform::EncodeUpstreamRequest(head, to);
//   platform::UpstreamAnswer answer = platform::DecodeAnswer(response_head);
#ifndef JACKDAWSHUNT_PLATFORM_WIRE_H_
#define JACKDAWSHUNT_PLATFORM_WIRE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "jackdawshunt/http1/message.h"
#include "jackdawshunt/kernel/clock.h"
#include "jackdawshunt/routing/prompt.h"

namespace jackdawshunt::platform {

struct CallerRequest {
  std::string id;  // Of this attempt of the caller; each retry has another.
  std::string host;
  // How long the caller waits; absent when it did not say.
  std::optional<kernel::Duration> deadline;
  std::string api_key;                    // Empty when there is none.
  std::optional<routing::Prompt> prompt;  // Absent for plain services.
  // The event after which an interrupted stream goes on.
  std::optional<uint64_t> last_event_id;
};

// Error: InvalidArgument names the header that is missing or malformed.
absl::StatusOr<CallerRequest> DecodeRequest(const http1::RequestHead& head);

// Whether the balancer asks if this instance takes callers.
bool IsReadinessRequest(const http1::RequestHead& head);

// What the system adds to a request that it forwards.
struct ForwardedFields {
  kernel::Duration remaining_deadline{};
  std::string upstream_id;  // Any other upstream refuses the request.
  std::string workspace;    // Empty on public routes.
  // Overrides the caller's when a stream is resumed.
  std::optional<uint64_t> last_event_id;
};

// Returns the head to send. Headers that only the system may set are taken
// from no caller, and the API key stays here.
http1::RequestHead EncodeUpstreamRequest(const http1::RequestHead& head,
                                         const ForwardedFields& fields);

struct UpstreamAnswer {
  int status = 0;
  std::string request_id;  // Of the request that the upstream answered.
  bool is_sealed = false;  // Carries the upstream's signature.
  // The upstream says that it did not and will not run the request.
  bool is_not_executed = false;
  // Another upstream has the address.
  bool is_wrong_instance = false;
  bool is_success() const { return status >= 200 && status < 300; }
};

UpstreamAnswer DecodeAnswer(const http1::ResponseHead& head);

// The headers of an answer made here.
http::Headers AnswerHeaders(std::string_view request_id,
                            std::optional<kernel::Duration> retry_after);

}  // namespace jackdawshunt::platform

#endif  // JACKDAWSHUNT_PLATFORM_WIRE_H_
