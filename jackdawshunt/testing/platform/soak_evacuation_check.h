// Judges that nothing is sent to evacuated data centres.
//
// Example:
//   EvacuationCheck check(/*bound=*/std::chrono::seconds(3));
//   check.OnEvacuated("z1", now);
//   check.OnTakenBack("z1", later);
//   bool is_broken = check.IsForbidden("z1", gateway_disturbances, arrived_at);
//
// Not thread-safe.
#ifndef JACKDAWSHUNT_TESTING_PLATFORM_SOAK_EVACUATION_CHECK_H_
#define JACKDAWSHUNT_TESTING_PLATFORM_SOAK_EVACUATION_CHECK_H_

#include <map>
#include <string>
#include <vector>

#include "jackdawshunt/testing/platform/soak_disturbances.h"

namespace jackdawshunt::testing {

class EvacuationCheck {
 public:
  // An evacuation holds from `bound` after the store has acknowledged it.
  explicit EvacuationCheck(kernel::Duration bound) : bound_(bound) {}

  void OnEvacuated(const std::string& data_centre, kernel::TimePoint at);
  void OnTakenBack(const std::string& data_centre, kernel::TimePoint at);
  // Records that the store returned from an older copy, which may lack an
  // evacuation until the operator writes it again. Gateways count as disturbed
  // until then.
  void OnStoreRestored(kernel::TimePoint at) { restored_.push_back(at); }

  bool IsEvacuated(const std::string& data_centre) const;
  size_t evacuations() const;
  // Returns whether the data centre was evacuated at `at` and a gateway with
  // these disturbances must have known it.
  bool IsForbidden(const std::string& data_centre,
                   const std::vector<Disturbance>& disturbances,
                   kernel::TimePoint at) const;
  // Returns the time until `now` in which a gateway with these disturbances was
  // judged, summed over data centres.
  kernel::Duration JudgedTime(const std::vector<Disturbance>& disturbances,
                              kernel::TimePoint now) const;

 private:
  struct Span {
    kernel::TimePoint from{};
    kernel::TimePoint to = kernel::TimePoint::max();  // Until taken back.
  };

  const kernel::Duration bound_;
  std::map<std::string, std::vector<Span>> spans_;  // By data centre, in order.
  std::vector<kernel::TimePoint> restored_;         // In order.
};

}  // namespace jackdawshunt::testing

#endif  // JACKDAWSHUNT_TESTING_PLATFORM_SOAK_EVACUATION_CHECK_H_
