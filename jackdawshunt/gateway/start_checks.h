// Checks whether the start of an upstream has ended, by opening a connection.
//
// Example:
//   gateway::StartChecks checks(loop, router);
//   auto handle = checks.Check(
//       upstream, [](bool may_have_ended) { ContinueAfterLoss(); });
//
// A lost connection alone does not show that the upstream has ended: it may
// have dropped only this connection. An address at which nothing listens does.
// Not thread-safe.
#ifndef JACKDAWSHUNT_GATEWAY_START_CHECKS_H_
#define JACKDAWSHUNT_GATEWAY_START_CHECKS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

#include "jackdawshunt/kernel/event_loop.h"
#include "jackdawshunt/routing/router.h"

namespace jackdawshunt::gateway {

class StartChecks {
 public:
  // Cancels the callback when destroyed.
  using Callback = std::function<void(bool may_have_ended)>;
  using Handle = std::shared_ptr<Callback>;

  StartChecks(kernel::EventLoop& loop, routing::Router& router);
  ~StartChecks();
  StartChecks(const StartChecks&) = delete;
  StartChecks& operator=(const StartChecks&) = delete;

  // Opens one connection to the upstream, shared by all checks of this start
  // that are requested meanwhile. Tells the router if it is refused, then calls
  // `done`: the start may have ended if the connection was not accepted. Sends
  // nothing on it.
  Handle Check(const routing::Upstream& upstream, Callback done);

  // Returns the number of connections opened so far.
  uint64_t opened() const { return opened_; }

 private:
  class Attempt;

  void OnAttemptEnded(uint64_t start);

  kernel::EventLoop& loop_;
  routing::Router& router_;
  std::unordered_map<uint64_t, std::unique_ptr<Attempt>>
      attempts_;  // By start.
  uint64_t opened_ = 0;
};

}  // namespace jackdawshunt::gateway

#endif  // JACKDAWSHUNT_GATEWAY_START_CHECKS_H_
