// All error kinds and the answer that a caller receives for each.
//
// Example:
//   absl::Status status =
//       base::MakeError(base::ErrorKind::kQueueFull, "200 are waiting");
//   const base::ErrorAnswer& answer = base::AnswerFor(base::KindOf(status));
#ifndef JACKDAWSHUNT_BASE_ERROR_H_
#define JACKDAWSHUNT_BASE_ERROR_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/status.h"

namespace jackdawshunt::base {

enum class ErrorKind {
  kBadRequest,
  kUnauthenticated,
  kModelNotAllowed,
  kNotFound,
  kHeadersTooLarge,
  kBodyTooLarge,
  kQueueFull,
  kWaitLimit,
  kNoCapacity,
  kStreamOriginUnknown,
  kPromptQuarantined,
  kRequestQuarantined,
  kDraining,
  kOverloaded,
  kNotReady,
  kPlatformUnavailable,
  kDuplicateRequest,
  kKeyReused,
  kOutcomeUnknown,
  kTimedOut,
  kRequestTimeout,
  kUpstreamFailed,
  kStreamLost,
  kCancelled,
  kConflict,
  kInternal,
};

// Whether an upstream executed the request.
enum class Executed { kNo, kUnknown, kYes };

// The answer to a caller for an error kind.
struct ErrorAnswer {
  ErrorKind kind;
  std::string_view name;
  int http_status;
  Executed executed;
  // Default of the Retry-After header; absent when retrying does not help.
  std::optional<std::chrono::seconds> retry_after;
};

// Returns the row of the table for `kind`.
const ErrorAnswer& AnswerFor(ErrorKind kind);

// Returns the name used in answers, logs and metrics.
std::string_view ErrorKindName(ErrorKind kind);
// Returns the kind of this name, or nullopt when there is none.
std::optional<ErrorKind> ParseErrorKind(std::string_view name);

// Return and parse the names "no", "unknown" and "yes".
std::string_view ExecutedName(Executed executed);
std::optional<Executed> ParseExecuted(std::string_view name);

// Returns a Status with `kind` as payload and a matching status code.
absl::Status MakeError(ErrorKind kind, std::string_view message);

// Returns the kind in the payload of `status`, or kInternal when it has none.
ErrorKind KindOf(const absl::Status& status);

// Returns the JSON body of an error answer:
// {"error":{"kind","message","ran","request"}}. `executed` replaces the kind's
// default.
std::string ErrorBody(ErrorKind kind,
                      std::string_view message,
                      std::string_view request,
                      std::optional<Executed> executed = std::nullopt);

}  // namespace jackdawshunt::base

#endif  // JACKDAWSHUNT_BASE_ERROR_H_
