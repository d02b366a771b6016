#include "jackdawshunt/entry/http_frontend.h"

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

Failure MakeRejection(base::ErrorKind kind, std::string_view message) {
  return {.request = base::NewRequestId(),
          .kind = kind,
          .executed = base::AnswerFor(kind).executed,
          .message = std::string(message)};
}

}  // namespace

HttpFrontend::HttpFrontend(kernel::EventLoop& loop,
                           const configuration::Store& store,
                           HttpFrontendOptions options,
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
    return ErrorResponse(MakeRejection(kind, "the request was not accepted"));
  });
}

absl::StatusOr<uint16_t> HttpFrontend::Listen(const http::Address& address) {
  return server_.Listen(address);
}

void HttpFrontend::OnRequest(const ExchangePtr& exchange) {
  const http::Request& request = exchange->request();
  if (const std::optional<base::ErrorKind> refusal =
          options_.check_admission()) {
    Reject(*exchange,
           base::MakeError(*refusal, "this entry accepts no requests now"));
  } else if (request.method == "POST" && request.path == kCompletionsPath) {
    OnCompletion(exchange);
  } else if (request.path.starts_with(kServicesPath)) {
    OnServiceCall(exchange);
  } else if (request.method == "GET" &&
             request.path.starts_with(kStreamsPath)) {
    OnResumeStream(exchange);
  } else {
    Reject(*exchange, base::MakeError(base::ErrorKind::kNotFound,
                                      "no such method and path"));
  }
}

void HttpFrontend::Reject(http::Exchange& exchange,
                          const absl::Status& status) {
  const base::ErrorKind kind = base::KindOf(status);
  options_.on_rejected(kind);
  exchange.Reply(ErrorResponse(MakeRejection(
      kind,
      std::string_view(status.message().data(), status.message().size()))));
}

void HttpFrontend::OnCompletion(const ExchangePtr& exchange) {
  auto submit = ParseCompletion(exchange->request(), store_.snapshot());
  if (!submit.ok()) {
    Reject(*exchange, submit.status());
    return;
  }
  AcceptSubmit(exchange, *std::move(submit));
}

void HttpFrontend::OnServiceCall(const ExchangePtr& exchange) {
  auto submit = ParseServiceCall(exchange->request(), store_.snapshot());
  if (!submit.ok()) {
    Reject(*exchange, submit.status());
    return;
  }
  AcceptSubmit(exchange, *std::move(submit));
}

void HttpFrontend::AcceptSubmit(const ExchangePtr& exchange, Submit submit) {
  submit.request = base::NewRequestId();
  AddCaller(submit.request, {.exchange = exchange,
                             .workspace = submit.workspace,
                             .model = submit.model,
                             .is_stream = submit.is_stream,
                             .next_offset = submit.resume_tokens});
  post_(std::move(submit));
}

void HttpFrontend::OnResumeStream(const ExchangePtr& exchange) {
  auto resume = ParseResumeStream(exchange->request(), store_.snapshot());
  if (!resume.ok()) {
    Reject(*exchange, resume.status());
    return;
  }
  std::string model;
  if (Caller* const earlier = FindCaller(resume->request)) {
    if (earlier->workspace != resume->workspace || !earlier->is_stream) {
      Reject(*exchange,
             base::MakeError(base::ErrorKind::kNotFound, "no such stream"));
      return;
    }
    model = earlier->model;
    const ExchangePtr replaced = std::move(earlier->exchange);
    RemoveCaller(resume->request);
    replaced->Abort();
  }
  AddCaller(resume->request, {.exchange = exchange,
                              .workspace = resume->workspace,
                              .model = std::move(model),
                              .is_stream = true,
                              .side = resume->side,
                              .next_offset = resume->offset});
  post_(*std::move(resume));
}

void HttpFrontend::AddCaller(const std::string& request, Caller caller) {
  const ExchangePtr exchange = caller.exchange;
  callers_.insert_or_assign(request, std::move(caller));
  exchange->OnClosed([this, request, raw = exchange.get()] {
    const Caller* const disconnected = FindCaller(request);
    if (disconnected != nullptr && disconnected->exchange.get() == raw) {
      RemoveCaller(request);
      post_(CallerDisconnected{request});
    }
  });
}

