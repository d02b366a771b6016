#include "jackdawshunt/entry/answer_format.h"

#include <optional>

#include "absl/strings/str_cat.h"
#include "nlohmann/json.hpp"

namespace jackdawshunt::entry {
namespace {

using nlohmann::json;

// Tokens may hold parts of a UTF-8 sequence; invalid bytes are replaced.
std::string DumpJson(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::string_view ToAbslView(std::string_view text) {
  return {text.data(), text.size()};
}

json Usage(const protocol::Done& done) {
  return {{"prompt_tokens", done.input_tokens},
          {"completion_tokens", done.output_tokens},
          {"total_tokens", done.input_tokens + done.output_tokens}};
}

// Returns the JSON of a chunk. Written as text, since building a JSON object
// per token takes several times as long. `delta`, `finish_reason` and `usage`
// are JSON texts; an empty usage is left out.
std::string StreamChunk(std::string_view request,
                        std::string_view model,
                        std::string_view delta,
                        std::string_view finish_reason,
                        std::string_view usage) {
  std::string chunk = absl::StrCat(
      R"({"id":)", DumpJson(request),
      R"(,"object":"chat.completion.chunk","model":)", DumpJson(model),
      R"(,"choices":[{"index":0,"delta":)", ToAbslView(delta),
      R"(,"finish_reason":)", ToAbslView(finish_reason), "}]");
  if (!usage.empty()) {
    absl::StrAppend(&chunk, R"(,"usage":)", ToAbslView(usage));
  }
  chunk += '}';
  return chunk;
}

std::string ErrorJson(const Failure& failure) {
  return base::ErrorBody(failure.kind, failure.message, failure.request,
                         failure.executed);
}

}  // namespace

std::string CompletionBody(std::string_view request,
                           std::string_view model,
                           std::string_view content,
                           const protocol::Done& done) {
  return DumpJson(
      {{"id", request},
       {"object", "chat.completion"},
       {"model", model},
       {"choices",
        json::array(
            {{{"index", 0},
              {"message", {{"role", "assistant"}, {"content", content}}},
              {"finish_reason", done.finish_reason}}})},
       {"usage", Usage(done)}});
}

std::string TokensEvent(std::string_view request,
                        std::string_view model,
                        const Tokens& tokens) {
  std::string content;
  for (const std::string& token : tokens.tokens) {
    content += token;
  }
  const auto last =
      tokens.offset + static_cast<int64_t>(tokens.tokens.size()) - 1;
  const std::string delta =
      absl::StrCat(R"({"content":)", DumpJson(content), "}");
  return absl::StrCat("id: ", last, "\ndata: ",
                      StreamChunk(request, model, delta, "null", ""), "\n\n");
}

std::string FinalEvents(std::string_view request,
                        std::string_view model,
                        const protocol::Done& done) {
  return absl::StrCat(
      "data: ",
      StreamChunk(request, model, "{}", DumpJson(done.finish_reason),
                  DumpJson(Usage(done))),
      "\n\ndata: [DONE]\n\n");
}

std::string StreamIdComment(std::string_view stream_id) {
  return ": stream-id " + std::string(stream_id) + "\n\n";
}

std::string ErrorEvent(const Failure& failure) {
  return "event: error\ndata: " + ErrorJson(failure) + "\n\n";
}

http::Response ErrorResponse(const Failure& failure) {
  const base::ErrorAnswer& answer = base::AnswerFor(failure.kind);
  http::Response response{.status = answer.http_status,
                          .headers = {{"Content-Type", "application/json"}},
                          .body = ErrorJson(failure)};
  if (!failure.request.empty()) {
    response.headers.emplace_back("X-Request-Id", failure.request);
  }
  const std::optional<std::chrono::seconds> retry_after =
      failure.retry_after ? failure.retry_after : answer.retry_after;
  if (retry_after) {
    response.headers.emplace_back("Retry-After",
                                  std::to_string(retry_after->count()));
  }
  return response;
}

std::string StreamId(std::string_view request, std::string_view side) {
  return std::string(request) + "." + std::string(side);
}

}  // namespace jackdawshunt::entry
