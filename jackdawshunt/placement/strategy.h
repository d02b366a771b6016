// Strategies that choose the sides for the waiting requests of an entry. They
// are registered in kernel::Registry under these names:
//
//   late_binding  bids at sides and waits for a grant (the default)
//   least_loaded  pushes to the side that last reported the most free slots
//   round_robin   pushes to the sides in turn
//
// The push strategies are baselines for measurements.
//
// Example:
//   auto strategy =
//       kernel::Registry<placement::Strategy>::Create("late_binding");
#ifndef JACKDAWSHUNT_PLACEMENT_STRATEGY_H_
#define JACKDAWSHUNT_PLACEMENT_STRATEGY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jackdawshunt::placement {

// A side that serves the model, as described by its last heartbeat.
struct Candidate {
  std::string side;
  std::string data_centre;
  int32_t free_slots = 0;
  int32_t slots = 0;
  bool has_bids = false;
  int32_t sent_since_heartbeat = 0;  // Starts pushed since that heartbeat.
};

class Strategy {
 public:
  virtual ~Strategy() = default;

  // Returns true if requests wait for grants, false if they are sent at once to
  // the side that NextPushTarget() returns.
  virtual bool uses_bids() const = 0;

  // Returns the sides at which the entry should have a bid for the model, at
  // most `fanout`: sides chosen by hashing `affinity`, and others, of which
  // those with free slots and no bids come first. Empty for push strategies.
  virtual std::vector<std::string> BidTargets(
      std::string_view affinity,
      const std::vector<Candidate>& candidates,
      size_t fanout) = 0;

  // Returns the side to push the next request to and counts it as used; nullopt
  // when there is none or the strategy uses bids.
  virtual std::optional<std::string> NextPushTarget(
      std::string_view model,
      const std::vector<Candidate>& candidates) = 0;
};

}  // namespace jackdawshunt::placement

#endif  // JACKDAWSHUNT_PLACEMENT_STRATEGY_H_
