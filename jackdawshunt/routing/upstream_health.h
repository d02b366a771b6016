// Tracks the recent outcomes of callers' requests per upstream.
//
// Health checks of an upstream can be wrong in both directions, so only the
// outcomes of requests count. An upstream that fails often is avoided and tried
// again at growing intervals; Router ignores this when most upstreams of a
// service are avoided. This handles upstreams that fail some of their requests
// while their health check passes, that alternate between down and up, or that
// do not answer.
//
// Example:
//   routing::UpstreamHealth health;
//   health.Record("i-1", routing::Outcome::kServerError, now);
//   bool avoid = health.IsAvoided("i-1", now);
//
// Not thread-safe.
#ifndef JACKDAWSHUNT_ROUTING_UPSTREAM_HEALTH_H_
#define JACKDAWSHUNT_ROUTING_UPSTREAM_HEALTH_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "jackdawshunt/kernel/clock.h"

namespace jackdawshunt::routing {

enum class Outcome {
  kSuccess,
  kServerError,    // A complete answer with a server error.
  kOverloaded,     // Refused, not executed.
  kUnreachable,    // The connection failed.
  kLost,           // The connection ended before the answer was complete.
  kSilent,         // No answer before the deadline.
  kWrongInstance,  // Another upstream has the address.
  kWithdrawn,      // Not sent, because the caller or the upstream left.
};
std::string_view OutcomeName(Outcome outcome);
// Returns whether the upstream may have executed the request.
bool MayHaveExecuted(Outcome outcome);

class UpstreamHealth {
 public:
  // Records the outcome of a request; kOverloaded and kWithdrawn are ignored.
  void Record(std::string_view id, Outcome outcome, kernel::TimePoint now);
  void Remove(std::string_view id);
  // Avoids an upstream for a short time because other instances could not
  // connect to it.
  void AvoidUnreachable(std::string_view id, kernel::TimePoint now);

  // Returns whether requests should prefer other upstreams. Returns false again
  // when the upstream is due for another try.
  bool IsAvoided(std::string_view id, kernel::TimePoint now) const;
  // Returns false if IsAvoided() is false for all upstreams.
  bool MayAvoidAny(kernel::TimePoint now) const {
    return now < last_avoided_until_;
  }
  // Returns the share of failed requests, 0 to 1, weighted to the recent ones.
  double FailureShare(std::string_view id) const;
  // Records that a request was sent; call for every request. If the upstream
  // was avoided because it was unusable, this request is its trial, and other
  // requests avoid the upstream for a short time or until a success is
  // recorded.
  void StartTrial(std::string_view id, kernel::TimePoint now);

 private:
  struct State {
    double failure_share = 0;
    uint32_t samples = 0;
    uint32_t hard_failures = 0;  // Since the last success.
    kernel::Duration backoff{};
    kernel::TimePoint avoided_until{};
  };

  void Avoid(State& state, kernel::TimePoint now);
  void AvoidUntil(State& state, kernel::TimePoint time);

  std::unordered_map<std::string, State> states_;
  kernel::TimePoint last_avoided_until_{};  // Latest of all upstreams.
};

}  // namespace jackdawshunt::routing

#endif  // JACKDAWSHUNT_ROUTING_UPSTREAM_HEALTH_H_
