// One upstream as the platform's list describes it.
#ifndef JACKDAWSHUNT_ROUTING_UPSTREAM_H_
#define JACKDAWSHUNT_ROUTING_UPSTREAM_H_

#include <cstdint>
#include <string>

#include "jackdawshunt/http/http.h"
#include "jackdawshunt/kernel/clock.h"

namespace jackdawshunt::routing {

struct Upstream {
  std::string id;
  uint64_t hash = 0;  // Of the id.
  std::string service;
  http::Address address;
  std::string data_centre;
  uint32_t slots = 1;
  bool is_draining = false;
  // Unix milliseconds of its start; a new value means that it remembers
  // nothing of before. 0 when not stated.
  int64_t started_unix_ms = 0;

  bool operator==(const Upstream&) const = default;
};

}  // namespace jackdawshunt::routing

#endif  // JACKDAWSHUNT_ROUTING_UPSTREAM_H_
