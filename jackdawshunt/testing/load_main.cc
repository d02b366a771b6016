// Load generator for entries, or for one engine without the fleet.
//
//   jackdawshunt_load --entry 127.0.0.1:8080 --token t --concurrency 32
//
// Prints one JSON object: requests, errors by kind, tokens, and percentiles of
// the time to first token and between tokens in milliseconds.
#include <algorithm>
#include <cstdint>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "CLI/CLI.hpp"
#include "absl/strings/str_cat.h"
#include "jackdawshunt/http/client.h"
#include "jackdawshunt/kernel/event_loop.h"
#include "jackdawshunt/testing/http_helper.h"
#include "nlohmann/json.hpp"

namespace jackdawshunt::testing {
namespace {

using nlohmann::json;

struct LoadOptions {
  std::vector<std::string> entries;
  std::string direct;
  std::vector<std::string> tokens;  // Bearer tokens, used in turn.
  std::string model = "writer";
  int64_t concurrency = 8;
  int64_t requests = 100;
  int64_t max_tokens = 64;
  int64_t tokens_wanted = 0;  // Zero: max_tokens.
  int64_t timeout_ms = 120'000;
};

// Exact percentiles over all samples of a run.
class Samples {
 public:
  void Add(kernel::Duration value) { values_.push_back(value.count()); }

  json Summary() {
    if (values_.empty()) {
      return nullptr;
    }
    std::sort(values_.begin(), values_.end());
    return {{"p50", Percentile(0.5)},
            {"p95", Percentile(0.95)},
            {"p99", Percentile(0.99)},
            {"max", Percentile(1)},
            {"samples", values_.size()}};
  }

 private:
  double Percentile(double share) const {
    constexpr double kMicrosecondsPerMs = 1000;
    const auto last = static_cast<double>(values_.size() - 1);
    return static_cast<double>(values_[static_cast<size_t>(share * last)]) /
           kMicrosecondsPerMs;
  }

  std::vector<int64_t> values_;
};

http::Address ParseTarget(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    throw CLI::ValidationError("address", "not IP:PORT: " + text);
  }
  return {text.substr(0, colon),
          static_cast<uint16_t>(std::stoi(text.substr(colon + 1)))};
}

class LoadRun {
 public:
  LoadRun(kernel::EventLoop& loop, LoadOptions options)
      : loop_(loop), client_(loop), options_(std::move(options)) {
    for (const std::string& entry : options_.entries) {
      targets_.push_back(ParseTarget(entry));
    }
    if (!options_.direct.empty()) {
      targets_.push_back(ParseTarget(options_.direct));
    }
  }

  json Run() {
    start_ = loop_.clock().Now();
    const int64_t first = std::min(options_.concurrency, options_.requests);
    for (int64_t i = 0; i < first; ++i) {
      StartNext();
    }
    loop_.Run();
    return Report();
  }

 private:
  struct Request {
    int64_t index = 0;
    kernel::TimePoint sent;
    kernel::TimePoint last_token;
    std::string unparsed;
    int64_t tokens = 0;
    bool is_complete = false;
    std::string error;
    std::unique_ptr<http::Call> call;
  };

  void StartNext() {
    auto request = std::make_shared<Request>();
    request->index = started_++;
    request->sent = loop_.clock().Now();
    const auto target = static_cast<size_t>(request->index) % targets_.size();
    request->call = client_.Send(
        targets_[target], BuildRequest(request->index),
        {.timeout = std::chrono::milliseconds(options_.timeout_ms),
         .on_chunk =
             [this, request](const http::Response& head,
                             std::string_view part) {
               TakePart(*request, head, part);
             },
         .on_done =
             [this, request](const absl::StatusOr<http::Response>& response) {
               Finish(request, response);
             }});
  }

  http::Request BuildRequest(int64_t index) const {
    const int64_t wanted = options_.tokens_wanted > 0 ? options_.tokens_wanted
                                                      : options_.max_tokens;
    const std::string prompt = absl::StrCat(
        "request ", index, " of the load run [[tokens=", wanted, "]]");
    http::Request request{
        .method = "POST",
        .path = "/v1/chat/completions",
        .headers = {{"Content-Type", "application/json"}},
        .body = json({{"model", options_.model},
                      {"stream", true},
                      {"max_tokens", options_.max_tokens},
                      {"messages",
                       json::array({{{"role", "user"}, {"content", prompt}}})}})
                    .dump()};
    if (!options_.tokens.empty()) {
      const auto turn = static_cast<size_t>(index) % options_.tokens.size();
      request.headers.emplace_back(
          "Authorization", absl::StrCat("Bearer ", options_.tokens[turn]));
    }
    return request;
  }

