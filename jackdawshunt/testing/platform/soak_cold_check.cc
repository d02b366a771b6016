#include "jackdawshunt/testing/platform/soak_cold_check.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace jackdawshunt::testing {

std::vector<StandInUpstream::Arrival> JudgedColdArrivals(
    const PlatformFleet::ColdSpan& span,
    const std::map<std::string, size_t>& gateways,
    const std::vector<std::vector<Disturbance>>& disturbed) {
  std::vector<StandInUpstream::Arrival> judged;
  for (const auto& arrival : span.upstream->arrival_log()) {
    if (arrival.at < span.from || arrival.at >= span.to) {
      continue;
    }
    const auto gateway = gateways.find(arrival.request);
    if (span.is_start || (gateway != gateways.end() &&
                          MustKnow(disturbed[gateway->second],
                                   span.from + kContact, arrival.at))) {
      judged.push_back(arrival);
    }
  }
  return judged;
}

std::vector<std::string> ColdViolations(
    const std::vector<PlatformFleet::ColdSpan>& spans,
    double per_second,
    const std::map<std::string, size_t>& gateways,
    const std::vector<std::vector<Disturbance>>& disturbed) {
  const double allowed = per_second * kColdOverage + kColdSlack;
  std::vector<std::string> violations;
  for (const PlatformFleet::ColdSpan& span : spans) {
    const auto arrivals = JudgedColdArrivals(span, gateways, disturbed);
    std::vector<kernel::TimePoint> times;
    for (const auto& arrival : arrivals) {
      times.push_back(arrival.at);
      if (static_cast<double>(MostInASecond(times)) <= allowed) {
        continue;
      }
      std::vector<std::string> sent;
      for (const auto& [request, at] : arrivals) {
        if (at > arrival.at - std::chrono::seconds(1) && at <= arrival.at) {
          const auto gateway = gateways.find(request);
          sent.push_back(absl::StrCat(
              request, " by ",
              gateway == gateways.end() ? -1
                                        : static_cast<int>(gateway->second),
              " at ", (at - span.from).count() / 1000, " ms"));
        }
      }
      violations.push_back(
          absl::StrCat(span.upstream->options().id, ", cold ",
                       span.is_start ? "from its start" : "as its entry says",
                       ", got ", sent.size(), " requests in a second, ",
                       allowed, " may: ", absl::StrJoin(sent, ", ")));
      break;
    }
  }
  return violations;
}

}  // namespace jackdawshunt::testing
