#include "jackdawshunt/testing/load_run.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace jackdawshunt::testing {

using nlohmann::json;

json Samples::Summary() {
  if (values_.empty()) {
    return nullptr;
  }
  std::sort(values_.begin(), values_.end());
  double sum = 0;
  for (const int64_t value : values_) {
    sum += static_cast<double>(value);
  }
  constexpr double kMicrosecondsPerMs = 1000;
  return {
      {"mean", sum / static_cast<double>(values_.size()) / kMicrosecondsPerMs},
      {"p50", Percentile(0.5)},
      {"p95", Percentile(0.95)},
      {"p99", Percentile(0.99)},
      {"max", Percentile(1)},
      {"samples", values_.size()}};
}

double Samples::Percentile(double share) const {
  constexpr double kMicrosecondsPerMs = 1000;
  const auto last = static_cast<double>(values_.size() - 1);
  return static_cast<double>(values_[static_cast<size_t>(share * last)]) /
         kMicrosecondsPerMs;
}

struct LoadRun::Request {
  kernel::TimePoint sent;
  kernel::TimePoint last_token;
  int64_t tokens = 0;
  std::unique_ptr<ChatCall> call;
};

LoadRun::LoadRun(kernel::EventLoop& loop, LoadOptions options)
    : loop_(loop), client_(loop), options_(std::move(options)) {}

LoadRun::~LoadRun() = default;

json LoadRun::Run() {
  start_ = loop_.clock().Now();
  const int64_t first = std::min(options_.concurrency, options_.requests);
  for (int64_t i = 0; i < first; ++i) {
    StartNext();
  }
  loop_.Run();
  return Report();
}

void LoadRun::StartNext() {
  const int64_t index = started_++;
  auto request = std::make_shared<Request>();
  request->sent = loop_.clock().Now();
  request->call = std::make_unique<ChatCall>(
      client_,
      options_.targets[static_cast<size_t>(index) % options_.targets.size()],
      BuildRequest(index), std::chrono::milliseconds(options_.timeout_ms),
      ChatCall::Events{
          .on_tokens = [this, raw = request.get()](
                           int64_t count) { TakeTokens(*raw, count); },
          .on_end = [this, request](
                        const std::string& error) { Finish(request, error); }});
}

http::Request LoadRun::BuildRequest(int64_t index) const {
  const int64_t wanted =
      options_.answer_tokens > 0 ? options_.answer_tokens : options_.max_tokens;
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
    request.headers.emplace_back("Authorization",
                                 "Bearer " + options_.tokens[turn]);
  }
  return request;
}

void LoadRun::TakeTokens(Request& request, int64_t count) {
  const kernel::TimePoint now = loop_.clock().Now();
  if (request.tokens == 0) {
    first_token_.Add(now - request.sent);
  } else {
    inter_token_.Add(now - request.last_token);
  }
  request.tokens += count;
  request.last_token = now;
}

void LoadRun::Finish(const std::shared_ptr<Request>& request,
                     const std::string& error) {
  if (!error.empty()) {
    ++errors_[error];
  }
  tokens_ += request->tokens;
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

json LoadRun::Report() {
  const double seconds =
      std::chrono::duration<double>(loop_.clock().Now() - start_).count();
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

}  // namespace jackdawshunt::testing
