// Decides which instances are queried for the origin of a stream, and when the
// origin counts as unknown. Performs no input or output.
//
// Example:
//   routing::OriginLookup lookup(homes);
//   while (!lookup.result().has_value()) {
//     for (const std::string& home : lookup.StartRound()) Query(home);
//     // Pass replies to OnReply() for kRoundTime.
//   }
//
// Handles callers that resume a stream while its record is still on the way,
// datagrams are lost, and some of the homes are down or were restarted.
//
// Not thread-safe.
#ifndef JACKDAWSHUNT_ROUTING_ORIGIN_LOOKUP_H_
#define JACKDAWSHUNT_ROUTING_ORIGIN_LOOKUP_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "jackdawshunt/kernel/clock.h"
#include "jackdawshunt/routing/stream_origins.h"

namespace jackdawshunt::routing {

class OriginLookup {
 public:
  // Time between two rounds of queries.
  static constexpr kernel::Duration kRoundTime = std::chrono::milliseconds(20);
  // A lookup without a known origin ends after this number of rounds.
  static constexpr int kMaxRounds = 5;

  // `homes` are the instances that may have a record of the stream.
  explicit OriginLookup(std::vector<std::string> homes);

  // Starts the next round and returns the homes to query. Ends the lookup, and
  // returns an empty list, if no further round can help.
  std::vector<std::string> StartRound();
  // Handles the reply of a home; kUnknownOrigin means that it has no record.
  void OnReply(std::string_view home, uint64_t origin);

  // Returns the origin, or kUnknownOrigin if none was found, once the lookup
  // has ended.
  std::optional<uint64_t> result() const { return result_; }
  int rounds() const { return rounds_; }

 private:
  const std::vector<std::string> homes_;
  std::set<std::string, std::less<>> without_record_;  // In this round.
  int rounds_ = 0;
  std::optional<uint64_t> result_;
};

}  // namespace jackdawshunt::routing

#endif  // JACKDAWSHUNT_ROUTING_ORIGIN_LOOKUP_H_
