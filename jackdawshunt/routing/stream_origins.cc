#include "jackdawshunt/routing/stream_origins.h"

#include <algorithm>
#include <string>

#include "jackdawshunt/routing/prompt.h"

namespace jackdawshunt::routing {

uint64_t StreamOriginOf(std::string_view service, std::string_view version) {
  if (version.empty()) {
    return kUnknownOrigin;
  }
  std::string key(service);
  key.push_back('\0');
  key.append(version);
  return std::max(HashOf(key), kUnknownOrigin + 1);
}

void StreamOrigins::Record(uint64_t request_hash,
                           uint64_t origin,
                           kernel::TimePoint expires_at) {
  if (records_.size() >= kMaxStreams && !records_.contains(request_hash)) {
    ++rejected_;
    return;
  }
  records_[request_hash] = {.origin = origin, .expires_at = expires_at};
}

uint64_t StreamOrigins::Find(uint64_t request_hash,
                             kernel::TimePoint now) const {
  const auto found = records_.find(request_hash);
  return found == records_.end() || now >= found->second.expires_at
             ? kUnknownOrigin
             : found->second.origin;
}

void StreamOrigins::DropExpired(kernel::TimePoint now) {
  absl::erase_if(records_, [now](const auto& row) {
    return now >= row.second.expires_at;
  });
}

}  // namespace jackdawshunt::routing
