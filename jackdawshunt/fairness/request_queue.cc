#include "jackdawshunt/fairness/request_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace jackdawshunt::fairness {

void RequestQueue::Add(WaitingRequest request) {
  if (std::deque<WaitingRequest>* lane = FindOrAddLane(request)) {
    lane->push_back(std::move(request));
  }
}

void RequestQueue::AddAtHead(WaitingRequest request) {
  if (std::deque<WaitingRequest>* lane = FindOrAddLane(request)) {
    lane->push_front(std::move(request));
  }
}

std::deque<WaitingRequest>* RequestQueue::FindOrAddLane(
    const WaitingRequest& request) {
  Lane lane{request.model, request.workspace, request.request_class};
  if (!lane_by_request_.try_emplace(request.request, lane).second) {
    return nullptr;
  }
  ++waiting_by_workspace_[request.workspace];
  return &lanes_[std::move(lane)];
}

std::optional<WaitingRequest> RequestQueue::Take(
    std::string_view model,
    std::string_view workspace,
    protocol::RequestClass request_class) {
  const auto lane = lanes_.find(
      Lane{std::string(model), std::string(workspace), request_class});
  if (lane == lanes_.end()) {
    return std::nullopt;
  }
  return Extract(lane, lane->second.begin());
}

bool RequestQueue::Remove(std::string_view request) {
  const auto location = lane_by_request_.find(request);
  if (location == lane_by_request_.end()) {
    return false;
  }
  ExtractAt(location);
  return true;
}

std::vector<WaitingRequest> RequestQueue::TakeOlderThan(
    kernel::TimePoint cutoff) {
  std::vector<std::pair<kernel::TimePoint, std::string>> expired;
  for (const auto& [lane, requests] : lanes_) {
    for (const WaitingRequest& waiting : requests) {
      if (waiting.since < cutoff) {
        expired.emplace_back(waiting.since, waiting.request);
      }
    }
  }
  std::sort(expired.begin(), expired.end());
  std::vector<WaitingRequest> result;
  result.reserve(expired.size());
  for (const auto& [since, request] : expired) {
    result.push_back(ExtractAt(lane_by_request_.find(request)));
  }
  return result;
}

int32_t RequestQueue::WaitingCount(std::string_view workspace) const {
  const auto found = waiting_by_workspace_.find(workspace);
  return found == waiting_by_workspace_.end() ? 0 : found->second;
}

std::vector<Backlog> RequestQueue::Backlogs(std::string_view model) const {
  std::vector<Backlog> result;
  const Lane first{std::string(model), "", protocol::RequestClass::kShort};
  for (auto lane = lanes_.lower_bound(first);
       lane != lanes_.end() && std::get<0>(lane->first) == model; ++lane) {
    result.push_back({.workspace = std::get<1>(lane->first),
                      .request_class = std::get<2>(lane->first),
                      .waiting = static_cast<int32_t>(lane->second.size()),
                      .head_estimate = lane->second.front().estimate});
  }
  return result;
}

std::vector<std::string> RequestQueue::WaitingModels() const {
  std::vector<std::string> result;
  for (const auto& [lane, requests] : lanes_) {
    if (result.empty() || result.back() != std::get<0>(lane)) {
      result.push_back(std::get<0>(lane));
    }
  }
  return result;
}

WaitingRequest RequestQueue::ExtractAt(
    const LaneByRequest::iterator& location) {
  const std::string& request = location->first;
  const auto lane = lanes_.find(location->second);
  return Extract(lane, std::find_if(lane->second.begin(), lane->second.end(),
                                    [&](const WaitingRequest& waiting) {
                                      return waiting.request == request;
                                    }));
}

WaitingRequest RequestQueue::Extract(
    std::map<Lane, std::deque<WaitingRequest>>::iterator lane,
    const std::deque<WaitingRequest>::iterator& position) {
  WaitingRequest request = std::move(*position);
  lane->second.erase(position);
  if (lane->second.empty()) {
    lanes_.erase(lane);
  }
  lane_by_request_.erase(request.request);
  const auto count = waiting_by_workspace_.find(request.workspace);
  if (--count->second == 0) {
    waiting_by_workspace_.erase(count);
  }
  return request;
}

}  // namespace jackdawshunt::fairness
