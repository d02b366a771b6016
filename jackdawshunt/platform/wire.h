// Decodes and encodes the HTTP headers that callers and upstreams of the
// platform use.
//
// Example:
//   absl::StatusOr<platform::CallerRequest> request =
//       platform::DecodeRequest(head);
//   auto forwarded = platform::EncodeUpstreamRequest(head, fields);
//   auto answer = platform::DecodeAnswer(response_head);
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
  std::string id;  // Unique to each attempt; a retry by the caller has another.
  std::string host;
  // Time that the caller waits, from now on; absent when not specified.
  std::optional<kernel::Duration> deadline;
  std::string api_key;                    // Empty when not given.
  std::optional<routing::Prompt> prompt;  // Absent for plain services.
  // The last event that the caller received of an interrupted stream, and the
  // id of the request whose answer began it; empty when not given.
  std::string last_event_id;
  std::string resumed_request;

  // Returns whether the caller continues an interrupted stream.
  bool resumes_stream() const {
    return !last_event_id.empty() || !resumed_request.empty();
  }
};

// Error: InvalidArgument, which names the missing or malformed header.
absl::StatusOr<CallerRequest> DecodeRequest(const http1::RequestHead& head);

// Returns whether this is a readiness check of the load balancer.
bool IsReadinessRequest(const http1::RequestHead& head);

// Values of the headers added to a forwarded request.
struct ForwardedFields {
  kernel::Duration remaining_deadline{};
  std::string upstream_id;  // Every other upstream refuses the request.
  std::string workspace;    // Empty on public routes.
  // Replaces the caller's Last-Event-Id when a stream is resumed.
  std::optional<uint64_t> last_event_id;
};

// Returns the head to send to the upstream. Drops the caller's API key and the
// headers that callers must not set.
http1::RequestHead EncodeUpstreamRequest(const http1::RequestHead& head,
                                         const ForwardedFields& fields);

struct UpstreamAnswer {
  int status = 0;
  std::string request_id;  // Id of the request that the upstream answered.
  bool is_sealed = false;  // Whether it has the upstream's signature.
  // The upstream states that it did not and will not execute the request.
  bool is_not_executed = false;
  // The address now belongs to another upstream.
  bool is_wrong_instance = false;
  // The upstream states that it is shutting down.
  bool is_leaving = false;
  // Set on a 503: the upstream wants no requests of this instance for so long.
  // At most kMaxUpstreamRetryAfter; absent if the value cannot be used.
  std::optional<kernel::Duration> retry_after;
  // Requests a second that the upstream takes from all instances together; at
  // least kMinUpstreamLimit. Absent if it names no limit, or one that cannot be
  // read.
  std::optional<double> limit_per_second;
  // The upstream names a limit that cannot be read.
  bool is_limit_unreadable = false;
  bool is_success() const { return status >= 200 && status < 300; }
};
inline constexpr kernel::Duration kMaxUpstreamRetryAfter =
    std::chrono::seconds(300);
// Smaller limits are treated as this one, since the end of a limit is learned
// only from an answer.
inline constexpr double kMinUpstreamLimit = 0.1;

UpstreamAnswer DecodeAnswer(const http1::ResponseHead& head);

// Returns the headers of an answer that does not come from an upstream.
http::Headers AnswerHeaders(std::string_view request_id,
                            std::optional<kernel::Duration> retry_after);

}  // namespace jackdawshunt::platform

#endif  // JACKDAWSHUNT_PLATFORM_WIRE_H_
