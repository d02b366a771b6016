// Counts the requests that all gateways together send to upstreams that name a
// limit, or that are cold and bear only some requests a second.
//
// One board keeps the count of an upstream: the one beside it, or one chosen by
// hashing for an upstream without a board. Each request needs a permit from it.
// A gateway that gets no reply uses its share of the limit, but only where all
// gateways' shares together keep within the limit's tolerance whichever of them
// can reach the board.
//
// Example:
//   routing::PermitCounter counter;  // At the board.
//   routing::Permit permit = counter.Take(start, /*limit=*/1.7, now);
//
// Answers the loads in which an upstream in need takes fewer requests than
// there are gateways, and in which upstreams return cold and empty and all
// gateways prefer them at the same moment.
//
// Performs no input or output. Not thread-safe.
#ifndef JACKDAWSHUNT_ROUTING_PERMITS_H_
#define JACKDAWSHUNT_ROUTING_PERMITS_H_

#include <cstdint>
#include <unordered_map>

#include "jackdawshunt/kernel/clock.h"
#include "jackdawshunt/routing/token_bucket.h"

namespace jackdawshunt::routing {

struct Permit {
  bool is_granted = false;
  kernel::Duration wait{};  // Until the next one, if it is not granted.
};

// Requests a second that all instances together may send to one start.
struct PermitRate {
  double per_second = 0;  // Positive.
  // A cold upstream fails when it gets too many requests in any second, so
  // that fewer permits may be saved for a burst, and a gateway that gets no
  // reply sends nothing: it cannot know how many others do the same.
  bool is_cold = false;
  bool operator==(const PermitRate&) const = default;
};

class PermitCounter {
 public:
  // Permits in any second for a cold start, as a factor of its rate, if that is
  // at least 4 a second.
  static constexpr double kMaxColdExcess = 1.25;

  // Takes a permit for a request to the start of an upstream.
  Permit Take(uint64_t start, const PermitRate& rate, kernel::TimePoint now);
  // Drops counts that were not used for a while; call every second.
  void DropExpired(kernel::TimePoint now);
  size_t size() const { return buckets_.size(); }

 private:
  std::unordered_map<uint64_t, TokenBucket> buckets_;  // By start.
};

// Permits that a gateway gives itself while it gets no reply from the board.
class PermitFallback {
 public:
  // `gateways` is their number, 0 if unknown.
  Permit Take(uint64_t start,
              const PermitRate& rate,
              uint32_t gateways,
              kernel::TimePoint now);
  void DropExpired(kernel::TimePoint now) { counter_.DropExpired(now); }

 private:
  PermitCounter counter_;
};

}  // namespace jackdawshunt::routing

#endif  // JACKDAWSHUNT_ROUTING_PERMITS_H_
