// What an engine reports of its own load.
#ifndef JACKDAWSHUNT_ROUTING_ENGINE_REPORT_H_
#define JACKDAWSHUNT_ROUTING_ENGINE_REPORT_H_

#include <cstdint>
#include <vector>

namespace jackdawshunt::routing {

// A request that uses a slot.
struct EngineRun {
  uint64_t request = 0;  // Hash of the id that the engine gives it.
  uint64_t tokens = 0;   // In the engine's memory.
  uint32_t events = 0;   // Made so far; 0 during prefill.
};

struct EngineReport {
  uint32_t waiting = 0;             // Requests in its queue.
  uint32_t running = 0;             // Requests that use a slot.
  uint64_t cache_tokens = 0;        // Its memory.
  uint64_t unevictable_tokens = 0;  // Of the running requests.
  // Prompt tokens of the first request in the queue.
  uint32_t next_prompt_tokens = 0;
  std::vector<EngineRun> runs;  // Empty where the engine does not list them.
};

}  // namespace jackdawshunt::routing

#endif  // JACKDAWSHUNT_ROUTING_ENGINE_REPORT_H_
