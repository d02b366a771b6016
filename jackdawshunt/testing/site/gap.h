// Fairness gap of a run: over all pairs of workspaces and all intervals in
// which both were backlogged throughout, the largest difference between the
// normalised service that the two received within the interval.
//
// Example:
//   GapMeter meter({{"lodge", 1}, {"works", 2}});
//   meter.Sample({{"lodge", {.service = 120, .is_backlogged = true}}, ...});
//   Gap gap = meter.Largest();
#ifndef JACKDAWSHUNT_TESTING_SITE_GAP_H_
#define JACKDAWSHUNT_TESTING_SITE_GAP_H_

#include <map>
#include <string>
#include <utility>

namespace jackdawshunt::testing {

struct WorkspaceSample {
  double service = 0;  // Weighted tokens received since the start.
  bool is_backlogged = false;
};

struct Gap {
  double normalised_service = 0;  // Weighted tokens per share.
  std::string first;
  std::string second;
};

class GapMeter {
 public:
  explicit GapMeter(std::map<std::string, double> shares);

  void Sample(const std::map<std::string, WorkspaceSample>& samples);
  const Gap& Largest() const { return largest_; }

 private:
  // Range of the difference since both became backlogged.
  struct Range {
    double lowest = 0;
    double highest = 0;
  };

  void SamplePair(const std::string& first,
                  const std::string& second,
                  bool are_backlogged,
                  double difference);

  std::map<std::string, double> shares_;
  std::map<std::pair<std::string, std::string>, Range> open_;
  Gap largest_;
};

}  // namespace jackdawshunt::testing

#endif  // JACKDAWSHUNT_TESTING_SITE_GAP_H_
