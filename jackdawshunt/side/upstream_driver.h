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
#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "jackdawshunt/base/error.h"
#include "jackdawshunt/http/client.h"
#include "jackdawshunt/kernel/event_loop.h"
#include "jackdawshunt/protocol/messages.h"

namespace jackdawshunt::side {

// Longest time that an order may take; also how long a new lease holder waits
// where the upstream does not check fencing numbers.
inline constexpr kernel::Duration kOrderTimeout = std::chrono::seconds(30);

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

// What an upstream reports about itself; the report may lag.
struct LoadReport {
  bool is_draining = false;
  // Models that are loaded; absent when the upstream does not tell.
  std::optional<std::vector<std::string>> models;
};

// An order to an upstream, such as to load a model.
struct Order {
  std::string model;
  std::string version;
  uint64_t fencing = 0;  // Upstreams that check it refuse a lower one.
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
  // Reads the load report, unless a read is in flight; nullopt when the
  // upstream did not answer. Never calls back for an upstream without reports.
  virtual void ReadLoad(
      std::function<void(const std::optional<LoadReport>&)> done) = 0;
  // Orders the upstream to load a model. Errors: FailedPrecondition when the
  // fencing number is refused, Unavailable otherwise; the order may then still
  // take effect.
  virtual void LoadModel(const Order& order,
                         std::function<void(absl::Status)> done) = 0;
};

}  // namespace jackdawshunt::side

#endif  // JACKDAWSHUNT_SIDE_UPSTREAM_DRIVER_H_
