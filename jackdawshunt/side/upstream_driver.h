// Runs requests at an upstream. Drivers are plug-ins, named by the `driver`
// field of the upstream's record: engine (model engine, OpenAI-style protocol)
// and service (plain HTTP service).
//
// Example:
//   auto driver = kernel::Registry<side::UpstreamDriver>::Create("engine");
//   driver->Attach(loop, address);
//   std::unique_ptr<side::Run> run = driver->Start(start, sink);
#ifndef JACKDAWSHUNT_SIDE_UPSTREAM_DRIVER_H_
#define JACKDAWSHUNT_SIDE_UPSTREAM_DRIVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "jackdawshunt/base/error.h"
#include "jackdawshunt/http/client.h"
#include "jackdawshunt/kernel/event_loop.h"
#include "jackdawshunt/protocol/messages.h"

namespace jackdawshunt::side {

// How a run ended well.
struct RunResult {
  int64_t input_tokens = 0;
  int64_t output_tokens = 0;  // Counted from resume_tokens on.
  std::string finish_reason;
  int32_t http_status = 200;
  std::string content_type;
};

// How a run failed.
struct RunFailure {
  base::ErrorKind kind = base::ErrorKind::kUpstreamFailed;
  base::Ran ran = base::Ran::kUnknown;
  std::string message;
};

// Receives the output of one run, in later turns of the loop.
class RunSink {
 public:
  virtual ~RunSink() = default;
  // Tokens (models) or one part of the body (services).
  virtual void OnOutput(const std::vector<std::string>& units) = 0;
  // Exactly one of these ends the run.
  virtual void OnDone(const RunResult& result) = 0;
  virtual void OnFailed(const RunFailure& failure) = 0;
};

// One running request; destruction cancels it.
class Run {
 public:
  virtual ~Run() = default;
  // Stops and resumes reading from the upstream.
  virtual void Pause() = 0;
  virtual void Resume() = 0;
};

class UpstreamDriver {
 public:
  virtual ~UpstreamDriver() = default;
  // Called once before the first Start().
  virtual void Attach(kernel::EventLoop& loop,
                      const http::Address& address) = 0;
  // `sink` outlives the returned run.
  virtual std::unique_ptr<Run> Start(const protocol::Start& start,
                                     RunSink& sink) = 0;
  // Asks whether the upstream is draining; calls back with false when it did
  // not answer.
  virtual void CheckDraining(std::function<void(bool draining)> done) = 0;
};

}  // namespace jackdawshunt::side

#endif  // JACKDAWSHUNT_SIDE_UPSTREAM_DRIVER_H_