  void TakePart(Request& request,
                const http::Response& head,
                std::string_view part) {
    request.unparsed += part;
    if (head.status != 200) {
      return;
    }
    const size_t end = request.unparsed.rfind("\n\n");
    if (end == std::string::npos) {
      return;
    }
    const std::string complete = request.unparsed.substr(0, end + 2);
    request.unparsed.erase(0, end + 2);
    for (const ServerSentEvent& event : ParseEvents(complete)) {
      TakeEvent(request, event);
    }
  }

  void TakeEvent(Request& request, const ServerSentEvent& event) {
    if (event.data == "[DONE]") {
      request.is_complete = true;
      return;
    }
    const json body = json::parse(event.data, nullptr, false);
    if (!body.is_object()) {
      return;
    }
    if (body.contains("error")) {
      request.error = body["error"].value("kind", "error_event");
    } else if (!JoinContent({event}).empty()) {
      TakeToken(request);
    }
    if (body.contains("usage")) {
      tokens_ += body["usage"].value("completion_tokens", int64_t{0});
    }
  }

  void TakeToken(Request& request) {
    const kernel::TimePoint now = loop_.clock().Now();
    if (request.tokens++ == 0) {
      first_token_.Add(now - request.sent);
    } else {
      inter_token_.Add(now - request.last_token);
    }
    request.last_token = now;
  }

  // Returns the kind of the error; empty for a complete answer.
  static std::string ErrorOf(const Request& request,
                             const absl::StatusOr<http::Response>& response) {
    if (!response.ok()) {
      return absl::StrCat("connection_",
                          absl::StatusCodeToString(response.status().code()));
    }
    if (response->status != 200) {
      const json body = json::parse(request.unparsed, nullptr, false);
      return body.is_object() && body.contains("error") &&
                     body["error"].is_object()
                 ? body["error"].value("kind", "unknown")
                 : absl::StrCat("http_", response->status);
    }
    if (!request.error.empty()) {
      return request.error;
    }
    return request.is_complete ? "" : "incomplete_stream";
  }

  void Finish(const std::shared_ptr<Request>& request,
              const absl::StatusOr<http::Response>& response) {
    const std::string error = ErrorOf(*request, response);
    if (!error.empty()) {
      ++errors_[error];
    }
    ++finished_;
    // The call may not be destroyed inside its own callback.
    loop_.Post([this, request] {
      request->call.reset();
      if (started_ < options_.requests) {
        StartNext();
      } else if (finished_ == options_.requests) {
        loop_.Stop();
      }
    });
  }

  json Report() {
    constexpr double kMicrosecondsPerSecond = 1e6;
    const double seconds =
        static_cast<double>((loop_.clock().Now() - start_).count()) /
        kMicrosecondsPerSecond;
    int64_t failed = 0;
    for (const auto& [kind, count] : errors_) {
      failed += count;
    }
    return {{"requests", finished_},
            {"failed", failed},
            {"errors", errors_},
            {"seconds", seconds},
            {"tokens", tokens_},
            {"tokens_per_second", static_cast<double>(tokens_) / seconds},
            {"time_to_first_token_ms", first_token_.Summary()},
            {"inter_token_ms", inter_token_.Summary()}};
  }

  kernel::EventLoop& loop_;
  http::Client client_;
  LoadOptions options_;
  std::vector<http::Address> targets_;
  kernel::TimePoint start_;
  int64_t started_ = 0;
  int64_t finished_ = 0;
  int64_t tokens_ = 0;
  std::map<std::string, int64_t> errors_;
  Samples first_token_;
  Samples inter_token_;
};

int Main(int argc, char** argv) {
  CLI::App app("Sends streamed chat completions and measures their times.");
  LoadOptions options;
  auto* entry = app.add_option("--entry", options.entries,
                               "IP:PORT of the caller ports of entries");
  auto* direct =
      app.add_option("--direct", options.direct, "IP:PORT of an engine");
  entry->excludes(direct);
  app.add_option("--token", options.tokens, "Bearer tokens, used in turn");
  app.add_option("--model", options.model, "Name of the model");
  app.add_option("--concurrency", options.concurrency, "Requests at a time")
      ->check(CLI::PositiveNumber);
  app.add_option("--requests", options.requests, "Requests in all")
      ->check(CLI::PositiveNumber);
  app.add_option("--max-tokens", options.max_tokens, "Hint sent as max_tokens");
  app.add_option("--answer-tokens", options.tokens_wanted,
                 "Length that the engine is directed to; default max_tokens");
  app.add_option("--timeout-ms", options.timeout_ms, "Limit of one request");
  CLI11_PARSE(app, argc, argv);
  if (options.entries.empty() && options.direct.empty()) {
    std::cerr << "one of --entry and --direct is needed\n";
    return 2;
  }
  kernel::EventLoop loop;
  const json report = LoadRun(loop, options).Run();
  std::cout << report.dump(2) << '\n';
  return report["failed"] == 0 ? 0 : 1;
}

}  // namespace
}  // namespace jackdawshunt::testing

int main(int argc, char** argv) {
  return jackdawshunt::testing::Main(argc, argv);
}
