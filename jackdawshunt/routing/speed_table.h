// Keeps the speeds that boards state of their engines, for one gateway.
//
// Answers the load of engines whose speeds differ: with an equal part of the
// stated throughput for each, fast engines idle while slow ones are late. Gives
// each engine a part in proportion to its speed, and a prior to boards that
// have restarted and for new starts.
//
// Example:
//   routing::SpeedTable speeds;
//   speeds.Observe(upstream, offer.speed, now);
//   speeds.Update(now);  // Every second.
//   double tokens_per_s = mean * speeds.PaceFactor(upstream.start);
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
  // Drops starts without a recent statement and computes the factors of the
  // others.
  void Update(kernel::TimePoint now);

  // Returns the speed of this start as last stated, or else the mean of the
  // starts of its service and software version. Zeros if neither is known.
  Speed PriorOf(const Upstream& upstream) const;
  // Returns the engine's part of the throughput of its service, as a factor on
  // the mean of all. 1 while its speed is unknown or about the mean.
  double PaceFactor(uint64_t start) const;

  size_t size() const { return starts_.size(); }

 private:
  struct Start {
    uint64_t service = 0;  // Hash of its name.
    Speed speed;
    kernel::TimePoint at{};
    double pace_factor = 1;
  };

  std::unordered_map<uint64_t, Start> starts_;
  std::unordered_map<uint64_t, Speed> origins_;  // See Upstream::origin.
};

}  // namespace jackdawshunt::routing

#endif  // JACKDAWSHUNT_ROUTING_SPEED_TABLE_H_
