// Serves one request of a caller: sends it to upstreams, in several attempts if
// needed, and forwards the answer.
//
// Example:
//   auto call = std::make_unique<gateway::Call>(context, connection, head,
//                                               std::move(body), request);
//   call->Start();
//
// The call takes its decisions from routing::Router and owns its connection to
// the upstream. It gives exactly one final answer, unless the caller
// disconnects first. Not thread-safe.
#ifndef JACKDAWSHUNT_GATEWAY_CALL_H_
#define JACKDAWSHUNT_GATEWAY_CALL_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "jackdawshunt/base/error.h"
#include "jackdawshunt/base/log_line.h"
#include "jackdawshunt/gateway/board_client.h"
#include "jackdawshunt/gateway/event_splitter.h"
#include "jackdawshunt/gateway/metrics.h"
#include "jackdawshunt/gateway/origin_client.h"
#include "jackdawshunt/gateway/permit_client.h"
#include "jackdawshunt/gateway/start_checks.h"
#include "jackdawshunt/gateway/upstream_pool.h"
#include "jackdawshunt/http1/client.h"
#include "jackdawshunt/http1/server.h"
#include "jackdawshunt/kernel/event_loop.h"
#include "jackdawshunt/platform/wire.h"
#include "jackdawshunt/routing/overload.h"
#include "jackdawshunt/routing/router.h"

namespace jackdawshunt::gateway {

// Objects shared by all calls; they must outlive the calls.
struct CallContext {
  kernel::EventLoop& loop;
  routing::Router& router;
  UpstreamPool& pool;
  BoardClient& boards;
  OriginClient& origins;
  StartChecks& start_checks;
  PermitClient& permits;
  Metrics& metrics;
  const routing::OverloadGauge& overload;
  // Each answer closes its connection, so that the caller opens the next one at
  // another instance. Set while the process shuts down or is overloaded.
  bool closes_connections = false;
  // Whether the process is shutting down.
  bool is_draining = false;
};

class Call final : public http1::ResponseReceiver {
 public:
  // `caller` must outlive the call, or OnCallerDisconnected() must be called
  // before it is destroyed.
  Call(CallContext& context,
       http1::ServerConnection& caller,
       http1::RequestHead head,
       std::string body,
       routing::RoutedRequest request);
  ~Call() override;
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

  // Starts the first attempt and the timer of the request's deadline.
  void Start();
  // Resumes reading from the upstream; call when the bytes buffered for the
  // caller have been written.
  void OnCallerDrained();
  // Cancels the current attempt and ends the call without an answer.
  void OnCallerDisconnected();
  // Cancels an attempt whose answer has not begun if the request's prompt holds
  // quarantined parts, so that it does not end the upstream.
  void OnQuarantineChanged();

  // Returns whether the call has ended.
  bool is_done() const { return is_done_; }

  // http1::ResponseReceiver:
  bool IsStillWanted() override;
  bool MatchesRequest(const http1::ResponseHead& head) override;
  void OnHead(const http1::ResponseHead& head) override;
  void OnBody(std::string_view data) override;
  bool MayContinueWithStatusLine() override;
  bool IsOtherResponse(const http1::ResponseHead& head) override;
  void OnEnd() override;
  void OnLost(http1::Loss loss) override;

 private:
  // Handling of the body of the answer that is being received.
  enum class BodyMode {
    kDiscard,  // Not forwarded.
    kCollect,  // Forwarded when complete.
    kForward,  // Forwarded as it arrives.
    kEvents,   // Forwarded event by event.
  };

  // What may put bytes of another answer into the one of an attempt.
  struct Irregularities {
    bool is_unframed = false;  // The answer has neither length nor chunks.
    int skipped_answers = 0;   // To other requests, before this one.
    // Why the answer was ended before bytes that are no part of it; empty if it
    // was not.
    std::string_view cut_before;
  };

