// Requests that wait at an entry, by model, workspace and class. Does no I/O.
//
// Example:
//   queue.Add({.request = id, .model = "m", .workspace = "lodge", ...});
//   std::optional<std::string> next = queue.Take("m", "lodge", kShort);
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
  std::string request;
  std::string model;
  std::string workspace;
  protocol::RequestClass request_class = protocol::RequestClass::kShort;
  double estimate = 0;  // Weighted tokens.
  kernel::TimePoint since;
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
  // Appends a request; ignored when its id is already waiting.
  void Add(WaitingRequest request);
  // Puts a request back at the head, keeping its waiting time; ignored when its
  // id is already waiting.
  void AddAtHead(WaitingRequest request);
  // Removes and returns the oldest request of the workspace and class.
  std::optional<WaitingRequest> Take(std::string_view model,
                                     std::string_view workspace,
                                     protocol::RequestClass request_class);
  // Removes one request; false when it is not waiting.
  bool Remove(std::string_view request);
  // Removes and returns all that wait since before `limit`, oldest first.
  std::vector<WaitingRequest> TakeOlderThan(kernel::TimePoint limit);

  int32_t WaitingCount(std::string_view workspace) const;
  std::vector<Backlog> Backlogs(std::string_view model) const;
  std::vector<std::string> WaitingModels() const;  // With waiting requests.
  size_t size() const { return location_.size(); }

 private:
  using Lane = std::tuple<std::string, std::string, protocol::RequestClass>;

  using Locations = std::map<std::string, Lane, std::less<>>;  // By request.

  // Lane that the request is to be put into; null when it already waits.
  std::deque<WaitingRequest>* Place(const WaitingRequest& request);
  WaitingRequest ExtractAt(const Locations::iterator& location);
  WaitingRequest Extract(
      std::map<Lane, std::deque<WaitingRequest>>::iterator lane,
      const std::deque<WaitingRequest>::iterator& position);

  std::map<Lane, std::deque<WaitingRequest>> lanes_;  // None is empty.
  Locations location_;
  std::map<std::string, int32_t, std::less<>> waiting_by_workspace_;
};

}  // namespace jackdawshunt::fairness

#endif  // JACKDAWSHUNT_FAIRNESS_REQUEST_QUEUE_H_
