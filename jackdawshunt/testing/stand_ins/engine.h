// Stand-in for a model engine with an OpenAI-style protocol and continuous
// batching. It knows no priorities: it admits all that it is sent and starts
// requests in the order of arrival.
//
//   POST /v1/chat/completions  {"model","messages","max_tokens","stream",
//                              "resume_tokens"}
//   GET  /load                 {"running","waiting","draining","models"}
//   POST /orders               {"order":"load_model","model","version",
//                              "fencing"}; 409 for a lower fencing number
//   GET  /admin/stats
//   POST /admin/faults         {"stall","crash_after_tokens"}
//
// Token i of an answer depends only on model, messages and i, so another
// engine continues an answer identically from "resume_tokens". "max_tokens"
// bounds the whole answer, "usage.completion_tokens" counts the whole answer.
#ifndef JACKDAWSHUNT_TESTING_STAND_INS_ENGINE_H_
#define JACKDAWSHUNT_TESTING_STAND_INS_ENGINE_H_

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "jackdawshunt/testing/stand_ins/stand_in.h"

namespace jackdawshunt::testing {

struct EngineOptions {
  int64_t step_ms = 3;
  size_t max_batch = 64;
  int64_t load_lag_ms = 0;
  int64_t order_ms = 50;
  bool check_fencing = false;
  // "name" or "name@version"; empty: all models are served.
  std::vector<std::string> models;
};

// Answer of a model, computed without an engine.
class AnswerText {
 public:
  AnswerText(std::string_view model, const nlohmann::json& messages);

  std::string Token(int64_t index) const;
  // Tokens of the whole answer, from the directive "[[tokens=50]]" in the last
  // message; `max_tokens` below 0 means no bound.
  int64_t Length(int64_t max_tokens) const;
  bool IsCut(int64_t max_tokens) const { return Length(max_tokens) < wanted_; }
  int64_t prompt_tokens() const { return prompt_tokens_; }

 private:
  uint64_t seed_ = 0;
  int64_t wanted_ = 0;
  int64_t prompt_tokens_ = 0;
};

class EngineStandIn final : public HttpStandIn {
 public:
  EngineStandIn(kernel::EventLoop& loop, EngineOptions options);

  // Reports draining; stops the loop when nothing has run for 3 s.
  void Drain();

 protected:
  void Handle(const ExchangePtr& exchange) override;
  void HandleAdmin(const ExchangePtr& exchange) override;

 private:
  struct Job;
  using JobPtr = std::shared_ptr<Job>;

  void Complete(const ExchangePtr& exchange);
  void Admit(JobPtr job);
  void Remove(const JobPtr& job);
  void Step();
  // Sends one token or the end; returns false when the job has ended.
  bool Advance(Job& job);
  void Finish(Job& job);
  void FillBatch();
  void Order(const ExchangePtr& exchange);
  bool Serves(const std::string& model) const;
  nlohmann::json Load() const;
  nlohmann::json LaggedLoad() const;
  void NoteLoad();
  nlohmann::json Stats() const;
  void SetFaults(const ExchangePtr& exchange);

  EngineOptions options_;
  std::list<JobPtr> running_;
  std::deque<JobPtr> waiting_;
  kernel::Timer step_;
  kernel::Timer drain_check_;
  kernel::TimePoint last_busy_;
  bool draining_ = false;
  bool stalled_ = false;
  int64_t crash_after_tokens_ = -1;
  int64_t highest_fencing_ = -1;
  // Times and load reports, for the lag; the first may be older than the lag.
  std::deque<std::pair<kernel::TimePoint, nlohmann::json>> loads_;
  uint64_t started_ = 0;
  uint64_t finished_ = 0;
  uint64_t cancelled_ = 0;
  uint64_t tokens_ = 0;
  uint64_t steps_ = 0;
  size_t highest_concurrency_ = 0;
  nlohmann::json history_ = nlohmann::json::array();
  nlohmann::json orders_ = nlohmann::json::array();
  DelayedCalls delayed_;
};

}  // namespace jackdawshunt::testing

#endif  // JACKDAWSHUNT_TESTING_STAND_INS_ENGINE_H_
