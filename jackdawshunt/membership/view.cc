#include "jackdawshunt/membership/view.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace jackdawshunt::membership {
namespace {

uint64_t HashOf(std::string_view key, std::string_view candidate) {
  const uint64_t seed = XXH3_64bits(key.data(), key.size());
  return XXH3_64bits_withSeed(candidate.data(), candidate.size(), seed);
}

}  // namespace

void View::Update(std::vector<object_api::Instance> instances) {
  std::erase_if(instances, [](const object_api::Instance& instance) {
    return instance.instance.empty();
  });
  instances_ = std::move(instances);
}

const object_api::Instance* View::Find(std::string_view instance) const {
  const auto found = std::find_if(instances_.begin(), instances_.end(),
                                  [instance](const object_api::Instance& row) {
                                    return row.instance == instance;
                                  });
  return found == instances_.end() ? nullptr : &*found;
}

std::vector<std::string> View::LiveEntries(std::string_view data_centre) const {
  std::vector<std::string> names;
  for (const object_api::Instance& row : instances_) {
    if (row.role == "entry" && row.state == object_api::InstanceState::kLive &&
        (data_centre.empty() || row.data_centre == data_centre)) {
      names.push_back(row.instance);
    }
  }
  return names;
}

std::vector<std::string> View::Choose(
    std::string_view key,
    const std::vector<std::string>& candidates,
    size_t count) {
  std::vector<std::pair<uint64_t, std::string>> hashed;
  hashed.reserve(candidates.size());
  for (const std::string& candidate : candidates) {
    hashed.emplace_back(HashOf(key, candidate), candidate);
  }
  // Names break ties, so that the order of the candidates has no effect.
  std::sort(hashed.begin(), hashed.end(), std::greater<>());
  std::vector<std::string> chosen;
  for (size_t i = 0; i < std::min(count, hashed.size()); ++i) {
    chosen.push_back(std::move(hashed[i].second));
  }
  return chosen;
}

}  // namespace jackdawshunt::membership
