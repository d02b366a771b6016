// Updates the traffic counters of this process, see ProcessTraffic().
#ifndef JACKDAWSHUNT_PROTOCOL_INTERNAL_TRAFFIC_H_
#define JACKDAWSHUNT_PROTOCOL_INTERNAL_TRAFFIC_H_

#include <cstddef>
#include <string_view>

namespace jackdawshunt::protocol::internal {

// Adds a sent or received message of `bytes` to the counters. `is_data` is true
// for callers' data and false for control traffic.
void CountSent(std::string_view name, bool is_data, size_t bytes);
void CountReceived(std::string_view name, bool is_data, size_t bytes);

}  // namespace jackdawshunt::protocol::internal

#endif  // JACKDAWSHUNT_PROTOCOL_INTERNAL_TRAFFIC_H_
