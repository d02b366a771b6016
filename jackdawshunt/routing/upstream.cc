#include "jackdawshunt/routing/upstream.h"

#include "jackdawshunt/routing/prompt.h"

namespace jackdawshunt::routing {

uint64_t StartOf(const Upstream& upstream) {
  return RendezvousWeight(HashOf(upstream.id),
                          static_cast<uint64_t>(upstream.started_unix_ms));
}

}  // namespace jackdawshunt::routing
