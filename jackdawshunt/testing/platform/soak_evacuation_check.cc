#include "jackdawshunt/testing/platform/soak_evacuation_check.h"

#include <algorithm>

namespace jackdawshunt::testing {

void EvacuationCheck::OnEvacuated(const std::string& data_centre,
                                  kernel::TimePoint at) {
  if (!IsEvacuated(data_centre)) {
    spans_[data_centre].push_back({.from = at});
  }
}

void EvacuationCheck::OnTakenBack(const std::string& data_centre,
                                  kernel::TimePoint at) {
  if (IsEvacuated(data_centre)) {
    spans_[data_centre].back().to = at;
  }
}

bool EvacuationCheck::IsEvacuated(const std::string& data_centre) const {
  const auto found = spans_.find(data_centre);
  return found != spans_.end() &&
         found->second.back().to == kernel::TimePoint::max();
}

size_t EvacuationCheck::evacuations() const {
  size_t count = 0;
  for (const auto& [data_centre, spans] : spans_) {
    count += spans.size();
  }
  return count;
}

bool EvacuationCheck::IsForbidden(const std::string& data_centre,
                                  const std::vector<Disturbance>& disturbances,
                                  kernel::TimePoint at) const {
  const auto found = spans_.find(data_centre);
  if (found == spans_.end()) {
    return false;
  }
  const auto span = std::find_if(
      found->second.begin(), found->second.end(),
      [at](const Span& entry) { return entry.from <= at && at < entry.to; });
  if (span == found->second.end()) {
    return false;
  }
  kernel::TimePoint since = span->from + bound_;
  for (const kernel::TimePoint restored : restored_) {
    if (restored <= at) {
      since = std::max(since, restored);
    }
  }
  return MustKnow(disturbances, since, at);
}

kernel::Duration EvacuationCheck::JudgedTime(
    const std::vector<Disturbance>& disturbances,
    kernel::TimePoint now) const {
  constexpr kernel::Duration kStep = std::chrono::milliseconds(50);
  kernel::Duration judged{};
  for (const auto& [data_centre, spans] : spans_) {
    for (const Span& span : spans) {
      for (kernel::TimePoint at = span.from; at < std::min(now, span.to);
           at += kStep) {
        if (IsForbidden(data_centre, disturbances, at)) {
          judged += kStep;
        }
      }
    }
  }
  return judged;
}

}  // namespace jackdawshunt::testing
