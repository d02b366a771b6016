// Judges how many requests cold engines are sent.
//
// Example:
//   for (const std::string& broken :
//        ColdViolations(fleet.cold_spans(), per_second, gateways, disturbed)) {
//     Violate(broken);
//   }
#ifndef JACKDAWSHUNT_TESTING_PLATFORM_SOAK_COLD_CHECK_H_
#define JACKDAWSHUNT_TESTING_PLATFORM_SOAK_COLD_CHECK_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "jackdawshunt/testing/platform/platform_fleet.h"
#include "jackdawshunt/testing/platform/soak_disturbances.h"

namespace jackdawshunt::testing {

// Returns the arrivals in the span that are judged, in order. Of an engine that
// is cold since its start these are all, whatever disturbed the gateways. One
// that turns cold says so only in its entry; its judged arrivals are those of
// gateways that must know the entry. `gateways` has the gateway of each
// request, `disturbed` the disturbances of each gateway.
std::vector<StandInUpstream::Arrival> JudgedColdArrivals(
    const PlatformFleet::ColdSpan& span,
    const std::map<std::string, size_t>& gateways,
    const std::vector<std::vector<Disturbance>>& disturbed);

// Returns a line for each span in which an engine that takes `per_second`
// requests was sent more in a second than it may be.
std::vector<std::string> ColdViolations(
    const std::vector<PlatformFleet::ColdSpan>& spans,
    double per_second,
    const std::map<std::string, size_t>& gateways,
    const std::vector<std::vector<Disturbance>>& disturbed);

}  // namespace jackdawshunt::testing

#endif  // JACKDAWSHUNT_TESTING_PLATFORM_SOAK_COLD_CHECK_H_
