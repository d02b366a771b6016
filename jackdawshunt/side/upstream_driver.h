// Interface of the drivers, which call an upstream. Drivers are plug-ins,
// selected by the `driver` field of the upstream's record: "engine" (model
// engine, OpenAI-style protocol) and "service" (plain HTTP service).
//
// Example:
//   auto driver = kernel::Registry<side::UpstreamDriver>::Create("engine");
//   driver->Initialize(loop, address);
//   std::unique_ptr<side::UpstreamCall> call = driver->Start(start, sink);
//
// Not thread-safe; use on the loop's thread only.
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

// Timeout of an order. A new lease holder also waits this long when the
// upstream does not check fencing numbers.
inline constexpr kernel::Duration kOrderTimeout = std::chrono::seconds(30);

// Outcome of a call that succeeded.
struct UpstreamCallResult {
  int64_t input_tokens = 0;
  int64_t output_tokens = 0;  // Counted from resume_tokens on.
  std::string finish_reason;
  int32_t http_status = 200;
  std::string content_type;
};

// Outcome of a call that failed.
struct UpstreamCallFailure {
  base::ErrorKind kind = base::ErrorKind::kUpstreamFailed;
  base::Executed ran =
      base::Executed::kUnknown;  // Whether the upstream executed it.
  std::string message;
};

// State that an upstream reports about itself; may be out of date.
struct LoadReport {
  bool is_draining = false;
  // Loaded models; nullopt when the upstream does not report them.
  std::optional<std::vector<std::string>> models;
};

// An order to an upstream, such as to load a model.
struct Order {
  std::string model;
  std::string version;
  // Fencing number. An upstream that checks it refuses one lower than the
  // highest that it has received.
  uint64_t fencing = 0;
};

// Receives the output and the outcome of one call, in turns of the loop after
// the one that started it.
class UpstreamCallSink {
 public:
  virtual ~UpstreamCallSink() = default;
  // Receives tokens of a model or one part of a service's body.
  virtual void OnOutput(const std::vector<std::string>& units) = 0;
  // Receives the outcome. Exactly one of OnDone() and OnFailed() is called,
  // once and last.
  virtual void OnDone(const UpstreamCallResult& result) = 0;
  virtual void OnFailed(const UpstreamCallFailure& failure) = 0;
};

// A request in progress at the upstream. Destruction cancels it.
class UpstreamCall {
 public:
  virtual ~UpstreamCall() = default;
  // Stops reading from the upstream.
  virtual void Pause() = 0;
  // Continues reading after Pause().
  virtual void Resume() = 0;
};

class UpstreamDriver {
 public:
  virtual ~UpstreamDriver() = default;
  // Sets the loop and the upstream's address. Must be called once, before all
  // other methods.
  virtual void Initialize(kernel::EventLoop& loop,
                          const http::Address& address) = 0;
  // Starts a request at the upstream. `sink` must outlive the returned call.
  virtual std::unique_ptr<UpstreamCall> Start(const protocol::Start& start,
                                              UpstreamCallSink& sink) = 0;
  // Reads the load report and passes it to `done`, or nullopt when the read
  // failed. Does nothing, and never calls `done`, when a read is in flight or
  // the upstream has no load report.
  virtual void ReadLoad(
      std::function<void(const std::optional<LoadReport>&)> done) = 0;
  // Orders the upstream to load a model. Passes FailedPrecondition to `done`
  // when the upstream refused the fencing number, and Unavailable on any other
  // error, after which the order may still take effect.
  virtual void LoadModel(const Order& order,
                         std::function<void(absl::Status)> done) = 0;
};

}  // namespace jackdawshunt::side

#endif  // JACKDAWSHUNT_SIDE_UPSTREAM_DRIVER_H_
