#include "jackdawshunt/gateway/call.h"

#include <algorithm>
#include <utility>

#include "jackdawshunt/base/log_line.h"
#include "jackdawshunt/gateway/request_log.h"

namespace jackdawshunt::gateway {
namespace {

// A request that was refused so many permits is refused: the upstreams that may
// serve it are most probably all at their limits.
constexpr int kMaxRefusedPermits = 4;
// Reading from the upstream pauses while more bytes than this wait for the
// caller.
constexpr size_t kMaxUnreadBytes = size_t{128} * 1024;

base::ErrorKind RefusalKind(routing::Verdict verdict) {
  switch (verdict) {
    case routing::Verdict::kRefuse:
      return base::ErrorKind::kWaitLimit;
    case routing::Verdict::kPartsQuarantined:
      return base::ErrorKind::kPromptQuarantined;
    case routing::Verdict::kRequestQuarantined:
      return base::ErrorKind::kRequestQuarantined;
    default:
      return base::ErrorKind::kNoCapacity;
  }
}

}  // namespace

Call::Call(CallContext& context,
           http1::ServerConnection& caller,
           http1::RequestHead head,
           std::string body,
           routing::RoutedRequest request,
           std::function<void()> on_done)
    : context_(context),
      caller_(&caller),
      head_(std::move(head)),
      body_(std::make_shared<const std::string>(std::move(body))),
      request_(std::move(request)),
      on_done_(std::move(on_done)) {}

Call::~Call() = default;

std::string_view Call::kind_name() const {
  return routing::RouteKindName(request_.route->kind);
}

void Call::Start() {
  deadline_ = context_.loop.After(
      std::max(request_.deadline - Now(), kernel::Duration::zero()),
      [this] { OnTimeout(); });
  if (!request_.resumption.has_value()) {
    StartAttempt();
    return;
  }
  origin_lookup_ = context_.origins.Find(
      request_, [this](const OriginAnswer& answer) { OnOriginFound(answer); });
}

void Call::OnOriginFound(const OriginAnswer& answer) {
  LogOrigin(request_, answer);
  context_.metrics.ObserveOriginLookup(answer.time);
  if (answer.origin == routing::kUnknownOrigin) {
    CountResumption("origin_unknown");
    ReplyError(base::ErrorKind::kStreamOriginUnknown, MinRetryAfter());
    return;
  }
  context_.router.BindToOrigin(request_, answer.origin, Now());
  StartAttempt();
}

void Call::StartAttempt() {
  has_queried_further_ = false;
  if (const auto refusal = context_.router.RefuseQuarantined(request_, Now())) {
    ApplyDecision(*refusal);
    return;
  }
  const std::vector<routing::Upstream> engines =
      context_.router.EnginesToQuery(request_, Now());
  if (engines.empty()) {
    PlaceRequest({});
    return;
  }
  if (const auto refusal =
          context_.router.RefuseWithoutQuery(request_, engines, Now())) {
    ApplyOrQueryFurther(*refusal);
    return;
  }
  query_ = context_.boards.SendQueries(
      engines, request_,
      [this](const std::vector<routing::BoardOffer>& offers) {
        PlaceRequest(offers);
      });
}

void Call::PlaceRequest(const std::vector<routing::BoardOffer>& offers) {
  query_.reset();
  ApplyOrQueryFurther(context_.router.Choose(request_, offers, Now()));
}

void Call::ApplyOrQueryFurther(const routing::Decision& decision) {
  std::vector<routing::Upstream> further;
  if (!has_queried_further_) {
    further = context_.router.FurtherEnginesToQuery(request_, decision, Now());
  }
  if (further.empty()) {
    ApplyDecision(decision);
    return;
  }
  has_queried_further_ = true;
  query_ = context_.boards.SendQueries(
      further, request_,
      [this](const std::vector<routing::BoardOffer>& offers) {
        PlaceRequest(offers);
      });
}

void Call::ApplyDecision(const routing::Decision& decision) {
  LogPlacement(request_, decision,
               has_first_event_ ? std::optional(LastEventId().value_or(0))
                                : std::nullopt,
               Now());
  if (decision.verdict == routing::Verdict::kSend) {
    if (HasCallerLeft()) {
      Finish(0, "caller left");
    } else {
      SendWithPermit(decision);
    }
    return;
  }
  CountResumption(routing::VerdictName(decision.verdict));
  FinishWithoutRetry("no upstream to resume at", RefusalKind(decision.verdict),
                     decision.retry_after);
}

void Call::FinishWithoutRetry(std::string_view abort_reason,
                              base::ErrorKind kind,
                              kernel::Duration retry_after) {
  if (is_answer_started_) {
    AbortAnswer(abort_reason);
  } else if (may_have_executed_) {
    Fail(base::ErrorKind::kOutcomeUnknown);
  } else {
    ReplyError(kind, retry_after);
  }
}

kernel::Duration Call::MinRetryAfter() const {
  return routing::RetryDelay(kernel::Duration::zero(),
                             request_.deadline - Now(), request_.hash);
}

void Call::CountResumption(std::string_view result) {
  if (has_first_event_) {
    context_.metrics.CountResumption("gateway", result);
  } else if (request_.resumption.has_value()) {
    context_.metrics.CountResumption("caller", result);
  }
}

void Call::SendWithPermit(const routing::Decision& decision) {
  if (!context_.router.RateOf(decision.upstream, Now()).has_value()) {
    SendAttempt(decision, /*has_permit=*/false);
    return;
  }
  permit_query_ = context_.permits.Take(
      decision.upstream,
      [this, decision](bool is_granted) { OnPermit(decision, is_granted); });
}

void Call::OnPermit(const routing::Decision& decision, bool is_granted) {
  permit_query_.reset();
  if (HasCallerLeft()) {
    Finish(0, "caller left");
  } else if (is_granted && context_.router.IsReady(decision.upstream, Now()) &&
             !context_.router.RefuseQuarantined(request_, Now()).has_value()) {
    SendAttempt(decision, /*has_permit=*/true);
  } else if (++refused_permits_ < kMaxRefusedPermits) {
    StartAttempt();
  } else {
    FinishWithoutRetry("no permit to resume", base::ErrorKind::kNoCapacity,
                       MinRetryAfter());
  }
}

void Call::SendAttempt(const routing::Decision& decision, bool has_permit) {
  CountResumption("sent");
  auto attempt =
      std::make_unique<Attempt>(context_, request_, *this, decision,
                                AttemptOptions{.has_permit = has_permit,
                                               .continues = begun_,
                                               .last_event_id = LastEventId()});
  if (attempt_ != nullptr) {
    earlier_events_ += attempt_->event_count();
    // It may be the caller of this function.
    context_.loop.Post(
        [ended = std::shared_ptr<Attempt>(std::move(attempt_))] {});
  }
  attempt_ = std::move(attempt);
  attempt_->Send(head_, body_);
}

std::optional<uint64_t> Call::LastEventId() const {
  return attempt_ == nullptr ? std::nullopt : attempt_->last_event_id();
}

bool Call::HasCallerLeft() const {
  return caller_ == nullptr || caller_->has_caller_left();
}

size_t Call::Forward(std::string_view data) {
  if (is_answer_started_) {
    caller_->WriteBody(data);
  } else {
    is_answer_started_ = true;
    if (!attempt_->is_resumable()) {
      body_.reset();
    }
    final_status_ = attempt_->head().status;
    begun_ = attempt_->begun();
    caller_->StartResponse(attempt_->head(), http1::BodyFraming::Chunked(),
                           context_.closes_connections, data);
  }
  return caller_->buffered_bytes();
}

bool Call::HoldAnswer(size_t bytes) {
  return caller_ == nullptr || caller_->HoldAnswer(bytes);
}

size_t Call::MaxUnreadBytes() const {
  return caller_ != nullptr && caller_->is_under_pressure() ? 0
                                                            : kMaxUnreadBytes;
}

void Call::OnFirstEvent() {
  const bool is_first = !std::exchange(has_first_event_, true);
  if (!request_.origin.has_value()) {
    request_.origin = attempt_->upstream().origin;
  }
  // A request that resumed a stream may be the one that its caller names next.
  if (is_first && request_.route->is_resumable) {
    context_.origins.Record(request_);
  }
  if (is_first) {
    context_.metrics.ObserveFirstByte(kind_name(), Now() - request_.arrived_at);
  }
}

void Call::OnCallerDrained() {
  if (attempt_ != nullptr) {
    attempt_->OnCallerDrained();
  }
}

void Call::OnAttemptEnded(routing::Outcome outcome) {
  switch (outcome) {
    case routing::Outcome::kUnreachable:
    case routing::Outcome::kWithdrawn:
      HandleNotSent();
      break;
    case routing::Outcome::kWrongInstance:
    case routing::Outcome::kOverloaded:
      HandleNotExecuted();
      break;
    case routing::Outcome::kLost:
    case routing::Outcome::kSilent:
      HandleLoss();
      break;
    case routing::Outcome::kSuccess:
    case routing::Outcome::kServerError:
      HandleAnswer(outcome == routing::Outcome::kServerError);
      break;
  }
}

void Call::HandleNotSent() {
  --request_.send_count;
  if (HasCallerLeft()) {
    Finish(0, "caller left");
  } else {
    StartAttempt();
  }
}

void Call::HandleAnswer(bool is_server_error) {
  if (attempt_->is_discarded()) {
    may_have_executed_ = true;
    HandleFailedAttempt();
    return;
  }
  const std::optional<std::string_view> kept = attempt_->kept_body();
  if (!kept.has_value()) {
    if (!is_answer_started_) {
      Forward({});  // A stream without events.
    }
    caller_->FinishResponse();
    Finish(final_status_, "forwarded");
    return;
  }
  if (is_server_error && context_.router.TrySpendRetry(request_, Now())) {
    may_have_executed_ = true;
    StartAttempt();
    return;
  }
  ForwardKept(*kept);
}

void Call::ForwardKept(std::string_view body) {
  is_answer_started_ = true;
  context_.metrics.ObserveFirstByte(kind_name(), Now() - request_.arrived_at);
  caller_->Reply(attempt_->head(), body, context_.closes_connections);
  Finish(attempt_->head().status, "forwarded");
}

void Call::HandleLoss() {
  may_have_executed_ = true;
  if (context_.router.NeedsEndCheck(attempt_->upstream())) {
    start_check_ = context_.start_checks.Check(
        attempt_->upstream(),
        [this](bool /*may_have_ended*/) { ContinueAfterLoss(); });
  } else {
    ContinueAfterLoss();
  }
}

void Call::ContinueAfterLoss() {
  start_check_.reset();
  if (HasCallerLeft()) {
    Finish(0, "caller left");
  } else {
    HandleFailedAttempt();
  }
}

void Call::OnQuarantineChanged() {
  if (is_done_ || attempt_ == nullptr || !attempt_->is_running() ||
      attempt_->has_answer() ||
      !context_.router.RefuseQuarantined(request_, Now()).has_value()) {
    return;
  }
  AbandonAttempt();
  if (is_answer_started_) {
    AbortAnswer("quarantined");
  } else {
    Fail(base::ErrorKind::kOutcomeUnknown);
  }
}

void Call::HandleNotExecuted() {
  if (request_.send_count < request_.route->attempts &&
      Now() < request_.deadline) {
    StartAttempt();
    return;
  }
  FinishWithoutRetry("resuming upstream refused", base::ErrorKind::kNoCapacity,
                     MinRetryAfter());
}

void Call::HandleFailedAttempt() {
  if (is_answer_started_) {
    ResumeStream();
  } else if (context_.router.TrySpendRetry(request_, Now())) {
    StartAttempt();
  } else {
    Fail(base::ErrorKind::kOutcomeUnknown);
  }
}

void Call::ResumeStream() {
  if (body_ == nullptr || !attempt_->is_resumable() ||
      !context_.router.TrySpendRetry(request_, Now())) {
    AbortAnswer("upstream lost");
    return;
  }
  StartAttempt();
}

void Call::AbandonAttempt() {
  if (attempt_ != nullptr) {
    attempt_->Abandon();
  }
}

void Call::OnTimeout() {
  if (is_done_) {
    return;
  }
  if (attempt_ != nullptr && attempt_->is_running()) {
    may_have_executed_ = true;
    attempt_->EndAtDeadline();
  }
  if (is_answer_started_) {
    AbortAnswer("timeout");
  } else {
    Fail(may_have_executed_ ? base::ErrorKind::kTimedOut
                            : base::ErrorKind::kNoCapacity);
  }
}

void Call::EndBeforeExit() {
  if (attempt_ != nullptr && attempt_->is_running()) {
    may_have_executed_ = true;
    attempt_->Abandon();
  }
  FinishWithoutRetry("exit", base::ErrorKind::kDraining, MinRetryAfter());
}

void Call::OnCallerDisconnected() {
  caller_ = nullptr;
  if (!is_done_) {
    AbandonAttempt();
    Finish(0, "caller left");
  }
}

void Call::OnCallerLeft() {
  Finish(0, "caller left");
}

void Call::AbortAnswer(std::string_view reason) {
  Finish(final_status_, reason);
  if (caller_ != nullptr) {
    std::exchange(caller_, nullptr)->Abort();
  }
}

void Call::Fail(base::ErrorKind kind) {
  ReplyError(kind, std::nullopt);
}

void Call::ReplyError(base::ErrorKind kind,
                      std::optional<kernel::Duration> retry_after) {
  const base::ErrorAnswer& row = base::AnswerFor(kind);
  http1::ResponseHead head;
  head.status = row.http_status;
  head.headers = platform::AnswerHeaders(request_.id, retry_after);
  head.headers.emplace_back("Content-Type", "application/json");
  is_answer_started_ = true;
  caller_->Reply(head, base::ErrorBody(kind, row.name, request_.id),
                 context_.closes_connections);
  Finish(row.http_status, row.name);
}

void Call::Finish(int status, std::string_view reason) {
  is_done_ = true;
  body_.reset();
  query_.reset();
  origin_lookup_.reset();
  start_check_.reset();
  permit_query_.reset();
  deadline_.Cancel();
  const kernel::Duration total = Now() - request_.arrived_at;
  context_.metrics.CountAnswer(kind_name(), status, reason);
  context_.metrics.ObserveTotal(kind_name(), total);
  base::LogLine line(base::LogLevel::kInfo, "request_done");
  line.Add("request", request_.id)
      .Add("status", status)
      .Add("reason", reason)
      .Add("upstream",
           attempt_ == nullptr ? std::string_view() : attempt_->upstream().id)
      .Add("sends", request_.send_count)
      .Add("events", earlier_events_ +
                         (attempt_ == nullptr ? 0 : attempt_->event_count()))
      .Add("ms", ToWholeMs(total));
  if (attempt_ != nullptr) {
    attempt_->AddIrregularities(line);
  }
  if (on_done_ != nullptr) {
    std::exchange(on_done_, nullptr)();
  }
}

}  // namespace jackdawshunt::gateway
