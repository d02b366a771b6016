// Implements the driver for model engines, which use OpenAI-style chat
// completions, always streamed.
#include <limits>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "jackdawshunt/base/json_depth.h"
#include "jackdawshunt/kernel/registry.h"
#include "jackdawshunt/side/http_driver.h"
#include "jackdawshunt/side/sse_parser.h"
#include "nlohmann/json.hpp"

namespace jackdawshunt::side {
namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpRequestTimeout = 408;
constexpr int kHttpTooManyRequests = 429;

// Returns the body of the request to the engine. The engine continues after
// `resume_tokens`, the number of tokens that the caller already has.
std::string BuildEngineBody(const protocol::Start& start) {
  auto body = nlohmann::json::parse(start.body, nullptr,
                                    /*allow_exceptions=*/false);
  // Entries refuse deeper bodies; those of earlier versions do not.
  if (!body.is_object() || !base::NestsAtMost(body, base::kMaxJsonDepth)) {
    body = nlohmann::json::object();
  }
  body["stream"] = true;
  if (start.resume_tokens > 0) {
    body["resume_tokens"] = start.resume_tokens;
  }
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// Returns 0 unless the field holds a number of tokens.
int64_t ReadTokenCount(const nlohmann::json& usage, const char* field) {
  const auto found = usage.find(field);
  if (found == usage.end() || !found->is_number_unsigned() ||
      found->get<uint64_t>() > std::numeric_limits<int64_t>::max()) {
    return 0;
  }
  return found->get<int64_t>();
}

class EngineCall final : public UpstreamCall {
 public:
  EngineCall(http::Client& client,
             const http::Address& address,
             const protocol::Start& start,
             UpstreamCallSink& sink)
      : sink_(sink) {
    http::Request request{.method = "POST",
                          .path = "/v1/chat/completions",
                          .headers = {{"Content-Type", "application/json"},
                                      {"X-Request-Id", start.request}},
                          .body = BuildEngineBody(start)};
    call_ = client.Send(
        address, request,
        {.on_chunk = [this](const http::Response& head,
                            std::string_view part) { HandleChunk(head, part); },
         .on_done =
             [this](const absl::StatusOr<http::Response>& response) {
               HandleDone(response);
             }});
  }

  void Pause() override { call_->Pause(); }
  void Resume() override { call_->Resume(); }

 private:
  void HandleChunk(const http::Response& head, std::string_view part) {
    if (head.status != kHttpOk) {
      error_body_ += part;
      return;
    }
    std::vector<std::string> tokens;
    for (const std::string& data : parser_.Append(part)) {
      HandleEvent(data, tokens);
    }
    if (!tokens.empty()) {
      output_tokens_ += static_cast<int64_t>(tokens.size());
      sink_.OnOutput(tokens);
    }
  }

  void HandleEvent(const std::string& data, std::vector<std::string>& tokens) {
    if (data == "[DONE]") {
      is_complete_ = true;
      return;
    }
    const auto event =
        nlohmann::json::parse(data, nullptr, /*allow_exceptions=*/false);
    if (!event.is_object()) {
      return;
    }
    if (const auto usage = event.find("usage");
        usage != event.end() && usage->is_object()) {
      result_.input_tokens = ReadTokenCount(*usage, "prompt_tokens");
    }
    const auto choices = event.find("choices");
    if (choices == event.end() || !choices->is_array() || choices->empty()) {
      return;
    }
    const nlohmann::json& choice = choices->front();
    if (choice.contains("delta") && choice["delta"].contains("content") &&
        choice["delta"]["content"].is_string()) {
      tokens.push_back(choice["delta"]["content"].get<std::string>());
    }
    if (choice.contains("finish_reason") &&
        choice["finish_reason"].is_string()) {
      result_.finish_reason = choice["finish_reason"].get<std::string>();
    }
  }

  void HandleDone(const absl::StatusOr<http::Response>& response) {
    if (!response.ok()) {
      sink_.OnFailed(FailureFromStatus(response.status()));
      return;
    }
    if (response->status != kHttpOk) {
      sink_.OnFailed(FailureFromHttpStatus(response->status));
      return;
    }
    if (!is_complete_) {
      // An engine that ends the stream without its end marker lost the request.
      sink_.OnFailed({.message = "the engine's stream ended early"});
      return;
    }
    result_.output_tokens = output_tokens_;
    sink_.OnDone(result_);
  }

  UpstreamCallFailure FailureFromHttpStatus(int status) const {
    constexpr int kFirstServerError = 500;
    const bool is_busy =
        status == kHttpRequestTimeout || status == kHttpTooManyRequests;
    const bool is_rejected = status < kFirstServerError;
    return {.kind = is_rejected && !is_busy ? base::ErrorKind::kBadRequest
                                            : base::ErrorKind::kUpstreamFailed,
            .ran = is_rejected ? base::Executed::kNo : base::Executed::kUnknown,
            .message = absl::StrCat("the engine answered ", status, ": ",
                                    error_body_)};
  }

  UpstreamCallSink& sink_;
  SseParser parser_;
  UpstreamCallResult result_;
  int64_t output_tokens_ = 0;
  bool is_complete_ = false;  // The end marker of the stream was received.
  std::string error_body_;  // Body of a response with another status than 200.
  std::unique_ptr<http::Call> call_;
};

class EngineDriver final : public HttpDriver {
 public:
  std::unique_ptr<UpstreamCall> Start(const protocol::Start& start,
                                      UpstreamCallSink& sink) override {
    return std::make_unique<EngineCall>(client(), address(), start, sink);
  }
};

const kernel::Registration<UpstreamDriver> kEngine("engine", [] {
  return std::make_unique<EngineDriver>();
});

}  // namespace
}  // namespace jackdawshunt::side
