#include "jackdawshunt/gateway/call.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "jackdawshunt/base/log_line.h"

namespace jackdawshunt::gateway {
namespace {

// Answers of plain services up to this size are forwarded only when complete,
// so that a truncated answer can be replaced by one of another upstream.
constexpr size_t kMaxCollectedBytes = size_t{256} * 1024;
// An answer that is not forwarded is read to its end only this far and this
// long, to keep the connection.
constexpr size_t kMaxDiscardedBytes = size_t{64} * 1024;
constexpr kernel::Duration kMaxDiscardTime = std::chrono::milliseconds(250);
// Reading from the upstream pauses while more bytes than this are buffered for
// the caller.
constexpr size_t kMaxUnreadBytes = size_t{128} * 1024;
// At the request's deadline, an attempt without an answer for this many latency
// objectives counts as a failure of its upstream.
constexpr int kSilentAfterObjectives = 2;

// Returns whether `status` states that the server has not executed the request.
bool MeansNotExecuted(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

// A request that was refused so many permits is refused: the upstreams that may
// serve it are most probably all at their limits.
constexpr int kMaxRefusedPermits = 4;

int64_t ToWholeMs(kernel::Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

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

std::string PartsText(const routing::RoutedRequest& request) {
  return routing::PartIdsText(
      IdsOf(request.subjects, routing::SubjectKind::kPart));
}

board::Progress ToProgress(routing::Outcome outcome) {
  if (outcome == routing::Outcome::kUnreachable) {
    return board::Progress::kUnreachable;
  }
  return routing::MayHaveExecuted(outcome) ? board::Progress::kEnded
                                           : board::Progress::kNotExecuted;
}

}  // namespace

Call::Call(CallContext& context,
           http1::ServerConnection& caller,
           http1::RequestHead head,
           std::string body,
           routing::RoutedRequest request)
    : context_(context),
      caller_(&caller),
      head_(std::move(head)),
      body_(std::move(body)),
      request_(std::move(request)) {}

Call::~Call() {
  AbandonAttempt();
}

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
  const bool is_known = answer.origin != routing::kUnknownOrigin;
  base::LogLine(base::LogLevel::kInfo, "stream_origin")
      .Add("request", request_.id)
      .Add("resumes", request_.resumption->first_request)
      .Add("after_event", request_.resumption->last_event_id)
      .Add("known", is_known)
      .Add("rounds", answer.rounds)
      .Add("ms", ToWholeMs(answer.time));
  context_.metrics.ObserveOriginLookup(answer.time);
  if (!is_known) {
    CountResumption("origin_unknown");
    Refuse(base::ErrorKind::kStreamOriginUnknown, MinRetryAfter());
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
  LogDecision(decision);
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
    Refuse(kind, retry_after);
  }
}

kernel::Duration Call::MinRetryAfter() const {
  return routing::RetryDelay(kernel::Duration::zero(),
                             request_.deadline - Now(), request_.hash);
}

void Call::LogDecision(const routing::Decision& decision) {
  base::LogLine line(base::LogLevel::kInfo, "request_placed");
  line.Add("request", request_.id)
      .Add("route", request_.route->name)
      .Add("workspace", request_.workspace)
      .Add("configuration", request_.table->version())
      .Add("attempt", request_.send_count + 1)
      .Add("verdict", routing::VerdictName(decision.verdict))
      .Add("upstream", decision.upstream.id)
      .Add("version", decision.upstream.software_version)
      .Add("candidates", decision.candidates)
      .Add("content", absl::StrCat(absl::Hex(request_.content)))
      .Add("left_ms", ToWholeMs(request_.deadline - Now()));
  if (decision.is_engine) {
    line.Add("offers", decision.offers)
        .Add("unreachable", decision.unreachable)
        .Add("wait_ms", ToWholeMs(decision.cost.wait))
        .Add("ahead_ms", ToWholeMs(decision.cost.ahead_of_pace))
        .Add("read_ms", ToWholeMs(decision.cost.prefill_time))
        .Add("missing_tokens", decision.cost.uncached_tokens)
        .Add("tokens", routing::ShareTokens(*request_.prompt))
        .Add("parts", PartsText(request_))
        .Add("share_used", decision.share_used)
        .Add("fleet_has_room", decision.fleet_has_spare_capacity)
        .Add("objective_left_ms",
             ToWholeMs(request_.remaining_objective_at_arrival));
  }
  if (request_.resumption.has_value()) {
    line.Add("resumes", request_.resumption->first_request)
        .Add("after_event", request_.resumption->last_event_id);
  }
  if (has_first_event_) {
    line.Add("continues_after_event", splitter_.last_event_id().value_or(0));
  }
}

void Call::CountResumption(std::string_view result) {
  if (has_first_event_) {
    context_.metrics.CountResumption("gateway", result);
  } else if (request_.resumption.has_value()) {
    context_.metrics.CountResumption("caller", result);
  }
}

void Call::SendWithPermit(const routing::Decision& decision) {
  has_permit_ = false;
  if (!context_.router.RateOf(decision.upstream, Now()).has_value()) {
    SendAttempt(decision);
    return;
  }
  permit_ = context_.permits.Take(
      decision.upstream,
      [this, decision](bool is_granted) { OnPermit(decision, is_granted); });
}

void Call::OnPermit(const routing::Decision& decision, bool is_granted) {
  permit_.reset();
  if (HasCallerLeft()) {
    Finish(0, "caller left");
  } else if (is_granted && context_.router.IsReady(decision.upstream, Now()) &&
             !context_.router.RefuseQuarantined(request_, Now()).has_value()) {
    has_permit_ = true;
    SendAttempt(decision);
  } else if (++refused_permits_ < kMaxRefusedPermits) {
    StartAttempt();
  } else {
    FinishWithoutRetry("no permit to resume", base::ErrorKind::kNoCapacity,
                       MinRetryAfter());
  }
}

void Call::SendAttempt(const routing::Decision& decision) {
  upstream_ = decision.upstream;
  CountResumption("sent");
  sent_at_ = Now();
  answer_ = {};
  irregularities_ = {};
  first_event_at_.reset();
  body_mode_ = BodyMode::kDiscard;
  discarded_bytes_ = 0;
  collected_.clear();
  splitter_.DropPartial();
  platform::ForwardedFields fields;
  fields.remaining_deadline = request_.deadline - sent_at_;
  fields.upstream_id = upstream_.id;
  fields.workspace = request_.workspace;
  fields.last_event_id = splitter_.last_event_id();
  const http1::RequestHead forwarded =
      platform::EncodeUpstreamRequest(head_, fields);
  const bool has_body = !body_.empty() || head_.method != "GET";
  std::string bytes = http1::Serialize(
      forwarded,
      has_body ? std::optional<uint64_t>(body_.size()) : std::nullopt);
  bytes.append(body_);
  connection_ = context_.pool.Acquire(
      upstream_, request_.route->is_repeatable(), request_.hash);
  context_.router.OnSent(request_, decision, sent_at_);
  is_engine_attempt_ = decision.is_engine;
  if (is_engine_attempt_) {
    context_.boards.SendClaim(upstream_, request_);
  }
  connection_->Send(bytes, head_.method == "HEAD", *this, request_.hash);
}

bool Call::HasCallerLeft() const {
  return caller_ == nullptr || caller_->has_caller_left();
}

bool Call::IsStillWanted() {
  return !HasCallerLeft() && context_.router.IsReady(upstream_, Now()) &&
         (has_permit_ ||
          !context_.router.RateOf(upstream_, Now()).has_value()) &&
         !context_.router.RefuseQuarantined(request_, Now()).has_value();
}

bool Call::MatchesRequest(const http1::ResponseHead& head) {
  if (platform::DecodeAnswer(head).request_id == request_.id) {
    return true;
  }
  ++irregularities_.skipped_answers;
  context_.metrics.CountIrregularAnswer("skipped");
  return false;
}

void Call::OnHead(const http1::ResponseHead& head) {
  answer_ = platform::DecodeAnswer(head);
  if (connection_->is_unframed()) {
    irregularities_.is_unframed = true;
    context_.metrics.CountIrregularAnswer("unframed");
  }
  ApplyUpstreamState();
  answer_head_.status = head.status;
  answer_head_.headers = http1::EndToEndHeaders(head.headers);
  collected_.clear();
  if (answer_.is_not_executed || (answer_.is_success() && !answer_.is_sealed) ||
      (is_answer_started_ && !answer_.is_success()) ||
      (!answer_.is_success() && MeansNotExecuted(answer_.status))) {
    body_mode_ = BodyMode::kDiscard;
    discard_timer_ =
        context_.loop.After(kMaxDiscardTime, [this] { StopDiscarding(); });
    return;
  }
  const bool is_stream = request_.route->kind == routing::RouteKind::kStream;
  if (!answer_.is_success() || !is_stream) {
    body_mode_ = BodyMode::kCollect;
    return;
  }
  body_mode_ = BodyMode::kEvents;
}

void Call::ApplyUpstreamState() {
  if (answer_.is_wrong_instance) {
    return;  // It is the state of another upstream.
  }
  if (answer_.is_leaving && context_.router.OnLeaving(upstream_, Now())) {
    LogUpstreamState("leaving", kernel::Duration::zero());
  }
  if (answer_.retry_after.value_or(kernel::Duration::zero()) >
      kernel::Duration::zero()) {
    context_.router.beliefs().HoldBack(upstream_, Now() + *answer_.retry_after);
    LogUpstreamState("held_back", *answer_.retry_after);
  }
  ApplyUpstreamLimit();
}

void Call::ApplyUpstreamLimit() {
  if (answer_.is_limit_unreadable ||
      !context_.router.beliefs().OnLimit(upstream_, answer_.limit_per_second,
                                         sent_at_, Now())) {
    return;
  }
  const std::string_view state =
      answer_.limit_per_second.has_value() ? "limited" : "unlimited";
  base::LogLine line(base::LogLevel::kInfo, "upstream_state");
  AddUpstreamState(line, state);
  line.Add("per_second", answer_.limit_per_second.value_or(0));
}

void Call::LogUpstreamState(std::string_view state, kernel::Duration time) {
  base::LogLine line(base::LogLevel::kInfo, "upstream_state");
  AddUpstreamState(line, state);
  line.Add("for_ms", ToWholeMs(time));
}

void Call::AddUpstreamState(base::LogLine& line, std::string_view state) {
  context_.metrics.CountUpstreamState(state);
  line.Add("upstream", upstream_.id)
      .Add("started_unix_ms", upstream_.started_unix_ms)
      .Add("state", state)
      .Add("source", "answer")
      .Add("request", request_.id);
}

void Call::StartForwarding(std::string_view first_part) {
  is_answer_started_ = true;
  final_status_ = answer_head_.status;
  caller_->StartResponse(answer_head_, http1::BodyFraming::Chunked(),
                         context_.closes_connections, first_part);
}

void Call::OnBody(std::string_view data) {
  if (caller_ == nullptr || is_done_) {
    return;
  }
  if (body_mode_ == BodyMode::kDiscard) {
    discarded_bytes_ += data.size();
    if (discarded_bytes_ > kMaxDiscardedBytes) {
      StopDiscarding();
    }
    return;
  }
  if (body_mode_ == BodyMode::kCollect) {
    collected_.append(data);
    if (collected_.size() > kMaxCollectedBytes) {
      body_mode_ = BodyMode::kForward;
      StartForwarding(collected_);
      collected_.clear();
    }
    return;
  }
  if (body_mode_ == BodyMode::kForward) {
    caller_->WriteBody(data);
  } else if (body_mode_ == BodyMode::kEvents) {
    const std::string_view whole = splitter_.Feed(data);
    if (first_event_at_.has_value()) {
      context_.router.OnAnswerContinues(request_, *first_event_at_, Now());
    } else if (!whole.empty()) {
      first_event_at_ = Now();
      OnFirstEvent();
    }
    if (is_answer_started_) {
      caller_->WriteBody(whole);
    } else if (!whole.empty()) {
      StartForwarding(whole);
    }
    if (splitter_.is_out_of_order()) {
      CutBefore("event_order");
      connection_->CancelRequest();
      OnLost(http1::Loss::kMalformed);
      return;
    }
  }
  if (!is_reading_paused_ && caller_->buffered_bytes() > kMaxUnreadBytes) {
    is_reading_paused_ = true;
    connection_->PauseReading();
  }
}

bool Call::MayContinueWithStatusLine() {
  // No field of an event begins like this.
  if (body_mode_ != BodyMode::kEvents || splitter_.is_inside_event()) {
    return true;
  }
  CutBefore("other_answer");
  return false;
}

bool Call::IsOtherResponse(const http1::ResponseHead& head) {
  const std::string id = platform::DecodeAnswer(head).request_id;
  // Events have no such field. Other bodies may quote a head.
  const bool is_other = body_mode_ == BodyMode::kEvents
                            ? !id.empty()
                            : connection_->has_sent(routing::HashOf(id));
  if (is_other) {
    CutBefore("other_answer");
  }
  return is_other;
}

void Call::CutBefore(std::string_view what) {
  irregularities_.cut_before = what;
  context_.metrics.CountIrregularAnswer(what);
}

void Call::OnFirstEvent() {
  if (!request_.origin.has_value()) {
    request_.origin = upstream_.origin;
    if (request_.route->is_resumable) {
      context_.origins.Record(request_);
    }
  }
  context_.router.OnFirstEvent(request_, upstream_, Now());
  if (is_engine_attempt_) {
    context_.boards.SendProgress(upstream_, request_,
                                 board::Progress::kFirstEvent);
  }
  if (!std::exchange(has_first_event_, true)) {
    context_.metrics.ObserveFirstByte(kind_name(), Now() - request_.arrived_at);
  }
}

void Call::OnCallerDrained() {
  if (is_reading_paused_ && connection_ != nullptr) {
    is_reading_paused_ = false;
    connection_->ResumeReading();
  }
}

void Call::StopDiscarding() {
  connection_->CancelRequest();
  OnEnd();
}

void Call::OnEnd() {
  if (is_done_) {
    return;
  }
  discard_timer_.Cancel();
  if (connection_->was_ended_by_close() && body_mode_ != BodyMode::kDiscard) {
    // The end of the upstream's process looks the same.
    start_check_ = context_.start_checks.Check(
        upstream_,
        [this](bool may_have_ended) { OnUnframedEnd(may_have_ended); });
    return;
  }
  OnAnswerEnded();
}

void Call::OnUnframedEnd(bool may_upstream_have_ended) {
  start_check_.reset();
  if (HasCallerLeft()) {
    AbandonAttempt();
    Finish(0, "caller left");
  } else if (may_upstream_have_ended ||
             context_.router.directory().IsReplaced(upstream_)) {
    OnLost(http1::Loss::kClosed);
  } else {
    OnAnswerEnded();
  }
}

void Call::OnAnswerEnded() {
  if (answer_.is_not_executed) {
    EndAttempt(answer_.is_wrong_instance ? routing::Outcome::kWrongInstance
                                         : routing::Outcome::kOverloaded);
    HandleNotExecuted();
    return;
  }
  if (body_mode_ == BodyMode::kDiscard) {
    may_have_executed_ = true;
    EndAttempt(routing::Outcome::kServerError);
    HandleFailedAttempt();
    return;
  }
  if (body_mode_ == BodyMode::kEvents && splitter_.is_inside_event()) {
    // An answer that ends in the middle of an event is incomplete, even if its
    // framing is complete.
    OnLost(http1::Loss::kMalformed);
    return;
  }
  const bool is_server_error = answer_.status >= 500;
  EndAttempt(is_server_error ? routing::Outcome::kServerError
                             : routing::Outcome::kSuccess);
  if (body_mode_ != BodyMode::kCollect) {
    if (!is_answer_started_) {
      StartForwarding({});  // A stream without events.
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
  ForwardCollected();
}

void Call::ForwardCollected() {
  is_answer_started_ = true;
  context_.metrics.ObserveFirstByte(kind_name(), Now() - request_.arrived_at);
  caller_->Reply(answer_head_, collected_, context_.closes_connections);
  Finish(answer_head_.status, "forwarded");
}

void Call::OnLost(http1::Loss loss) {
  if (is_done_) {
    return;
  }
  LogLoss(loss);
  if (loss == http1::Loss::kNotConnected && connection_->was_refused()) {
    context_.router.OnConnectionRefused(upstream_, Now());
  }
  if (loss == http1::Loss::kNotConnected || loss == http1::Loss::kWithdrawn) {
    EndAttempt(loss == http1::Loss::kNotConnected
                   ? routing::Outcome::kUnreachable
                   : routing::Outcome::kWithdrawn);
    --request_.send_count;  // The request was not sent.
    if (HasCallerLeft()) {
      Finish(0, "caller left");
    } else {
      StartAttempt();
    }
    return;
  }
  EndAttempt(routing::Outcome::kLost);
  may_have_executed_ = true;
  if (context_.router.NeedsEndCheck(upstream_)) {
    start_check_ = context_.start_checks.Check(
        upstream_, [this](bool /*may_have_ended*/) { ContinueAfterLoss(); });
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
  // The body of a plain answer follows its head at once.
  const bool has_answer = request_.prompt.has_value()
                              ? first_event_at_.has_value()
                              : answer_.status != 0;
  if (is_done_ || connection_ == nullptr || has_answer) {
    return;
  }
  const auto refusal = context_.router.RefuseQuarantined(request_, Now());
  if (!refusal.has_value()) {
    return;
  }
  AbandonAttempt();
  may_have_executed_ = true;
  FinishWithoutRetry("quarantined", RefusalKind(refusal->verdict),
                     MinRetryAfter());
}

void Call::LogLoss(http1::Loss loss) {
  const bool has_begun = first_event_at_.has_value();
  context_.metrics.CountLoss(http1::LossName(loss), has_begun);
  base::LogLine line(base::LogLevel::kInfo, "attempt_lost");
  line.Add("request", request_.id)
      .Add("upstream", upstream_.id)
      .Add("started_unix_ms", upstream_.started_unix_ms)
      .Add("loss", http1::LossName(loss))
      .Add("reused_connection", connection_->was_reused())
      .Add("status", answer_.status)
      .Add("content", absl::StrCat(absl::Hex(request_.content)))
      .Add("after_ms", ToWholeMs(Now() - sent_at_));
  AddIrregularities(line);
  if (has_begun) {
    line.Add("since_first_event_ms", ToWholeMs(Now() - *first_event_at_));
  }
  if (body_mode_ == BodyMode::kEvents) {
    line.Add("partial_event_bytes", splitter_.partial().size());
  }
  if (request_.prompt.has_value()) {
    line.Add("parts", PartsText(request_));
  }
}

void Call::AddIrregularities(base::LogLine& line) const {
  if (irregularities_.is_unframed) {
    line.Add("unframed", true);
  }
  if (irregularities_.skipped_answers > 0) {
    line.Add("skipped_answers", irregularities_.skipped_answers);
  }
  if (!irregularities_.cut_before.empty()) {
    line.Add("cut_before", irregularities_.cut_before);
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
  if (body_mode_ == BodyMode::kForward || splitter_.has_split_event() ||
      !context_.router.TrySpendRetry(request_, Now())) {
    AbortAnswer("upstream lost");
    return;
  }
  StartAttempt();
}

void Call::EndAttempt(routing::Outcome outcome) {
  const kernel::TimePoint now = Now();
  context_.router.OnEnded(request_, upstream_, outcome, now);
  context_.metrics.CountAttempt(routing::OutcomeName(outcome));
  if (is_engine_attempt_) {
    context_.boards.SendProgress(upstream_, request_, ToProgress(outcome));
  }
  is_reading_paused_ = false;
  discard_timer_.Cancel();
  if (connection_ != nullptr) {
    // Kept for other requests, or destroyed after this callback returns.
    context_.pool.Release(upstream_, std::move(connection_));
  }
}

void Call::AbandonAttempt() {
  if (connection_ == nullptr) {
    return;
  }
  context_.router.OnAbandoned(request_, upstream_, Now());
  if (is_engine_attempt_) {
    context_.boards.SendProgress(upstream_, request_, board::Progress::kEnded);
  }
  discard_timer_.Cancel();
  connection_->CancelRequest();
  context_.pool.Discard(std::move(connection_));
}

void Call::OnTimeout() {
  if (is_done_) {
    return;
  }
  if (connection_ != nullptr) {
    const bool is_silent =
        body_mode_ == BodyMode::kDiscard &&
        Now() - sent_at_ >
            request_.route->latency_objective * kSilentAfterObjectives;
    may_have_executed_ = true;
    if (is_silent) {
      connection_->CancelRequest();
      EndAttempt(routing::Outcome::kSilent);
    } else {
      AbandonAttempt();
    }
  }
  if (is_answer_started_) {
    AbortAnswer("timeout");
  } else {
    Fail(may_have_executed_ ? base::ErrorKind::kTimedOut
                            : base::ErrorKind::kNoCapacity);
  }
}

void Call::OnCallerDisconnected() {
  caller_ = nullptr;
  if (!is_done_) {
    AbandonAttempt();
    Finish(0, "caller left");
  }
}

void Call::AbortAnswer(std::string_view reason) {
  Finish(final_status_, reason);
  if (caller_ != nullptr) {
    std::exchange(caller_, nullptr)->Abort();
  }
}

void Call::Refuse(base::ErrorKind kind,
                  std::optional<kernel::Duration> retry_after) {
  ReplyError(kind, retry_after);
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
  query_.reset();
  origin_lookup_.reset();
  start_check_.reset();
  permit_.reset();
  deadline_.Cancel();
  const kernel::Duration total = Now() - request_.arrived_at;
  context_.metrics.CountAnswer(kind_name(), status, reason);
  context_.metrics.ObserveTotal(kind_name(), total);
  base::LogLine line(base::LogLevel::kInfo, "request_done");
  line.Add("request", request_.id)
      .Add("status", status)
      .Add("reason", reason)
      .Add("upstream", upstream_.id)
      .Add("sends", request_.send_count)
      .Add("events", splitter_.event_count())
      .Add("ms", ToWholeMs(total));
  AddIrregularities(line);
}

}  // namespace jackdawshunt::gateway
