#include "jackdawshunt/testing/platform/soak_deadly_check.h"

#include <map>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace jackdawshunt::testing {
namespace {

// Engines that a part of prompts may end before all gateways know, and requests
// with it that may reach engines later.
constexpr size_t kTolerableEnds = 5;
constexpr size_t kTolerableDeadlyRuns = 3;
// Ends of upstreams by one request before all gateways know it, and sends of it
// that may reach upstreams later.
constexpr size_t kTolerableRequestEnds = 3;
constexpr size_t kTolerableLateSends = 3;

bool IsDeadly(const SoakCall& entry) {
  return absl::EndsWith(entry.call->options().shared_part,
                        absl::StrCat(",", kDeadlyPart));
}

bool IsDeadlyRequest(const SoakCall& entry) {
  const CallOptions& options = entry.call->options();
  return absl::EndsWith(options.path, kDeadlyMarker) ||
         options.body == kDeadlyMarker;
}

}  // namespace

bool DeadlyCheck::IsLate(const SoakCall& entry,
                         const UpstreamRun& run,
                         kernel::TimePoint known) const {
  return run.began > known &&
         !WasDisturbed(disturbed_[entry.gateway], run.began, run.began);
}

void DeadlyCheck::CheckParts() {
  const auto& ends = fleet_.deadly_ends();
  const kernel::TimePoint known = ends.size() < kTolerableEnds
                                      ? kernel::TimePoint::max()
                                      : ends[kTolerableEnds - 1].at + kContact;
  std::vector<std::string> late;
  for (const SoakCall& entry : calls_) {
    const PlatformCall& call = *entry.call;
    if (!IsDeadly(entry)) {
      if (call.body().find("prompt_quarantined") != std::string::npos) {
        violations_.push_back(absl::StrCat(call.id(),
                                           " was refused for its sound parts ",
                                           call.options().shared_part));
      }
      continue;
    }
    const auto runs = fleet_.runs().find(call.id());
    if (runs == fleet_.runs().end()) {
      continue;
    }
    for (const UpstreamRun& run : runs->second) {
      if (IsLate(entry, run, known)) {
        late.push_back(call.id());
      }
    }
  }
  if (late.size() > kTolerableDeadlyRuns) {
    violations_.push_back(absl::StrCat(late.size(),
                                       " requests with the deadly part ran "
                                       "after ",
                                       ends.size(), " ends, first ", late[0]));
  }
}

void DeadlyCheck::CheckRequests() {
  std::map<std::string, const SoakCall*> entries;
  for (const SoakCall& entry : calls_) {
    entries[entry.call->id()] = &entry;
  }
  std::map<std::string, std::vector<kernel::TimePoint>> ends;  // By route.
  for (const auto& end : fleet_.deadly_request_ends()) {
    ends[entries.at(end.request)->call->options().route].push_back(end.at);
  }
  std::map<std::string, std::vector<std::string>> late;
  for (const SoakCall& entry : calls_) {
    const PlatformCall& call = *entry.call;
    const bool is_refused =
        call.body().find("request_quarantined") != std::string::npos;
    if (!IsDeadlyRequest(entry)) {
      if (is_refused) {
        violations_.push_back(absl::StrCat(
            call.id(), " was refused, but is sound: ", call.options().route,
            "/", call.options().path, " ", call.options().body));
      }
      continue;
    }
    refused_requests_ += is_refused ? 1 : 0;
    const std::string& route = call.options().route;
    const auto runs = fleet_.runs().find(call.id());
    if (runs == fleet_.runs().end() ||
        ends[route].size() < kTolerableRequestEnds) {
      continue;
    }
    const kernel::TimePoint known =
        ends[route][kTolerableRequestEnds - 1] + kContact;
    for (const UpstreamRun& run : runs->second) {
      if (run.began <= known) {
        continue;
      }
      ++late_sends_;
      if (IsLate(entry, run, known)) {
        late[route].push_back(call.id());
      }
    }
  }
  for (const auto& [route, ids] : late) {
    if (ids.size() > kTolerableLateSends) {
      violations_.push_back(absl::StrCat(
          "the deadly request of ", route, " was sent ", ids.size(),
          " times after its third end, first ", ids[0]));
    }
  }
}

}  // namespace jackdawshunt::testing
