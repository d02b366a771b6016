#include "jackdawshunt/side/http_driver.h"

#include <utility>

#include "nlohmann/json.hpp"

namespace jackdawshunt::side {
namespace {

constexpr kernel::Duration kLoadTimeout = std::chrono::seconds(1);

bool IsDraining(const absl::StatusOr<http::Response>& response) {
  if (!response.ok() || response->status != 200) {
    return false;
  }
  const auto load = nlohmann::json::parse(response->body, nullptr,
                                          /*allow_exceptions=*/false);
  return load.is_object() && load.contains("draining") &&
         load["draining"].is_boolean() && load["draining"].get<bool>();
}

}  // namespace

void HttpDriver::Attach(kernel::EventLoop& loop, const http::Address& address) {
  client_.emplace(loop);
  address_ = address;
}

void HttpDriver::CheckDraining(std::function<void(bool draining)> done) {
  load_call_ = client().Send(
      address_, {.path = "/load"},
      {.timeout = kLoadTimeout,
       .on_done = [done = std::move(done)](
                      const absl::StatusOr<http::Response>& response) {
         done(IsDraining(response));
       }});
}

RunFailure FailureOf(const absl::Status& status) {
  RunFailure failure;
  failure.ran =
      absl::IsUnavailable(status) ? base::Ran::kNo : base::Ran::kUnknown;
  failure.message = std::string(status.message());
  return failure;
}

}  // namespace jackdawshunt::side
