#include "jackdawshunt/protocol/internal/traffic.h"

#include "jackdawshunt/protocol/connection.h"

namespace jackdawshunt::protocol {
namespace {

Traffic& MutableTraffic() {
  static Traffic traffic;
  return traffic;
}

void Increment(std::map<std::string, uint64_t, std::less<>>& counts,
               std::string_view name) {
  const auto found = counts.find(name);
  if (found != counts.end()) {
    ++found->second;
  } else {
    counts.emplace(name, 1);
  }
}

}  // namespace

const Traffic& ProcessTraffic() {
  return MutableTraffic();
}

namespace internal {

void CountSent(std::string_view name, bool is_data, size_t bytes) {
  Traffic& traffic = MutableTraffic();
  (is_data ? traffic.data_bytes_sent : traffic.control_bytes_sent) += bytes;
  Increment(traffic.messages_sent, name);
}

void CountReceived(std::string_view name, bool is_data, size_t bytes) {
  Traffic& traffic = MutableTraffic();
  (is_data ? traffic.data_bytes_received : traffic.control_bytes_received) +=
      bytes;
  Increment(traffic.messages_received, name);
}

}  // namespace internal
}  // namespace jackdawshunt::protocol
