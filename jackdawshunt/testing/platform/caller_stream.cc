#include "jackdawshunt/testing/platform/caller_stream.h"

#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"

namespace jackdawshunt::testing {
namespace {

// Returns the event without its version.
std::string EventStart(const PlatformCall& call, uint64_t id) {
  return absl::StrCat("id: ", id, "\ndata: ", call.id(), "-", id, " ");
}

}  // namespace

void CallerStream::Append(const PlatformCall& call) {
  std::vector<std::string> events = absl::StrSplit(call.body(), "\n\n");
  const std::string rest = events.back();  // After the last whole event.
  events.pop_back();
  for (const std::string& event : events) {
    if (first_request_.empty()) {
      first_request_ = call.id();
    }
    ++last_event_id_;
    const std::string expected = EventStart(call, last_event_id_);
    if (absl::StartsWith(event, expected)) {
      versions_.insert(event.substr(expected.size()));
    } else if (fault_.empty()) {
      fault_ = absl::StrCat("event ", last_event_id_, " of ", call.id(),
                            " is \"", event, "\"");
    }
  }
  const std::string start = EventStart(call, last_event_id_ + 1);
  const bool is_piece_of_next =
      versions_.empty()
          ? absl::StartsWith(start, rest) || absl::StartsWith(rest, start)
          : absl::StartsWith(absl::StrCat(start, *versions_.begin(), "\n"),
                             rest);
  if (fault_.empty() &&
      (call.is_complete() ? !rest.empty() : !is_piece_of_next)) {
    fault_ = absl::StrCat("answer to ", call.id(), " ends with \"", rest, "\"");
  }
}

CallOptions CallerStream::Resume(CallOptions options) const {
  options.last_event_id = last_event_id_;
  options.resumed_request = first_request_;
  return options;
}

std::string CallerStream::Fault() const {
  if (fault_.empty() && versions_.size() > 1) {
    return absl::StrCat("stream of ", first_request_, " holds versions ",
                        absl::StrJoin(versions_, ", "));
  }
  return fault_;
}

}  // namespace jackdawshunt::testing
