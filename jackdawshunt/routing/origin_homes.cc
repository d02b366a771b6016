#include "jackdawshunt/routing/origin_homes.h"

#include <algorithm>
#include <map>
#include <set>
#include <string_view>
#include <tuple>

#include "jackdawshunt/routing/prompt.h"

namespace jackdawshunt::routing {

OriginHomes::OriginHomes(const std::vector<const Upstream*>& engines) {
  std::map<std::string_view, size_t> data_centres;
  for (const Upstream* engine : engines) {
    data_centres[engine->data_centre] = 0;
  }
  size_t index = 0;
  for (auto& [name, data_centre] : data_centres) {
    data_centre = index++;
  }
  ring_.reserve(engines.size());
  for (const Upstream* engine : engines) {
    ring_.push_back({.position = HashOf(engine->address.ip),
                     .ip = engine->address.ip,
                     .data_centre = data_centres.at(engine->data_centre)});
  }
  const auto order = [](const Point& point) {
    return std::tie(point.position, point.ip, point.data_centre);
  };
  std::sort(
      ring_.begin(), ring_.end(),
      [&order](const Point& a, const Point& b) { return order(a) < order(b); });
  ring_.erase(
      std::unique(ring_.begin(), ring_.end(),
                  [](const Point& a, const Point& b) { return a.ip == b.ip; }),
      ring_.end());
  std::set<size_t> on_ring;
  for (const Point& point : ring_) {
    on_ring.insert(point.data_centre);
  }
  data_centres_ = on_ring.size();
}

std::vector<size_t> OriginHomes::Choose(uint64_t request_hash,
                                        bool with_next) const {
  std::vector<size_t> homes;
  std::vector<size_t> next;
  const size_t count = std::min(kHomes, ring_.size());
  while (homes.size() < count) {
    const uint64_t position = RendezvousWeight(request_hash, homes.size());
    const auto start = std::lower_bound(
        ring_.begin(), ring_.end(), position,
        [](const Point& point, uint64_t at) { return point.position < at; });
    const bool must_differ = homes.size() < data_centres_;
    const auto is_eligible = [&](size_t candidate) {
      return std::none_of(homes.begin(), homes.end(), [&](size_t home) {
        return home == candidate ||
               (must_differ &&
                ring_[home].data_centre == ring_[candidate].data_centre);
      });
    };
    const auto offset = static_cast<size_t>(start - ring_.begin());
    std::vector<size_t> found;
    for (size_t step = 0;
         step < ring_.size() && found.size() <= (with_next ? kNext : 0);
         ++step) {
      const size_t candidate = (offset + step) % ring_.size();
      if (is_eligible(candidate)) {
        found.push_back(candidate);
      }
    }
    homes.push_back(found.front());
    next.insert(next.end(), found.begin() + 1, found.end());
  }
  if (with_next) {
    homes.insert(homes.end(), next.begin(), next.end());
  }
  return homes;
}

std::vector<std::string> OriginHomes::IpsOf(
    const std::vector<size_t>& points) const {
  std::vector<std::string> ips;
  for (const size_t point : points) {
    if (std::find(ips.begin(), ips.end(), ring_[point].ip) == ips.end()) {
      ips.push_back(ring_[point].ip);
    }
  }
  return ips;
}

std::vector<std::string> OriginHomes::HomesOf(uint64_t request_hash) const {
  return IpsOf(Choose(request_hash, /*with_next=*/false));
}

std::vector<std::string> OriginHomes::PossibleHomesOf(
    uint64_t request_hash) const {
  return IpsOf(Choose(request_hash, /*with_next=*/true));
}

}  // namespace jackdawshunt::routing
