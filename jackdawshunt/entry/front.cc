#include "jackdawshunt/entry/front.h"

#include <utility>
#include <variant>

#include "jackdawshunt/base/id.h"
#include "jackdawshunt/entry/answer_format.h"
#include "jackdawshunt/entry/request_parser.h"

namespace jackdawshunt::entry {
namespace {

constexpr std::string_view kCompletionsPath = "/v1/chat/completions";
constexpr std::string_view kStreamsPath = "/v1/streams/";
constexpr std::string_view kServicesPath = "/services/";

base::ErrorKind KindOfHttpStatus(int status) {
  constexpr int kPayloadTooLarge = 413;
  constexpr int kHeaderFieldsTooLarge = 431;
  switch (status) {
    case kPayloadTooLarge:
      return base::ErrorKind::kBodyTooLarge;
    case kHeaderFieldsTooLarge:
      return base::ErrorKind::kHeadersTooLarge;
    default:
      return base::ErrorKind::kBadRequest;
  }
}

Failure Rejection(base::ErrorKind kind, std::string_view message) {
  return {.request = base::NewRequestId(),
          .kind = kind,
          .ran = base::AnswerFor(kind).ran,
          .message = std::string(message)};
}

}  // namespace

Front::Front(kernel::EventLoop& loop,
             const configuration::Store& store,
             FrontOptions options,
             std::function<void(CallerEvent)> post)
    : store_(store),
      options_(std::move(options)),
      post_(std::move(post)),
      server_(loop, options_.limits),
      mailbox_(loop, [this](const Answer& answer) {
        std::visit([this](const auto& content) { Handle(content); }, answer);
      }) {
  server_.SetHandler(
      [this](const ExchangePtr& exchange) { OnRequest(exchange); });
  server_.SetErrorPage([this](int status) {
    const base::ErrorKind kind = KindOfHttpStatus(status);
    options_.on_rejected(kind);
    return ErrorResponse(Rejection(kind, "the request was not accepted"));
  });
}

absl::StatusOr<uint16_t> Front::Listen(const http::Address& address) {
  return server_.Listen(address);
}

void Front::OnRequest(const ExchangePtr& exchange) {
  const http::Request& request = exchange->request();
  if (const std::optional<base::ErrorKind> refusal = options_.refusal()) {
    Reject(*exchange,
           base::MakeError(*refusal, "this entry takes no requests now"));
  } else if (request.method == "POST" && request.path == kCompletionsPath) {
    OnCompletion(exchange);
  } else if (request.path.starts_with(kServicesPath)) {
    OnServiceCall(exchange);
  } else if (request.method == "GET" &&
             request.path.starts_with(kStreamsPath)) {
    OnJoin(exchange);
  } else {
    Reject(*exchange, base::MakeError(base::ErrorKind::kNotFound,
                                      "no such method and path"));
  }
}

void Front::Reject(http::Exchange& exchange, const absl::Status& status) {
  const base::ErrorKind kind = base::KindOf(status);
  options_.on_rejected(kind);
  exchange.Reply(ErrorResponse(Rejection(
      kind,
      std::string_view(status.message().data(), status.message().size()))));
}

void Front::OnCompletion(const ExchangePtr& exchange) {
  auto submit = ParseCompletion(exchange->request(), store_.snapshot());
  if (!submit.ok()) {
    Reject(*exchange, submit.status());
    return;
  }
  AcceptSubmit(exchange, *std::move(submit));
}

void Front::OnServiceCall(const ExchangePtr& exchange) {
  auto submit = ParseServiceCall(exchange->request(), store_.snapshot());
  if (!submit.ok()) {
    Reject(*exchange, submit.status());
    return;
  }
  AcceptSubmit(exchange, *std::move(submit));
}

void Front::AcceptSubmit(const ExchangePtr& exchange, Submit submit) {
  submit.request = base::NewRequestId();
  Add(submit.request, {.exchange = exchange,
                       .workspace = submit.workspace,
                       .model = submit.model,
                       .is_stream = submit.is_stream,
                       .written = submit.resume_tokens});
  post_(std::move(submit));
}

void Front::OnJoin(const ExchangePtr& exchange) {
  auto join = ParseJoin(exchange->request(), store_.snapshot());
  if (!join.ok()) {
    Reject(*exchange, join.status());
    return;
  }
  std::string model;
  if (Caller* const earlier = Find(join->request)) {
    if (earlier->workspace != join->workspace || !earlier->is_stream) {
      Reject(*exchange,
             base::MakeError(base::ErrorKind::kNotFound, "no such stream"));
      return;
    }
    model = earlier->model;
    const ExchangePtr replaced = std::move(earlier->exchange);
    Remove(join->request);
    replaced->Abort();
  }
  Add(join->request, {.exchange = exchange,
                      .workspace = join->workspace,
                      .model = std::move(model),
                      .is_stream = true,
                      .side = join->side,
                      .written = join->offset});
  post_(*std::move(join));
}

void Front::Add(const std::string& request, Caller caller) {
  const ExchangePtr exchange = caller.exchange;
  callers_.insert_or_assign(request, std::move(caller));
  exchange->OnClosed([this, request, raw = exchange.get()] {
    const Caller* const left = Find(request);
    if (left != nullptr && left->exchange.get() == raw) {
      Remove(request);
      post_(Left{request});
    }
  });
}

Front::Caller* Front::Find(std::string_view request) {
  const auto found = callers_.find(request);
  return found == callers_.end() ? nullptr : &found->second;
}

void Front::Remove(const std::string& request) {
  callers_.erase(request);
}

// The headers wait for the first token: until then the request may move, and
// the stream id in them would name a side that has nothing of it.
void Front::Handle(const Opened& answer) {
  Caller* const caller = Find(answer.request);
  if (caller == nullptr) {
    return;
  }
  const bool has_moved = caller->side != answer.side;
  caller->side = answer.side;
  if (caller->has_headers && has_moved) {
    caller->exchange->Write(
        StreamIdComment(StreamId(answer.request, answer.side)));
  }
}

void Front::OpenStream(const std::string& request, Caller& caller) {
  caller.has_headers = true;
  caller.exchange->StartStream(
      200, {{"Content-Type", "text/event-stream"},
            {"Cache-Control", "no-cache"},
            {"X-Request-Id", request},
            {"X-Stream-Id", StreamId(request, caller.side)}});
  caller.exchange->OnDrained([this, request, raw = caller.exchange.get()] {
    const Caller* const drained = Find(request);
    if (drained != nullptr && drained->exchange.get() == raw) {
      OnDrained(request);
    }
  });
}

void Front::Handle(const Tokens& answer) {
  Caller* const caller = Find(answer.request);
  if (caller == nullptr) {
    post_(Left{answer.request});
    return;
  }
  // After a new caller took over, tokens that were under way to the earlier
  // one may overlap with or lie beyond what the new one needs next.
  const int64_t skip = caller->written - answer.offset;
  if (skip < 0 || skip >= static_cast<int64_t>(answer.tokens.size())) {
    return;
  }
  const Tokens fresh{
      .request = answer.request,
      .offset = caller->written,
      .tokens = {answer.tokens.begin() + skip, answer.tokens.end()}};
  caller->written += static_cast<int64_t>(fresh.tokens.size());
  if (!caller->is_stream) {
    for (const std::string& token : fresh.tokens) {
      caller->content += token;
    }
    post_(Consumed{answer.request, caller->written});
    return;
  }
  WriteTokens(*caller, fresh);
}

void Front::WriteTokens(Caller& caller, const Tokens& tokens) {
  if (!caller.has_headers) {
    OpenStream(tokens.request, caller);
  }
  caller.exchange->Write(TokensEvent(tokens.request, caller.model, tokens));
  if (caller.exchange->buffered_bytes() < options_.stream_buffer_bytes) {
    post_(Consumed{tokens.request, caller.written});
  } else {
    caller.is_waiting_drain = true;
  }
}

void Front::OnDrained(const std::string& request) {
  Caller* const caller = Find(request);
  if (caller != nullptr && std::exchange(caller->is_waiting_drain, false)) {
    post_(Consumed{request, caller->written});
  }
}

void Front::Handle(const Completed& answer) {
  Caller* const caller = Find(answer.request);
  // An end that was under way to an earlier caller is not that of a new one who
  // still lacks tokens; the attach repeats it.
  if (caller == nullptr || caller->written < answer.done.length) {
    return;
  }
  const ExchangePtr exchange = caller->exchange;
  if (caller->is_stream) {
    if (!caller->has_headers) {
      OpenStream(answer.request, *caller);
    }
    const std::string events =
        FinalEvents(answer.request, caller->model, answer.done);
    Remove(answer.request);
    exchange->Write(events);
    exchange->EndStream();
    return;
  }
  const http::Response response{
      .headers = {{"Content-Type", "application/json"},
                  {"X-Request-Id", answer.request},
                  {"X-Stream-Id", StreamId(answer.request, caller->side)}},
      .body = CompletionBody(answer.request, caller->model, caller->content,
                             answer.done)};
  Remove(answer.request);
  exchange->Reply(response);
}

void Front::Handle(const ServiceReply& answer) {
  Caller* const caller = Find(answer.request);
  if (caller == nullptr) {
    return;
  }
  const ExchangePtr exchange = caller->exchange;
  Remove(answer.request);
  http::Response response{.status = answer.http_status,
                          .headers = {{"X-Request-Id", answer.request}},
                          .body = answer.body};
  if (!answer.content_type.empty()) {
    response.headers.emplace_back("Content-Type", answer.content_type);
  }
  if (answer.is_replay) {
    response.headers.emplace_back("Idempotency-Replayed", "true");
    response.headers.emplace_back("Idempotency-Body",
                                  answer.has_body ? "recorded" : "omitted");
  }
  exchange->Reply(response);
}

void Front::Handle(const Failure& answer) {
  Caller* const caller = Find(answer.request);
  if (caller == nullptr) {
    return;
  }
  const ExchangePtr exchange = caller->exchange;
  const bool has_headers = caller->has_headers;
  Remove(answer.request);
  if (has_headers) {
    // The missing [DONE] tells the caller that the stream is incomplete.
    exchange->Write(ErrorEvent(answer));
    exchange->EndStream();
  } else {
    exchange->Reply(ErrorResponse(answer));
  }
}

}  // namespace jackdawshunt::entry
