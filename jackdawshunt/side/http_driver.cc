#include "jackdawshunt/side/http_driver.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "nlohmann/json.hpp"

namespace jackdawshunt::side {
namespace {

constexpr kernel::Duration kLoadTimeout = std::chrono::seconds(1);
constexpr int kHttpOk = 200;
constexpr int kHttpConflict = 409;

std::optional<LoadReport> ParseLoadReport(
    const absl::StatusOr<http::Response>& response) {
  if (!response.ok() || response->status != kHttpOk) {
    return std::nullopt;
  }
  const auto load = nlohmann::json::parse(response->body, nullptr,
                                          /*allow_exceptions=*/false);
  if (!load.is_object()) {
    return std::nullopt;
  }
  LoadReport report;
  if (load.contains("draining") && load["draining"].is_boolean()) {
    report.is_draining = load["draining"].get<bool>();
  }
  if (load.contains("models") && load["models"].is_array()) {
    report.models.emplace();
    for (const auto& model : load["models"]) {
      if (model.is_string()) {
        report.models->push_back(model.get<std::string>());
      }
    }
  }
  return report;
}

absl::Status ParseOrderResponse(
    const absl::StatusOr<http::Response>& response) {
  if (!response.ok()) {
    return absl::UnavailableError(response.status().message());
  }
  if (response->status == kHttpConflict) {
    return absl::FailedPreconditionError(response->body);
  }
  if (response->status != kHttpOk) {
    return absl::UnavailableError(
        absl::StrCat("the upstream answered ", response->status));
  }
  return absl::OkStatus();
}

}  // namespace

void HttpDriver::Initialize(kernel::EventLoop& loop,
                            const http::Address& address) {
  client_.emplace(loop);
  address_ = address;
}

void HttpDriver::ReadLoad(
    std::function<void(const std::optional<LoadReport>&)> done) {
  // A new read would cancel the one in flight, and a report would never arrive
  // from an upstream slower than the read period.
  if (std::exchange(is_load_pending_, true)) {
    return;
  }
  load_call_ = client().Send(
      address_, {.path = "/load"},
      {.timeout = kLoadTimeout,
       .on_done = [this, done = std::move(done)](
                      const absl::StatusOr<http::Response>& response) {
         is_load_pending_ = false;
         done(ParseLoadReport(response));
       }});
}

void HttpDriver::LoadModel(const Order& order,
                           std::function<void(absl::Status)> done) {
  const nlohmann::json body = {{"order", "load_model"},
                               {"model", order.model},
                               {"version", order.version},
                               {"fencing", order.fencing}};
  order_call_ = client().Send(
      address_,
      {.method = "POST",
       .path = "/orders",
       .headers = {{"Content-Type", "application/json"}},
       .body = body.dump()},
      {.timeout = kOrderTimeout,
       .on_done = [done = std::move(done)](
                      const absl::StatusOr<http::Response>& response) {
         done(ParseOrderResponse(response));
       }});
}

UpstreamCallFailure FailureFromStatus(const absl::Status& status) {
  UpstreamCallFailure failure;
  failure.ran = absl::IsUnavailable(status) ? base::Executed::kNo
                                            : base::Executed::kUnknown;
  failure.message = std::string(status.message());
  return failure;
}

}  // namespace jackdawshunt::side
