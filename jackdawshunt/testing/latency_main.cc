// Latency that entry and side add to an engine's own, in one run: the same load
// through the fleet and at the engine directly, at 1, 16 and 64 streams. Prints
// one JSON object per number of streams.
#include <cstdint>
#include <iostream>
#include <memory>
#include <string>

#include "jackdawshunt/testing/fleet.h"
#include "jackdawshunt/testing/load_run.h"

namespace jackdawshunt::testing {
namespace {

using nlohmann::json;

constexpr int kSlots = 64;
constexpr int64_t kAnswerTokens = 100;
constexpr int64_t kRequestsPerStream = 10;

json Measure(const http::Address& target, int64_t streams) {
  kernel::EventLoop loop;
  return LoadRun(loop, {.targets = {target},
                        .tokens = {Fleet::Token("lodge")},
                        .concurrency = streams,
                        .requests = streams * kRequestsPerStream,
                        .max_tokens = kAnswerTokens})
      .Run();
}

json Compare(const json& direct, const json& fleet, const char* measure) {
  const double direct_ms = direct[measure]["mean"];
  const double fleet_ms = fleet[measure]["mean"];
  return {{"direct_mean_ms", direct_ms},
          {"fleet_mean_ms", fleet_ms},
          {"added_ms", fleet_ms - direct_ms},
          {"ratio", fleet_ms / direct_ms},
          {"direct_p99_ms", direct[measure]["p99"]},
          {"fleet_p99_ms", fleet[measure]["p99"]}};
}

int Main() {
  auto fleet = FleetBuilder()
                   .Engines(1, {"--step-ms", "3"})
                   .Slots(kSlots)
                   .Workspace("lodge", 1)
                   .EntrySettings({{"log_level", "warning"}})
                   .SideSettings({{"log_level", "warning"}})
                   .Start();
  if (!fleet.ok()) {
    std::cerr << fleet.status() << '\n';
    return 1;
  }
  for (const int64_t streams : {1, 16, 64}) {
    const json direct = Measure((*fleet)->UpstreamAddress(0), streams);
    const json through = Measure((*fleet)->EntryAddress(0), streams);
    const json row = {
        {"streams", streams},
        {"failed", through["failed"]},
        {"first_token", Compare(direct, through, "time_to_first_token_ms")},
        {"between_tokens", Compare(direct, through, "inter_token_ms")}};
    std::cout << row.dump() << '\n';
  }
  return 0;
}

}  // namespace
}  // namespace jackdawshunt::testing

int main() {
  return jackdawshunt::testing::Main();
}
