#include "jackdawshunt/operator_api/server.h"

#include <array>
#include <utility>

#include "jackdawshunt/base/crypto.h"
#include "jackdawshunt/base/error.h"
#include "jackdawshunt/base/log.h"
#include "jackdawshunt/http1/listener.h"
#include "jackdawshunt/http1/server.h"
#include "prometheus/text_serializer.h"

namespace jackdawshunt::operator_api {
namespace {

// Operators and collectors send a few lines without a body and are few.
constexpr http1::ConnectionSetOptions kOptions = {
    .limits = {.parse = {.header_bytes = size_t{16} * 1024,
                         .body_bytes = size_t{4} * 1024}},
    .max_connections = 32};

http::Response ErrorResponse(base::ErrorKind kind, std::string_view message) {
  return {.status = base::AnswerFor(kind).http_status,
          .headers = {{"Content-Type", "application/json"}},
          .body = base::ErrorBody(kind, message, "")};
}

http::Response TextResponse(int status, std::string body) {
  return {.status = status,
          .headers = {{"Content-Type", "text/plain; charset=utf-8"}},
          .body = std::move(body)};
}

struct FaultPage {
  http1::RequestError fault;
  base::ErrorKind kind;
  std::string_view message;
};
constexpr std::array kFaultPages = {
    FaultPage{http1::RequestError::kMalformed, base::ErrorKind::kBadRequest,
              "malformed request"},
    FaultPage{http1::RequestError::kHeadTooLarge,
              base::ErrorKind::kHeadersTooLarge, "headers too large"},
    FaultPage{http1::RequestError::kBodyTooLarge,
              base::ErrorKind::kBodyTooLarge, "body too large"},
    FaultPage{http1::RequestError::kTimeout, base::ErrorKind::kRequestTimeout,
              "the request was not complete in time"},
    FaultPage{http1::RequestError::kNoMemory, base::ErrorKind::kOverloaded,
              "no memory for the request"},
};

}  // namespace

struct Server::Impl final : http1::ServerConnection::Handler {
  Impl(kernel::EventLoop& event_loop, std::string token_hash)
      : loop(event_loop),
        token_sha256(std::move(token_hash)),
        connections(event_loop, *this, kOptions) {}

  // http1::ServerConnection::Handler:
  void OnRequest(http1::ServerConnection& connection,
                 const http1::RequestHead& head,
                 std::string& body) override;
  void OnRequestError(http1::ServerConnection& connection,
                      http1::RequestError fault) override;
  void OnDrained(http1::ServerConnection& /*connection*/) override {}
  void OnClosed(http1::ServerConnection& connection) override {
    connections.Remove(connection);
  }

  http::Response Answer(const http1::RequestHead& head);
  http::Response Health(const http1::RequestHead& head);
  http::Response Readiness(const http1::RequestHead& head);
  http::Response Metrics(const http1::RequestHead& head);
  http::Response Status(const http1::RequestHead& head);
  bool IsAuthorized(const http1::RequestHead& head) const;

