#include "jackdawshunt/testing/site/gap.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace jackdawshunt::testing {

GapMeter::GapMeter(std::map<std::string, double> shares)
    : shares_(std::move(shares)) {}

void GapMeter::Sample(const std::map<std::string, WorkspaceSample>& samples) {
  for (auto first = samples.begin(); first != samples.end(); ++first) {
    for (auto second = std::next(first); second != samples.end(); ++second) {
      SamplePair(first->first, second->first,
                 first->second.is_backlogged && second->second.is_backlogged,
                 first->second.service / shares_.at(first->first) -
                     second->second.service / shares_.at(second->first));
    }
  }
}

void GapMeter::SamplePair(const std::string& first,
                          const std::string& second,
                          bool are_backlogged,
                          double difference) {
  const std::pair<std::string, std::string> key(first, second);
  if (!are_backlogged) {
    open_.erase(key);
    return;
  }
  Range& range =
      open_.try_emplace(key, Range{difference, difference}).first->second;
  range.lowest = std::min(range.lowest, difference);
  range.highest = std::max(range.highest, difference);
  if (range.highest - range.lowest > largest_.normalised_service) {
    largest_ = {range.highest - range.lowest, first, second};
  }
}

}  // namespace jackdawshunt::testing
