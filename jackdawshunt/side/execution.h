// Executes one request at the upstream and sends its output to the attached
// entry.
//
// An execution continues when the connection of its entry closes; any entry may
// attach to it until kOutcomeRetention after its end.
//
// Example:
//   auto execution = std::make_unique<side::Execution>(
//       loop, start, side::ExecutionOptions{.window_bytes = 256 * 1024},
//       side::Execution::Events{.on_reclassified_as_long = [] {},
//                               .on_ended = [] {}});
//   execution->AttachTo(connection, /*offset=*/0);
//   execution->Begin(driver);
//
// Not thread-safe; use on the loop's thread only.
#ifndef JACKDAWSHUNT_SIDE_EXECUTION_H_
#define JACKDAWSHUNT_SIDE_EXECUTION_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "jackdawshunt/kernel/event_loop.h"
#include "jackdawshunt/protocol/connection.h"
#include "jackdawshunt/side/output_buffer.h"
#include "jackdawshunt/side/upstream_driver.h"

namespace jackdawshunt::side {

// Time for which the outcome and the output are kept after the end.
inline constexpr kernel::Duration kOutcomeRetention = std::chrono::seconds(60);
// Time for which a repeatable request with a full buffer waits for an entry to
// attach before it is cancelled.
inline constexpr kernel::Duration kDetachedTimeout = std::chrono::seconds(120);

struct ExecutionOptions {
  size_t window_bytes = 0;   // See OutputBuffer.
  int64_t short_tokens = 0;  // A short request with more output becomes long.
};

enum class ExecutionState { kRunning, kDone, kFailed };

class Execution final : private UpstreamCallSink {
 public:
  struct Events {
    // Called when a running request has exceeded `short_tokens`.
    std::function<void()> on_reclassified_as_long;
    // Called once, when the request is done, has failed or is cancelled.
    std::function<void()> on_ended;
  };

  Execution(kernel::EventLoop& loop,
            protocol::Start start,
            const ExecutionOptions& options,
            Events events);
  ~Execution() override;

  // Starts the request at the upstream.
  void Begin(UpstreamDriver& driver);

  const protocol::Start& start() const { return start_; }
  ExecutionState state() const { return state_; }
  // Returns the class that the slot is counted under: the request's own, or
  // kLong after reclassification.
  protocol::RequestClass request_class() const { return request_class_; }
  bool is_attached() const { return connection_ != nullptr; }
  // Returns true when no other entry is attached.
  bool CanBeCancelledBy(std::string_view entry) const {
    return connection_ == nullptr || connection_->peer().instance == entry;
  }
  // Returns true when the outcome has been sent to an entry, or the request was
  // cancelled.
  bool is_outcome_sent() const { return is_outcome_sent_; }

  // Sends `accepted`, the output from `offset` on and the outcome, if there is
  // one, and then further output as it arrives. Replaces an earlier connection.
  // Sends only `failed` with stream_lost when `offset` is no longer kept or
  // beyond the end.
  void AttachTo(std::shared_ptr<protocol::Connection> connection,
                int64_t offset);
  // Sends `accepted` to a connection without attaching it.
  void SendAccepted(protocol::Connection& connection) const;
  // Stops sending to the connection, if it is the attached one.
  void Detach(const protocol::Connection& connection);
  // Records that the caller has received everything below `offset`; resumes
  // reading from the upstream when that frees the window.
  void SetCredit(int64_t offset);
  // Ends a running request without sending its outcome. An entry that attaches
  // later receives the outcome kCancelled.
  void Cancel();

  // Fails a repeatable model request for which the engine has sent nothing for
  // longer than `limit`. Cancels a repeatable request that is paused and has
  // had no attached entry for longer than kDetachedTimeout.
  void EnforceTimeouts(kernel::TimePoint now, kernel::Duration limit);
  // Returns true when the request ended more than kOutcomeRetention before
  // `now`.
  bool IsRetentionOver(kernel::TimePoint now) const;

 private:
  // UpstreamCallSink:
  void OnOutput(const std::vector<std::string>& units) override;
  void OnDone(const UpstreamCallResult& result) override;
  void OnFailed(const UpstreamCallFailure& failure) override;

  void SendOutput();
  void SendOutcome();
  void End(ExecutionState state);
  // Pauses the call when the buffer is full and resumes it when it is not.
  void UpdatePaused();

  kernel::EventLoop& loop_;
  const protocol::Start start_;
  const ExecutionOptions options_;
  const Events events_;
  protocol::RequestClass request_class_;
  ExecutionState state_ = ExecutionState::kRunning;
  OutputBuffer buffer_;
  std::unique_ptr<UpstreamCall> upstream_call_;
  bool is_paused_ = false;
  std::shared_ptr<protocol::Connection> connection_;
  int64_t next_offset_ = 0;  // First unit not yet sent to the connection.
  bool is_outcome_sent_ = false;
  protocol::Message outcome_;  // Done or Failed, once ended.
  kernel::TimePoint last_progress_;
  kernel::TimePoint detached_since_;
  kernel::TimePoint ended_at_;
};

}  // namespace jackdawshunt::side

#endif  // JACKDAWSHUNT_SIDE_EXECUTION_H_
