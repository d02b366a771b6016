#include "jackdawshunt/entry/charging.h"

#include <algorithm>

namespace jackdawshunt::entry {
namespace {

// Typical length of a token of English text.
constexpr double kBytesPerToken = 4;
// Weight of the newest request in the average, about the last ten requests.
constexpr double kAverageWeight = 0.1;

double InputCost(size_t body_bytes, const records::Policy& policy) {
  return static_cast<double>(body_bytes) / kBytesPerToken * policy.input_weight;
}

}  // namespace

double Charging::ExpectedOutput(std::string_view workspace,
                                int64_t max_tokens) const {
  const auto found = average_output_.find(workspace);
  const auto bound = static_cast<double>(max_tokens);
  return found == average_output_.end() ? bound
                                        : std::min(bound, found->second);
}

double Charging::EstimateCost(std::string_view workspace,
                              size_t body_bytes,
                              int64_t max_tokens,
                              const records::Policy& policy) const {
  return InputCost(body_bytes, policy) +
         ExpectedOutput(workspace, max_tokens) * policy.output_weight;
}

protocol::RequestClass Charging::ClassOf(std::string_view workspace,
                                         int64_t max_tokens,
                                         const records::Policy& policy) const {
  return ExpectedOutput(workspace, max_tokens) <=
                 static_cast<double>(policy.short_tokens)
             ? protocol::RequestClass::kShort
             : protocol::RequestClass::kLong;
}

double Charging::PendingCost(std::string_view workspace) const {
  const auto found = pending_costs_.find(workspace);
  return found == pending_costs_.end() ? 0 : found->second;
}

Charge Charging::Start(std::string_view workspace,
                       size_t body_bytes,
                       int64_t max_tokens,
                       const records::Policy& policy) {
  Charge charge{.workspace = std::string(workspace),
                .input_cost = InputCost(body_bytes, policy)};
  SetExpectedCost(charge,
                  EstimateCost(workspace, body_bytes, max_tokens, policy));
  return charge;
}

void Charging::ChargeUpTo(Charge& charge, double cost) {
  if (cost <= charge.charged_cost) {
    return;
  }
  ledger_.Charge(charge.workspace, cost - charge.charged_cost);
  const double before =
      std::max(0.0, charge.expected_cost - charge.charged_cost);
  charge.charged_cost = cost;
  const double after =
      std::max(0.0, charge.expected_cost - charge.charged_cost);
  pending_costs_[charge.workspace] -= before - after;
}

void Charging::SetExpectedCost(Charge& charge, double expected_cost) {
  const double before =
      std::max(0.0, charge.expected_cost - charge.charged_cost);
  charge.expected_cost = expected_cost;
  const double after =
      std::max(0.0, charge.expected_cost - charge.charged_cost);
  double& pending_cost = pending_costs_[charge.workspace];
  pending_cost = std::max(0.0, pending_cost + after - before);
}

void Charging::ChargeOutput(Charge& charge,
                            int64_t output_tokens,
                            const records::Policy& policy) {
  ChargeUpTo(charge, static_cast<double>(output_tokens) * policy.output_weight);
}

void Charging::Finish(Charge& charge,
                      int64_t input_tokens,
                      int64_t output_tokens,
                      const records::Policy& policy) {
  const auto output = static_cast<double>(output_tokens);
  ChargeUpTo(charge, static_cast<double>(input_tokens) * policy.input_weight +
                         output * policy.output_weight);
  SetExpectedCost(charge, 0);
  const auto [average, is_first] =
      average_output_.try_emplace(charge.workspace, output);
  if (!is_first) {
    average->second += kAverageWeight * (output - average->second);
  }
}

void Charging::FinishIncomplete(Charge& charge,
                                int64_t output_tokens,
                                const records::Policy& policy) {
  ChargeUpTo(charge, charge.input_cost + static_cast<double>(output_tokens) *
                                             policy.output_weight);
  SetExpectedCost(charge, 0);
}

void Charging::Cancel(Charge& charge) {
  SetExpectedCost(charge, 0);
}

}  // namespace jackdawshunt::entry
