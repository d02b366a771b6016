// Queue of the requests that wait at an entry: one first-in, first-out lane per
// model, workspace and class. Does no I/O and is not thread-safe.
//
// Example:
//   fairness::RequestQueue queue;
//   queue.Add({.request = id, .model = "m", .workspace = "lodge"});
//   const std::optional<fairness::WaitingRequest> next =
//       queue.Take("m", "lodge", protocol::RequestClass::kShort);
#ifndef JACKDAWSHUNT_FAIRNESS_REQUEST_QUEUE_H_
#define JACKDAWSHUNT_FAIRNESS_REQUEST_QUEUE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "jackdawshunt/kernel/clock.h"
#include "jackdawshunt/protocol/messages.h"

namespace jackdawshunt::fairness {

struct WaitingRequest {
  std::string request;  // Id.
  std::string model;
  std::string workspace;
  protocol::RequestClass request_class = protocol::RequestClass::kShort;
  double estimate = 0;      // Weighted tokens.
  kernel::TimePoint since;  // Start of the wait.
};

// Waiting requests of one workspace and class for one model.
struct Backlog {
  std::string workspace;
  protocol::RequestClass request_class = protocol::RequestClass::kShort;
  int32_t waiting = 0;
  double head_estimate = 0;  // Weighted tokens of the next request.
};

class RequestQueue {
 public:
  // Appends a request to its lane. Does nothing when its id already waits.
  void Add(WaitingRequest request);
  // Puts a request at the head of its lane; `since` is kept. Does nothing when
  // its id already waits.
  void AddAtHead(WaitingRequest request);
  // Removes and returns the request at the head of the lane; std::nullopt when
  // none waits.
  std::optional<WaitingRequest> Take(std::string_view model,
                                     std::string_view workspace,
                                     protocol::RequestClass request_class);
  // Removes one request. Returns false when it does not wait.
  bool Remove(std::string_view request);
  // Removes and returns the requests that started to wait before `cutoff`,
  // oldest first.
  std::vector<WaitingRequest> TakeOlderThan(kernel::TimePoint cutoff);

  // Returns the number of requests of the workspace, over all models.
  int32_t WaitingCount(std::string_view workspace) const;
  // Returns one row per workspace and class with requests for the model.
  std::vector<Backlog> Backlogs(std::string_view model) const;
  // Returns the models that requests wait for, sorted.
  std::vector<std::string> WaitingModels() const;
  size_t size() const { return lane_by_request_.size(); }

 private:
  // Model, workspace and class.
  using Lane = std::tuple<std::string, std::string, protocol::RequestClass>;

  using LaneByRequest =
      std::map<std::string, Lane, std::less<>>;  // By request.

  // Records the request's lane and returns the lane's requests, to which the
  // caller adds it; null when the request already waits.
  std::deque<WaitingRequest>* FindOrAddLane(const WaitingRequest& request);
  // Removes and returns one request.
  WaitingRequest ExtractAt(const LaneByRequest::iterator& location);
  WaitingRequest Extract(
      std::map<Lane, std::deque<WaitingRequest>>::iterator lane,
      const std::deque<WaitingRequest>::iterator& position);

  std::map<Lane, std::deque<WaitingRequest>> lanes_;  // No empty lanes.
  LaneByRequest lane_by_request_;
  std::map<std::string, int32_t, std::less<>> waiting_by_workspace_;
};

}  // namespace jackdawshunt::fairness

#endif  // JACKDAWSHUNT_FAIRNESS_REQUEST_QUEUE_H_
