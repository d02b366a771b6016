// The configuration that operators write (routes, services, limits and
// workspaces) and an index of it.
//
// Example:
//   routing::RoutingTable table(std::move(state));
//   const routing::Route* route = table.Match("a.example", "/quotes/17");
//   const routing::Workspace* workspace = table.FindWorkspace(api_key);
#ifndef JACKDAWSHUNT_ROUTING_DESIRED_STATE_H_
#define JACKDAWSHUNT_ROUTING_DESIRED_STATE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "jackdawshunt/kernel/clock.h"

namespace jackdawshunt::routing {

enum class RouteKind {
  kSafe,    // May be executed any number of times.
  kUnsafe,  // Executed at most once.
  kStream,  // A stream of events; executed at most once unless resumable.
};
std::string_view RouteKindName(RouteKind kind);

struct WeightedService {
  std::string service;
  uint32_t weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  // Begins and ends with a slash.
  RouteKind kind = RouteKind::kUnsafe;
  kernel::Duration timeout{};            // Until the answer ends.
  kernel::Duration latency_objective{};  // Until the answer or first event.
  int priority = 0;                      // 0 is the most urgent.
  std::vector<WeightedService> services;
  uint32_t attempts = 1;   // Upstreams that one request may be sent to.
  bool is_public = false;  // No API key is required.
  // Another upstream can continue a stream after its last event.
  bool is_resumable = false;

  // Returns whether a request that may have been executed may be sent again.
  bool is_repeatable() const {
    return kind == RouteKind::kSafe ||
           (kind == RouteKind::kStream && is_resumable);
  }
};

// The operator's description of a service's model engines.
struct EngineProfile {
  uint32_t slots = 0;
  uint64_t cache_tokens = 0;  // Shared by running requests and cached parts.
};

struct Service {
  std::string name;
  uint32_t connection_limit =
      0;  // Per upstream, over all callers. 0 means unlimited.
  std::optional<EngineProfile> engine;  // Absent for plain services.
  // An upstream that has started is cold for `cold_time`, and then bears only
  // `cold_requests_per_second` from all callers. 0 if it bears its full load.
  kernel::Duration cold_time{};
  double cold_requests_per_second = 0;
};

struct Limits {
  size_t header_bytes = size_t{16} * 1024;
  size_t body_bytes = size_t{4} * 1024 * 1024;
  kernel::Duration request_timeout = std::chrono::seconds(10);
  kernel::Duration idle_timeout = std::chrono::seconds(60);
  double tokens_per_second = 0;  // Total over all engines; 0 if not stated.
};

struct Workspace {
  std::string name;
  std::vector<std::string> api_keys;
  std::optional<int> priority;  // Overrides the route's.
};

struct DesiredState {
  uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  Limits limits;
  std::vector<Workspace> workspaces;
  // Whether routes that are not public need the key of a workspace; also true
  // while there is none.
  bool requires_keys = false;
};

// Immutable index of one desired state.
class RoutingTable {
 public:
  explicit RoutingTable(DesiredState state);

  const DesiredState& state() const { return state_; }
  uint64_t version() const { return state_.version; }

  // Returns the route of `host` with the longest prefix of `path`; null when
  // none matches. A port in `host` and a query in `path` are ignored.
  const Route* Match(std::string_view host, std::string_view path) const;
  // Returns null when there is no such service.
  const Service* FindService(std::string_view name) const;
  // Returns null when no workspace has the key.
  const Workspace* FindWorkspace(std::string_view api_key) const;
  bool requires_keys() const { return state_.requires_keys; }

 private:
  DesiredState state_;
  // Routes of a host, longest prefix first.
  std::unordered_map<std::string, std::vector<size_t>> by_host_;
  std::unordered_map<std::string, size_t> by_key_;
};

// Returns the service that a request with this hash goes to, by weight.
std::string_view PickService(const Route& route, uint64_t request_hash);

}  // namespace jackdawshunt::routing

#endif  // JACKDAWSHUNT_ROUTING_DESIRED_STATE_H_