HttpFrontend::Caller* HttpFrontend::FindCaller(std::string_view request) {
  const auto found = callers_.find(request);
  return found == callers_.end() ? nullptr : &found->second;
}

void HttpFrontend::RemoveCaller(const std::string& request) {
  callers_.erase(request);
}

// The headers are sent with the first token: before it the request may move to
// another side, and the stream id in the headers would name a side without the
// stream.
void HttpFrontend::Handle(const AcceptedBySide& answer) {
  Caller* const caller = FindCaller(answer.request);
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

void HttpFrontend::OpenStream(const std::string& request, Caller& caller) {
  caller.has_headers = true;
  caller.exchange->StartStream(
      200, {{"Content-Type", "text/event-stream"},
            {"Cache-Control", "no-cache"},
            {"X-Request-Id", request},
            {"X-Stream-Id", StreamId(request, caller.side)}});
  caller.exchange->OnDrained([this, request, raw = caller.exchange.get()] {
    const Caller* const drained = FindCaller(request);
    if (drained != nullptr && drained->exchange.get() == raw) {
      OnDrained(request);
    }
  });
}

void HttpFrontend::Handle(const Tokens& answer) {
  Caller* const caller = FindCaller(answer.request);
  if (caller == nullptr) {
    post_(CallerDisconnected{answer.request});
    return;
  }
  // After a new caller resumed the stream, tokens in transit to the earlier
  // caller may overlap with the next offset of the new caller or start after
  // it.
  const int64_t skip = caller->next_offset - answer.offset;
  if (skip < 0 || skip >= static_cast<int64_t>(answer.tokens.size())) {
    return;
  }
  const Tokens unwritten{
      .request = answer.request,
      .offset = caller->next_offset,
      .tokens = {answer.tokens.begin() + skip, answer.tokens.end()}};
  caller->next_offset += static_cast<int64_t>(unwritten.tokens.size());
  if (!caller->is_stream) {
    for (const std::string& token : unwritten.tokens) {
      caller->content += token;
    }
    post_(Consumed{answer.request, caller->next_offset});
    return;
  }
  WriteTokens(*caller, unwritten);
}

void HttpFrontend::WriteTokens(Caller& caller, const Tokens& tokens) {
  if (!caller.has_headers) {
    OpenStream(tokens.request, caller);
  }
  caller.exchange->Write(TokensEvent(tokens.request, caller.model, tokens));
  if (caller.exchange->buffered_bytes() < options_.stream_buffer_bytes) {
    post_(Consumed{tokens.request, caller.next_offset});
  } else {
    caller.is_write_blocked = true;
  }
}

void HttpFrontend::OnDrained(const std::string& request) {
  Caller* const caller = FindCaller(request);
  if (caller != nullptr && std::exchange(caller->is_write_blocked, false)) {
    post_(Consumed{request, caller->next_offset});
  }
}

void HttpFrontend::Handle(const Completed& answer) {
  Caller* const caller = FindCaller(answer.request);
  // A completion in transit to an earlier caller does not apply to a new caller
  // that still lacks tokens; the attach repeats the completion.
  if (caller == nullptr || caller->next_offset < answer.done.length) {
    return;
  }
  const ExchangePtr exchange = caller->exchange;
  if (caller->is_stream) {
    if (!caller->has_headers) {
      OpenStream(answer.request, *caller);
    }
    const std::string events =
        FinalEvents(answer.request, caller->model, answer.done);
    RemoveCaller(answer.request);
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
  RemoveCaller(answer.request);
  exchange->Reply(response);
}

void HttpFrontend::Handle(const ServiceReply& answer) {
  Caller* const caller = FindCaller(answer.request);
  if (caller == nullptr) {
    return;
  }
  const ExchangePtr exchange = caller->exchange;
  RemoveCaller(answer.request);
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

void HttpFrontend::Handle(const Failure& answer) {
  Caller* const caller = FindCaller(answer.request);
  if (caller == nullptr) {
    return;
  }
  const ExchangePtr exchange = caller->exchange;
  const bool has_headers = caller->has_headers;
  RemoveCaller(answer.request);
  if (has_headers) {
    // The missing [DONE] marks the stream as incomplete.
    exchange->Write(ErrorEvent(answer));
    exchange->EndStream();
  } else {
    exchange->Reply(ErrorResponse(answer));
  }
}

}  // namespace jackdawshunt::entry
