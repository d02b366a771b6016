// The closed list of error kinds and the answer that each one gives a caller.
//
// Example:
//   absl::Status status = base::MakeError(base::ErrorKind::kQueueFull,
//                                         "workspace \"lodge\" has 200
//                                         waiting");
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

// Whether the request was run at an upstream.
enum class Executed { kNo, kUnknown, kYes };

// What a caller is told about an error kind.
struct ErrorAnswer {
  ErrorKind kind;
  std::string_view name;
  int http_status;
  Executed executed;
  // Default of the Retry-After header; absent when a retry does not help.
  std::optional<std::chrono::seconds> retry_after;
};

// Returns the row of the table for `kind`.
const ErrorAnswer& AnswerFor(ErrorKind kind);

// Returns the name used in answers, logs and metrics.
std::string_view ErrorKindName(ErrorKind kind);
std::optional<ErrorKind> ParseErrorKind(std::string_view name);

std::string_view ExecutedName(Executed executed);
std::optional<Executed> ParseExecuted(std::string_view name);

// Builds a Status that carries `kind` as payload.
absl::Status MakeError(ErrorKind kind, std::string_view message);

// Returns the kind carried by `status`; kInternal when it carries none.
ErrorKind KindOf(const absl::Status& status);

// Returns the JSON body of an error answer:
// {"error":{"kind","message","ran","request"}}. `executed` overrides the table.
std::string ErrorBody(ErrorKind kind,
                      std::string_view message,
                      std::string_view request,
                      std::optional<Executed> executed = std::nullopt);

}  // namespace jackdawshunt::base

#endif  // JACKDAWSHUNT_BASE_ERROR_H_
