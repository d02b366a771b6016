// Measures what one process of each role costs, by the number of sides,
// entries, records, waiting requests, requests and tokens per second, and fits
// a straight line through the measured points of each series.
//
//   jackdawshunt_slopes --series sides --series requests --seconds 6
//
// Prints one JSON object per series: its points and, per role and measure, the
// least-squares slope and intercept. Measures are means over the processes of a
// role: processor microseconds, bytes and messages per second, and resident
// bytes. Calls at the platform are those of all processes of the fleet.
#include <algorithm>
#include <chrono>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <numeric>
#include <string>
#include <utility>
#include <vector>

#include "CLI/CLI.hpp"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "jackdawshunt/testing/fleet.h"
#include "jackdawshunt/testing/site/clients.h"
#include "nlohmann/json.hpp"

namespace jackdawshunt::testing {
namespace {

using nlohmann::json;
using Measures = std::map<std::string, double>;

// Present values; all other measures are rates.
constexpr char kResidentBytes[] = "resident_bytes";
constexpr char kInstanceListBytes[] = "instance_list_bytes";

struct Options {
  std::vector<std::string> series;
  double warm_up_seconds = 3;
  double seconds = 6;
};

// One fleet and its load.
struct Point {
  double x = 0;  // Size of the series; replaced by a measured rate if named.
  int entries = 1;
  int sides = 4;
  int slots = 16;
  int step_ms = 3;
  int workspaces = 1;
  int64_t clients = 0;  // Per workspace with load.
  int loaded_workspaces = 1;
  int64_t tokens = 1;
  int64_t pause_ms = 0;
};

struct Series {
  std::string name;
  std::string x;  // "requests_per_second" and "tokens_per_second" are measured.
  std::vector<Point> points;
};

std::vector<Series> AllSeries() {
  return {
      {"sides",
       "sides",
       {{.x = 5, .sides = 5}, {.x = 20, .sides = 20}, {.x = 60, .sides = 60}}},
      {"entries",
       "entries",
       {{.x = 2, .entries = 2},
        {.x = 5, .entries = 5},
        {.x = 10, .entries = 10}}},
      {"records",
       "workspace records",
       {{.x = 16, .workspaces = 16},
        {.x = 160, .workspaces = 160},
        {.x = 460, .workspaces = 460}}},
      {"requests",
       "requests_per_second",
       {{.clients = 50, .pause_ms = 1000},
        {.clients = 100, .pause_ms = 1000},
        {.clients = 200, .pause_ms = 1000}}},
      {"tokens",
       "tokens_per_second",
       {{.clients = 20, .tokens = 50, .pause_ms = 1850},
        {.clients = 20, .tokens = 150, .pause_ms = 1550},
        {.clients = 20, .tokens = 450, .pause_ms = 650},
        {.slots = 32, .clients = 90, .tokens = 450, .pause_ms = 650}}},
      // The same requests over more sides, all of which have free slots.
      {"sides_requests",
       "sides",
       {{.x = 4, .clients = 100, .pause_ms = 1000},
        {.x = 16, .sides = 16, .clients = 100, .pause_ms = 1000},
        {.x = 60, .sides = 60, .clients = 100, .pause_ms = 1000}}},
      // One answer that lasts longer than the run holds the only slot.
      {"waiting",
       "clients",
       {{.x = 200, .sides = 1, .slots = 1, .clients = 200, .tokens = 20'000},
        {.x = 800, .sides = 1, .slots = 1, .clients = 800, .tokens = 20'000},
        {.x = 2000,
         .sides = 1,
         .slots = 1,
         .clients = 2000,
         .tokens = 20'000}}},
      // Two clients per slot keep the entry backlogged at every side.
      {"sides_backlogged",
       "sides",
       {{.x = 5,
         .sides = 5,
         .slots = 1,
         .step_ms = 20,
         .clients = 10,
         .tokens = 50},
        {.x = 20,
         .sides = 20,
         .slots = 1,
         .step_ms = 20,
         .clients = 40,
         .tokens = 50},
        {.x = 60,
         .sides = 60,
         .slots = 1,
         .step_ms = 20,
         .clients = 120,
         .tokens = 50}}},
      {"workspaces_backlogged",
       "workspaces",
       {{.x = 4,
         .slots = 1,
         .step_ms = 20,
         .workspaces = 46,
         .clients = 3,
         .loaded_workspaces = 4,
         .tokens = 50},
        {.x = 16,
         .slots = 1,
         .step_ms = 20,
         .workspaces = 46,
         .clients = 3,
         .loaded_workspaces = 16,
         .tokens = 50},
        {.x = 46,
         .slots = 1,
         .step_ms = 20,
         .workspaces = 46,
         .clients = 3,
         .loaded_workspaces = 46,
         .tokens = 50}}},
      // Each entry has its own clients, so the load per entry stays the same.
      {"entries_loaded",
       "entries",
       {{.x = 2,
         .entries = 2,
         .workspaces = 16,
         .clients = 2,
         .loaded_workspaces = 16,
         .tokens = 20,
         .pause_ms = 1000},
        {.x = 5,
         .entries = 5,
         .workspaces = 16,
         .clients = 5,
         .loaded_workspaces = 16,
         .tokens = 20,
         .pause_ms = 1000},
        {.x = 10,
         .entries = 10,
         .workspaces = 16,
         .clients = 10,
         .loaded_workspaces = 16,
         .tokens = 20,
         .pause_ms = 1000}}},
  };
}

std::string WorkspaceName(int i) {
  return absl::StrCat("w", i);
}

// Present resident set; /metrics has the largest so far only.
double ResidentBytes(const Process& process) {
  constexpr double kBytesPerKilobyte = 1024;
  std::ifstream status(absl::StrCat("/proc/", process.pid(), "/status"));
  std::string line;
  while (std::getline(status, line)) {
    std::vector<std::string> words =
        absl::StrSplit(line, absl::ByAnyChar(" \t"), absl::SkipEmpty());
    double kilobytes = 0;
    if (words.size() > 1 && words[0] == "VmRSS:" &&
        absl::SimpleAtod(words[1], &kilobytes)) {
      return kilobytes * kBytesPerKilobyte;
    }
  }
  return 0;
}

// Value of a label in `name{label="value",...}`; empty when absent.
std::string Label(std::string_view metric, std::string_view label) {
  const std::string start = absl::StrCat(std::string(label), "=\"");
  const size_t at = metric.find(start);
  if (at == std::string_view::npos) {
    return "";
  }
  const size_t begin = at + start.size();
  return std::string(metric.substr(begin, metric.find('"', begin) - begin));
}

void AddMetric(std::string_view name, double value, Measures& totals) {
  constexpr double kMicrosecondsPerSecond = 1e6;
  if (name == "jackdawshunt_cpu_seconds_total") {
    totals["cpu_microseconds"] = value * kMicrosecondsPerSecond;
  } else if (name.starts_with("jackdawshunt_process_bytes_total")) {
    totals[absl::StrCat(Label(name, "path"), "_bytes_",
                        Label(name, "direction"))] = value;
    totals[absl::StrCat(Label(name, "path"), "_bytes")] += value;
  } else if (name.starts_with("jackdawshunt_process_messages_total")) {
    totals[absl::StrCat("message_", Label(name, "message"), "_",
                        Label(name, "direction"))] = value;
  }
}

// Cumulative measures of one process.
Measures ReadProcess(const http::Address& operator_address) {
  Measures totals;
  const auto response = Fetch(operator_address, {.path = "/metrics"});
  if (!response.ok()) {
    return totals;
  }
  for (absl::string_view line : absl::StrSplit(response->body, '\n')) {
    const size_t space = line.rfind(' ');
    double value = 0;
    if (!absl::StartsWith(line, "#") && space != absl::string_view::npos &&
        absl::SimpleAtod(line.substr(space + 1), &value)) {
      AddMetric({line.data(), space}, value, totals);
    }
  }
  return totals;
}

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<size_t>(share * last)];
}

struct Snapshot {
  std::chrono::steady_clock::time_point time;
  std::map<std::string, Measures> roles;  // Sums over the processes.
  int64_t requests = 0;
  int64_t tokens = 0;
};

json Fit(const std::vector<double>& x, const std::vector<double>& y) {
  const auto count = static_cast<double>(x.size());
  double sum_x = 0;
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
  for (size_t i = 0; i < x.size(); ++i) {
    sum_x += x[i];
    sum_y += y[i];
    sum_xx += x[i] * x[i];
    sum_xy += x[i] * y[i];
  }
  const double spread = count * sum_xx - sum_x * sum_x;
  if (spread <= 0) {
    return nullptr;
  }
  const double slope = (count * sum_xy - sum_x * sum_y) / spread;
  return {{"slope", slope}, {"intercept", (sum_y - slope * sum_x) / count}};
}

class PointRun {
 public:
  PointRun(const Point& point, const Options& options)
      : point_(point), options_(options) {}

  // Returns {"measures": {role: {measure: value}}, "requests_per_second", ...}.
  absl::StatusOr<json> Run() {
    if (const absl::Status status = StartFleet(); !status.ok()) {
      return status;
    }
    kernel::EventLoop loop;
    Clients clients(loop, *fleet_, Groups(), /*seed=*/1);
    clients.Start();
    RunFor(loop, options_.warm_up_seconds);
    const Snapshot before = Read(clients);
    RunFor(loop, options_.seconds);
    const Snapshot after = Read(clients);
    return Report(before, after, clients.totals());
  }

 private:
  absl::Status StartFleet() {
    FleetOptions fleet;
    fleet.entries = point_.entries;
    fleet.engines = point_.sides;
    fleet.engine_arguments = {"--step-ms", absl::StrCat(point_.step_ms),
                              "--max-batch", absl::StrCat(point_.slots)};
    fleet.slots = point_.slots;
    for (int i = 0; i < point_.workspaces; ++i) {
      fleet.workspaces[WorkspaceName(i)] = 1;
    }
    fleet.policy = {{"max_waiting", 4000}, {"max_wait_ms", 600'000}};
    fleet.entry_settings = {{"log_level", "warning"}};
    fleet.side_settings = {{"log_level", "warning"}};
    auto started = Fleet::Start(std::move(fleet));
    if (!started.ok()) {
      return started.status();
    }
    fleet_ = *std::move(started);
    return absl::OkStatus();
  }

  static void RunFor(kernel::EventLoop& loop, double seconds) {
    const kernel::Timer stop =
        loop.After(std::chrono::duration_cast<kernel::Duration>(
                       std::chrono::duration<double>(seconds)),
                   [&loop] { loop.Stop(); });
    loop.Run();
  }

  // Clients of several groups pause for different times, so that their requests
  // do not arrive in step.
  std::vector<ClientGroup> Groups() const {
    constexpr int64_t kPauses = 10;
    std::vector<size_t> entries(static_cast<size_t>(point_.entries));
    std::iota(entries.begin(), entries.end(), size_t{0});
    std::vector<ClientGroup> groups;
    for (int i = 0; i < point_.loaded_workspaces; ++i) {
      for (int64_t pause = 0; pause < kPauses; ++pause) {
        const int64_t concurrency = point_.clients * (pause + 1) / kPauses -
                                    point_.clients * pause / kPauses;
        if (concurrency > 0) {
          groups.push_back({.workspace = WorkspaceName(i),
                            .model = std::string(kModel),
                            .concurrency = concurrency,
                            .entries = entries,
                            .median_tokens = point_.tokens,
                            .spread = 0.01,
                            .max_tokens = point_.tokens,
                            .pause_ms = point_.pause_ms *
                                        (kPauses * 2 + pause) / (kPauses * 2),
                            .is_lookup = true});
          std::rotate(entries.begin(), entries.begin() + 1, entries.end());
        }
      }
    }
    return groups;
  }

  Snapshot Read(const Clients& clients) const {
    Snapshot snapshot{.time = std::chrono::steady_clock::now(),
                      .requests = clients.totals().requests,
                      .tokens = clients.totals().tokens};
    const auto add = [&snapshot](const std::string& role,
                                 const http::Address& address,
                                 const Process& process) {
      Measures measures = ReadProcess(address);
      measures[kResidentBytes] = ResidentBytes(process);
      for (const auto& [name, value] : measures) {
        snapshot.roles[role][name] += value;
      }
    };
    for (size_t i = 0; i < fleet_->entry_count(); ++i) {
      add("entry", fleet_->EntryOperatorAddress(i), fleet_->entry(i));
    }
    for (size_t i = 0; i < fleet_->sides().size(); ++i) {
      add("side", fleet_->SideOperatorAddress(i), *fleet_->side(i).side);
    }
    const auto list = Fetch(fleet_->PlatformAddress(), {.path = "/instances"});
    if (list.ok()) {
      snapshot.roles["platform"][kInstanceListBytes] =
          static_cast<double>(list->body.size());
    }
    const auto calls = Fleet::Admin(fleet_->platform(), "/admin/calls");
    if (calls.ok()) {
      for (const auto& [kind, count] : (*calls)["by_kind"].items()) {
        snapshot.roles["platform"][absl::StrCat("calls_", kind)] = count;
      }
    }
    return snapshot;
  }

  json Report(const Snapshot& before,
              const Snapshot& after,
              const ClientTotals& totals) const {
    const double seconds =
        std::chrono::duration<double>(after.time - before.time).count();
    json measures = json::object();
    for (const auto& [role, values] : after.roles) {
      const int processes = role == "entry"  ? point_.entries
                            : role == "side" ? point_.sides
                                             : 1;
      for (const auto& [name, value] : values) {
        double result = value;
        if (name != kResidentBytes && name != kInstanceListBytes) {
          const auto& old = before.roles.at(role);
          result = (value - (old.contains(name) ? old.at(name) : 0)) / seconds;
        }
        measures[role][name] = result / processes;
      }
    }
    return {
        {"measures", measures},
        {"seconds", seconds},
        {"requests_per_second",
         static_cast<double>(after.requests - before.requests) / seconds},
        {"tokens_per_second",
         static_cast<double>(after.tokens - before.tokens) / seconds},
        {"errors", totals.errors},
        {"first_token_ms_p95", Percentile(totals.lookup_first_token_ms, 0.95)}};
  }

  const Point point_;
  const Options& options_;
  std::unique_ptr<Fleet> fleet_;
};

// Fits every measure that all points have.
json FitAll(const std::vector<double>& x, const json& points) {
  json fits = json::object();
  for (const auto& [role, measures] : points[0]["measures"].items()) {
    for (const auto& [name, first] : measures.items()) {
      std::vector<double> y;
      for (const json& point : points) {
        if (point["measures"][role].contains(name)) {
          y.push_back(point["measures"][role][name]);
        }
      }
      if (y.size() == x.size()) {
        fits[role][name] = Fit(x, y);
      }
    }
  }
  return fits;
}

absl::StatusOr<json> RunSeries(const Series& series, const Options& options) {
  std::vector<double> x;
  json points = json::array();
  for (const Point& point : series.points) {
    auto report = PointRun(point, options).Run();
    if (!report.ok()) {
      return report.status();
    }
    x.push_back(series.x.ends_with("_per_second")
                    ? (*report)[series.x].get<double>()
                    : point.x);
    (*report)["x"] = x.back();
    points.push_back(*std::move(report));
  }
  return json{{"series", series.name},
              {"x", series.x},
              {"fits", FitAll(x, points)},
              {"points", points}};
}

int Main(int argc, char** argv) {
  CLI::App app("Measures costs per process and fits slopes.");
  Options options;
  const std::vector<Series> all = AllSeries();
  std::vector<std::string> names;
  names.reserve(all.size());
  for (const Series& series : all) {
    names.push_back(series.name);
  }
  app.add_option("--series", options.series, "Series to run; default all")
      ->check(CLI::IsMember(names));
  app.add_option("--seconds", options.seconds, "Measured time of a point")
      ->check(CLI::Range(1, 60));
  app.add_option("--warm-up-seconds", options.warm_up_seconds,
                 "Time before the measured part")
      ->check(CLI::Range(1, 60));
  CLI11_PARSE(app, argc, argv);
  for (const Series& series : all) {
    if (!options.series.empty() &&
        std::find(options.series.begin(), options.series.end(), series.name) ==
            options.series.end()) {
      continue;
    }
    const auto report = RunSeries(series, options);
    if (!report.ok()) {
      std::cerr << report.status() << '\n';
      return 1;
    }
    std::cout << report->dump(2) << std::endl;
  }
  return 0;
}

}  // namespace
}  // namespace jackdawshunt::testing

int main(int argc, char** argv) {
  return jackdawshunt::testing::Main(argc, argv);
}
