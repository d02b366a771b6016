// What callers' requests saw of an upstream lately.
//
// Health answers of an upstream can be false either way, so only the outcome
// of requests counts. An upstream that fails more than its peers is avoided
// and tried again at growing intervals; when all of a service fail alike, none
// is avoided. Answers the fault patterns "fails part of its requests while its
// health check passes", "goes down and up by turns" and "is silent".
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
  kOverloaded,     // Refused, not run.
  kUnreachable,    // No connection.
  kLost,           // The connection ended before the answer was complete.
  kSilent,         // No answer within the time that was left.
  kWrongInstance,  // Another upstream has the address.
};
std::string_view OutcomeName(Outcome outcome);
// Whether the upstream may have run the request.
bool MayHaveExecuted(Outcome outcome);

class UpstreamHealth {
 public:
  void Record(std::string_view id, Outcome outcome, kernel::TimePoint now);
  void Forget(std::string_view id);
  // Other entries could not connect to it: it is avoided for a while.
  void Suspect(std::string_view id, kernel::TimePoint now);

  // Whether requests should go elsewhere if they can. Becomes false for one
  // caller at a time when a trial is due; that caller must Record().
  bool IsAvoided(std::string_view id, kernel::TimePoint now) const;
  // Share of failed requests, 0 to 1, weighted to the recent ones.
  double FailureShare(std::string_view id) const;
  // A request was sent to an upstream whose trial was due.
  void StartTrial(std::string_view id, kernel::TimePoint now);

 private:
  struct State {
    double failure_share = 0;
    uint32_t samples = 0;
    uint32_t failures_in_row = 0;
    kernel::Duration backoff{};
    kernel::TimePoint avoided_until{};
  };

  void Avoid(State& state, kernel::TimePoint now);

  std::unordered_map<std::string, State> states_;
};

}  // namespace jackdawshunt::routing

#endif  // JACKDAWSHUNT_ROUTING_UPSTREAM_HEALTH_H_
