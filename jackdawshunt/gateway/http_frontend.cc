#include "jackdawshunt/gateway/http_frontend.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <utility>

#include "jackdawshunt/base/log.h"
#include "jackdawshunt/base/log_line.h"
#include "jackdawshunt/routing/request_content.h"

namespace jackdawshunt::gateway {
namespace {

// Retry-After of errors that another instance, or this one shortly after, would
// not return.
constexpr kernel::Duration kRetryAfter = std::chrono::milliseconds(200);
constexpr kernel::Duration kLimitLogPeriod = std::chrono::seconds(1);

constexpr std::string_view kNoMemoryMessage =
    "the requests of this instance take all of its memory";

struct FaultError {
  http1::RequestError fault;
  base::ErrorKind kind;
  std::string_view message;
};
constexpr std::array kFaultErrors = {
    FaultError{http1::RequestError::kMalformed, base::ErrorKind::kBadRequest,
               "the request is malformed"},
    FaultError{http1::RequestError::kHeadTooLarge,
               base::ErrorKind::kHeadersTooLarge, "the head exceeds the limit"},
    FaultError{http1::RequestError::kBodyTooLarge,
               base::ErrorKind::kBodyTooLarge, "the body exceeds the limit"},
    FaultError{http1::RequestError::kTimeout, base::ErrorKind::kRequestTimeout,
               "the request was not complete in time"},
    FaultError{http1::RequestError::kNoMemory, base::ErrorKind::kOverloaded,
               kNoMemoryMessage},
};

// Room that a request takes for its response while it is served: what is read
// from the upstream before reading pauses.
constexpr size_t kResponseBytes = size_t{32} * 1024;
// A request's head is held as received, as fields, and as sent to the upstream.
constexpr size_t kHeadCopies = 3;
// Smaller bodies are copied to be sent with the head.
constexpr size_t kMaxCopiedBody = size_t{16} * 1024;

// Returns an upper bound of the memory that a request takes while it is served.
size_t MemoryOf(const http1::RequestHead& head, const std::string& body) {
  size_t head_bytes = head.target.size();
  for (const auto& [name, value] : head.headers) {
    head_bytes +=
        sizeof(http::Headers::value_type) + name.size() + value.size();
  }
  return kResponseBytes + kHeadCopies * head_bytes + body.capacity() +
         2 * std::min(body.size(), kMaxCopiedBody);
}

}  // namespace

// A caller's connection and its current call.
class HttpFrontend::Session final : public http1::ServerConnection::Handler {
 public:
  Session(HttpFrontend& http_frontend,
          int fd,
          http1::ServerConnectionLimits limits,
          bool is_refused)
      : http_frontend_(http_frontend),
        is_refused_(is_refused),
        connection_(http_frontend.context_.loop,
                    fd,
                    limits,
                    *this,
                    &http_frontend.budget_) {}

  http1::ServerConnection& connection() { return connection_; }
  void OnQuarantineChanged() {
    if (call_ != nullptr) {
      call_->OnQuarantineChanged();
    }
  }
  void EndBeforeExit() {
    if (is_busy()) {
      call_->EndBeforeExit();
    }
  }
  bool is_busy() const { return call_ != nullptr && !call_->is_done(); }
  // Whether the connection exceeds the limit.
  bool is_refused() const { return is_refused_; }
  void StartCall(const http1::RequestHead& head,
                 std::string body,
                 routing::RoutedRequest request) {
    call_ = std::make_unique<Call>(http_frontend_.context_, connection_, head,
                                   std::move(body), std::move(request),
                                   [this] { ReleaseCall(); });
    call_->Start();
  }

  http1::ServerConnectionLimits CurrentLimits(
      const http1::ServerConnectionLimits& /*initial*/) const override {
    return http_frontend_.CurrentLimits();
  }
  void OnHead(http1::ServerConnection&,
              const http1::RequestHead& head) override {
    http_frontend_.OnHead(*this, head);
  }
  void OnRequest(http1::ServerConnection&,
                 const http1::RequestHead& head,
                 std::string& body) override {
    http_frontend_.OnRequest(*this, head, body);
  }
  void OnRequestError(http1::ServerConnection& connection,
                      http1::RequestError fault) override {
    const FaultError& row = kFaultErrors.at(static_cast<size_t>(fault));
    http_frontend_.ReplyError(connection, {}, row.kind, row.message);
  }
  void OnDrained(http1::ServerConnection&) override {
    if (call_ != nullptr) {
      call_->OnCallerDrained();
    }
  }
  void OnClosed(http1::ServerConnection&) override {
    if (call_ != nullptr) {
      call_->OnCallerDisconnected();
    }
    http_frontend_.Remove(this);
  }

 private:
  // Frees the memory of a call that has ended, which the budget does not count
  // any more, in a later iteration of the loop, since the call may be running.
  void ReleaseCall() {
    http_frontend_.context_.loop.Post(
        [released = std::shared_ptr<Call>(std::move(call_))] {});
  }

