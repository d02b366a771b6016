// One request at the upstream: its run, its output and the entry that reads it.
//
// An execution outlives the connection of its entry: it runs on, and any entry
// may attach to it until kOutcomeMemory after its end.
//
// Example:
//   auto execution = std::make_unique<side::Execution>(loop, start, options,
//   [&] { ... }); execution->Begin(driver); execution->AttachTo(connection,
//   /*offset=*/0);
//
// Not thread-safe; runs on the loop's thread.
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

// How long the outcome and the output stay available after the end.
inline constexpr kernel::Duration kOutcomeMemory = std::chrono::seconds(60);
// How long a stream with a full buffer waits for somebody to attach.
inline constexpr kernel::Duration kOrphanLimit = std::chrono::seconds(120);

struct ExecutionOptions {
  size_t window_bytes = 0;
  int64_t short_tokens = 0;  // Above it a short request turns long.
};

enum class ExecutionState { kRunning, kDone, kFailed };

class Execution final : private RunSink {
 public:
  struct Events {
    std::function<void()> on_turned_long;
    std::function<void()> on_ended;
  };

  Execution(kernel::EventLoop& loop,
            protocol::Start start,
            const ExecutionOptions& options,
            Events events);
  ~Execution() override;

  void Begin(UpstreamDriver& driver);

  const protocol::Start& start() const { return start_; }
  ExecutionState state() const { return state_; }
  // Class that the slot is counted under now.
  protocol::RequestClass request_class() const { return request_class_; }
  bool is_attached() const { return connection_ != nullptr; }
  // True when no other entry is attached.
  bool IsReadBy(std::string_view entry) const {
    return connection_ == nullptr || connection_->peer().instance == entry;
  }
  // True when an entry has been sent the outcome.
  bool is_outcome_sent() const { return is_outcome_sent_; }

  // Sends `accepted`, the output from `offset` on and the outcome, if there is
  // one, and further output as it comes. Takes over from an earlier connection.
  // Sends `failed` with stream_lost when the offset is no longer kept.
  void AttachTo(std::shared_ptr<protocol::Connection> connection,
                int64_t offset);
  // Sends `accepted` only; output follows after an attach.
  void Announce(protocol::Connection& connection) const;
  void Detach(const protocol::Connection& connection);
  void SetCredit(int64_t offset);
  // Ends a running request; nothing more is sent for it.
  void Cancel();

  // Fails a model stream that has been silent for `limit`, cancels a repeatable
  // stream that nobody reads. Called every heartbeat period.
  void CheckProgress(kernel::TimePoint now, kernel::Duration limit);
  // True when the outcome need not be kept any longer.
  bool IsForgettable(kernel::TimePoint now) const;

 private:
  // RunSink:
  void OnOutput(const std::vector<std::string>& units) override;
  void OnDone(const RunResult& result) override;
  void OnFailed(const RunFailure& failure) override;

  void SendOutput();
  void SendOutcome();
  void End(ExecutionState state);
  void UpdateReading();

  kernel::EventLoop& loop_;
  const protocol::Start start_;
  const ExecutionOptions options_;
  const Events events_;
  protocol::RequestClass request_class_;
  ExecutionState state_ = ExecutionState::kRunning;
  OutputBuffer buffer_;
  std::unique_ptr<Run> run_;
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
