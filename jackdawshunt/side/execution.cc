#include "jackdawshunt/side/execution.h"

#include <utility>

namespace jackdawshunt::side {

using protocol::RequestClass;
using protocol::StartKind;

Execution::Execution(kernel::EventLoop& loop,
                     protocol::Start start,
                     const ExecutionOptions& options,
                     Events events)
    : loop_(loop),
      start_(std::move(start)),
      options_(options),
      events_(std::move(events)),
      request_class_(start_.request_class),
      buffer_(start_.kind, options.window_bytes, start_.resume_tokens),
      next_offset_(start_.resume_tokens),
      last_progress_(loop.clock().Now()),
      detached_since_(last_progress_) {}

Execution::~Execution() = default;

void Execution::Begin(UpstreamDriver& driver) {
  upstream_call_ = driver.Start(start_, *this);
}

void Execution::AttachTo(std::shared_ptr<protocol::Connection> connection,
                         int64_t offset) {
  if (offset < buffer_.first_offset() || offset > buffer_.end_offset()) {
    connection->Send(protocol::Failed{
        .request = start_.request,
        .attempt = start_.attempt,
        .kind = base::ErrorKind::kStreamLost,
        .ran = base::Executed::kYes,
        .message = "the output at this offset is no longer kept"});
    return;
  }
  connection_ = std::move(connection);
  next_offset_ = offset;
  is_outcome_sent_ = false;
  SendAccepted(*connection_);
  SendOutput();
  SendOutcome();
  // The entry has received everything below the offset. Credits that it sent
  // over the earlier connection may be lost, and it does not send them again.
  SetCredit(offset);
}

void Execution::SendAccepted(protocol::Connection& connection) const {
  connection.Send(protocol::Accepted{start_.request, start_.attempt});
}

void Execution::Detach(const protocol::Connection& connection) {
  if (connection_.get() == &connection) {
    connection_.reset();
    detached_since_ = loop_.clock().Now();
  }
}

void Execution::SetCredit(int64_t offset) {
  buffer_.SetCredit(offset);
  UpdatePaused();
}

void Execution::Cancel() {
  if (state_ != ExecutionState::kRunning) {
    return;
  }
  outcome_ = protocol::Failed{.request = start_.request,
                              .attempt = start_.attempt,
                              .kind = base::ErrorKind::kCancelled,
                              .ran = base::Executed::kYes,
                              .message = "cancelled",
                              .tokens = buffer_.end_offset()};
  is_outcome_sent_ = true;
  End(ExecutionState::kFailed);
}

void Execution::EnforceTimeouts(kernel::TimePoint now, kernel::Duration limit) {
  if (state_ != ExecutionState::kRunning || !start_.repeatable) {
    return;
  }
  if (is_paused_) {
    if (connection_ == nullptr && now - detached_since_ > kDetachedTimeout) {
      Cancel();
    }
    return;
  }
  if (start_.kind == StartKind::kModel && now - last_progress_ > limit) {
    OnFailed({.message = "the engine sent nothing within the progress limit"});
  }
}

bool Execution::IsRetentionOver(kernel::TimePoint now) const {
  return state_ != ExecutionState::kRunning &&
         now - ended_at_ > kOutcomeRetention;
}

void Execution::OnOutput(const std::vector<std::string>& units) {
  if (state_ != ExecutionState::kRunning) {
    return;
  }
  last_progress_ = loop_.clock().Now();
  buffer_.Append(units);
  SendOutput();
  UpdatePaused();
  if (start_.kind == StartKind::kModel &&
      request_class_ == RequestClass::kShort &&
      buffer_.end_offset() - start_.resume_tokens > options_.short_tokens) {
    request_class_ = RequestClass::kLong;
    events_.on_reclassified_as_long();
  }
}

void Execution::OnDone(const UpstreamCallResult& result) {
  if (state_ != ExecutionState::kRunning) {
    return;
  }
  outcome_ = protocol::Done{.request = start_.request,
                            .attempt = start_.attempt,
                            .length = buffer_.end_offset(),
                            .input_tokens = result.input_tokens,
                            .output_tokens = result.output_tokens,
                            .finish_reason = result.finish_reason,
                            .http_status = result.http_status,
                            .content_type = result.content_type};
  End(ExecutionState::kDone);
}

void Execution::OnFailed(const UpstreamCallFailure& failure) {
  if (state_ != ExecutionState::kRunning) {
    return;
  }
  outcome_ = protocol::Failed{.request = start_.request,
                              .attempt = start_.attempt,
                              .kind = failure.kind,
                              .ran = failure.ran,
                              .message = failure.message,
                              .tokens = buffer_.end_offset()};
  End(ExecutionState::kFailed);
}

void Execution::SendOutput() {
  if (connection_ == nullptr) {
    return;
  }
  std::optional<std::string> data = buffer_.EncodeFrom(next_offset_);
  if (!data.has_value() || data->empty()) {
    return;
  }
  connection_->Send(protocol::Chunk{.request = start_.request,
                                    .attempt = start_.attempt,
                                    .offset = next_offset_,
                                    .data = std::move(*data)});
  next_offset_ = buffer_.end_offset();
}

void Execution::SendOutcome() {
  if (state_ == ExecutionState::kRunning || connection_ == nullptr) {
    return;
  }
  connection_->Send(outcome_);
  is_outcome_sent_ = true;
}

void Execution::End(ExecutionState state) {
  state_ = state;
  ended_at_ = loop_.clock().Now();
  if (!is_outcome_sent_) {
    SendOutcome();
  }
  // The end may be reported from within the call's own callback, so the call is
  // destroyed in a later turn of the loop.
  loop_.Post(
      [call = std::shared_ptr<UpstreamCall>(std::move(upstream_call_))] {});
  events_.on_ended();
}

void Execution::UpdatePaused() {
  if (state_ != ExecutionState::kRunning || upstream_call_ == nullptr ||
      buffer_.is_full() == is_paused_) {
    return;
  }
  is_paused_ = !is_paused_;
  if (is_paused_) {
    upstream_call_->Pause();
  } else {
    last_progress_ = loop_.clock().Now();
    upstream_call_->Resume();
  }
}

}  // namespace jackdawshunt::side
