// Cost of requests in weighted tokens, and the estimate before it is known.
// Does no I/O.
//
// Example:
//   entry::Charging charging(ledger);
//   double estimate = charging.Estimate("lodge", body_bytes, 256, policy);
//   entry::Charge charge = charging.Start("lodge", body_bytes, 256, policy);
//   charging.Finish(charge, input_tokens, output_tokens, policy);
#ifndef JACKDAWSHUNT_ENTRY_CHARGING_H_
#define JACKDAWSHUNT_ENTRY_CHARGING_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "jackdawshunt/fairness/ledger.h"
#include "jackdawshunt/records/records.h"

namespace jackdawshunt::entry {

// What one attempt of a request has been charged so far.
struct Charge {
  std::string workspace;
  double charged = 0;  // Weighted tokens.
  double input = 0;    // Weighted input tokens within `charged`.
};

class Charging {
 public:
  explicit Charging(fairness::Ledger& ledger) : ledger_(ledger) {}

  // Weighted tokens expected of a request.
  double Estimate(std::string_view workspace,
                  size_t body_bytes,
                  int64_t max_tokens,
                  const records::Policy& policy) const;

  // Charges the estimate.
  Charge Start(std::string_view workspace,
               size_t body_bytes,
               int64_t max_tokens,
               const records::Policy& policy);
  // Charges what `output_tokens` so far exceed the estimate by.
  void Pass(Charge& charge,
            int64_t output_tokens,
            const records::Policy& policy);
  // Replaces the charge by the actual cost and learns the output length.
  void Finish(Charge& charge,
              int64_t input_tokens,
              int64_t output_tokens,
              const records::Policy& policy);
  // Replaces the charge by the input and the tokens that were received.
  void Stop(Charge& charge,
            int64_t output_tokens,
            const records::Policy& policy);
  // Takes the whole charge back; the request was not run.
  void Cancel(Charge& charge);

 private:
  double ExpectedOutput(std::string_view workspace, int64_t max_tokens) const;
  void Correct(Charge& charge, double cost);

  fairness::Ledger& ledger_;
  // Moving average of output tokens per request.
  std::map<std::string, double, std::less<>> average_output_;
};

}  // namespace jackdawshunt::entry

#endif  // JACKDAWSHUNT_ENTRY_CHARGING_H_
