#include "jackdawshunt/testing/stand_ins/engine.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <limits>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "xxhash.h"

namespace jackdawshunt::testing {
namespace {

using nlohmann::json;

constexpr int64_t kDefaultTokens = 16;
constexpr kernel::Duration kDrainIdle = std::chrono::seconds(3);
constexpr kernel::Duration kDrainCheckPeriod = std::chrono::milliseconds(50);
// Bounds the memory of long load runs.
constexpr size_t kMaxHistory = 200'000;
constexpr size_t kMaxBodyBytes = size_t{8} * 1024 * 1024;
constexpr int kCrashExitCode = 70;

// Token texts with quotes, line ends and bytes above 127 guard against faults
// in escaping on the way to the caller.
constexpr std::array<std::string_view, 8> kWords = {
    " hold", " room",         "\n",   " \"lodge\"", " caf\u00e9",
    " \\",   " \u2803\u2817", " menu"};

int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

int64_t DirectedTokens(const json& messages) {
  constexpr std::string_view kDirective = "[[tokens=";
  if (!messages.is_array() || messages.empty()) {
    return kDefaultTokens;
  }
  const std::string last = messages.back().value("content", "");
  const size_t at = last.find(kDirective);
  if (at == std::string::npos) {
    return kDefaultTokens;
  }
  return std::strtoll(last.c_str() + at + kDirective.size(), nullptr, 10);
}

std::string Event(const json& body) {
  return absl::StrCat("data: ", body.dump(), "\n\n");
}

json ChunkOf(json delta, json finish_reason) {
  return {{"object", "chat.completion.chunk"},
          {"choices",
           json::array({{{"index", 0},
                         {"delta", std::move(delta)},
                         {"finish_reason", std::move(finish_reason)}}})}};
}

}  // namespace

AnswerText::AnswerText(std::string_view model, const json& messages)
    : wanted_(DirectedTokens(messages)) {
  const std::string text = absl::StrCat(
      absl::string_view(model.data(), model.size()), "\n", messages.dump());
  seed_ = XXH3_64bits(text.data(), text.size());
  // About four bytes per token, as with common tokenizers of English text.
  prompt_tokens_ = static_cast<int64_t>(text.size() / 4 + 1);
}

std::string AnswerText::Token(int64_t index) const {
  const uint64_t hash = XXH64(&index, sizeof(index), seed_);
  return absl::StrFormat("%s%04x", kWords[hash % kWords.size()],
                         (hash >> 16) & 0xffff);
}

int64_t AnswerText::Length(int64_t max_tokens) const {
  return max_tokens < 0 ? wanted_ : std::min(wanted_, max_tokens);
}

struct EngineStandIn::Job {
  ExchangePtr exchange;
  std::string request_id;
  std::string model;
  AnswerText answer;
  bool stream = true;
  int64_t max_tokens = -1;
  int64_t next = 0;  // Index of the next token.
  std::string text;  // Without streaming: the answer so far.
  bool ended = false;
};

EngineStandIn::EngineStandIn(kernel::EventLoop& loop, EngineOptions options)
    : HttpStandIn(loop, {.max_body_bytes = kMaxBodyBytes}),
      options_(std::move(options)),
      last_busy_(loop.clock().Now()),
      delayed_(loop) {
  NoteLoad();
}

void EngineStandIn::Handle(const ExchangePtr& exchange) {
  const http::Request& request = exchange->request();
  if (request.path == "/v1/chat/completions" && request.method == "POST") {
    Complete(exchange);
  } else if (request.path == "/load") {
    ReplyJson(*exchange, 200, LaggedLoad());
  } else if (request.path == "/orders" && request.method == "POST") {
    Order(exchange);
  } else {
    ReplyJson(*exchange, 404, {{"error", {{"message", "no such path"}}}});
  }
}

bool EngineStandIn::Serves(const std::string& model) const {
  return options_.models.empty() ||
         std::any_of(options_.models.begin(), options_.models.end(),
                     [&](const std::string& served) {
                       return served == model ||
                              served.substr(0, served.find('@')) == model;
                     });
}

void EngineStandIn::Complete(const ExchangePtr& exchange) {
  const json body = ParseBody(*exchange);
  if (body.is_null()) {
    return;
  }
  const std::string model = body.value("model", "");
  if (!Serves(model)) {
    ReplyJson(*exchange, 404, {{"error", {{"message", "model not loaded"}}}});
    return;
  }
  auto job = std::make_shared<Job>(
      Job{.exchange = exchange,
          .request_id = std::string(
              http::FindHeader(exchange->request().headers, "X-Request-Id")),
          .model = model,
          .answer = AnswerText(model, body.value("messages", json::array())),
          .stream = body.value("stream", false),
          .max_tokens = body.value("max_tokens", int64_t{-1}),
          .next = body.value("resume_tokens", int64_t{0})});
  if (job->stream) {
    exchange->StartStream(200, {{"Content-Type", "text/event-stream"}});
  }
  exchange->OnClosed([this, weak = std::weak_ptr<Job>(job)] {
    const JobPtr closed = weak.lock();
    if (closed != nullptr && !closed->ended) {
      ++cancelled_;
      Remove(closed);
    }
  });
  Admit(std::move(job));
}

void EngineStandIn::Admit(JobPtr job) {
  waiting_.push_back(std::move(job));
  FillBatch();
  if (!step_.is_active()) {
    step_ = loop().Every(std::chrono::milliseconds(options_.step_ms),
                         [this] { Step(); });
  }
}

void EngineStandIn::FillBatch() {
  while (!waiting_.empty() && running_.size() < options_.max_batch) {
    const JobPtr job = waiting_.front();
    waiting_.pop_front();
    running_.push_back(job);
    ++started_;
    if (history_.size() < kMaxHistory) {
      history_.push_back({{"request", job->request_id},
                          {"model", job->model},
                          {"resume_tokens", job->next},
                          {"unix_ms", UnixMs()}});
    }
  }
  highest_concurrency_ = std::max(highest_concurrency_, running_.size());
  NoteLoad();
}

void EngineStandIn::Remove(const JobPtr& job) {
  job->ended = true;
  running_.remove(job);
  std::erase(waiting_, job);
  FillBatch();
}

void EngineStandIn::Step() {
  if (running_.empty()) {
    step_.Cancel();
    return;
  }
  last_busy_ = loop().clock().Now();
  if (stalled_) {
    return;
  }
  ++steps_;
  const std::vector<JobPtr> batch(running_.begin(), running_.end());
  for (const JobPtr& job : batch) {
    if (!job->ended && !Advance(*job)) {
      ++finished_;
      Remove(job);
    }
  }
}

bool EngineStandIn::Advance(Job& job) {
  if (job.next >= job.answer.Length(job.max_tokens)) {
    Finish(job);
    return false;
  }
  const std::string token = job.answer.Token(job.next++);
  ++tokens_;
  if (job.stream) {
    job.exchange->Write(Event(ChunkOf({{"content", token}}, nullptr)));
  } else {
    job.text += token;
  }
  if (crash_after_tokens_ > 0 && --crash_after_tokens_ == 0) {
    _exit(kCrashExitCode);
  }
  if (job.next < job.answer.Length(job.max_tokens)) {
    return true;
  }
  Finish(job);
  return false;
}

void EngineStandIn::Finish(Job& job) {
  job.ended = true;
  const std::string reason =
      job.answer.IsCut(job.max_tokens) ? "length" : "stop";
  const json usage = {{"prompt_tokens", job.answer.prompt_tokens()},
                      {"completion_tokens", job.next}};
  if (job.stream) {
    json last = ChunkOf(json::object(), reason);
    last["usage"] = usage;
    job.exchange->Write(Event(last));
    job.exchange->Write("data: [DONE]\n\n");
    job.exchange->EndStream();
    return;
  }
  ReplyJson(*job.exchange, 200,
            {{"object", "chat.completion"},
             {"model", job.model},
             {"choices",
              json::array(
                  {{{"index", 0},
                    {"message", {{"role", "assistant"}, {"content", job.text}}},
                    {"finish_reason", reason}}})},
             {"usage", usage}});
}

json EngineStandIn::Load() const {
  return {{"running", running_.size()},
          {"waiting", waiting_.size()},
          {"draining", draining_},
          {"models", options_.models}};
}

void EngineStandIn::NoteLoad() {
  const kernel::TimePoint now = loop().clock().Now();
  loads_.emplace_back(now, Load());
  const auto lag = std::chrono::milliseconds(options_.load_lag_ms);
  while (loads_.size() > 1 && loads_[1].first + lag <= now) {
    loads_.pop_front();
  }
}

json EngineStandIn::LaggedLoad() const {
  const kernel::TimePoint as_of =
      loop().clock().Now() - std::chrono::milliseconds(options_.load_lag_ms);
  json report = loads_.front().second;
  for (const auto& [time, load] : loads_) {
    if (time <= as_of) {
      report = load;
    }
  }
  return report;
}

void EngineStandIn::Order(const ExchangePtr& exchange) {
  const json body = ParseBody(*exchange);
  if (body.is_null()) {
    return;
  }
  const int64_t fencing = body.value("fencing", int64_t{0});
  if (options_.check_fencing && fencing < highest_fencing_) {
    ReplyJson(*exchange, 409, {{"highest", highest_fencing_}});
    return;
  }
  highest_fencing_ = std::max(highest_fencing_, fencing);
  delayed_.Run(options_.order_ms, [this, exchange, body] {
    std::string model = body.value("model", "");
    if (const std::string version = body.value("version", "");
        !version.empty()) {
      absl::StrAppend(&model, "@", version);
    }
    if (body.value("order", "") == "load_model" &&
        std::find(options_.models.begin(), options_.models.end(), model) ==
            options_.models.end()) {
      options_.models.push_back(model);
    }
    orders_.push_back(body);
    NoteLoad();
    ReplyJson(*exchange, 200, {{"models", options_.models}});
  });
}

void EngineStandIn::Drain() {
  draining_ = true;
  last_busy_ = loop().clock().Now();
  NoteLoad();
  drain_check_ = loop().Every(kDrainCheckPeriod, [this] {
    if (running_.empty() && loop().clock().Now() - last_busy_ >= kDrainIdle) {
      loop().Stop();
    }
  });
}

json EngineStandIn::Stats() const {
  return {{"started", started_},
          {"finished", finished_},
          {"cancelled", cancelled_},
          {"running", running_.size()},
          {"waiting", waiting_.size()},
          {"highest_concurrency", highest_concurrency_},
          {"tokens", tokens_},
          {"steps", steps_},
          {"orders", orders_},
          {"history", history_}};
}

void EngineStandIn::SetFaults(const ExchangePtr& exchange) {
  const json body = ParseBody(*exchange);
  if (body.is_null()) {
    return;
  }
  stalled_ = body.value("stall", stalled_);
  crash_after_tokens_ = body.value("crash_after_tokens", crash_after_tokens_);
  ReplyJson(*exchange, 200,
            {{"stall", stalled_}, {"crash_after_tokens", crash_after_tokens_}});
}

void EngineStandIn::HandleAdmin(const ExchangePtr& exchange) {
  const std::string& path = exchange->request().path;
  if (path == "/admin/stats") {
    ReplyJson(*exchange, 200, Stats());
  } else if (path == "/admin/faults") {
    SetFaults(exchange);
  } else {
    ReplyJson(*exchange, 404, {{"error", "no such path"}});
  }
}

}  // namespace jackdawshunt::testing
