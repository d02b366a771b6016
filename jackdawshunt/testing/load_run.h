// A run of streamed chat completions at a constant number of requests at a
// time, against entries or against one engine without the fleet.
//
// Example:
//   nlohmann::json report = LoadRun(loop, {.targets = {address}}).Run();
//
// Blocking; not thread-safe.
#ifndef JACKDAWSHUNT_TESTING_LOAD_RUN_H_
#define JACKDAWSHUNT_TESTING_LOAD_RUN_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "jackdawshunt/http/client.h"
#include "jackdawshunt/kernel/event_loop.h"
#include "jackdawshunt/testing/chat_call.h"
#include "nlohmann/json.hpp"

namespace jackdawshunt::testing {

struct LoadOptions {
  std::vector<http::Address> targets;  // Used in turn.
  std::vector<std::string> tokens;     // Bearer tokens, used in turn.
  std::string model = "writer";
  int64_t concurrency = 8;
  int64_t requests = 100;
  int64_t max_tokens = 64;
  int64_t answer_tokens = 0;  // Zero: max_tokens.
  int64_t timeout_ms = 120'000;
};

// Exact percentiles over all samples of a run.
class Samples {
 public:
  void Add(kernel::Duration value) { values_.push_back(value.count()); }
  // In milliseconds; null without samples.
  nlohmann::json Summary();

 private:
  double Percentile(double share) const;

  std::vector<int64_t> values_;
};

class LoadRun {
 public:
  LoadRun(kernel::EventLoop& loop, LoadOptions options);
  ~LoadRun();

  // Runs the loop until all requests have ended. Returns requests, errors by
  // kind, tokens, and percentiles of the time to first token and between
  // tokens.
  nlohmann::json Run();

 private:
  struct Request;

  void StartNext();
  http::Request BuildRequest(int64_t index) const;
  void TakeTokens(Request& request, int64_t count);
  void Finish(const std::shared_ptr<Request>& request,
              const std::string& error);
  nlohmann::json Report();

  kernel::EventLoop& loop_;
  http::Client client_;
  const LoadOptions options_;
  kernel::TimePoint start_;
  int64_t started_ = 0;
  int64_t finished_ = 0;
  int64_t tokens_ = 0;
  std::map<std::string, int64_t> errors_;
  Samples first_token_;
  Samples inter_token_;
};

}  // namespace jackdawshunt::testing

#endif  // JACKDAWSHUNT_TESTING_LOAD_RUN_H_
