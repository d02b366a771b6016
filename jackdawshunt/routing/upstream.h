// One upstream as the platform's list describes it.
#ifndef JACKDAWSHUNT_ROUTING_UPSTREAM_H_
#define JACKDAWSHUNT_ROUTING_UPSTREAM_H_

#include <cstdint>
#include <optional>
#include <string>

#include "jackdawshunt/http/http.h"
#include "jackdawshunt/kernel/clock.h"

namespace jackdawshunt::routing {

struct Upstream {
  std::string id;
  uint64_t hash = 0;          // HashOf(id); set by Directory.
  uint64_t address_hash = 0;  // HashOf(address.ip); set by Directory.
  uint64_t start = 0;         // StartOf(); set by Directory.
  // StreamOriginOf(service, software_version); set by Directory.
  uint64_t origin = 0;
  std::string service;
  http::Address address;
  std::string data_centre;
  // Version of its software; empty when not stated. Versions have no order.
  std::string software_version;
  uint32_t slots = 1;
  bool is_draining = false;
  // Unix time of its start in milliseconds; a new value means that it restarted
  // and lost its state. 0 when not stated.
  int64_t started_unix_ms = 0;
  // Time that it stays cold, as of its record. Absent when not stated, and in
  // the Directory: Router keeps it among its beliefs.
  std::optional<kernel::Duration> cold_remaining;

  bool operator==(const Upstream&) const = default;
};

// Returns a hash that identifies this start of the upstream.
uint64_t StartOf(const Upstream& upstream);

}  // namespace jackdawshunt::routing

#endif  // JACKDAWSHUNT_ROUTING_UPSTREAM_H_