  // Starts the first attempt of a request that resumes a stream, or refuses it
  // if the origin of the stream is not known.
  void OnOriginFound(const OriginAnswer& answer);
  // Queries the boards of the candidate engines, if any, then places the
  // request.
  void StartAttempt();
  // Lets the router choose an upstream and applies its decision.
  void PlaceRequest(const std::vector<routing::BoardOffer>& offers);
  // Applies the decision unless it is a refusal and the request may use further
  // engines, whose boards it then queries.
  void ApplyOrQueryFurther(const routing::Decision& decision);
  // Sends, refuses or fails the request.
  void ApplyDecision(const routing::Decision& decision);
  // Sends the request, with a permit if the upstream names a limit.
  void SendWithPermit(const routing::Decision& decision);
  // Sends the request with a granted permit; otherwise places it elsewhere or,
  // after some refusals, refuses it.
  void OnPermit(const routing::Decision& decision, bool is_granted);
  void SendAttempt(const routing::Decision& decision);
  // Ends the attempt whose answer is not forwarded, without its rest.
  void StopDiscarding();
  // Goes on after an answer whose end only the end of its connection marked:
  // as complete, or as lost if the start of the upstream may have ended too.
  void OnUnframedEnd(bool may_upstream_have_ended);
  // Handles an answer that is complete.
  void OnAnswerEnded();
  // Ends the current attempt and releases its connection to the pool.
  void EndAttempt(routing::Outcome outcome);
  // Ends the current attempt, if any, before its answer is complete, and closes
  // its connection.
  void AbandonAttempt();
  // Starts another attempt if the request may be repeated; otherwise gives the
  // final answer.
  void HandleFailedAttempt();
  // Goes on after an attempt was lost that may have been executed.
  void ContinueAfterLoss();
  // Handles an attempt that the upstream did not execute: starts another one if
  // the attempts and the deadline of the request allow it, on routes of all
  // kinds; otherwise gives the final answer.
  void HandleNotExecuted();
  // Ends the call when no further attempt is made. Aborts an answer that has
  // started, with `abort_reason`. Otherwise fails with kOutcomeUnknown if the
  // request may have been executed, or refuses it with `kind` and
  // `retry_after`.
  void FinishWithoutRetry(std::string_view abort_reason,
                          base::ErrorKind kind,
                          kernel::Duration retry_after);
  // Returns the Retry-After of a request that was refused without a known wait.
  kernel::Duration MinRetryAfter() const;
  // Closes the caller's connection in the middle of the answer.
  void AbortAnswer(std::string_view reason);
  // Continues a started event stream at another upstream, or aborts the answer.
  void ResumeStream();
  void Refuse(base::ErrorKind kind,
              std::optional<kernel::Duration> retry_after);
  void Fail(base::ErrorKind kind);
  void ReplyError(base::ErrorKind kind,
                  std::optional<kernel::Duration> retry_after);
  void ForwardCollected();
  // Starts the chunked answer to the caller with the first part of its body.
  void StartForwarding(std::string_view first_part);
  void OnTimeout();
  void Finish(int status, std::string_view reason);
  void LogDecision(const routing::Decision& decision);
  void LogLoss(http1::Loss loss);
  void AddIrregularities(base::LogLine& line) const;
  // Records that the answer ends before bytes that are no part of it.
  void CutBefore(std::string_view what);
  // Applies what the answer's head tells of the upstream itself.
  void ApplyUpstreamState();
  void ApplyUpstreamLimit();
  void LogUpstreamState(std::string_view state, kernel::Duration time);
  // Counts the change of state and adds the fields that all such lines have.
  void AddUpstreamState(base::LogLine& line, std::string_view state);
  // Counts the attempt if it continues a started stream.
  void CountResumption(std::string_view result);
  // Records the first event of the current attempt's answer.
  void OnFirstEvent();
  // Returns whether the caller has disconnected, also if the connection's end
  // was not processed yet.
  bool HasCallerLeft() const;
  kernel::TimePoint Now() const { return context_.loop.clock().Now(); }
  std::string_view kind_name() const;

  CallContext& context_;
  http1::ServerConnection* caller_;  // Null after a disconnect.
  const http1::RequestHead head_;
  const std::string body_;
  routing::RoutedRequest request_;
  kernel::Timer deadline_;

  // The current attempt.
  BoardClient::QueryHandle query_;
  bool has_queried_further_ = false;
  bool is_engine_attempt_ = false;
  UpstreamPool::Connection connection_;
  routing::Upstream upstream_;
  kernel::TimePoint sent_at_{};
  std::optional<kernel::TimePoint> first_event_at_;  // Of this attempt.
  platform::UpstreamAnswer answer_;
  Irregularities irregularities_;
  http1::ResponseHead answer_head_;
  BodyMode body_mode_ = BodyMode::kDiscard;
  std::string collected_;
  size_t discarded_bytes_ = 0;
  kernel::Timer discard_timer_;
  bool is_reading_paused_ = false;

  // The whole call.
  OriginClient::LookupHandle origin_lookup_;
  StartChecks::Handle start_check_;
  PermitClient::Handle permit_;
  int refused_permits_ = 0;
  bool has_permit_ = false;  // For the current attempt.
  EventSplitter splitter_;
  bool may_have_executed_ = false;
  bool is_answer_started_ = false;
  bool has_first_event_ = false;
  bool is_done_ = false;
  int final_status_ = 0;
};

}  // namespace jackdawshunt::gateway

#endif  // JACKDAWSHUNT_GATEWAY_CALL_H_
