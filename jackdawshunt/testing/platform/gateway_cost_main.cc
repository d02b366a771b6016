// Measures what a gateway costs: sends streamed requests at a fixed rate and
// prints the processor time per request and per event, and memory.
//
//   jackdawshunt_gateway_cost --rate 100 --seconds 10 --engines 50 --events 30
#include <unistd.h>

#include <fstream>
#include <iostream>
#include <sstream>

#include "CLI/CLI.hpp"
#include "absl/strings/str_split.h"
#include "jackdawshunt/testing/platform/platform_fleet.h"

namespace jackdawshunt::testing {
namespace {

struct CostOptions {
  double rate = 100;
  double seconds = 10;
  size_t engines = 50;
  uint32_t events = 30;
  size_t body_bytes = 12000;
};

// User and system time of a process in milliseconds.
double ProcessorMs(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::stringstream text;
  text << file.rdbuf();
  const std::string stat = text.str();
  const std::vector<std::string> fields =
      absl::StrSplit(stat.substr(stat.rfind(')') + 2), ' ');
  constexpr size_t kUserTime = 11;
  constexpr size_t kSystemTime = 12;
  const double ticks =
      std::stod(fields.at(kUserTime)) + std::stod(fields.at(kSystemTime));
  return ticks * 1000.0 / static_cast<double>(sysconf(_SC_CLK_TCK));
}

int Main(const CostOptions& options) {
  PlatformFleet fleet({.gateways = 1,
                       .engines = options.engines,
                       .plain = 1,
                       .stream_events = options.events});
  fleet.Start();
  std::vector<std::shared_ptr<PlatformCall>> calls;
  const double before = ProcessorMs(fleet.gateway(0).pid());
  const auto gap = std::chrono::duration_cast<kernel::Duration>(
      std::chrono::duration<double>(1.0 / options.rate));
  kernel::Timer timer = fleet.loop().Every(gap, [&] {
    calls.push_back(fleet.Call(
        0, {.route = kGenerate, .body = std::string(options.body_bytes, 'x')}));
  });
  fleet.RunFor(std::chrono::duration_cast<kernel::Duration>(
      std::chrono::duration<double>(options.seconds)));
  timer.Cancel();
  fleet.Await([&] {
    return std::all_of(calls.begin(), calls.end(),
                       [](const auto& call) { return call->is_done(); });
  });
  const double used = ProcessorMs(fleet.gateway(0).pid()) - before;
  const auto served =
      std::count_if(calls.begin(), calls.end(), [](const auto& call) {
        return call->is_complete() && call->status() == 200;
      });
  std::cout << nlohmann::json{{"requests", calls.size()},
                              {"served", served},
                              {"gateway_ms", used},
                              {"us_per_request",
                               used * 1000 /
                                   static_cast<double>(
                                       std::max<size_t>(calls.size(), 1))}}
                   .dump()
            << "\n";
  return 0;
}

}  // namespace
}  // namespace jackdawshunt::testing

int main(int argc, char** argv) {
  jackdawshunt::testing::CostOptions options;
  CLI::App app("Measures the processor time of a gateway.");
  app.add_option("--rate", options.rate, "Requests a second");
  app.add_option("--seconds", options.seconds, "Duration");
  app.add_option("--engines", options.engines, "Engines");
  app.add_option("--events", options.events, "Events of a stream");
  app.add_option("--body-bytes", options.body_bytes, "Size of a request");
  CLI11_PARSE(app, argc, argv);
  return jackdawshunt::testing::Main(options);
}
