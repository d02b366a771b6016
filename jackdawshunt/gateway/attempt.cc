#include "jackdawshunt/gateway/attempt.h"

#include <utility>

#include "absl/strings/ascii.h"
#include "jackdawshunt/gateway/request_log.h"

namespace jackdawshunt::gateway {
namespace {

// A response that is not forwarded is read to its end only this long, to keep
// the connection.
constexpr kernel::Duration kMaxDiscardTime = std::chrono::milliseconds(250);
// Maximum idle times of a connection that a request may use. Upstreams drop
// idle connections without notice, and a request that is lost on one can be
// repeated only if its route allows it.
constexpr kernel::Duration kMaxIdleIfRepeatable = std::chrono::seconds(8);
constexpr kernel::Duration kMaxIdleIfNotRepeatable =
    std::chrono::milliseconds(1500);
// At the request's deadline, an attempt without a response for this many
// latency objectives counts as a failure of its upstream.
constexpr int kSilentAfterObjectives = 2;

// Returns whether `status` states that the server has not executed the request.
bool MeansNotExecuted(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

board::Progress ToProgress(routing::Outcome outcome) {
  if (outcome == routing::Outcome::kUnreachable) {
    return board::Progress::kUnreachable;
  }
  return routing::MayHaveExecuted(outcome) ? board::Progress::kEnded
                                           : board::Progress::kNotExecuted;
}

}  // namespace

Attempt::Attempt(CallContext& context,
                 routing::RoutedRequest& request,
                 Owner& owner,
                 const routing::Decision& decision,
                 const AttemptOptions& options)
    : context_(context),
      request_(request),
      owner_(owner),
      decision_(decision),
      upstream_(decision_.upstream),
      options_(options) {}

Attempt::~Attempt() {
  Abandon();
}

void Attempt::Send(const http1::RequestHead& head,
                   const std::shared_ptr<const std::string>& body) {
  const kernel::TimePoint now = Now();
  sent_unix_ms_ = context_.UnixNowMs();
  platform::ForwardedFields fields;
  fields.remaining_deadline = request_.deadline - now;
  fields.upstream_id = upstream_.id;
  fields.workspace = request_.workspace;
  fields.last_event_id = options_.last_event_id;
  const http1::RequestHead forwarded =
      platform::EncodeUpstreamRequest(head, fields);
  const bool has_body = !body->empty() || head.method != "GET";
  const std::string bytes = http1::Serialize(
      forwarded,
      has_body ? std::optional<uint64_t>(body->size()) : std::nullopt);
  connection_ = context_.pool.Acquire(upstream_,
                                      request_.route->is_repeatable()
                                          ? kMaxIdleIfRepeatable
                                          : kMaxIdleIfNotRepeatable,
                                      request_.hash);
  context_.router.OnSent(request_, decision_, now);
  if (decision_.is_engine) {
    context_.boards.SendClaim(upstream_, request_);
  }
  connection_->Send(bytes, head.method == "HEAD", *this, request_.hash, body);
}

bool Attempt::IsStillWanted() {
  return !owner_.HasCallerLeft() && context_.router.IsReady(upstream_, Now()) &&
         (options_.has_permit ||
          !context_.router.RateOf(upstream_, Now()).has_value()) &&
         !context_.router.RefuseQuarantined(request_, Now()).has_value();
}

bool Attempt::MatchesRequest(const http1::ResponseHead& head) {
  if (platform::DecodeAnswer(head).request_id == request_.id) {
    return true;
  }
  ++irregularities_.skipped_answers;
  context_.metrics.CountIrregularAnswer("skipped");
  return false;
}

void Attempt::OnHead(const http1::ResponseHead& head) {
  answer_ = platform::DecodeAnswer(head);
  if (connection_->is_unframed()) {
    irregularities_.is_unframed = true;
    context_.metrics.CountIrregularAnswer("unframed");
  }
  ApplyUpstreamState();
  head_.status = head.status;
  head_.headers = http1::EndToEndHeaders(head.headers);
  body_ = MakeBody();
  if (!body_->is_for_caller()) {
    discard_timer_ =
        context_.loop.After(kMaxDiscardTime, [this] { StopDiscarding(); });
  }
}

BegunResponse Attempt::begun() const {
  const std::string_view type = http::FindHeader(head_.headers, "Content-Type");
  const std::string_view media_type = type.substr(0, type.find(';'));
  return {.status = head_.status,
          .media_type = absl::AsciiStrToLower(absl::StripAsciiWhitespace(
              absl::string_view(media_type.data(), media_type.size())))};
}

std::unique_ptr<ResponseBody> Attempt::MakeBody() const {
  if (answer_.is_not_executed || (answer_.is_success() && !answer_.is_sealed) ||
      (options_.continues.has_value() && begun() != *options_.continues) ||
      (!answer_.is_success() && MeansNotExecuted(answer_.status))) {
    return MakeDiscardedBody();
  }
  const bool is_stream = request_.route->kind == routing::RouteKind::kStream;
  if (!answer_.is_success() || !is_stream) {
    return MakeCollectedBody();
  }
  return MakeEventBody(options_.last_event_id);
}

void Attempt::ApplyUpstreamState() {
  if (answer_.is_wrong_instance) {
    return;  // It is the state of another upstream.
  }
  if (answer_.is_leaving) {
    const auto leaving =
        context_.router.OnLeaving(upstream_, sent_unix_ms_, Now());
    if (leaving != routing::Directory::Leaving::kKnown) {
      LogUpstreamState(routing::LeavingName(leaving), kernel::Duration::zero());
    }
  }
  if (answer_.retry_after.value_or(kernel::Duration::zero()) >
      kernel::Duration::zero()) {
    context_.router.beliefs().HoldBack(upstream_, Now() + *answer_.retry_after);
    LogUpstreamState("held_back", *answer_.retry_after);
  }
  ApplyUpstreamLimit();
}

void Attempt::ApplyUpstreamLimit() {
  if (answer_.is_limit_unreadable ||
      !context_.router.beliefs().OnLimit(upstream_, answer_.limit_per_second,
                                         request_.sent_at, Now())) {
    return;
  }
  const std::string_view state =
      answer_.limit_per_second.has_value() ? "limited" : "unlimited";
  base::LogLine line(base::LogLevel::kInfo, "upstream_state");
  AddUpstreamState(line, state);
  line.Add("per_second", answer_.limit_per_second.value_or(0));
}

void Attempt::LogUpstreamState(std::string_view state, kernel::Duration time) {
  base::LogLine line(base::LogLevel::kInfo, "upstream_state");
  AddUpstreamState(line, state);
  line.Add("for_ms", ToWholeMs(time));
}

void Attempt::AddUpstreamState(base::LogLine& line, std::string_view state) {
  context_.metrics.CountUpstreamState(state);
  line.Add("upstream", upstream_.id)
      .Add("started_unix_ms", upstream_.started_unix_ms)
      .Add("state", state)
      .Add("source", "answer")
      .Add("request", request_.id);
}

void Attempt::OnBody(std::string_view data) {
  if (!is_running()) {
    return;
  }
  HoldKept(body_->KeptWith(data.size()));
  const std::string_view ready = body_->Feed(data);
  if (body_->events() != nullptr) {
    OnEventData(!ready.empty());
  }
  const size_t unread = ready.empty() ? 0 : owner_.Forward(ready);
  body_->ReleaseReturned();
  switch (body_->state()) {
    case ResponseBody::State::kNotNeeded:
      StopDiscarding();
      return;
    case ResponseBody::State::kOutOfOrder:
      CutBefore("event_order");
      connection_->CancelRequest();
      OnLost(http1::Loss::kMalformed);
      return;
    case ResponseBody::State::kOpen:
      break;
  }
  if (!is_reading_paused_ && unread > owner_.MaxUnreadBytes()) {
    is_reading_paused_ = true;
    connection_->PauseReading();
  }
}

void Attempt::HoldKept(size_t bytes) {
  if (bytes == held_bytes_) {
    return;
  }
  if (owner_.HoldAnswer(bytes)) {
    held_bytes_ = bytes;
  } else {
    body_->StopKeeping();
  }
}

void Attempt::OnEventData(bool has_whole_event) {
  if (first_event_at_.has_value()) {
    context_.router.OnAnswerContinues(request_, *first_event_at_, Now());
    return;
  }
  if (!has_whole_event) {
    return;
  }
  first_event_at_ = Now();
  owner_.OnFirstEvent();
  context_.router.OnFirstEvent(request_, upstream_, Now());
  ReportProgress(board::Progress::kFirstEvent);
}

bool Attempt::MayContinueWithStatusLine() {
  // No field of an event begins like this.
  if (body_->events() == nullptr || body_->events()->is_inside_event()) {
    return true;
  }
  CutBefore("other_answer");
  return false;
}

bool Attempt::IsOtherResponse(const http1::ResponseHead& head) {
  const platform::UpstreamAnswer other = platform::DecodeAnswer(head);
  // Events have no such field. Other bodies may quote a head, but hardly with
  // the signature of an upstream or its statement that it has not executed.
  const bool is_from_upstream =
      other.is_sealed || other.is_not_executed ||
      connection_->has_sent(routing::HashOf(other.request_id));
  const bool is_other = !other.request_id.empty() &&
                        (body_->events() != nullptr || is_from_upstream);
  if (is_other) {
    CutBefore("other_answer");
  }
  return is_other;
}

void Attempt::CutBefore(std::string_view what) {
  irregularities_.cut_before = what;
  context_.metrics.CountIrregularAnswer(what);
}

void Attempt::OnCallerDrained() {
  if (is_reading_paused_ && is_running()) {
    is_reading_paused_ = false;
    connection_->ResumeReading();
  }
}

void Attempt::StopDiscarding() {
  connection_->CancelRequest();
  OnEnd();
}

void Attempt::OnEnd() {
  if (!is_running()) {
    return;
  }
  discard_timer_.Cancel();
  if (connection_->was_ended_by_close() && !is_discarded()) {
    // The end of the upstream's process looks the same.
    start_check_ = context_.start_checks.Check(
        upstream_,
        [this](bool may_have_ended) { OnUnframedEnd(may_have_ended); });
    return;
  }
  OnComplete();
}

void Attempt::OnUnframedEnd(bool may_upstream_have_ended) {
  start_check_.reset();
  if (owner_.HasCallerLeft()) {
    Abandon();
    owner_.OnCallerLeft();
  } else if (may_upstream_have_ended ||
             context_.router.directory().IsReplaced(upstream_)) {
    OnLost(http1::Loss::kClosed);
  } else {
    OnComplete();
  }
}

void Attempt::OnComplete() {
  if (answer_.is_not_executed) {
    EndAndNotify(answer_.is_wrong_instance ? routing::Outcome::kWrongInstance
                                           : routing::Outcome::kOverloaded);
  } else if (is_discarded()) {
    EndAndNotify(routing::Outcome::kServerError);
  } else if (body_->events() != nullptr && body_->events()->is_inside_event()) {
    // A response that ends in the middle of an event is incomplete, even if its
    // framing is complete.
    OnLost(http1::Loss::kMalformed);
  } else {
    EndAndNotify(answer_.status >= 500 ? routing::Outcome::kServerError
                                       : routing::Outcome::kSuccess);
  }
}

void Attempt::OnLost(http1::Loss loss) {
  if (!is_running()) {
    return;
  }
  LogLoss(loss);
  if (loss == http1::Loss::kNotConnected && connection_->was_refused()) {
    context_.router.OnConnectionRefused(upstream_, Now());
  }
  switch (loss) {
    case http1::Loss::kNotConnected:
      EndAndNotify(routing::Outcome::kUnreachable);
      break;
    case http1::Loss::kWithdrawn:
      EndAndNotify(routing::Outcome::kWithdrawn);
      break;
    default:
      EndAndNotify(routing::Outcome::kLost);
  }
}

void Attempt::End(routing::Outcome outcome) {
  context_.router.OnEnded(request_, upstream_, outcome, Now());
  context_.metrics.CountAttempt(routing::OutcomeName(outcome));
  ReportProgress(ToProgress(outcome));
  discard_timer_.Cancel();
  // Kept for other requests, or destroyed after this callback returns.
  context_.pool.Release(upstream_, std::move(connection_));
}

void Attempt::EndAndNotify(routing::Outcome outcome) {
  End(outcome);
  owner_.OnAttemptEnded(outcome);
}

void Attempt::Abandon() {
  start_check_.reset();
  if (!is_running()) {
    return;
  }
  context_.router.OnAbandoned(request_, upstream_, Now());
  ReportProgress(board::Progress::kEnded);
  discard_timer_.Cancel();
  connection_->CancelRequest();
  context_.pool.Discard(std::move(connection_));
}

void Attempt::EndAtDeadline() {
  const bool is_silent =
      is_discarded() &&
      Now() - request_.sent_at >
          request_.route->latency_objective * kSilentAfterObjectives;
  if (is_silent) {
    connection_->CancelRequest();
    End(routing::Outcome::kSilent);
  } else {
    Abandon();
  }
}

void Attempt::ReportProgress(board::Progress progress) {
  if (decision_.is_engine) {
    context_.boards.SendProgress(upstream_, request_, progress);
  }
}

bool Attempt::has_answer() const {
  // The body of a plain response follows its head at once.
  return request_.prompt.has_value() ? first_event_at_.has_value()
                                     : answer_.status != 0;
}

std::optional<uint64_t> Attempt::last_event_id() const {
  return body_ == nullptr || body_->events() == nullptr
             ? options_.last_event_id
             : body_->events()->last_event_id();
}

uint64_t Attempt::event_count() const {
  return body_ == nullptr || body_->events() == nullptr
             ? 0
             : body_->events()->event_count();
}

void Attempt::LogLoss(http1::Loss loss) {
  const bool has_begun = first_event_at_.has_value();
  context_.metrics.CountLoss(http1::LossName(loss), has_begun);
  base::LogLine line(base::LogLevel::kInfo, "attempt_lost");
  line.Add("request", request_.id)
      .Add("upstream", upstream_.id)
      .Add("started_unix_ms", upstream_.started_unix_ms)
      .Add("loss", http1::LossName(loss))
      .Add("reused_connection", connection_->was_reused())
      .Add("status", answer_.status)
      .Add("content", [this] { return ContentText(request_); })
      .Add("after_ms", ToWholeMs(Now() - request_.sent_at));
  AddIrregularities(line);
  if (has_begun) {
    line.Add("since_first_event_ms", ToWholeMs(Now() - *first_event_at_));
  }
  if (body_ != nullptr && body_->events() != nullptr) {
    line.Add("partial_event_bytes", body_->events()->partial().size());
  }
  if (request_.prompt.has_value()) {
    line.Add("parts", [this] { return PartsText(request_); });
  }
}

void Attempt::AddIrregularities(base::LogLine& line) const {
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

}  // namespace jackdawshunt::gateway
