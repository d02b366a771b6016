#include "jackdawshunt/routing/prompt.h"

#include <array>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "xxhash.h"

namespace jackdawshunt::routing {

std::vector<uint64_t> SharedPartIds(const std::vector<PromptPart>& parts) {
  std::vector<uint64_t> ids;
  for (size_t i = 0; i + 1 < parts.size(); ++i) {
    ids.push_back(parts[i].id);
  }
  return ids;
}

std::string PartIdsText(const std::vector<uint64_t>& ids) {
  return absl::StrJoin(ids, ",", [](std::string* out, uint64_t id) {
    absl::StrAppend(out, absl::Hex(id));
  });
}

std::vector<uint64_t> PartKeys(const std::vector<PromptPart>& parts) {
  std::vector<uint64_t> keys;
  keys.reserve(parts.size());
  uint64_t prefix_key = 0;
  for (const PromptPart& part : parts) {
    prefix_key = RendezvousWeight(prefix_key, part.id);
    keys.push_back(prefix_key);
  }
  return keys;
}

uint64_t RendezvousWeight(uint64_t key, uint64_t upstream_hash) {
  const std::array<uint64_t, 2> input = {key, upstream_hash};
  return XXH64(input.data(), sizeof(input), 0);
}

uint64_t HashOf(std::string_view text) {
  return XXH64(text.data(), text.size(), 0);
}

}  // namespace jackdawshunt::routing
