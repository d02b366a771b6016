// What the drivers for HTTP upstreams have in common.
#ifndef JACKDAWSHUNT_SIDE_HTTP_DRIVER_H_
#define JACKDAWSHUNT_SIDE_HTTP_DRIVER_H_

#include <memory>
#include <optional>

#include "jackdawshunt/http/client.h"
#include "jackdawshunt/side/upstream_driver.h"

namespace jackdawshunt::side {

class HttpDriver : public UpstreamDriver {
 public:
  void Attach(kernel::EventLoop& loop, const http::Address& address) override;
  // Reads GET /load: {"draining": false, "models": ["m"]}.
  void ReadLoad(
      std::function<void(const std::optional<LoadReport>&)> done) override;
  // Sends POST /orders: {"order": "load_model", "model", "version", "fencing"};
  // status 409 means that the fencing number is refused.
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

// Maps a failed call: a refused connection was certainly not run.
RunFailure FailureOf(const absl::Status& status);

}  // namespace jackdawshunt::side

#endif  // JACKDAWSHUNT_SIDE_HTTP_DRIVER_H_
