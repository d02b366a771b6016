// One caller's request on its way: the attempts at upstreams and the answer.
//
// Example:
//   auto call = std::make_unique<gateway::Call>(context, connection, head,
//                                               std::move(body), request);
//   call->Start();
//
// The call takes its decisions from routing::Router and owns its connection to
// the upstream. It gives exactly one final answer, unless the caller leaves
// first. Not thread-safe.
#ifndef JACKDAWSHUNT_GATEWAY_CALL_H_
#define JACKDAWSHUNT_GATEWAY_CALL_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "jackdawshunt/base/error.h"
#include "jackdawshunt/gateway/board_client.h"
#include "jackdawshunt/gateway/event_splitter.h"
#include "jackdawshunt/gateway/metrics.h"
#include "jackdawshunt/gateway/upstream_pool.h"
#include "jackdawshunt/http1/client.h"
#include "jackdawshunt/http1/server.h"
#include "jackdawshunt/kernel/event_loop.h"
#include "jackdawshunt/platform/wire.h"
#include "jackdawshunt/routing/overload.h"
#include "jackdawshunt/routing/router.h"

namespace jackdawshunt::gateway {

// What calls share; all outlive them.
struct CallContext {
  kernel::EventLoop& loop;
  routing::Router& router;
  UpstreamPool& pool;
  BoardClient& boards;
  Metrics& metrics;
  const routing::OverloadGauge& overload;
  // Answers end their connections, so that callers open the next one elsewhere:
  // the process is shutting down, or short of processor time.
  bool closes_connections = false;
  // Of shutting down.
  bool is_draining = false;
};

class Call final : public http1::ResponseReceiver {
 public:
  // `caller` must outlive the call or be announced gone by OnCallerGone().
  Call(CallContext& context,
       http1::ServerConnection& caller,
       http1::RequestHead head,
       std::string body,
       routing::RoutedRequest request);
  ~Call() override;
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

  void Start();
  // The caller's connection has room again.
  void OnCallerDrained();
  // The caller left; the upstream's work is cancelled.
  void OnCallerGone();

  bool is_done() const { return is_done_; }

  // http1::ResponseReceiver:
  bool IsOwn(const http1::ResponseHead& head) override;
  void OnHead(const http1::ResponseHead& head) override;
  void OnBody(std::string_view data) override;
  void OnEnd() override;
  void OnLost(http1::Loss loss) override;

 private:
  // What is done with the body of the answer that is being read.
  enum class Mode {
    kDiscard,  // Nothing of it reaches the caller.
    kCollect,  // Forwarded when complete.
    kForward,  // Forwarded as it arrives.
    kEvents,   // Forwarded event by event.
  };

  // Asks the boards if there are any, then places the request.
  void Attempt();
  void Place(const std::vector<routing::BoardOffer>& offers);
  void Send(const routing::Decision& decision);
  // Ends the current attempt; the connection is kept if it can be.
  void EndAttempt(routing::Outcome outcome);
  void AbandonAttempt();
  // Tries once more or gives the final answer after a failed attempt.
  void AfterFailure();
  void AfterNotRun();
  // The final answer when no further attempt is made: breaks a started answer
  // off, refuses only what has not run.
  void GiveUp(std::string_view why_broken_off,
              base::ErrorKind kind,
              kernel::Duration retry_after);
  kernel::Duration SoonestReturn() const;
  void BreakOff(std::string_view reason);
  void Resume();
  void Refuse(base::ErrorKind kind,
              std::optional<kernel::Duration> retry_after);
  void Fail(base::ErrorKind kind);
  void ReplyError(base::ErrorKind kind,
                  std::optional<kernel::Duration> retry_after);
  void ForwardCollected();
  void StartForwarding(http1::BodyFraming framing);
  void OnTimeout();
  void Finish(int status, std::string_view reason);
  void LogDecision(const routing::Decision& decision);
  kernel::TimePoint Now() const { return context_.loop.clock().Now(); }
  std::string_view kind_name() const;

  CallContext& context_;
  http1::ServerConnection* caller_;  // Null after the caller left.
  const http1::RequestHead head_;
  const std::string body_;
  routing::RoutedRequest request_;
  kernel::Timer deadline_;

  // The current attempt.
  BoardClient::Ticket question_;
  bool is_at_engine_ = false;
  UpstreamPool::Connection connection_;
  routing::Upstream upstream_;
  kernel::TimePoint sent_at_{};
  platform::UpstreamAnswer answer_;
  http1::ResponseHead answer_head_;
  Mode mode_ = Mode::kDiscard;
  std::string collected_;
  bool is_reading_paused_ = false;

  // Of the whole call.
  EventSplitter events_;
  bool may_have_run_ = false;
  bool is_answer_started_ = false;
  bool has_first_event_ = false;
  bool is_done_ = false;
  int final_status_ = 0;
};

}  // namespace jackdawshunt::gateway

#endif  // JACKDAWSHUNT_GATEWAY_CALL_H_
