#include "jackdawshunt/testing/platform/caller_stream.h"

#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"

namespace jackdawshunt::testing {

void CallerStream::Append(const PlatformCall& call) {
  std::vector<std::string> events = absl::StrSplit(call.body(), "\n\n");
  events.pop_back();  // What follows the last whole event.
  for (const std::string& event : events) {
    if (first_request_.empty()) {
      first_request_ = call.id();
    }
    ++last_event_id_;
    const std::string expected =
        absl::StrCat("id: ", last_event_id_, "\ndata: ", call.id(), "-",
                     last_event_id_, " ");
    if (absl::StartsWith(event, expected)) {
      versions_.insert(event.substr(expected.size()));
    } else if (fault_.empty()) {
      fault_ = absl::StrCat("event ", last_event_id_, " of ", call.id(),
                            " is \"", event, "\"");
    }
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
