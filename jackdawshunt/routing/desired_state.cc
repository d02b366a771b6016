#include "jackdawshunt/routing/desired_state.h"

#include <algorithm>
#include <array>
#include <numeric>
#include <utility>

#include "absl/strings/ascii.h"

namespace jackdawshunt::routing {
namespace {

constexpr std::array<std::string_view, 3> kKindNames = {"safe", "unsafe",
                                                        "stream"};

std::string HostKey(std::string_view host) {
  const size_t colon = host.rfind(':');
  if (colon != std::string_view::npos) {
    host = host.substr(0, colon);
  }
  std::string key(host);
  absl::AsciiStrToLower(&key);
  return key;
}

}  // namespace

std::string_view RouteKindName(RouteKind kind) {
  return kKindNames.at(static_cast<size_t>(kind));
}

RoutingTable::RoutingTable(DesiredState state) : state_(std::move(state)) {
  for (size_t i = 0; i < state_.routes.size(); ++i) {
    by_host_[HostKey(state_.routes[i].host)].push_back(i);
  }
  for (auto& [host, routes] : by_host_) {
    std::stable_sort(routes.begin(), routes.end(), [this](size_t a, size_t b) {
      return state_.routes[a].path_prefix.size() >
             state_.routes[b].path_prefix.size();
    });
  }
  for (size_t i = 0; i < state_.workspaces.size(); ++i) {
    for (const std::string& key : state_.workspaces[i].api_keys) {
      by_key_.emplace(key, i);
    }
  }
}

const Route* RoutingTable::Match(std::string_view host,
                                 std::string_view path) const {
  const auto routes = by_host_.find(HostKey(host));
  if (routes == by_host_.end()) {
    return nullptr;
  }
  path = path.substr(0, path.find('?'));
  for (const size_t index : routes->second) {
    if (path.starts_with(state_.routes[index].path_prefix)) {
      return &state_.routes[index];
    }
  }
  return nullptr;
}

const Service* RoutingTable::FindService(std::string_view name) const {
  const auto found =
      std::find_if(state_.services.begin(), state_.services.end(),
                   [name](const Service& row) { return row.name == name; });
  return found == state_.services.end() ? nullptr : &*found;
}

const Workspace* RoutingTable::FindWorkspace(std::string_view api_key) const {
  const auto found = by_key_.find(std::string(api_key));
  return found == by_key_.end() ? nullptr : &state_.workspaces[found->second];
}

std::string_view PickService(const Route& route, uint64_t request_hash) {
  if (route.services.empty()) {
    return {};
  }
  const uint64_t total =
      std::accumulate(route.services.begin(), route.services.end(), uint64_t{0},
                      [](uint64_t sum, const WeightedService& row) {
                        return sum + row.weight;
                      });
  if (total == 0) {
    return route.services.front().service;
  }
  uint64_t point = request_hash % total;
  for (const WeightedService& row : route.services) {
    if (point < row.weight) {
      return row.service;
    }
    point -= row.weight;
  }
  return route.services.back().service;
}

}  // namespace jackdawshunt::routing
