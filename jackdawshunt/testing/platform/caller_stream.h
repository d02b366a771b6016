// One stream as its caller holds it, over the first request and the requests
// that resume it.
//
// Example:
//   testing::CallerStream stream;
//   stream.Append(*first);
//   CallOptions next = stream.Resume(first->options());
//   stream.Append(*second);
//   EXPECT_EQ(stream.Fault(), "");
#ifndef JACKDAWSHUNT_TESTING_PLATFORM_CALLER_STREAM_H_
#define JACKDAWSHUNT_TESTING_PLATFORM_CALLER_STREAM_H_

#include <cstdint>
#include <set>
#include <string>

#include "jackdawshunt/testing/platform/platform_fleet.h"

namespace jackdawshunt::testing {

class CallerStream {
 public:
  // Appends the whole events of an answer. The request that brings the first
  // event is the one that began the stream. What follows them may only be a
  // piece of the next event of an answer that is not complete.
  void Append(const PlatformCall& call);

  // Returns the options of a request that resumes the stream. Requires at least
  // one event.
  CallOptions Resume(CallOptions options) const;

  uint64_t last_event_id() const { return last_event_id_; }
  // Software versions of the upstreams that wrote the events.
  const std::set<std::string>& versions() const { return versions_; }
  // Returns what is wrong with the stream: an event that is missing, repeated,
  // malformed or of another request, other bytes, or two versions. Empty if
  // nothing is.
  std::string Fault() const;

 private:
  std::string first_request_;
  uint64_t last_event_id_ = 0;
  std::set<std::string> versions_;
  std::string fault_;  // The first one, versions apart.
};

}  // namespace jackdawshunt::testing

#endif  // JACKDAWSHUNT_TESTING_PLATFORM_CALLER_STREAM_H_
