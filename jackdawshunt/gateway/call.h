// Serves one request of a caller: sends it to upstreams, in several attempts if
// needed, and forwards the answer.
//
// Example:
//   auto call = std::make_unique<gateway::Call>(context, connection, head,
//                                               std::move(body), request);
//   call->Start();
//
// The call takes its decisions from routing::Router and makes one attempt after
// the other. It gives exactly one final answer, unless the caller disconnects
// first. Not thread-safe.
#ifndef JACKDAWSHUNT_GATEWAY_CALL_H_
#define JACKDAWSHUNT_GATEWAY_CALL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "jackdawshunt/base/error.h"
#include "jackdawshunt/gateway/attempt.h"
#include "jackdawshunt/gateway/call_context.h"
#include "jackdawshunt/http1/server.h"

namespace jackdawshunt::gateway {

class Call final : public Attempt::Owner {
 public:
  // `caller` must outlive the call, or OnCallerDisconnected() must be called
  // before it is destroyed. `on_done`, if any, is called once when the call has
  // ended, by one of its functions; it must not destroy the call.
  Call(CallContext& context,
       http1::ServerConnection& caller,
       http1::RequestHead head,
       std::string body,
       routing::RoutedRequest request,
       std::function<void()> on_done = nullptr);
  ~Call();
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

  // Starts the first attempt and the timer of the request's deadline.
  void Start();
  // Resumes reading from the upstream; call when the bytes buffered for the
  // caller have been written.
  void OnCallerDrained();
  // Cancels the current attempt and ends the call without an answer.
  void OnCallerDisconnected();
  // Ends the call because the process exits: with an error, or with an answer
  // that does not look complete if it has begun.
  void EndBeforeExit();
  // Cancels an attempt whose answer has not begun if the request's prompt holds
  // quarantined parts, so that it does not end the upstream.
  void OnQuarantineChanged();

  // Returns whether the call has ended.
  bool is_done() const { return is_done_; }

  // Attempt::Owner:
  bool HasCallerLeft() const override;
  void OnFirstEvent() override;
  size_t Forward(std::string_view data) override;
  bool HoldAnswer(size_t bytes) override;
  size_t MaxUnreadBytes() const override;
  void OnAttemptEnded(routing::Outcome outcome) override;
  void OnCallerLeft() override;

 private:
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
  void SendAttempt(const routing::Decision& decision, bool has_permit);
  // Ends the current attempt, if any, before its answer is complete.
  void AbandonAttempt();
  // Goes on after an attempt that was not sent.
  void HandleNotSent();
  // Goes on after an attempt was lost that may have been executed.
  void HandleLoss();
  // Gives the caller the rest of a complete answer, or repeats the request if
  // it failed.
  void HandleAnswer(bool is_server_error);
  // Starts another attempt if the request may be repeated; otherwise gives the
  // final answer.
  void HandleFailedAttempt();
  // Repeats the request after a loss, if the caller is still there.
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
  void Fail(base::ErrorKind kind);
  void ReplyError(base::ErrorKind kind,
                  std::optional<kernel::Duration> retry_after);
  // Sends the caller the whole answer.
  void ForwardKept(std::string_view body);
  void OnTimeout();
  void Finish(int status, std::string_view reason);
  // Counts the attempt if it continues a started stream.
  void CountResumption(std::string_view result);
  // The last event that the caller was sent.
  std::optional<uint64_t> LastEventId() const;
  kernel::TimePoint Now() const { return context_.Now(); }
  std::string_view kind_name() const;

  CallContext& context_;
  http1::ServerConnection* caller_;  // Null after a disconnect.
  const http1::RequestHead head_;
  std::shared_ptr<const std::string> body_;  // Null once it is not needed.
  routing::RoutedRequest request_;
  std::function<void()> on_done_;
  kernel::Timer deadline_;

  // The search for the next upstream.
  OriginClient::LookupHandle origin_lookup_;
  BoardClient::QueryHandle query_;
  bool has_queried_further_ = false;
  PermitClient::Handle permit_query_;
  int refused_permits_ = 0;  // Of all attempts.

  std::unique_ptr<Attempt> attempt_;  // The last one sent; null before it.
  uint64_t earlier_events_ = 0;       // Of the attempts before that.
  StartChecks::Handle start_check_;   // After a loss.
  bool may_have_executed_ = false;
  bool is_answer_started_ = false;
  std::optional<BegunResponse> begun_;  // Once events were forwarded.
  bool has_first_event_ = false;
  bool is_done_ = false;
  int final_status_ = 0;
};

}  // namespace jackdawshunt::gateway

#endif  // JACKDAWSHUNT_GATEWAY_CALL_H_
