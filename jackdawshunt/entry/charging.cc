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

double Charging::Estimate(std::string_view workspace,
                          size_t body_bytes,
                          int64_t max_tokens,
                          const records::Policy& policy) const {
  return InputCost(body_bytes, policy) +
         ExpectedOutput(workspace, max_tokens) * policy.output_weight;
}

Charge Charging::Start(std::string_view workspace,
                       size_t body_bytes,
                       int64_t max_tokens,
                       const records::Policy& policy) {
  Charge charge{.workspace = std::string(workspace),
                .input = InputCost(body_bytes, policy)};
  Correct(charge, Estimate(workspace, body_bytes, max_tokens, policy));
  return charge;
}

void Charging::Correct(Charge& charge, double cost) {
  if (cost != charge.charged) {
    ledger_.Charge(charge.workspace, cost - charge.charged);
    charge.charged = cost;
  }
}

void Charging::Pass(Charge& charge,
                    int64_t output_tokens,
                    const records::Policy& policy) {
  const double cost =
      charge.input + static_cast<double>(output_tokens) * policy.output_weight;
  if (cost > charge.charged) {
    Correct(charge, cost);
  }
}

void Charging::Finish(Charge& charge,
                      int64_t input_tokens,
                      int64_t output_tokens,
                      const records::Policy& policy) {
  const auto output = static_cast<double>(output_tokens);
  Correct(charge, static_cast<double>(input_tokens) * policy.input_weight +
                      output * policy.output_weight);
  const auto [average, is_first] =
      average_output_.try_emplace(charge.workspace, output);
  if (!is_first) {
    average->second += kAverageWeight * (output - average->second);
  }
}

void Charging::Stop(Charge& charge,
                    int64_t output_tokens,
                    const records::Policy& policy) {
  Correct(charge, charge.input + static_cast<double>(output_tokens) *
                                     policy.output_weight);
}

void Charging::Cancel(Charge& charge) {
  Correct(charge, 0);
}

}  // namespace jackdawshunt::entry
