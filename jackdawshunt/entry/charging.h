// Charges requests in weighted tokens, and estimates their cost before it is
// known. Does no I/O.
//
// The ledger is charged only for tokens that were received and never with an
// estimate, since its counters cannot decrease. The expected remaining cost of
// running requests is kept here and added to the order of service.
//
// Example:
//   entry::Charging charging(ledger);
//   entry::Charge charge = charging.Start("lodge", body_bytes, 256, policy);
//   double order = ledger.NormalisedService("lodge") +
//                  charging.PendingCost("lodge") / share;
//   charging.Finish(charge, input_tokens, output_tokens, policy);
#ifndef JACKDAWSHUNT_ENTRY_CHARGING_H_
#define JACKDAWSHUNT_ENTRY_CHARGING_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "jackdawshunt/fairness/ledger.h"
#include "jackdawshunt/protocol/messages.h"
#include "jackdawshunt/records/records.h"

namespace jackdawshunt::entry {

// Charged and expected cost of one attempt of a request.
struct Charge {
  std::string workspace;
  double charged_cost = 0;  // Weighted tokens charged to the ledger.
  double expected_cost =
      0;                  // Expected total in weighted tokens; 0 after the end.
  double input_cost = 0;  // Estimated cost of the input, in weighted tokens.
};

// Not thread-safe.
class Charging {
 public:
  explicit Charging(fairness::Ledger& ledger) : ledger_(ledger) {}

  // Returns the expected cost of a request in weighted tokens.
  double EstimateCost(std::string_view workspace,
                      size_t body_bytes,
                      int64_t max_tokens,
                      const records::Policy& policy) const;

  // Returns the class by the expected output: the smaller of `max_tokens` and
  // the moving average of the workspace, since callers often leave max_tokens
  // at its default.
  protocol::RequestClass ClassOf(std::string_view workspace,
                                 int64_t max_tokens,
                                 const records::Policy& policy) const;

  // Returns the expected remaining cost of the running requests of the
  // workspace, in weighted tokens.
  double PendingCost(std::string_view workspace) const;

  // Starts an attempt: adds its estimated cost to the pending cost.
  Charge Start(std::string_view workspace,
               size_t body_bytes,
               int64_t max_tokens,
               const records::Policy& policy);
  // Charges the output received so far; the input is charged at the end.
  void ChargeOutput(Charge& charge,
                    int64_t output_tokens,
                    const records::Policy& policy);
  // Ends a complete attempt: charges the rest of the actual cost and updates
  // the average output length.
  void Finish(Charge& charge,
              int64_t input_tokens,
              int64_t output_tokens,
              const records::Policy& policy);
  // Ends an incomplete attempt: charges the estimated input and the tokens that
  // were received.
  void FinishIncomplete(Charge& charge,
                        int64_t output_tokens,
                        const records::Policy& policy);
  // Ends an attempt that was not executed, without a charge.
  void Cancel(Charge& charge);

 private:
  double ExpectedOutput(std::string_view workspace, int64_t max_tokens) const;
  // Charges the difference between `cost` and the earlier charges, if positive.
  void ChargeUpTo(Charge& charge, double cost);
  void SetExpectedCost(Charge& charge, double expected_cost);

  fairness::Ledger& ledger_;
  std::map<std::string, double, std::less<>> pending_costs_;
  // Moving average of output tokens per request.
  std::map<std::string, double, std::less<>> average_output_;
};

}  // namespace jackdawshunt::entry

#endif  // JACKDAWSHUNT_ENTRY_CHARGING_H_
