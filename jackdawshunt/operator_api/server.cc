#include "jackdawshunt/operator_api/server.h"

#include <array>
#include <utility>

#include "jackdawshunt/base/crypto.h"
#include "jackdawshunt/base/error.h"
#include "jackdawshunt/base/log.h"
#include "jackdawshunt/http/server.h"
#include "prometheus/text_serializer.h"

namespace jackdawshunt::operator_api {
namespace {

constexpr http::ServerLimits kLimits = {.max_header_bytes = size_t{16} * 1024,
                                        .max_body_bytes = size_t{4} * 1024};

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

http::Response LimitPage(int status) {
  switch (status) {
    case 413:
      return ErrorResponse(base::ErrorKind::kBodyTooLarge, "body too large");
    case 431:
      return ErrorResponse(base::ErrorKind::kHeadersTooLarge,
                           "headers too large");
    default:
      return ErrorResponse(base::ErrorKind::kBadRequest, "malformed request");
  }
}

}  // namespace

struct Server::Impl {
  Impl(kernel::EventLoop& loop, std::string token_hash)
      : token_sha256(std::move(token_hash)), server(loop, kLimits) {}

  http::Response Answer(const http::Request& request);
  http::Response Health(const http::Request& request);
  http::Response Readiness(const http::Request& request);
  http::Response Metrics(const http::Request& request);
  http::Response Status(const http::Request& request);
  bool IsAuthorized(const http::Request& request) const;

  std::string token_sha256;
  prometheus::Registry registry;
  std::function<void()> on_collect;
  std::function<bool()> is_ready;
  std::function<nlohmann::json()> status;
  http::Server server;
};

http::Response Server::Impl::Answer(const http::Request& request) {
  struct Route {
    std::string_view path;
    http::Response (Impl::*answer)(const http::Request&);
  };
  static constexpr std::array kRoutes = {
      Route{"/healthz", &Impl::Health},
      Route{"/readyz", &Impl::Readiness},
      Route{"/metrics", &Impl::Metrics},
      Route{"/status", &Impl::Status},
  };
  if (request.method != "GET" && request.method != "HEAD") {
    http::Response response = ErrorResponse(base::ErrorKind::kBadRequest,
                                            "only GET and HEAD are allowed");
    response.status = 405;
    response.headers.emplace_back("Allow", "GET, HEAD");
    return response;
  }
  for (const Route& route : kRoutes) {
    if (request.path == route.path) {
      return (this->*route.answer)(request);
    }
  }
  return ErrorResponse(base::ErrorKind::kNotFound, "no such path");
}

http::Response Server::Impl::Health(const http::Request& /*request*/) {
  return TextResponse(200, "ok\n");
}

http::Response Server::Impl::Readiness(const http::Request& /*request*/) {
  return is_ready && is_ready() ? TextResponse(200, "ready\n")
                                : TextResponse(503, "not ready\n");
}

http::Response Server::Impl::Metrics(const http::Request& /*request*/) {
  if (on_collect) {
    on_collect();
  }
  const std::string text =
      prometheus::TextSerializer().Serialize(registry.Collect());
  return {.headers = {{"Content-Type", "text/plain; version=0.0.4"}},
          .body = text};
}

http::Response Server::Impl::Status(const http::Request& request) {
  if (!IsAuthorized(request)) {
    base::Log(base::LogLevel::kWarning, "operator_unauthenticated",
              {{"path", request.path}});
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

bool Server::Impl::IsAuthorized(const http::Request& request) const {
  constexpr std::string_view kScheme = "Bearer ";
  const std::string_view value =
      http::FindHeader(request.headers, "Authorization");
  return value.starts_with(kScheme) &&
         base::ConstantTimeEquals(base::Sha256Hex(value.substr(kScheme.size())),
                                  token_sha256);
}

Server::Server(kernel::EventLoop& loop, std::string token_sha256)
    : impl_(std::make_unique<Impl>(loop, std::move(token_sha256))) {
  impl_->server.SetErrorPage(LimitPage);
  impl_->server.SetHandler(
      [impl = impl_.get()](const std::shared_ptr<http::Exchange>& exchange) {
        exchange->Reply(impl->Answer(exchange->request()));
      });
}

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
  return impl_->server.Listen(address);
}

}  // namespace jackdawshunt::operator_api
