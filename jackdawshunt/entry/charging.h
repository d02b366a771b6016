// Cost of requests in weighted tokens, and the estimate before it is known.
// Does no I/O.
//
// The ledger is charged with tokens that were received and never with an
// estimate, since its counters cannot go down. What running requests are still
// expected to cost is kept here and added to the order of service.
//
// Example:
//   entry::Charging charging(ledger);
//   entry::Charge charge = charging.Start("lodge", body_bytes, 256, policy);
//   double order = ledger.NormalisedService("lodge") +
//   charging.Pending("lodge") / share; charging.Finish(charge, input_tokens,
//   output_tokens, policy);
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

// What one attempt of a request has been charged and is expected to cost.
struct Charge {
  std::string workspace;
  double charged = 0;   // Weighted tokens, in the ledger.
  double expected = 0;  // Weighted tokens in all; 0 after the end.
  double input = 0;     // Estimated part of `expected` for the input.
};

class Charging {
 public:
  explicit Charging(fairness::Ledger& ledger) : ledger_(ledger) {}

  // Weighted tokens expected of a request.
  double Estimate(std::string_view workspace,
                  size_t body_bytes,
                  int64_t max_tokens,
                  const records::Policy& policy) const;

  // Class by the expected output: the smaller of the hint and the moving
  // average of the workspace, since hints are rough and often left at their
  // default.
  protocol::RequestClass ClassOf(std::string_view workspace,
                                 int64_t max_tokens,
                                 const records::Policy& policy) const;

  // Weighted tokens that the workspace's running requests are still expected to
  // cost.
  double Pending(std::string_view workspace) const;

  // Adds the estimate to what is pending.
  Charge Start(std::string_view workspace,
               size_t body_bytes,
               int64_t max_tokens,
               const records::Policy& policy);
  // Charges the output so far; the input is charged at the end.
  void Pass(Charge& charge,
            int64_t output_tokens,
            const records::Policy& policy);
  // Charges the rest of the actual cost and learns the output length.
  void Finish(Charge& charge,
              int64_t input_tokens,
              int64_t output_tokens,
              const records::Policy& policy);
  // Charges the estimated input and the tokens that were received.
  void Stop(Charge& charge,
            int64_t output_tokens,
            const records::Policy& policy);
  // The request was not run.
  void Cancel(Charge& charge);

 private:
  double ExpectedOutput(std::string_view workspace, int64_t max_tokens) const;
  // Charges what `cost` exceeds the earlier charges by.
  void ChargeUpTo(Charge& charge, double cost);
  void SetExpected(Charge& charge, double expected);

  fairness::Ledger& ledger_;
  std::map<std::string, double, std::less<>> pending_;
  // Moving average of output tokens per request.
  std::map<std::string, double, std::less<>> average_output_;
};

}  // namespace jackdawshunt::entry

#endif  // JACKDAWSHUNT_ENTRY_CHARGING_H_
