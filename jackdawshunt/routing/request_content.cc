#include "jackdawshunt/routing/request_content.h"

#include "xxhash.h"

namespace jackdawshunt::routing {

uint64_t ContentHash(const RequestContent& content) {
  uint64_t hash = 0;
  // Each field's hash is the seed of the next one, so that the same bytes in
  // other fields give another hash.
  for (const std::string_view field :
       {content.method, content.host, content.target, content.workspace,
        content.body}) {
    hash = XXH3_64bits_withSeed(field.data(), field.size(), hash);
  }
  if (content.prompt != nullptr) {
    hash = RendezvousWeight(hash, HashOf(content.prompt->model));
    for (const PromptPart& part : content.prompt->parts) {
      hash = RendezvousWeight(hash, part.id);
    }
  }
  return hash;
}

}  // namespace jackdawshunt::routing
