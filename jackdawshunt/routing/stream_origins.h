// Remembers which software began each stream, so that only the same software
// continues it.
//
// Example:
//   routing::StreamOrigins origins;
//   origins.Record(routing::HashOf(request.id), upstream.origin, expires_at);
//   uint64_t origin = origins.Find(routing::HashOf(resumed_request), now);
//
// Upstreams of several software versions serve a service side by side, and a
// stream cannot change the version: neither within one answer nor when its
// caller resumes it at another instance.
//
// Not thread-safe.
#ifndef JACKDAWSHUNT_ROUTING_STREAM_ORIGINS_H_
#define JACKDAWSHUNT_ROUTING_STREAM_ORIGINS_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "jackdawshunt/kernel/clock.h"

namespace jackdawshunt::routing {

// The origin of a stream whose service or software version is not known. No
// upstream may continue such a stream.
inline constexpr uint64_t kUnknownOrigin = 0;

// Returns the origin of streams that begin at upstreams of `service` with this
// software version; kUnknownOrigin if the version is empty.
uint64_t StreamOriginOf(std::string_view service, std::string_view version);

class StreamOrigins {
 public:
  // Maximum number of streams. Further streams are not recorded until others
  // have expired.
  static constexpr size_t kMaxStreams = 100000;

  // Records the origin of the stream that the request with this hash began,
  // until `expires_at`. Replaces an earlier record.
  void Record(uint64_t request_hash,
              uint64_t origin,
              kernel::TimePoint expires_at);
  // Returns kUnknownOrigin when there is no record.
  uint64_t Find(uint64_t request_hash, kernel::TimePoint now) const;
  // Frees the memory of expired records; call every second.
  void DropExpired(kernel::TimePoint now);

  size_t size() const { return records_.size(); }
  // Returns the number of streams that were not recorded for lack of room.
  uint64_t rejected() const { return rejected_; }

 private:
  struct Entry {
    uint64_t origin = kUnknownOrigin;
    kernel::TimePoint expires_at{};
  };

  absl::flat_hash_map<uint64_t, Entry> records_;  // By the request's hash.
  uint64_t rejected_ = 0;
};

}  // namespace jackdawshunt::routing

#endif  // JACKDAWSHUNT_ROUTING_STREAM_ORIGINS_H_
