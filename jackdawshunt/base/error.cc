#include "jackdawshunt/base/error.h"

#include <algorithm>
#include <array>
#include <string>

#include "absl/strings/cord.h"
#include "nlohmann/json.hpp"

namespace jackdawshunt::base {
namespace {

using std::chrono::seconds;

constexpr char kPayloadUrl[] = "jackdawshunt/error-kind";

constexpr std::array kAnswers = {
    ErrorAnswer{ErrorKind::kBadRequest, "bad_request", 400, Executed::kNo, {}},
    ErrorAnswer{ErrorKind::kUnauthenticated,
                "unauthenticated",
                401,
                Executed::kNo,
                {}},
    ErrorAnswer{ErrorKind::kModelNotAllowed,
                "model_not_allowed",
                403,
                Executed::kNo,
                {}},
    ErrorAnswer{ErrorKind::kNotFound, "not_found", 404, Executed::kNo, {}},
    ErrorAnswer{ErrorKind::kHeadersTooLarge,
                "headers_too_large",
                431,
                Executed::kNo,
                {}},
    ErrorAnswer{ErrorKind::kBodyTooLarge,
                "body_too_large",
                413,
                Executed::kNo,
                {}},
    ErrorAnswer{ErrorKind::kQueueFull, "queue_full", 429, Executed::kNo,
                seconds(1)},
    ErrorAnswer{ErrorKind::kWaitLimit, "wait_limit", 503, Executed::kNo,
                seconds(1)},
    ErrorAnswer{ErrorKind::kNoCapacity, "no_capacity", 503, Executed::kNo,
                seconds(2)},
    ErrorAnswer{ErrorKind::kStreamOriginUnknown, "stream_origin_unknown", 503,
                Executed::kNo, seconds(1)},
    ErrorAnswer{ErrorKind::kPromptQuarantined, "prompt_quarantined", 503,
                Executed::kNo, seconds(60)},
    ErrorAnswer{ErrorKind::kRequestQuarantined, "request_quarantined", 503,
                Executed::kNo, seconds(60)},
    ErrorAnswer{ErrorKind::kDraining, "draining", 503, Executed::kNo,
                seconds(1)},
    ErrorAnswer{ErrorKind::kOverloaded, "overloaded", 503, Executed::kNo,
                seconds(1)},
    ErrorAnswer{ErrorKind::kNotReady, "not_ready", 503, Executed::kNo,
                seconds(1)},
    ErrorAnswer{ErrorKind::kPlatformUnavailable, "platform_unavailable", 503,
                Executed::kNo, seconds(5)},
    ErrorAnswer{ErrorKind::kDuplicateRequest, "duplicate_request", 409,
                Executed::kUnknown, seconds(1)},
    ErrorAnswer{ErrorKind::kKeyReused, "key_reused", 422, Executed::kNo, {}},
    ErrorAnswer{ErrorKind::kOutcomeUnknown,
                "outcome_unknown",
                502,
                Executed::kUnknown,
                {}},
    ErrorAnswer{ErrorKind::kTimedOut, "timed_out", 504, Executed::kUnknown, {}},
    ErrorAnswer{ErrorKind::kRequestTimeout, "request_timeout", 408,
                Executed::kNo, seconds(1)},
    ErrorAnswer{ErrorKind::kUpstreamFailed, "upstream_failed", 502,
                Executed::kYes, seconds(1)},
    ErrorAnswer{ErrorKind::kStreamLost,
                "stream_lost",
                410,
                Executed::kUnknown,
                {}},
    ErrorAnswer{ErrorKind::kCancelled,
                "cancelled",
                499,
                Executed::kUnknown,
                {}},
    ErrorAnswer{ErrorKind::kConflict, "conflict", 409, Executed::kNo, {}},
    ErrorAnswer{ErrorKind::kInternal, "internal", 500, Executed::kUnknown, {}},
};

constexpr std::array<std::string_view, 3> kExecutedNames = {"no", "unknown",
                                                            "yes"};

absl::StatusCode CodeFor(const ErrorAnswer& answer) {
  switch (answer.http_status) {
    case 400:
    case 422:
      return absl::StatusCode::kInvalidArgument;
    case 401:
      return absl::StatusCode::kUnauthenticated;
    case 403:
      return absl::StatusCode::kPermissionDenied;
    case 404:
    case 410:
      return absl::StatusCode::kNotFound;
    case 409:
      return absl::StatusCode::kAborted;
    case 429:
      return absl::StatusCode::kResourceExhausted;
    case 502:
    case 503:
      return absl::StatusCode::kUnavailable;
    default:
      return absl::StatusCode::kInternal;
  }
}

}  // namespace

const ErrorAnswer& AnswerFor(ErrorKind kind) {
  return kAnswers.at(static_cast<size_t>(kind));
}

std::string_view ErrorKindName(ErrorKind kind) {
  return AnswerFor(kind).name;
}

std::optional<ErrorKind> ParseErrorKind(std::string_view name) {
  const auto* row = std::find_if(
      kAnswers.begin(), kAnswers.end(),
      [name](const ErrorAnswer& answer) { return answer.name == name; });
  if (row == kAnswers.end()) {
    return std::nullopt;
  }
  return row->kind;
}

std::string_view ExecutedName(Executed executed) {
  return kExecutedNames.at(static_cast<size_t>(executed));
}

std::optional<Executed> ParseExecuted(std::string_view name) {
  const auto* row =
      std::find(kExecutedNames.begin(), kExecutedNames.end(), name);
  if (row == kExecutedNames.end()) {
    return std::nullopt;
  }
  return static_cast<Executed>(row - kExecutedNames.begin());
}

absl::Status MakeError(ErrorKind kind, std::string_view message) {
  const ErrorAnswer& answer = AnswerFor(kind);
  absl::Status status(CodeFor(answer),
                      absl::string_view(message.data(), message.size()));
  status.SetPayload(kPayloadUrl, absl::Cord(absl::string_view(
                                     answer.name.data(), answer.name.size())));
  return status;
}

ErrorKind KindOf(const absl::Status& status) {
  const auto payload = status.GetPayload(kPayloadUrl);
  if (!payload.has_value()) {
    return ErrorKind::kInternal;
  }
  return ParseErrorKind(std::string(*payload)).value_or(ErrorKind::kInternal);
}

std::string ErrorBody(ErrorKind kind,
                      std::string_view message,
                      std::string_view request,
                      std::optional<Executed> executed) {
  const ErrorAnswer& answer = AnswerFor(kind);
  const nlohmann::json body = {
      {"error",
       {{"kind", answer.name},
        {"message", message},
        {"ran", ExecutedName(executed.value_or(answer.executed))},
        {"request", request}}}};
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace jackdawshunt::base
