#include "jackdawshunt/routing/retry_budget.h"

#include <algorithm>

namespace jackdawshunt::routing {
namespace {

// Fraction of the ratio that is used, since the windows of other instances and
// of external measurements begin at other times.
constexpr double kRatioFraction = 0.7;
// Fraction of the allowance that is used, since the windows of instances begin
// at different times and instances that just joined are not counted yet.
constexpr double kAllowanceFraction = 0.6;
// Fraction that is used in the first window after a start.
constexpr double kInitialAllowanceFraction = 0.3;

}  // namespace

RetryBudget::RetryBudget(RetryBudgetSettings settings,
                         kernel::TimePoint started)
    : settings_(settings), started_(started) {}

void RetryBudget::Trim(std::deque<kernel::TimePoint>& times,
                       kernel::TimePoint now) const {
  while (!times.empty() && now - times.front() >= settings_.window) {
    times.pop_front();
  }
}

void RetryBudget::OnRequest(std::string_view service, kernel::TimePoint now) {
  Window& window = windows_[std::string(service)];
  Trim(window.requests, now);
  window.requests.push_back(now);
}

bool RetryBudget::TrySpend(std::string_view service,
                           uint32_t instances,
                           kernel::TimePoint now) {
  Window& window = windows_[std::string(service)];
  Trim(window.requests, now);
  Trim(window.retries, now);
  double allowed = kRatioFraction * settings_.ratio *
                   static_cast<double>(window.requests.size());
  if (instances > 0) {
    const double fraction = now - started_ >= settings_.window
                                ? kAllowanceFraction
                                : kInitialAllowanceFraction;
    allowed += fraction * settings_.allowance / static_cast<double>(instances);
  }
  if (static_cast<double>(window.retries.size()) + 1 > allowed) {
    return false;
  }
  window.retries.push_back(now);
  return true;
}

}  // namespace jackdawshunt::routing
