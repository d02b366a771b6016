// Gets permits for requests to upstreams that name a limit or are cold, from
// the boards that count them.
//
// Example:
//   gateway::PermitClient permits(loop, router, boards, gateways);
//   auto handle = permits.Take(upstream, [](bool is_granted) { ... });
//
// Not thread-safe.
#ifndef JACKDAWSHUNT_GATEWAY_PERMIT_CLIENT_H_
#define JACKDAWSHUNT_GATEWAY_PERMIT_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "jackdawshunt/gateway/board_client.h"
#include "jackdawshunt/kernel/event_loop.h"
#include "jackdawshunt/routing/permits.h"
#include "jackdawshunt/routing/router.h"

namespace jackdawshunt::gateway {

class PermitClient {
 public:
  struct Query;
  // Cancels the query when destroyed.
  using Handle = std::shared_ptr<Query>;
  using Callback = std::function<void(bool is_granted)>;

  PermitClient(kernel::EventLoop& loop,
               routing::Router& router,
               BoardClient& boards);
  ~PermitClient();
  PermitClient(const PermitClient&) = delete;
  PermitClient& operator=(const PermitClient&) = delete;

  // Calls `done` in a later turn of the loop. If the permit is refused, the
  // router knows until when.
  Handle Take(const routing::Upstream& upstream, Callback done);
  // Call every second.
  void DropExpired();

  uint64_t granted() const { return granted_; }
  uint64_t refused() const { return refused_; }
  // Permits that this gateway decided on without a board.
  uint64_t without_board() const { return without_board_; }

 private:
  board::PermitQuery QueryFor(const routing::Upstream& upstream,
                              const routing::PermitRate& rate,
                              uint64_t nonce) const;
  void OnReply(const board::PermitReply& reply);
  void OnTimeout(uint64_t nonce);
  void Finish(uint64_t nonce, const routing::Permit& permit);

  kernel::EventLoop& loop_;
  routing::Router& router_;
  BoardClient& boards_;
  routing::PermitFallback fallback_;
  std::unordered_map<uint64_t, std::weak_ptr<Query>> queries_;  // By nonce.
  uint64_t next_nonce_ = 1;
  uint64_t granted_ = 0;
  uint64_t refused_ = 0;
  uint64_t without_board_ = 0;
};

}  // namespace jackdawshunt::gateway

#endif  // JACKDAWSHUNT_GATEWAY_PERMIT_CLIENT_H_
