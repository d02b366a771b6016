// Implements the driver for plain HTTP services, which get method, path and
// body as the caller sent them.
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "jackdawshunt/kernel/registry.h"
#include "jackdawshunt/side/http_driver.h"

namespace jackdawshunt::side {
namespace {

class ServiceCall final : public UpstreamCall {
 public:
  ServiceCall(http::Client& client,
              const http::Address& address,
              const protocol::Start& start,
              UpstreamCallSink& sink)
      : sink_(sink) {
    const size_t question_mark = start.path.find('?');
    http::Request request{.method = start.method,
                          .path = start.path.substr(0, question_mark),
                          .headers = {{"X-Request-Id", start.request}},
                          .body = start.body};
    if (question_mark != std::string::npos) {
      request.query = start.path.substr(question_mark + 1);
    }
    if (!start.content_type.empty()) {
      request.headers.emplace_back("Content-Type", start.content_type);
    }
    call_ = client.Send(
        address, request,
        {.on_chunk =
             [this](const http::Response&, std::string_view part) {
               sink_.OnOutput({std::string(part)});
             },
         .on_done =
             [this](const absl::StatusOr<http::Response>& response) {
               HandleDone(response);
             }});
  }

  void Pause() override { call_->Pause(); }
  void Resume() override { call_->Resume(); }

 private:
  void HandleDone(const absl::StatusOr<http::Response>& response) {
    if (!response.ok()) {
      sink_.OnFailed(FailureFromStatus(response.status()));
      return;
    }
    UpstreamCallResult result;
    result.http_status = response->status;
    result.content_type =
        std::string(http::FindHeader(response->headers, "Content-Type"));
    sink_.OnDone(result);
  }

  UpstreamCallSink& sink_;
  std::unique_ptr<http::Call> call_;
};

class ServiceDriver final : public HttpDriver {
 public:
  std::unique_ptr<UpstreamCall> Start(const protocol::Start& start,
                                      UpstreamCallSink& sink) override {
    return std::make_unique<ServiceCall>(client(), address(), start, sink);
  }

  // Does nothing: a plain service has no load report, and a request for one
  // could count against its limits.
  void ReadLoad(
      std::function<void(const std::optional<LoadReport>&)> done) override {
    (void)done;
  }
};

const kernel::Registration<UpstreamDriver> kService("service", [] {
  return std::make_unique<ServiceDriver>();
});

}  // namespace
}  // namespace jackdawshunt::side
