// Chooses the board whose totals a gateway merges.
//
// Two boards sum the tokens of all gateways, so that one may fail. Each of them
// sends a gateway what was added since its previous reply, so the totals of one
// board must be merged without a gap, and those of the other ignored.
//
// Example:
//   gateway::TotalsSource source;
//   std::string ip = source.Choose({"10.1.0.2", "10.2.0.5"}, now);
//   source.OnReply("10.1.0.2", now);
//
// Performs no input or output. Not thread-safe.
#ifndef JACKDAWSHUNT_GATEWAY_TOTALS_SOURCE_H_
#define JACKDAWSHUNT_GATEWAY_TOTALS_SOURCE_H_

#include <string>
#include <unordered_map>
#include <vector>

#include "jackdawshunt/kernel/clock.h"

namespace jackdawshunt::gateway {

class TotalsSource {
 public:
  // Returns the IP of the board to take totals from, out of `boards`, the most
  // preferred first; empty if there are none. Keeps the previous choice while
  // that board replies.
  const std::string& Choose(const std::vector<std::string>& boards,
                            kernel::TimePoint now);
  // Records a reply of the board at `ip`.
  void OnReply(const std::string& ip, kernel::TimePoint now);

  const std::string& current() const { return current_; }

 private:
  bool IsReplying(const std::string& ip, kernel::TimePoint now) const;

  std::string current_;
  kernel::TimePoint chosen_at_{};
  std::unordered_map<std::string, kernel::TimePoint> last_replies_;
};

}  // namespace jackdawshunt::gateway

#endif  // JACKDAWSHUNT_GATEWAY_TOTALS_SOURCE_H_
