#include "jackdawshunt/platform/wire.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_split.h"
#include "jackdawshunt/base/log.h"

namespace jackdawshunt::platform {
namespace {

constexpr char kRequestId[] = "Request-Id";
constexpr char kDeadline[] = "Deadline-Milliseconds";
constexpr char kAuthorization[] = "Authorization";
constexpr char kModel[] = "Model";
constexpr char kTokenCounts[] = "Token-Counts";
constexpr char kPromptPrefix[] = "Prompt-Prefix";
constexpr char kLastEventId[] = "Last-Event-Id";
constexpr char kResumes[] = "Resumes";
constexpr char kExpectedInstance[] = "Expected-Instance";
constexpr char kTenant[] = "Tenant";
// A keyed digest by which the caller recognises an answer of the upstream
// itself.
constexpr char kSignature[] = "Response-Seal";
constexpr char kNotExecuted[] = "Not-Executed";
constexpr char kRetryAfter[] = "Retry-After";

constexpr char kServerLeaving[] = "Server-Leaving";
constexpr char kServerLimit[] = "Server-Limit";
constexpr int kHttpServiceUnavailable = 503;

constexpr char kReadinessPath[] = "/jackdawshunt/readiness";
constexpr absl::string_view kKeyScheme = "Token ";
constexpr int kHttpMisdirectedRequest = 421;

// Dropped from requests of callers.
constexpr std::array<std::string_view, 10> kSystemHeaders = {
    kExpectedInstance,  kTenant,        kAuthorization, kDeadline,  "Hold",
    "Pin-Milliseconds", "Cache-Backup", "Kv-From",      "Kv-Fetch", "Expect"};
constexpr std::string_view kExpectedVersion = "Expected-Version";

absl::string_view ToAbsl(std::string_view text) {
  return {text.data(), text.size()};
}

std::optional<uint64_t> ParseHex(std::string_view text) {
  uint64_t value = 0;
  const auto result =
      std::from_chars(text.data(), text.data() + text.size(), value, 16);
  if (result.ec != std::errc() || result.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

absl::Status Malformed(std::string_view header, std::string_view value) {
  return absl::InvalidArgumentError(
      absl::StrCat("header ", ToAbsl(header), " is \"", ToAbsl(value), "\""));
}

// Parses "1460,80": the prompt's tokens and the maximum of output tokens.
bool ParseTokenCounts(std::string_view value, routing::Prompt& prompt) {
  const std::vector<absl::string_view> counts =
      absl::StrSplit(ToAbsl(value), ',');
  return counts.size() == 2 &&
         absl::SimpleAtoi(counts[0], &prompt.prompt_tokens) &&
         absl::SimpleAtoi(counts[1], &prompt.max_output_tokens);
}

// Parses "5c1e07a2:800,91bd3f06:410": hexadecimal id and tokens of each part.
bool ParseParts(std::string_view value, routing::Prompt& prompt) {
  for (const absl::string_view entry :
       absl::StrSplit(ToAbsl(value), ',', absl::SkipEmpty())) {
    const std::pair<absl::string_view, absl::string_view> fields =
        absl::StrSplit(absl::StripAsciiWhitespace(entry),
                       absl::MaxSplits(':', 1));
    const auto id = ParseHex({fields.first.data(), fields.first.size()});
    routing::PromptPart part;
    if (!absl::SimpleAtoi(fields.second, &part.tokens)) {
      return false;
    }
    // An id that is not hexadecimal still identifies the part, by its hash.
    part.id = id.has_value()
                  ? *id
                  : routing::HashOf({fields.first.data(), fields.first.size()});
    prompt.parts.push_back(part);
  }
  return true;
}

absl::Status DecodePrompt(const http1::RequestHead& head,
                          CallerRequest& request) {
  const std::string_view counts = http::FindHeader(head.headers, kTokenCounts);
  const std::string_view parts = http::FindHeader(head.headers, kPromptPrefix);
  if (counts.empty() && parts.empty()) {
    return absl::OkStatus();
  }
  routing::Prompt prompt;
  prompt.model = std::string(http::FindHeader(head.headers, kModel));
  if (!counts.empty() && !ParseTokenCounts(counts, prompt)) {
    return Malformed(kTokenCounts, counts);
  }
  if (!ParseParts(parts, prompt)) {
    return Malformed(kPromptPrefix, parts);
  }
  request.prompt = std::move(prompt);
  return absl::OkStatus();
}

// Returns nullopt, with a log line, when the value is not a number of seconds.
std::optional<kernel::Duration> DecodeUpstreamRetryAfter(
    const http1::ResponseHead& head) {
  const std::string_view text = http::FindHeader(head.headers, kRetryAfter);
  if (text.empty()) {
    return std::nullopt;
  }
  double seconds = 0;
  if (!absl::SimpleAtod(ToAbsl(text), &seconds) || !(seconds >= 0)) {
    base::Log(base::LogLevel::kWarning, "retry_after_unreadable",
              {{"value", std::string(text)}});
    return std::nullopt;
  }
  const std::chrono::duration<double> stated(std::min(
      seconds, std::chrono::duration<double>(kMaxUpstreamRetryAfter).count()));
  return std::chrono::duration_cast<kernel::Duration>(stated);
}

void DecodeUpstreamLimit(const http1::ResponseHead& head,
                         UpstreamAnswer& answer) {
  if (http1::CountHeader(head.headers, kServerLimit) == 0) {
    return;
  }
  const std::string_view text = http::FindHeader(head.headers, kServerLimit);
  double per_second = 0;
  if (!absl::SimpleAtod(ToAbsl(text), &per_second) || !(per_second >= 0) ||
      !std::isfinite(per_second)) {
    answer.is_limit_unreadable = true;
    base::Log(base::LogLevel::kWarning, "limit_unreadable",
              {{"value", std::string(text)}});
    return;
  }
  answer.limit_per_second = std::max(per_second, kMinUpstreamLimit);
}

}  // namespace

absl::StatusOr<CallerRequest> DecodeRequest(const http1::RequestHead& head) {
  for (const char* const single : {kRequestId, "Host", kDeadline,
                                   kAuthorization, kLastEventId, kResumes}) {
    if (http1::CountHeader(head.headers, single) > 1) {
      return absl::InvalidArgumentError(
          absl::StrCat("header ", single, " appears more than once"));
    }
  }
  CallerRequest request;
  request.id = std::string(http::FindHeader(head.headers, kRequestId));
  request.host = std::string(http::FindHeader(head.headers, "Host"));
  if (request.id.empty()) {
    return absl::InvalidArgumentError("header Request-Id is missing");
  }
  if (request.host.empty() || !head.target.starts_with('/')) {
    return absl::InvalidArgumentError("the request has no host or no path");
  }
  const std::string_view deadline = http::FindHeader(head.headers, kDeadline);
  if (!deadline.empty()) {
    double milliseconds = 0;
    if (!absl::SimpleAtod(ToAbsl(deadline), &milliseconds) ||
        !(milliseconds >= 0 && milliseconds < 1e9)) {
      return Malformed(kDeadline, deadline);
    }
    request.deadline =
        kernel::Duration(static_cast<int64_t>(milliseconds * 1000));
  }
  const absl::string_view authorization =
      ToAbsl(http::FindHeader(head.headers, kAuthorization));
  if (absl::StartsWithIgnoreCase(authorization, kKeyScheme)) {
    request.api_key = std::string(
        absl::StripAsciiWhitespace(authorization.substr(kKeyScheme.size())));
  }
  request.last_event_id =
      std::string(http::FindHeader(head.headers, kLastEventId));
  request.resumed_request =
      std::string(http::FindHeader(head.headers, kResumes));
  if (absl::Status status = DecodePrompt(head, request); !status.ok()) {
    return status;
  }
  return request;
}

bool IsReadinessRequest(const http1::RequestHead& head) {
  return head.method == "GET" && head.target == kReadinessPath;
}

http1::RequestHead EncodeUpstreamRequest(const http1::RequestHead& head,
                                         const ForwardedFields& fields) {
  http1::RequestHead out;
  out.method = head.method;
  out.target = head.target;
  for (auto& header : http1::EndToEndHeaders(head.headers)) {
    const bool is_system =
        std::any_of(kSystemHeaders.begin(), kSystemHeaders.end(),
                    [&header](std::string_view name) {
                      return http1::EqualsIgnoreCase(name, header.first);
                    });
    const bool is_replaced =
        (fields.last_event_id.has_value() &&
         http1::EqualsIgnoreCase(header.first, kLastEventId)) ||
        http1::EqualsIgnoreCase(header.first, kExpectedVersion);
    if (!is_system && !is_replaced) {
      out.headers.push_back(std::move(header));
    }
  }
  const int64_t remaining_ms = std::max<int64_t>(
      1, std::chrono::duration_cast<std::chrono::milliseconds>(
             fields.remaining_deadline)
             .count());
  out.headers.emplace_back(kDeadline, absl::StrCat(remaining_ms));
  out.headers.emplace_back(kExpectedInstance, fields.upstream_id);
  if (!fields.workspace.empty()) {
    out.headers.emplace_back(kTenant, fields.workspace);
  }
  if (fields.last_event_id.has_value()) {
    out.headers.emplace_back(kLastEventId, absl::StrCat(*fields.last_event_id));
  }
  return out;
}

UpstreamAnswer DecodeAnswer(const http1::ResponseHead& head) {
  UpstreamAnswer answer;
  answer.status = head.status;
  answer.request_id = std::string(http::FindHeader(head.headers, kRequestId));
  answer.is_sealed = http1::CountHeader(head.headers, kSignature) > 0;
  answer.is_wrong_instance = head.status == kHttpMisdirectedRequest;
  answer.is_not_executed = answer.is_wrong_instance ||
                           http1::CountHeader(head.headers, kNotExecuted) > 0;
  answer.is_leaving = http::FindHeader(head.headers, kServerLeaving) == "1";
  if (head.status == kHttpServiceUnavailable) {
    answer.retry_after = DecodeUpstreamRetryAfter(head);
  }
  DecodeUpstreamLimit(head, answer);
  return answer;
}

http::Headers AnswerHeaders(std::string_view request_id,
                            std::optional<kernel::Duration> retry_after) {
  http::Headers headers;
  if (!request_id.empty()) {
    headers.emplace_back(kRequestId, request_id);
  }
  if (retry_after.has_value()) {
    headers.emplace_back(
        kRetryAfter,
        absl::StrFormat("%.3f",
                        std::chrono::duration<double>(*retry_after).count()));
  }
  return headers;
}

}  // namespace jackdawshunt::platform