  kernel::EventLoop& loop;
  const std::string token_sha256;
  prometheus::Registry registry;
  std::function<void()> on_collect;
  std::function<bool()> is_ready;
  std::function<nlohmann::json()> status;
  std::unique_ptr<http1::Listener> listener;
  http1::ConnectionSet connections;
};

void Server::Impl::OnRequest(http1::ServerConnection& connection,
                             const http1::RequestHead& head,
                             std::string& /*body*/) {
  http::Response response = Answer(head);
  if (head.method == "HEAD") {
    response.body.clear();
  }
  connection.Reply({.status = response.status, .headers = response.headers},
                   response.body);
}

void Server::Impl::OnRequestError(http1::ServerConnection& connection,
                                  http1::RequestError fault) {
  const FaultPage& page = kFaultPages.at(static_cast<size_t>(fault));
  const http::Response response = ErrorResponse(page.kind, page.message);
  connection.Reply({.status = response.status, .headers = response.headers},
                   response.body);
}

http::Response Server::Impl::Answer(const http1::RequestHead& head) {
  struct Route {
    std::string_view path;
    http::Response (Impl::*answer)(const http1::RequestHead&);
  };
  static constexpr std::array kRoutes = {
      Route{"/healthz", &Impl::Health},
      Route{"/readyz", &Impl::Readiness},
      Route{"/metrics", &Impl::Metrics},
      Route{"/status", &Impl::Status},
  };
  if (head.method != "GET" && head.method != "HEAD") {
    http::Response response = ErrorResponse(base::ErrorKind::kBadRequest,
                                            "only GET and HEAD are allowed");
    response.status = 405;
    response.headers.emplace_back("Allow", "GET, HEAD");
    return response;
  }
  const std::string_view target = head.target;
  const std::string_view path = target.substr(0, target.find('?'));
  for (const Route& route : kRoutes) {
    if (path == route.path) {
      return (this->*route.answer)(head);
    }
  }
  return ErrorResponse(base::ErrorKind::kNotFound, "no such path");
}

http::Response Server::Impl::Health(const http1::RequestHead& /*head*/) {
  return TextResponse(200, "ok\n");
}

http::Response Server::Impl::Readiness(const http1::RequestHead& /*head*/) {
  return is_ready && is_ready() ? TextResponse(200, "ready\n")
                                : TextResponse(503, "not ready\n");
}

http::Response Server::Impl::Metrics(const http1::RequestHead& /*head*/) {
  if (on_collect) {
    on_collect();
  }
  const std::string text =
      prometheus::TextSerializer().Serialize(registry.Collect());
  return {.headers = {{"Content-Type", "text/plain; version=0.0.4"}},
          .body = text};
}

http::Response Server::Impl::Status(const http1::RequestHead& head) {
  if (!IsAuthorized(head)) {
    base::Log(base::LogLevel::kWarning, "operator_unauthenticated",
              {{"path", head.target}});
    http::Response response =
        ErrorResponse(base::ErrorKind::kUnauthenticated,
                      "/status needs the operator's bearer token");
    response.headers.emplace_back("WWW-Authenticate", "Bearer");
    return response;
  }
  const nlohmann::json body = status ? status() : nlohmann::json::object();
  return {.headers = {{"Content-Type", "application/json"}},
          .body = body.dump(-1, ' ', false,
                            nlohmann::json::error_handler_t::replace)};
}

bool Server::Impl::IsAuthorized(const http1::RequestHead& head) const {
  constexpr std::string_view kScheme = "Bearer ";
  const std::string_view value =
      http::FindHeader(head.headers, "Authorization");
  return value.starts_with(kScheme) &&
         base::ConstantTimeEquals(base::Sha256Hex(value.substr(kScheme.size())),
                                  token_sha256);
}

Server::Server(kernel::EventLoop& loop, std::string token_sha256)
    : impl_(std::make_unique<Impl>(loop, std::move(token_sha256))) {}

Server::~Server() = default;

prometheus::Registry& Server::registry() {
  return impl_->registry;
}

void Server::OnCollect(std::function<void()> callback) {
  impl_->on_collect = std::move(callback);
}

void Server::SetReadiness(std::function<bool()> is_ready) {
  impl_->is_ready = std::move(is_ready);
}

void Server::SetStatus(std::function<nlohmann::json()> status) {
  impl_->status = std::move(status);
}

absl::StatusOr<uint16_t> Server::Listen(const http::Address& address) {
  auto listener = http1::Listener::Bind(
      impl_->loop, address,
      [impl = impl_.get()](int fd) { impl->connections.Add(fd); },
      /*has_small_buffers=*/true);
  if (!listener.ok()) {
    return listener.status();
  }
  impl_->listener = *std::move(listener);
  return impl_->listener->port();
}

}  // namespace jackdawshunt::operator_api
