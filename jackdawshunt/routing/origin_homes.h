// Chooses the boards that keep the origin of a stream.
//
// Example:
//   routing::OriginHomes homes(engines);
//   for (const std::string& ip : homes.HomesOf(request_hash)) Send(ip, record);
//
// Consistent hashing: each stream has kHomes points on a ring of the engines'
// addresses, and its homes are the engines that follow them, in different data
// centres where possible. Adding or removing an engine moves only the points
// before it. Handles any number of instances without a list of instances, while
// engines are replaced and data centres fail. Engines that share an IP share a
// board and count as one, in the first of their data centres by name.
#ifndef JACKDAWSHUNT_ROUTING_ORIGIN_HOMES_H_
#define JACKDAWSHUNT_ROUTING_ORIGIN_HOMES_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "jackdawshunt/routing/upstream.h"

namespace jackdawshunt::routing {

class OriginHomes {
 public:
  // Number of homes. The stream can be resumed while one of them is left.
  static constexpr size_t kHomes = 3;
  // Number of engines after each home that may have been the home before.
  static constexpr size_t kNext = 2;

  OriginHomes() = default;
  explicit OriginHomes(const std::vector<const Upstream*>& engines);

  // Returns the IPs of the homes of the stream that the request with this hash
  // began; fewer than kHomes if there are fewer engines.
  std::vector<std::string> HomesOf(uint64_t request_hash) const;
  // Returns at most (1 + kNext) * kHomes IPs: the homes, and the engines that
  // were homes if some of these were added just now.
  std::vector<std::string> PossibleHomesOf(uint64_t request_hash) const;

 private:
  struct Point {
    uint64_t position = 0;
    std::string ip;
    size_t data_centre = 0;  // Index.
  };

  // Returns indices of points: for each home also the engines after it if
  // `with_next`.
  std::vector<size_t> Choose(uint64_t request_hash, bool with_next) const;
  std::vector<std::string> IpsOf(const std::vector<size_t>& points) const;

  std::vector<Point> ring_;  // By position, one for each IP.
  size_t data_centres_ = 0;  // Number of those on the ring.
};

}  // namespace jackdawshunt::routing

#endif  // JACKDAWSHUNT_ROUTING_ORIGIN_HOMES_H_
