// Common base of the drivers for HTTP upstreams.
//
// Example:
//   class EngineDriver final : public side::HttpDriver {
//    public:
//     std::unique_ptr<side::UpstreamCall> Start(const protocol::Start& start,
//                                      side::UpstreamCallSink& sink) override;
//   };
//
// Not thread-safe; use on the loop's thread only.
#ifndef JACKDAWSHUNT_SIDE_HTTP_DRIVER_H_
#define JACKDAWSHUNT_SIDE_HTTP_DRIVER_H_

#include <memory>
#include <optional>

#include "jackdawshunt/http/client.h"
#include "jackdawshunt/side/upstream_driver.h"

namespace jackdawshunt::side {

class HttpDriver : public UpstreamDriver {
 public:
  void Initialize(kernel::EventLoop& loop,
                  const http::Address& address) override;
  // Reads the load report with GET /load. The response is an object such as
  // {"draining": false, "models": ["m"]}; both fields are optional.
  void ReadLoad(
      std::function<void(const std::optional<LoadReport>&)> done) override;
  // Sends the order with POST /orders. The body has the fields "order" (always
  // "load_model"), "model", "version" and "fencing". The upstream answers
  // status 409 to refuse the fencing number.
  void LoadModel(const Order& order,
                 std::function<void(absl::Status)> done) override;

 protected:
  http::Client& client() { return *client_; }
  const http::Address& address() const { return address_; }

 private:
  std::optional<http::Client> client_;
  http::Address address_;
  std::unique_ptr<http::Call> load_call_;
  bool is_load_pending_ = false;
  std::unique_ptr<http::Call> order_call_;
};

// Returns the failure of a call without a response. Unavailable means that the
// connection was refused, so the request was certainly not executed.
UpstreamCallFailure FailureFromStatus(const absl::Status& status);

}  // namespace jackdawshunt::side

#endif  // JACKDAWSHUNT_SIDE_HTTP_DRIVER_H_
