// Measures how long an accepted change takes to be in force at all processes,
// and what the fleet's calls to the platform cost, by size of the fleet.
//
//   jackdawshunt_propagation --processes 3 --processes 10 --changes 10
//
// Prints one JSON object. Per size: processes, entries, sides, milliseconds
// from the accepted write until the last process reports it (p50, max), and the
// platform's calls per second by kind while idle and during the changes. The
// "put" calls are those of this program.
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "CLI/CLI.hpp"
#include "absl/strings/str_cat.h"
#include "jackdawshunt/base/crypto.h"
#include "jackdawshunt/http/client.h"
#include "jackdawshunt/kernel/event_loop.h"
#include "jackdawshunt/testing/fleet.h"
#include "jackdawshunt/testing/member.h"
#include "nlohmann/json.hpp"

namespace jackdawshunt::testing {
namespace {

using nlohmann::json;
using std::chrono::steady_clock;

constexpr char kKey[] = "config/workspace/lodge";

struct Options {
  std::vector<int> processes = {3, 10, 50};
  int changes = 10;
  int64_t idle_ms = 10'000;
  int64_t pause_ms = 500;  // Between changes.
  bool orders = false;
};

void Wait(int64_t ms) {
  PollUntil([] { return false; }, std::chrono::milliseconds(ms));
}

double MsSince(steady_clock::time_point start) {
  return std::chrono::duration<double, std::milli>(steady_clock::now() - start)
      .count();
}

// Polls /status of all processes at once.
class StatusPoll {
 public:
  explicit StatusPoll(std::vector<http::Address> addresses)
      : addresses_(std::move(addresses)) {}

  // Returns when every process has reported the version, false at the deadline.
  bool UntilAll(uint64_t version) {
    calls_.clear();
    calls_.resize(addresses_.size());
    done_.assign(addresses_.size(), false);
    version_ = version;
    for (size_t i = 0; i < addresses_.size(); ++i) {
      Ask(i);
    }
    return loop_.RunUntil(
        [this] {
          return std::all_of(done_.begin(), done_.end(),
                             [](bool is_done) { return is_done; });
        },
        kDeadline);
  }

 private:
  void Ask(size_t i) {
    http::CallOptions options;
    options.timeout = std::chrono::seconds(2);
    options.on_done = [this, i](absl::StatusOr<http::Response> response) {
      const json status =
          response.ok() ? json::parse(response->body, nullptr, false) : json();
      done_[i] = status.is_object() && status.contains("versions") &&
                 status["versions"].value(kKey, uint64_t{0}) >= version_;
      if (!done_[i]) {
        // A call may not be destroyed inside its own callback.
        loop_.Post([this, i] { Ask(i); });
      }
    };
    calls_[i] =
        client_.Send(addresses_[i],
                     {.path = "/status",
                      .headers = {{"Authorization",
                                   "Bearer " + std::string(kOperatorToken)}}},
                     std::move(options));
  }

  const std::vector<http::Address> addresses_;
  kernel::EventLoop loop_;
  http::Client client_{loop_};
  std::vector<std::unique_ptr<http::Call>> calls_;
  std::vector<bool> done_;
  uint64_t version_ = 0;
};

// The platform's calls by kind.
json CallsByKind(Fleet& fleet) {
  const auto calls = Fleet::Admin(fleet.platform(), "/admin/calls");
  return calls.ok() ? (*calls)["by_kind"] : json::object();
}

json Rates(const json& before, const json& after, double seconds) {
  json rates = json::object();
  for (const auto& [kind, count] : after.items()) {
    rates[kind] = (count.get<double>() - before.value(kind, 0.0)) /
                  std::max(seconds, 1e-3);
  }
  return rates;
}

// Writes the record and returns the accepted version; 0 when it failed. Shares
// differ from change to change, so that each is a new version.
uint64_t WriteChange(Fleet& fleet, int change) {
  const json record = {
      {"kind", "workspace"},
      {"schema", 1},
      {"name", "lodge"},
      {"spec",
       {{"share", 1 + change},
        {"token_sha256", base::Sha256Hex(Fleet::Token("lodge"))},
        {"models", json::array({kModel})}}}};
  const auto answer = FetchJson(fleet.PlatformAddress(),
                                {.method = "PUT",
                                 .path = absl::StrCat("/objects/", kKey),
                                 .body = record.dump()});
  return answer.ok() ? answer->value("version", uint64_t{0}) : 0;
}

json Measure(const Options& options, int processes) {
  // A fifth of the processes are entries, at least two.
  const int entries = std::max(2, processes / 5);
  const int sides = processes - entries;
  const std::vector<std::string> loaded = {"--model", std::string(kModel)};
  auto started =
      FleetBuilder()
          .Entries(entries)
          .Engines(sides, options.orders ? std::vector<std::string>() : loaded)
          .Workspace("lodge", 1)
          .Start();
  if (!started.ok()) {
    return {{"processes", processes}, {"error", started.status().ToString()}};
  }
  Fleet& fleet = **started;
  StatusPoll poll(AllOperatorAddresses(fleet));
  poll.UntilAll(WriteChange(fleet, 0));
  const json idle_before = CallsByKind(fleet);
  const auto idle_start = steady_clock::now();
  Wait(options.idle_ms);
  const json idle =
      Rates(idle_before, CallsByKind(fleet), MsSince(idle_start) / 1000);

  std::vector<double> times;
  int missed = 0;
  const json before = CallsByKind(fleet);
  const auto start = steady_clock::now();
  for (int change = 1; change <= options.changes; ++change) {
    const uint64_t version = WriteChange(fleet, change);
    const auto written = steady_clock::now();
    if (version != 0 && poll.UntilAll(version)) {
      times.push_back(MsSince(written));
    } else {
      ++missed;
    }
    Wait(options.pause_ms);
  }
  const json during = Rates(before, CallsByKind(fleet), MsSince(start) / 1000);
  std::sort(times.begin(), times.end());
  json row = {{"processes", processes},
              {"entries", entries},
              {"sides", sides},
              {"changes", options.changes},
              {"missed", missed},
              {"idle_calls_per_s", idle},
              {"changing_calls_per_s", during}};
  if (!times.empty()) {
    row["p50_ms"] = times[times.size() / 2];
    row["max_ms"] = times.back();
  }
  return row;
}

int Main(int argc, char** argv) {
  Options options;
  CLI::App app("Measures the propagation of configuration changes.");
  app.add_option("--processes", options.processes,
                 "Entries and sides in all; may be repeated")
      ->check(CLI::Range(3, 150));
  app.add_option("--changes", options.changes, "Changes per size");
  app.add_option("--idle-ms", options.idle_ms, "Length of the idle phase");
  app.add_option("--pause-ms", options.pause_ms, "Time between changes");
  app.add_flag("--orders", options.orders,
               "Start the engines without their models, so that every side "
               "sends an order");
  CLI11_PARSE(app, argc, argv);
  json rows = json::array();
  for (const int processes : options.processes) {
    rows.push_back(Measure(options, processes));
  }
  std::cout << json{{"sizes", rows}}.dump(2) << '\n';
  return 0;
}

}  // namespace
}  // namespace jackdawshunt::testing

int main(int argc, char** argv) {
  return jackdawshunt::testing::Main(argc, argv);
}
