// Decides which of a process's followers asks a store that does not answer.
//
// Each follower of a kind of records would try again at its own pace. While a
// store is away, or turns callers away because there are too many, that is one
// call each for every instance of the fleet. So one follower at a time tries,
// and the others wait until the store answers one of them.
//
// Example:
//   routing::StoreProbe probe;
//   if (probe.MayCall(delay, now)) { CallStore(); }
//   probe.OnAnswer();  // Any follower got an answer.
//
// Not thread-safe.
#ifndef JACKDAWSHUNT_ROUTING_STORE_PROBE_H_
#define JACKDAWSHUNT_ROUTING_STORE_PROBE_H_

#include "jackdawshunt/kernel/clock.h"

namespace jackdawshunt::routing {

class StoreProbe {
 public:
  // Returns whether a follower whose last call failed may call the store now:
  // if no follower has done so for `delay` since the store last answered.
  // Counts the call if so.
  bool MayCall(kernel::Duration delay, kernel::TimePoint now) {
    if (is_away_ && now - last_call_at_ < delay) {
      return false;
    }
    is_away_ = true;
    last_call_at_ = now;
    return true;
  }
  // Records that the store has answered a call.
  void OnAnswer() { is_away_ = false; }

 private:
  bool is_away_ = false;
  kernel::TimePoint last_call_at_{};
};

}  // namespace jackdawshunt::routing

#endif  // JACKDAWSHUNT_ROUTING_STORE_PROBE_H_