  HttpFrontend& http_frontend_;
  const bool is_refused_;
  http1::ServerConnection connection_;
  std::unique_ptr<Call> call_;
};

HttpFrontend::HttpFrontend(CallContext& context,
                           const routing::KeyFreshness& freshness,
                           http1::ClientBudget& budget,
                           const FrontendLimits& limits)
    : context_(context),
      freshness_(freshness),
      budget_(budget),
      limits_(limits) {}

HttpFrontend::~HttpFrontend() = default;

absl::Status HttpFrontend::Listen(const http::Address& address) {
  auto listener = http1::Listener::Bind(
      context_.loop, address, [this](int fd) { Accept(fd); },
      /*has_small_buffers=*/true);
  if (!listener.ok()) {
    return listener.status();
  }
  listener_ = *std::move(listener);
  return absl::OkStatus();
}

uint16_t HttpFrontend::port() const {
  return listener_ == nullptr ? 0 : listener_->port();
}

void HttpFrontend::Accept(int fd) {
  if (is_at_limit()) {
    CloseYielding();
  }
  const bool is_refused = is_at_limit();
  connections_over_limit_ += is_refused ? 1 : 0;
  if (sessions_.size() >= limits_.connections + limits_.refused_connections ||
      open_descriptors() >= limits_.descriptors + limits_.refused_connections) {
    close(fd);
    return;
  }
  auto session =
      std::make_unique<Session>(*this, fd, CurrentLimits(), is_refused);
  Session* const key = session.get();
  sessions_.emplace(key, std::move(session));
}

http1::ServerConnectionLimits HttpFrontend::CurrentLimits() const {
  const auto& table = context_.router.table();
  const routing::Limits limits =
      table == nullptr ? routing::Limits{} : table->state().limits;
  return {.parse = {.header_bytes = limits.header_bytes,
                    .body_bytes = limits.body_bytes},
          .request_timeout = limits.request_timeout,
          .idle_timeout = limits.idle_timeout};
}

size_t HttpFrontend::open_descriptors() const {
  return sessions_.size() + context_.pool.open_connections();
}

void HttpFrontend::CloseYielding() {
  const auto yielding =
      http1::ChooseYielding(sessions_, context_.Now(),
                            [](const auto& row) -> http1::ServerConnection& {
                              return row.second->connection();
                            });
  if (yielding != sessions_.end()) {
    ++connections_yielded_;
    yielding->second->connection().Yield();  // Removes the session.
  }
  LogConnectionLimit();
}

void HttpFrontend::LogConnectionLimit() {
  const kernel::TimePoint now = context_.loop.clock().Now();
  if (now - limit_logged_at_ < kLimitLogPeriod) {
    return;
  }
  limit_logged_at_ = now;
  base::Log(base::LogLevel::kWarning, "connection_limit",
            {{"open", sessions_.size()},
             {"yielded", std::exchange(connections_yielded_, 0)},
             {"refused", std::exchange(connections_over_limit_, 0)}});
}

void HttpFrontend::Remove(Session* session) {
  const auto found = sessions_.find(session);
  if (found == sessions_.end()) {
    return;
  }
  // Destroyed in a later iteration of the loop, since this may run in a
  // callback of its connection.
  context_.loop.Post(
      [removed = std::shared_ptr<Session>(std::move(found->second))] {});
  sessions_.erase(found);
}

void HttpFrontend::StartDraining() {
  context_.is_draining = true;
  context_.closes_connections = true;
}

void HttpFrontend::StopAccepting() {
  is_refusing_ = true;
  listener_->AcceptPending();
  listener_.reset();
  for (Session* const session : OpenSessions()) {
    session->connection().CloseWhenIdle();
  }
}

std::vector<HttpFrontend::Session*> HttpFrontend::OpenSessions() const {
  std::vector<Session*> open;
  open.reserve(sessions_.size());
  for (const auto& [key, session] : sessions_) {
    open.push_back(key);
  }
  return open;
}

void HttpFrontend::EndRequests() {
  for (Session* const session : OpenSessions()) {
    session->EndBeforeExit();
  }
}

void HttpFrontend::OnQuarantineChanged() {
  for (Session* const session : OpenSessions()) {
    session->OnQuarantineChanged();
  }
}

bool HttpFrontend::has_open_requests() const {
  return busy_calls() > 0 ||
         std::any_of(sessions_.begin(), sessions_.end(), [](const auto& row) {
           return row.second->connection().has_arriving_request();
         });
}

size_t HttpFrontend::busy_calls() const {
  size_t busy = 0;
  for (const auto& [key, session] : sessions_) {
    busy += session->is_busy() ? 1 : 0;
  }
  return busy;
}

void HttpFrontend::ReplyError(http1::ServerConnection& connection,
                              std::string_view request_id,
                              base::ErrorKind kind,
                              std::string_view message,
                              bool closes) {
  const base::ErrorAnswer& row = base::AnswerFor(kind);
  http1::ResponseHead head;
  head.status = row.http_status;
  head.headers = platform::AnswerHeaders(
      request_id,
      row.retry_after.has_value() ? std::optional(kRetryAfter) : std::nullopt);
  head.headers.emplace_back("Content-Type", "application/json");
  context_.metrics.CountAnswer("unrouted", row.http_status, row.name);
  const auto& table = context_.router.table();
  base::LogLine(base::LogLevel::kInfo, "request_rejected")
      .Add("request", request_id)
      .Add("status", row.http_status)
      .Add("reason", row.name)
      .Add("detail", message)
      .Add("configuration", table == nullptr ? 0 : table->version())
      .Add("configuration_age_ms",
           freshness_.Age(boot_clock_.Now()).count() / 1000);
  connection.Reply(head, base::ErrorBody(kind, message, request_id),
                   context_.closes_connections || closes);
}

void HttpFrontend::OnHead(Session& session, const http1::RequestHead& head) {
  platform::CallerRequest decoded;
  if (const auto request = Admit(session, head, &decoded)) {
    session.connection().SetWorkspace(request->workspace);
  }
}

std::optional<routing::RoutedRequest> HttpFrontend::Admit(
    Session& session,
    const http1::RequestHead& head,
    platform::CallerRequest* decoded) {
  http1::ServerConnection& connection = session.connection();
  const auto refuse = [&](base::ErrorKind kind, std::string_view message,
                          bool closes = false) {
    ReplyError(connection, decoded->id, kind, message, closes);
    return std::nullopt;
  };
  auto fields = platform::DecodeRequest(head);
  if (!fields.ok()) {
    return refuse(base::ErrorKind::kBadRequest,
                  std::string(fields.status().message()));
  }
  *decoded = *std::move(fields);
  if (session.is_refused()) {
    return refuse(base::ErrorKind::kOverloaded,
                  "this instance has too many connections", /*closes=*/true);
  }
  const auto table = context_.router.table();
  if (table == nullptr) {
    return refuse(base::ErrorKind::kNotReady, "no configuration is known");
  }
  if (is_refusing_) {
    return refuse(base::ErrorKind::kDraining, "the process is shutting down");
  }
  routing::RoutedRequest request;
  request.id = decoded->id;
  request.table = table;
  request.route = table->Match(decoded->host, head.target);
  if (request.route == nullptr) {
    return refuse(base::ErrorKind::kNotFound, "no route matches");
  }
  if (table->requires_keys()) {
    const routing::Workspace* workspace =
        decoded->api_key.empty() ? nullptr
                                 : table->FindWorkspace(decoded->api_key);
    if (!request.route->is_public) {
      if (!freshness_.MayAccept(boot_clock_.Now())) {
        return refuse(base::ErrorKind::kPlatformUnavailable,
                      "the configuration is too old to accept API keys");
      }
      if (workspace == nullptr) {
        return refuse(base::ErrorKind::kUnauthenticated,
                      "the API key is not known");
      }
    }
    if (workspace != nullptr) {
      request.workspace = workspace->name;
    }
  }
  const bool is_retry =
      decoded->deadline.has_value() &&
      context_.router.IsRetryAfterRefusal(*request.route, *decoded->deadline);
  if (context_.overload.ShouldRefuse(routing::HashOf(request.id), is_retry)) {
    return refuse(base::ErrorKind::kOverloaded,
                  "this instance is short of processor time");
  }
  return request;
}

void HttpFrontend::OnRequest(Session& session,
                             const http1::RequestHead& head,
                             std::string& body) {
  http1::ServerConnection& connection = session.connection();
  platform::CallerRequest decoded;
  auto admitted = Admit(session, head, &decoded);
  if (!admitted.has_value()) {
    return;
  }
  routing::RoutedRequest& request = *admitted;
  connection.SetWorkspace(request.workspace);
  if (open_descriptors() >= limits_.descriptors) {
    CloseYielding();
  }
  if (open_descriptors() >= limits_.descriptors) {
    ReplyError(connection, decoded.id, base::ErrorKind::kOverloaded,
               "this instance has too many connections");
    return;
  }
  if (!connection.HoldRequest(MemoryOf(head, body))) {
    ReplyError(connection, decoded.id, base::ErrorKind::kOverloaded,
               kNoMemoryMessage);
    return;
  }
  request.prompt = std::move(decoded.prompt);
  if (request.route->kind == routing::RouteKind::kStream &&
      decoded.resumes_stream()) {
    request.resumption = {.first_request = decoded.resumed_request,
                          .last_event_id = decoded.last_event_id};
  }
  request.content = routing::ContentHash(
      {.method = head.method,
       .host = decoded.host,
       .target = head.target,
       .workspace = request.workspace,
       .body = body,
       .prompt = request.prompt.has_value() ? &*request.prompt : nullptr});
  context_.router.Prepare(request, decoded.deadline,
                          context_.loop.clock().Now());
  session.StartCall(head, std::move(body), std::move(request));
}

}  // namespace jackdawshunt::gateway
