// Describes the prompt of a generation request, and hashes its parts.
//
// Example:
//   routing::Prompt prompt;
//   prompt.parts = {{0x5c1e07a2, 800}, {0x91bd3f06, 410}};
//   uint64_t deepest = routing::PartKeys(prompt.parts).back();
#ifndef JACKDAWSHUNT_ROUTING_PROMPT_H_
#define JACKDAWSHUNT_ROUTING_PROMPT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jackdawshunt::routing {

struct PromptPart {
  uint64_t id = 0;
  uint32_t tokens = 0;
};

struct Prompt {
  // In order; only the last one is specific to the request or its session.
  std::vector<PromptPart> parts;
  uint32_t prompt_tokens = 0;
  uint32_t max_output_tokens = 0;
  std::string model;

  // Returns the tokens that no other session shares.
  uint32_t own_tokens() const {
    return parts.empty() ? prompt_tokens : parts.back().tokens;
  }
};

// Returns the ids of the parts that other requests share: all but the last one.
std::vector<uint64_t> SharedPartIds(const std::vector<PromptPart>& parts);
// Returns ids as hexadecimal numbers separated by commas, for logs.
std::string PartIdsText(const std::vector<uint64_t>& ids);

// Returns a key for each part that also covers all parts before it, since an
// engine reuses a cached part only behind the same prefix.
std::vector<uint64_t> PartKeys(const std::vector<PromptPart>& parts);

// Returns the weight of an upstream for a key; the upstream with the highest
// weight is preferred. Adding or removing an upstream moves only the keys of
// that upstream.
uint64_t RendezvousWeight(uint64_t key, uint64_t upstream_hash);

// Returns a 64-bit hash of `text` that is the same in all instances.
uint64_t HashOf(std::string_view text);

}  // namespace jackdawshunt::routing

#endif  // JACKDAWSHUNT_ROUTING_PROMPT_H_
