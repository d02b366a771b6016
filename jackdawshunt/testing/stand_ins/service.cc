#include "jackdawshunt/testing/stand_ins/service.h"

namespace jackdawshunt::testing {

using nlohmann::json;

ServiceStandIn::ServiceStandIn(kernel::EventLoop& loop, int64_t delay_ms)
    : HttpStandIn(loop, {.max_body_bytes = size_t{8} * 1024 * 1024}),
      delay_ms_(delay_ms),
      delayed_(loop) {}

void ServiceStandIn::Handle(const ExchangePtr& exchange) {
  const http::Request& request = exchange->request();
  ++total_;
  const uint64_t count = ++by_body_[request.body];
  ++by_request_id_[std::string(
      http::FindHeader(request.headers, "X-Request-Id"))];
  const bool is_lost = close_before_answer_ > 0;
  if (is_lost) {
    --close_before_answer_;
  }
  delayed_.Run(delay_ms_, [exchange, count, is_lost] {
    if (is_lost) {
      exchange->Abort();
      return;
    }
    const http::Request& answered = exchange->request();
    ReplyJson(*exchange, 200,
              {{"count", count},
               {"method", answered.method},
               {"path", answered.path},
               {"body", answered.body}});
  });
}

void ServiceStandIn::SetFaults(const ExchangePtr& exchange) {
  const json body = ParseBody(*exchange);
  if (body.is_null()) {
    return;
  }
  close_before_answer_ =
      body.value("close_before_answer", close_before_answer_);
  delay_ms_ = body.value("delay_ms", delay_ms_);
  ReplyJson(
      *exchange, 200,
      {{"close_before_answer", close_before_answer_}, {"delay_ms", delay_ms_}});
}

void ServiceStandIn::HandleAdmin(const ExchangePtr& exchange) {
  const std::string& path = exchange->request().path;
  if (path == "/admin/calls") {
    ReplyJson(*exchange, 200,
              {{"total", total_},
               {"by_request_id", by_request_id_},
               {"by_body", by_body_}});
  } else if (path == "/admin/faults") {
    SetFaults(exchange);
  } else {
    ReplyJson(*exchange, 404, {{"error", "no such path"}});
  }
}

}  // namespace jackdawshunt::testing
