// Keeps the speeds that boards state of their engines, for one gateway.
//
// Answers the load of boards that restart: queries carry what others have
// stated as a prior, so that no board begins with an assumed rate.
//
// Example:
//   routing::SpeedTable speeds;
//   speeds.Observe(upstream, offer.speed, now);
//   speeds.Update(now);  // Every second.
//   routing::Speed prior = speeds.PriorOf(upstream);
//
// Not thread-safe.
#ifndef JACKDAWSHUNT_ROUTING_SPEED_TABLE_H_
#define JACKDAWSHUNT_ROUTING_SPEED_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "jackdawshunt/kernel/clock.h"
#include "jackdawshunt/routing/upstream.h"
#include "jackdawshunt/routing/upstream_speed.h"

namespace jackdawshunt::routing {

class SpeedTable {
 public:
  // Records what a board states of a start. Unknown speeds are ignored.
  void Observe(const Upstream& upstream,
               const Speed& speed,
               kernel::TimePoint now);
  // Drops starts without a recent statement.
  void Update(kernel::TimePoint now);

  // Returns the speed of this start as last stated, or else the mean of the
  // starts of its service and software version. Zeros if neither is known.
  Speed PriorOf(const Upstream& upstream) const;

  size_t size() const { return starts_.size(); }

 private:
  struct Start {
    Speed speed;
    kernel::TimePoint at{};
  };

  std::unordered_map<uint64_t, Start> starts_;
  std::unordered_map<uint64_t, Speed> origins_;  // See Upstream::origin.
};

}  // namespace jackdawshunt::routing

#endif  // JACKDAWSHUNT_ROUTING_SPEED_TABLE_H_
