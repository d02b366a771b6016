// Runs a site of examples/ over loopback against the stand-ins, and prints its
// fairness gap, utilisation and control traffic as JSON.
//
//   jackdawshunt_site --site examples/cascadia --compare
//
// With --compare the same load runs under the fair order and under each
// baseline: no counter exchange, least loaded push, round robin push.
#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <memory>
#include <sstream>
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
#include "jackdawshunt/testing/site/gap.h"
#include "nlohmann/json.hpp"

namespace jackdawshunt::testing {
namespace {

using nlohmann::json;

// Limit of the control traffic of one process, sent and received.
constexpr double kControlBytesPerSecond = 19'000;
constexpr kernel::Duration kSamplePeriod = std::chrono::milliseconds(20);

struct Options {
  std::string site;
  std::string exchange = "mesh";
  std::string placement = "late_binding";
  bool compare = false;
  bool without_long = false;
  double seconds = 0;
  uint32_t seed = 1;
};

json ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return json::parse(text.str(), nullptr, true, /*ignore_comments=*/true);
}

// Sums of one metric over its label sets: "name{labels}" to value.
std::map<std::string, double> ReadMetrics(const http::Address& address) {
  std::map<std::string, double> metrics;
  const auto response = Fetch(address, {.path = "/metrics"});
  if (!response.ok()) {
    return metrics;
  }
  for (absl::string_view line : absl::StrSplit(response->body, '\n')) {
    const size_t space = line.rfind(' ');
    double value = 0;
    if (!absl::StartsWith(line, "#") && space != absl::string_view::npos &&
        absl::SimpleAtod(line.substr(space + 1), &value)) {
      metrics[std::string(line.substr(0, space))] = value;
    }
  }
  return metrics;
}

struct ProcessTotals {
  double control_bytes = 0;
  double cpu_seconds = 0;
  double resident_bytes = 0;
  double busy = 0;
  double idle = 0;
  double idle_with_bids = 0;
};

ProcessTotals ReadTotals(const http::Address& address) {
  auto metrics = ReadMetrics(address);
  ProcessTotals totals;
  for (const auto& [name, value] : metrics) {
    if (absl::StartsWith(name, "jackdawshunt_process_bytes_total") &&
        absl::StrContains(name, "control")) {
      totals.control_bytes += value;
    }
  }
  const auto slot_seconds = [&metrics](const std::string& state) {
    return metrics[absl::StrCat("jackdawshunt_side_slot_seconds_total{state=\"",
                                state, "\"}")];
  };
  totals.cpu_seconds = metrics["jackdawshunt_cpu_seconds_total"];
  totals.resident_bytes = metrics["jackdawshunt_max_resident_bytes"];
  totals.busy = slot_seconds("busy");
  totals.idle = slot_seconds("idle");
  totals.idle_with_bids = slot_seconds("idle_with_bids");
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

class SiteRun {
 public:
  SiteRun(Options options, json site, json records)
      : options_(std::move(options)),
        site_(std::move(site)),
        records_(std::move(records)) {}

  absl::StatusOr<json> Run() {
    const absl::Status started = StartFleet();
    if (!started.ok()) {
      return started;
    }
    kernel::EventLoop loop;
    Clients clients(loop, *fleet_, Groups(), options_.seed);
    GapMeter gap(Shares());
    const double seconds = options_.seconds > 0
                               ? options_.seconds
                               : site_["seconds"].get<double>();
    clients.Start();
    // The queues fill before the measured part begins.
    const kernel::Timer warm_up = loop.After(kWarmUp, [&] { loop.Stop(); });
    loop.Run();
    const std::vector<ProcessTotals> before = ReadAll();
    const ClientTotals clients_before = clients.totals();
    const kernel::Timer sample =
        loop.Every(kSamplePeriod, [&] { gap.Sample(clients.Samples()); });
    const kernel::Timer stop =
        loop.After(std::chrono::duration_cast<kernel::Duration>(
                       std::chrono::duration<double>(seconds)),
                   [&] { loop.Stop(); });
    loop.Run();
    return Report(seconds, gap.Largest(), clients, clients_before, before,
                  ReadAll());
  }

 private:
  static constexpr kernel::Duration kWarmUp = std::chrono::seconds(2);

  absl::Status StartFleet() {
    for (json& record : records_) {
      if (record["kind"] == "policy") {
        record["spec"]["exchange"] = options_.exchange;
        record["spec"]["placement"] = options_.placement;
      }
    }
    FleetOptions fleet;
    fleet.entries = site_["entries"].get<int>();
    fleet.records = records_;
    fleet.engine_arguments = {"--step-ms",
                              absl::StrCat(site_["engine_step_ms"].get<int>())};
    fleet.entry_settings = {{"log_level", "warning"}};
    fleet.side_settings = {{"log_level", "warning"}};
    auto started = Fleet::Start(std::move(fleet));
    if (!started.ok()) {
      return started.status();
    }
    fleet_ = *std::move(started);
    return absl::OkStatus();
  }

  std::map<std::string, double> Shares() const {
    std::map<std::string, double> shares;
    for (const json& record : records_) {
      if (record["kind"] == "workspace") {
        shares[record["name"]] = record["spec"]["share"];
      }
    }
    return shares;
  }

  std::vector<ClientGroup> Groups() const {
    std::vector<ClientGroup> groups;
    for (const json& row : site_["clients"]) {
      ClientGroup group{.workspace = row["workspace"],
                        .model = row["model"],
                        .concurrency = row["concurrency"],
                        .entries = row["entries"].get<std::vector<size_t>>(),
                        .median_tokens = row["median_tokens"],
                        .spread = row.value("spread", 0.5),
                        .max_tokens = row["max_tokens"],
                        .pause_ms = row.value("pause_ms", int64_t{0}),
                        .is_lookup = row.value("lookup", false)};
      if (group.is_lookup || !options_.without_long) {
        groups.push_back(std::move(group));
      }
    }
    return groups;
  }

  // Entries first, then sides.
  std::vector<ProcessTotals> ReadAll() const {
    std::vector<ProcessTotals> totals;
    for (size_t i = 0; i < fleet_->entry_count(); ++i) {
      totals.push_back(ReadTotals(fleet_->EntryOperatorAddress(i)));
    }
    for (size_t i = 0; i < fleet_->sides().size(); ++i) {
      totals.push_back(ReadTotals(fleet_->SideOperatorAddress(i)));
    }
    return totals;
  }

  json Report(double seconds,
              const Gap& gap,
              const Clients& clients,
              const ClientTotals& clients_before,
              const std::vector<ProcessTotals>& before,
              const std::vector<ProcessTotals>& after) const {
    double busy = 0;
    double idle = 0;
    double idle_with_bids = 0;
    double control_sum = 0;
    double control_max = 0;
    double entry_cpu = 0;
    for (size_t i = 0; i < after.size(); ++i) {
      const double control =
          (after[i].control_bytes - before[i].control_bytes) / seconds;
      control_sum += control;
      control_max = std::max(control_max, control);
      if (i < fleet_->entry_count()) {
        entry_cpu =
            std::max(entry_cpu,
                     (after[i].cpu_seconds - before[i].cpu_seconds) / seconds);
      }
    }
    // Services take no part in the load, so only engines count.
    const size_t first_engine = fleet_->entry_count();
    for (size_t i = 0; i < fleet_->sides().size(); ++i) {
      if (!fleet_->side(i).is_engine) {
        continue;
      }
      const size_t at = first_engine + i;
      busy += after[at].busy - before[at].busy;
      idle += after[at].idle - before[at].idle;
      idle_with_bids += after[at].idle_with_bids - before[at].idle_with_bids;
    }
    const ClientTotals& totals = clients.totals();
    const double tokens =
        static_cast<double>(totals.tokens - clients_before.tokens);
    double shares = 0;
    for (const auto& [workspace, share] : Shares()) {
      shares += share;
    }
    const double gap_seconds =
        gap.normalised_service / std::max(1.0, tokens / shares / seconds);
    const double utilisation = busy / std::max(1.0, busy + idle);
    const std::vector<double> waits(
        totals.lookup_first_token_ms.begin() +
            static_cast<std::ptrdiff_t>(
                clients_before.lookup_first_token_ms.size()),
        totals.lookup_first_token_ms.end());
    json report = {{"placement", options_.placement},
                   {"exchange", options_.exchange},
                   {"seconds", seconds},
                   {"seed", options_.seed},
                   {"requests", totals.requests - clients_before.requests},
                   {"errors", totals.errors},
                   {"tokens_per_second", tokens / seconds},
                   {"fairness_gap_tokens_per_share", gap.normalised_service},
                   {"fairness_gap_seconds_of_fair_service", gap_seconds},
                   {"fairness_gap_between", {gap.first, gap.second}},
                   {"utilisation", utilisation},
                   {"slot_seconds_idle_with_bids", idle_with_bids},
                   {"slot_seconds", busy + idle},
                   {"control_bytes_per_second_mean",
                    control_sum / static_cast<double>(after.size())},
                   {"control_bytes_per_second_max", control_max},
                   {"entry_cpu_cores_max", entry_cpu},
                   {"lookup_first_token_ms_p50", Percentile(waits, 0.5)},
                   {"lookup_first_token_ms_p99", Percentile(waits, 0.99)},
                   {"lookups", waits.size()}};
    json service = json::object();
    const std::map<std::string, double> share_of = Shares();
    for (const auto& [workspace, sample] : clients.LastSamples()) {
      service[workspace] = sample.service / share_of.at(workspace);
    }
    report["service_per_share"] = service;
    report["score"] = Score(gap_seconds, utilisation, control_max);
    return report;
  }

  // Each measure lies in 0 to 1, 1 being best; the site's weights sum to 1.
  double Score(double gap_seconds,
               double utilisation,
               double control_bytes_per_second) const {
    const json& weights = site_["weights"];
    const double fairness = 1 / (1 + gap_seconds);
    const double control =
        std::max(0.0, 1 - control_bytes_per_second / kControlBytesPerSecond);
    return weights["fairness"].get<double>() * fairness +
           weights["utilisation"].get<double>() * utilisation +
           weights["control"].get<double>() * control;
  }

  const Options options_;
  const json site_;
  json records_;
  std::unique_ptr<Fleet> fleet_;
};

int Main(int argc, char** argv) {
  CLI::App app("Runs a site of examples/ against the stand-ins.");
  Options options;
  app.add_option("--site", options.site,
                 "Folder with site.json and records.json")
      ->required()
      ->check(CLI::ExistingDirectory);
  app.add_option("--exchange", options.exchange, "mesh or none");
  app.add_option("--placement", options.placement,
                 "late_binding, least_loaded or round_robin");
  app.add_option("--seconds", options.seconds, "Measured time");
  app.add_option("--seed", options.seed, "Seed of the answers' lengths");
  app.add_flag("--compare", options.compare, "Run the baselines too");
  app.add_flag("--without-long", options.without_long,
               "Only the look-ups, for their waiting time without long jobs");
  CLI11_PARSE(app, argc, argv);
  const json site = ReadFile(options.site + "/site.json");
  const json records = ReadFile(options.site + "/records.json");
  std::vector<std::pair<std::string, std::string>> ways = {
      {options.placement, options.exchange}};
  if (options.compare) {
    ways = {{"late_binding", "mesh"},
            {"late_binding", "none"},
            {"least_loaded", "mesh"},
            {"round_robin", "mesh"}};
  }
  for (const auto& [placement, exchange] : ways) {
    options.placement = placement;
    options.exchange = exchange;
    const auto report = SiteRun(options, site, records).Run();
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
