// Judges that parts of prompts and whole requests that end upstreams are soon
// refused, and sound ones are not.
//
// Example:
//   DeadlyCheck check(calls, fleet, disturbed);
//   check.CheckParts();
//   check.CheckRequests();
//   for (const std::string& broken : check.violations()) { ... }
//
// Not thread-safe.
#ifndef JACKDAWSHUNT_TESTING_PLATFORM_SOAK_DEADLY_CHECK_H_
#define JACKDAWSHUNT_TESTING_PLATFORM_SOAK_DEADLY_CHECK_H_

#include <string>
#include <vector>

#include "jackdawshunt/testing/platform/soak_call.h"
#include "jackdawshunt/testing/platform/soak_disturbances.h"

namespace jackdawshunt::testing {

// The part of prompts that ends engines.
inline constexpr char kDeadlyPart[] = "dead";
// In the path or body of requests that end upstreams.
inline constexpr char kDeadlyMarker[] = "deadly";

class DeadlyCheck {
 public:
  // `disturbed` has the disturbances of each gateway. The arguments must
  // outlive the object.
  DeadlyCheck(const std::vector<SoakCall>& calls,
              PlatformFleet& fleet,
              const std::vector<std::vector<Disturbance>>& disturbed)
      : calls_(calls), fleet_(fleet), disturbed_(disturbed) {}

  // Requests with the deadly part that reach engines after all gateways should
  // know, and sound requests that are taken for deadly ones.
  void CheckParts();
  // Deadly requests that reach upstreams after all gateways should know them,
  // and sound requests that are taken for deadly ones.
  void CheckRequests();

  const std::vector<std::string>& violations() const { return violations_; }
  size_t refused_requests() const { return refused_requests_; }
  // Of deadly requests, also by disturbed gateways.
  size_t late_sends() const { return late_sends_; }

 private:
  // Returns whether a gateway that was not disturbed sent the run after
  // `known`.
  bool IsLate(const SoakCall& entry,
              const UpstreamRun& run,
              kernel::TimePoint known) const;

  const std::vector<SoakCall>& calls_;
  PlatformFleet& fleet_;
  const std::vector<std::vector<Disturbance>>& disturbed_;
  std::vector<std::string> violations_;
  size_t refused_requests_ = 0;
  size_t late_sends_ = 0;
};

}  // namespace jackdawshunt::testing

#endif  // JACKDAWSHUNT_TESTING_PLATFORM_SOAK_DEADLY_CHECK_H_
