#include "jackdawshunt/entry/answer_format.h"

#include <optional>

#include "nlohmann/json.hpp"

namespace jackdawshunt::entry {
namespace {

using nlohmann::json;

// Tokens may hold parts of a UTF-8 sequence; invalid bytes are replaced.
std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json Usage(const protocol::Done& done) {
  return {{"prompt_tokens", done.input_tokens},
          {"completion_tokens", done.output_tokens},
          {"total_tokens", done.input_tokens + done.output_tokens}};
}

json StreamChunk(std::string_view request,
                 std::string_view model,
                 const json& delta,
                 const json& finish_reason) {
  return {{"id", request},
          {"object", "chat.completion.chunk"},
          {"model", model},
          {"choices", json::array({{{"index", 0},
                                    {"delta", delta},
                                    {"finish_reason", finish_reason}}})}};
}

std::string Failed(const Failure& failure) {
  return base::ErrorBody(failure.kind, failure.message, failure.request,
                         failure.ran);
}

}  // namespace

std::string CompletionBody(std::string_view request,
                           std::string_view model,
                           std::string_view content,
                           const protocol::Done& done) {
  return Dump({{"id", request},
               {"object", "chat.completion"},
               {"model", model},
               {"choices",
                json::array({{{"index", 0},
                              {"message",
                               {{"role", "assistant"}, {"content", content}}},
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
  return "id: " + std::to_string(last) + "\ndata: " +
         Dump(StreamChunk(request, model, {{"content", content}}, nullptr)) +
         "\n\n";
}

std::string FinalEvents(std::string_view request,
                        std::string_view model,
                        const protocol::Done& done) {
  json chunk = StreamChunk(request, model, json::object(), done.finish_reason);
  chunk["usage"] = Usage(done);
  return "data: " + Dump(chunk) + "\n\ndata: [DONE]\n\n";
}

std::string StreamIdComment(std::string_view stream_id) {
  return ": stream-id " + std::string(stream_id) + "\n\n";
}

std::string ErrorEvent(const Failure& failure) {
  return "event: error\ndata: " + Failed(failure) + "\n\n";
}

http::Response ErrorResponse(const Failure& failure) {
  const base::ErrorAnswer& answer = base::AnswerFor(failure.kind);
  http::Response response{.status = answer.http_status,
                          .headers = {{"Content-Type", "application/json"}},
                          .body = Failed(failure)};
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
