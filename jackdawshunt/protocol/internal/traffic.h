// The traffic counters of this process.
#ifndef JACKDAWSHUNT_PROTOCOL_INTERNAL_TRAFFIC_H_
#define JACKDAWSHUNT_PROTOCOL_INTERNAL_TRAFFIC_H_

#include <cstddef>
#include <string_view>

namespace jackdawshunt::protocol::internal {

// `is_data` tells callers' data from control traffic.
void CountSent(std::string_view name, bool is_data, size_t bytes);
void CountReceived(std::string_view name, bool is_data, size_t bytes);

}  // namespace jackdawshunt::protocol::internal

#endif  // JACKDAWSHUNT_PROTOCOL_INTERNAL_TRAFFIC_H_
