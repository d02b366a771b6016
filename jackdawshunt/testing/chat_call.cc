#include "jackdawshunt/testing/chat_call.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "nlohmann/json.hpp"

namespace jackdawshunt::testing {

using nlohmann::json;

ChatCall::ChatCall(http::Client& client,
                   const http::Address& address,
                   const http::Request& request,
                   kernel::Duration timeout,
                   Events events)
    : events_(std::move(events)) {
  call_ = client.Send(
      address, request,
      {.timeout = timeout,
       .on_chunk = [this](const http::Response& head,
                          std::string_view part) { TakePart(head, part); },
       .on_done =
           [this](const absl::StatusOr<http::Response>& response) {
             events_.on_end(ErrorOf(response));
           }});
}

void ChatCall::TakePart(const http::Response& head, std::string_view part) {
  unparsed_ += part;
  if (head.status != 200) {
    return;
  }
  const size_t end = unparsed_.rfind("\n\n");
  if (end == std::string::npos) {
    return;
  }
  const std::string complete = unparsed_.substr(0, end + 2);
  unparsed_.erase(0, end + 2);
  int64_t tokens = 0;
  for (const ServerSentEvent& event : ParseEvents(complete)) {
    tokens += TakeEvent(event);
  }
  if (tokens > 0) {
    events_.on_tokens(tokens);
  }
}

int64_t ChatCall::TakeEvent(const ServerSentEvent& event) {
  if (event.data == "[DONE]") {
    is_complete_ = true;
    return 0;
  }
  const json body = json::parse(event.data, nullptr, false);
  if (!body.is_object()) {
    return 0;
  }
  if (body.contains("error")) {
    error_ = body["error"].value("kind", "error_event");
    return 0;
  }
  if (body.contains("usage")) {
    completion_tokens_ = body["usage"].value("completion_tokens", int64_t{0});
  }
  return JoinContent({event}).empty() ? 0 : 1;
}

std::string ChatCall::ErrorOf(
    const absl::StatusOr<http::Response>& response) const {
  if (!response.ok()) {
    return absl::StrCat("connection_",
                        absl::StatusCodeToString(response.status().code()));
  }
  if (response->status != 200) {
    const json body = json::parse(unparsed_, nullptr, false);
    return body.is_object() && body.contains("error") &&
                   body["error"].is_object()
               ? body["error"].value("kind", "unknown")
               : absl::StrCat("http_", response->status);
  }
  if (!error_.empty()) {
    return error_;
  }
  return is_complete_ ? "" : "incomplete_stream";
}

}  // namespace jackdawshunt::testing
