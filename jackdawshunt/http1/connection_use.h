// Decides which connection yields its descriptor to a new one or to a request.
// Performs no I/O.
//
// Example:
//   if (http1::MayYield(use, now) && http1::YieldsBefore(use, chosen)) {
//     chosen = use;
//   }
//
// Connections that say nothing, or stop inside a request, yield before those
// that wait for their next request. One whose request is served does not yield.
#ifndef JACKDAWSHUNT_HTTP1_CONNECTION_USE_H_
#define JACKDAWSHUNT_HTTP1_CONNECTION_USE_H_

#include "jackdawshunt/kernel/clock.h"

namespace jackdawshunt::http1 {

// In the order in which connections yield.
enum class ConnectionState {
  kClosing,  // Answered for the last time.
  kSilent,   // No request so far, or an incomplete one that does not progress.
  kIdle,     // Between two requests.
  kBusy,
};

struct ConnectionUse {
  ConnectionState state = ConnectionState::kBusy;
  kernel::TimePoint since{};
};

// A connection between two requests yields only after this time, in which most
// callers send the next one.
inline constexpr kernel::Duration kMinIdleTime = std::chrono::seconds(1);

// Returns whether a connection may yield.
constexpr bool MayYield(const ConnectionUse& use, kernel::TimePoint now) {
  return use.state == ConnectionState::kIdle
             ? now - use.since >= kMinIdleTime
             : use.state < ConnectionState::kIdle;
}

// Returns whether `a` yields before `b`: by its state, then the longest in it.
constexpr bool YieldsBefore(const ConnectionUse& a, const ConnectionUse& b) {
  return a.state != b.state ? a.state < b.state : a.since < b.since;
}

// Returns the element of `connections` that yields, or the end. `connection_of`
// returns the ServerConnection of an element. One with input that has not been
// read is passed over.
template <typename Connections, typename ConnectionOf>
auto ChooseYielding(Connections& connections,
                    kernel::TimePoint now,
                    const ConnectionOf& connection_of) {
  for (;;) {
    auto chosen = connections.end();
    ConnectionUse chosen_use;
    for (auto each = connections.begin(); each != connections.end(); ++each) {
      const ConnectionUse use = connection_of(*each).use();
      if (MayYield(use, now) &&
          (chosen == connections.end() || YieldsBefore(use, chosen_use))) {
        chosen = each;
        chosen_use = use;
      }
    }
    // A connection with unread input is busy from this call on.
    if (chosen == connections.end() ||
        !connection_of(*chosen).HasUnreadInput()) {
      return chosen;
    }
  }
}

}  // namespace jackdawshunt::http1

#endif  // JACKDAWSHUNT_HTTP1_CONNECTION_USE_H_
