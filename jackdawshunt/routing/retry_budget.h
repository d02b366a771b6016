// Limits how many requests are sent once more after they may have been
// executed.
//
// Retries help while few requests fail and make an overload worse when many do,
// such as when callers and the fleet retry while everything fails. Each service
// has a budget per sliding window, shared by the whole fleet: a fraction of its
// requests and a fixed allowance. Each instance spends at most that fraction of
// its own requests and an equal part of the allowance. In the first window
// after a start it spends less of the allowance, since its previous incarnation
// may have spent some of it and an instance does not remember that.
//
// Example:
//   routing::RetryBudget budget({.ratio = 0.2,
//                                .window = std::chrono::seconds(10),
//                                .allowance = 52},
//                               now);
//   budget.OnRequest("ledger", now);
//   if (budget.TrySpend("ledger", /*instances=*/4, now)) SendAgain();
//
// Not thread-safe.
#ifndef JACKDAWSHUNT_ROUTING_RETRY_BUDGET_H_
#define JACKDAWSHUNT_ROUTING_RETRY_BUDGET_H_

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

#include "jackdawshunt/kernel/clock.h"

namespace jackdawshunt::routing {

struct RetryBudgetSettings {
  double ratio = 0.1;  // Retries per request.
  kernel::Duration window = std::chrono::seconds(10);
  double allowance = 0;  // Additional retries per window, for the whole fleet.
};

class RetryBudget {
 public:
  RetryBudget(RetryBudgetSettings settings, kernel::TimePoint started);

  // Records a request to the service, which raises its budget.
  void OnRequest(std::string_view service, kernel::TimePoint now);
  // Returns whether the budget allows one more retry, and if so counts it.
  // `instances` share the allowance; 0 means that their number is unknown,
  // and none of the allowance is spent.
  bool TrySpend(std::string_view service,
                uint32_t instances,
                kernel::TimePoint now);

 private:
  struct Window {
    std::deque<kernel::TimePoint> requests;
    std::deque<kernel::TimePoint> retries;
  };

  void Trim(std::deque<kernel::TimePoint>& times, kernel::TimePoint now) const;

  const RetryBudgetSettings settings_;
  const kernel::TimePoint started_;
  std::unordered_map<std::string, Window> windows_;
};

}  // namespace jackdawshunt::routing

#endif  // JACKDAWSHUNT_ROUTING_RETRY_BUDGET_H_
