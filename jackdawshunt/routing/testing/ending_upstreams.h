// Set-up of tests in which upstreams end under requests and start again.
//
// Example:
//   class PlainTest : public testing::EndingUpstreams {
//    protected:
//     PlainTest() : EndingUpstreams({route}, {.name = "jobs"}, 4) {}
//   };
#ifndef JACKDAWSHUNT_ROUTING_TESTING_ENDING_UPSTREAMS_H_
#define JACKDAWSHUNT_ROUTING_TESTING_ENDING_UPSTREAMS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "gtest/gtest.h"
#include "jackdawshunt/routing/router.h"

namespace jackdawshunt::routing::testing {

// One gateway's router before `upstreams` of one service.
class EndingUpstreams : public ::testing::Test {
 protected:
  EndingUpstreams(std::vector<Route> routes, Service service, int upstreams)
      : service_(service),
        router_({.retry_budget = {.ratio = 0.2,
                                  .window = std::chrono::seconds(10),
                                  .allowance = 50}},
                Now()) {
    DesiredState state;
    state.version = 1;
    state.routes = std::move(routes);
    state.services.push_back(std::move(service));
    router_.SetDesiredState(std::move(state));
    for (int i = 0; i < upstreams; ++i) {
      Start();
    }
  }

  kernel::TimePoint Now() const { return clock_.Now(); }

  // A new start; that of an engine states when it began.
  void Start() {
    Upstream upstream;
    upstream.id = "start-" + std::to_string(++starts_);
    upstream.service = service_.name;
    upstream.address = {"127.0.0.1", 1};
    if (service_.engine.has_value()) {
      upstream.started_unix_ms = starts_;
    }
    router_.directory().Put(upstream, Now());
  }

  // Returns a request to which Prepare() is still to be applied.
  RoutedRequest NewRequest(std::string_view target) {
    RoutedRequest request;
    request.id = std::to_string(++requests_);
    request.table = router_.table();
    request.route = request.table->Match("h.example", target);
    return request;
  }

  // Sends the request to an upstream that the router chooses, if any.
  Decision Send(RoutedRequest& request) {
    Decision decision = router_.Choose(request, {}, Now());
    if (decision.verdict == Verdict::kSend) {
      router_.OnSent(request, decision, Now());
    }
    return decision;
  }

  // Lets the upstream end `time` after `request` was sent there, with the
  // requests `beside` it, and start again. If `is_refused`, the gateway sees at
  // once that nothing listens at its address.
  void EndUpstream(const Decision& decision,
                   RoutedRequest& request,
                   std::vector<RoutedRequest> beside,
                   kernel::Duration time,
                   bool is_refused) {
    for (RoutedRequest& other : beside) {
      router_.OnSent(other, decision, Now());
    }
    clock_.Advance(time);
    router_.OnEnded(request, decision.upstream, Outcome::kLost, Now());
    for (RoutedRequest& other : beside) {
      router_.OnEnded(other, decision.upstream, Outcome::kLost, Now());
    }
    if (is_refused) {
      router_.OnConnectionRefused(decision.upstream, Now());
    }
    router_.directory().Remove(decision.upstream.id, Now());
    Start();
  }

  const Service service_;
  kernel::ManualClock clock_;
  Router router_;
  int64_t starts_ = 0;
  uint64_t requests_ = 0;
};

}  // namespace jackdawshunt::routing::testing

#endif  // JACKDAWSHUNT_ROUTING_TESTING_ENDING_UPSTREAMS_H_
