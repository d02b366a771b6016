// The gateway role: serves callers on the users' platform and sends each
// request directly to an upstream.
#include <sys/stat.h>

#include <algorithm>
#include <cmath>
#include <csignal>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "jackdawshunt/base/id.h"
#include "jackdawshunt/base/log.h"
#include "jackdawshunt/base/log_line.h"
#include "jackdawshunt/gateway/fleet_exchange.h"
#include "jackdawshunt/gateway/http_frontend.h"
#include "jackdawshunt/gateway/metrics.h"
#include "jackdawshunt/gateway/origin_client.h"
#include "jackdawshunt/gateway/readiness_server.h"
#include "jackdawshunt/gateway/record_follower.h"
#include "jackdawshunt/kernel/registry.h"
#include "jackdawshunt/kernel/role.h"
#include "jackdawshunt/operator_api/server.h"
#include "jackdawshunt/platform/settings.h"

namespace jackdawshunt::gateway {
namespace {

constexpr int kExitUnavailable = 1;
constexpr int kExitWrongSettings = 2;

// A watch that no longer delivers is detected by comparison with the other
// gateways.
constexpr std::chrono::milliseconds kWatchWait{25000};
// Changes are grouped for this part of the time in which they must be in
// effect.
constexpr int kChangeGroupingDivisor = 4;
constexpr int kRetriesPerContact = 4;
// A gateway reads the configuration from the store when the reads reported by
// the others are older than a random age from kMinReadAge to kMaxReadAge, which
// is fixed per gateway. Few gateways are near the minimum, so that few read at
// the same time. The maximum and the delay through a board together stay far
// below the time in which a revoked key must be refused.
constexpr kernel::Duration kMinReadAge = std::chrono::milliseconds(900);
constexpr kernel::Duration kMaxReadAge = std::chrono::milliseconds(2500);
// Minimum time between reads that KeepCurrent() starts of the configuration.
constexpr kernel::Duration kMinReadInterval = std::chrono::milliseconds(800);
// If other gateways have had a newer revision for this time and the time in
// which changes are grouped, the watch may have failed.
constexpr kernel::Duration kMaxTimeBehind = std::chrono::milliseconds(300);
constexpr kernel::Duration kKeepCurrentPeriod = std::chrono::milliseconds(100);
// A shorter outage of the store starts no grace period, since no upstream's
// record can have expired during it.
constexpr kernel::Duration kMinExpiryGap = std::chrono::milliseconds(800);

// Each request writes about two lines. Lines beyond this rate are counted but
// not written.
constexpr uint64_t kLogLinesPerSecond = 400;
// A killed process loses at most this much of its log.
constexpr kernel::Duration kLogFlushPeriod = std::chrono::milliseconds(200);
constexpr kernel::Duration kLagCheckPeriod = std::chrono::milliseconds(25);
// Log events and metrics of quarantines, by the kind of what is refused.
constexpr std::array<std::string_view,
                     static_cast<size_t>(routing::kLastSubjectKind) + 1>
    kQuarantineEvents = {"parts_quarantined", "request_quarantined"};
constexpr kernel::Duration kTickPeriod = std::chrono::seconds(1);
// The balancer removes an instance after two failed checks, one a second.
constexpr kernel::Duration kAcceptWhileDraining =
    std::chrono::milliseconds(2700);
// Requests still running are aborted this long before the end of the
// termination grace period.
constexpr kernel::Duration kExitMargin = std::chrono::milliseconds(400);
constexpr kernel::Duration kExitPollPeriod = std::chrono::milliseconds(50);
// File descriptors reserved for upstreams, the store and files; the others may
// be used for callers.
constexpr uint32_t kReservedDescriptors = 1000;

class GatewayProcess {
 public:
  GatewayProcess(platform::InstanceSettings settings, std::string settings_path)
      : settings_(std::move(settings)),
        settings_path_(std::move(settings_path)),
        router_(MakeRouterSettings(settings_), loop_.clock().Now()),
        freshness_({.max_revocation_delay = settings_.promises.revocation,
                    .is_strict = settings_.promises.is_revocation_strict}),
        operator_server_(loop_, ""),
        metrics_(operator_server_.registry()),
        pool_(loop_),
        boards_(loop_, settings_.ip, settings_.first_internal_port),
        origins_(loop_, router_, boards_),
        start_checks_(loop_, router_),
        permits_(loop_, router_, boards_),
        context_{loop_,         router_,  pool_,    boards_,  origins_,
                 start_checks_, permits_, metrics_, overload_},
        http_frontend_(context_, freshness_, MaxConnections(settings_)),
        exchange_(loop_, router_, boards_, freshness_),
        readiness_(loop_, [this] { return IsReady(); }),
        configuration_(loop_,
                       settings_.store,
                       platform::RecordKind::kDesiredState,
                       {.watch_wait = kWatchWait,
                        .change_grouping = settings_.promises.configuration /
                                           kChangeGroupingDivisor,
                        .max_retry_delay = MaxRetryDelay(settings_)},
                       store_probe_,
                       ConfigurationCallbacks()),
        upstreams_(loop_,
                   settings_.store,
                   platform::RecordKind::kUpstream,
                   {.watch_wait = kWatchWait,
                    .change_grouping =
                        settings_.promises.drain / kChangeGroupingDivisor,
                    .max_retry_delay = MaxRetryDelay(settings_)},
                   store_probe_,
                   UpstreamCallbacks()),
        evacuations_(loop_,
                     settings_.store,
                     platform::RecordKind::kEvacuation,
                     {.watch_wait = kWatchWait,
                      .change_grouping = EvacuationGrouping(settings_),
                      .max_retry_delay = MaxRetryDelay(settings_)},
                     store_probe_,
                     EvacuationCallbacks()) {}

  int Run() {
    base::SetLogContext({{"instance", settings_.instance}});
    base::BufferLog(kLogLinesPerSecond);
    log_flush_timer_ = loop_.Every(kLogFlushPeriod, [] { base::FlushLog(); });
    base::Log(base::LogLevel::kInfo, "started",
              {{"role", "gateway"},
               {"data_centre", settings_.data_centre},
               {"settings", settings_path_}});
    if (!Listen()) {
      base::FlushLog();
      return kExitUnavailable;
    }
    router_.SetUpstreamObserver([](const routing::Upstream& upstream,
                                   routing::Directory::Change change) {
      base::LogLine(base::LogLevel::kInfo, "upstream_changed")
          .Add("upstream", upstream.id)
          .Add("service", upstream.service)
          .Add("version", upstream.software_version)
          .Add("address", upstream.address.ToString())
          .Add("change", routing::ChangeName(change));
    });
    router_.beliefs().SetObserver(
        [this](const std::vector<routing::Quarantine>& quarantine) {
          OnQuarantineChanged(quarantine);
        });
    router_.SetColdObserver([this](const routing::Upstream& upstream,
                                   routing::ColdSource source,
                                   kernel::Duration time) {
      metrics_.CountUpstreamState("cold");
      base::LogLine(base::LogLevel::kInfo, "upstream_state")
          .Add("upstream", upstream.id)
          .Add("started_unix_ms", upstream.started_unix_ms)
          .Add("state", "cold")
          .Add("source", routing::ColdSourceName(source))
          .Add("for_ms", time.count() / 1000);
    });
    configuration_.Start();
    upstreams_.Start();
    if (settings_.promises.evacuation.has_value()) {
      evacuations_.Start();
    }
    tick_timer_ = loop_.Every(kTickPeriod, [this] { Tick(); });
    exchange_.Start([this] { return upstreams_.changed_revision(); },
                    [this] { return evacuations_.changed_revision(); });
    origins_.SetListCheck([this] { return exchange_.IsListCurrent(); });
    keep_current_timer_ =
        loop_.Every(kKeepCurrentPeriod, [this] { KeepCurrent(); });
    last_lag_check_ = loop_.clock().Now();
    lag_timer_ = loop_.Every(kLagCheckPeriod, [this] { MeasureLag(); });
    loop_.OnSignal(SIGTERM, [this] { Drain(); });
    loop_.OnSignal(SIGINT, [this] { Drain(); });
    loop_.OnSignal(SIGHUP, [this] { ReloadSettings("signal"); });
    loop_.Run();
    base::Log(base::LogLevel::kInfo, "stopped",
              {{"busy_calls", http_frontend_.busy_calls()}});
    base::FlushLog();
    return 0;
  }

 private:
  static routing::RouterSettings MakeRouterSettings(
      const platform::InstanceSettings& settings) {
    routing::RouterSettings router;
    router.data_centre = settings.data_centre;
    router.incarnation = routing::HashOf(base::NewRequestId());
    router.retry_budget = {.ratio = settings.promises.retry_ratio,
                           .window = settings.promises.retry_window,
                           .allowance = settings.promises.retry_slack};
    router.share_window = settings.promises.share_window;
    router.follows_evacuations = settings.promises.evacuation.has_value();
    router.cold_overage = settings.promises.cold_overage;
    router.cold_slack = settings.promises.cold_slack;
    return router;
  }

  void OnQuarantineChanged(const std::vector<routing::Quarantine>& quarantine) {
    const kernel::TimePoint now = loop_.clock().Now();
    for (const routing::Quarantine& quarantined : quarantine) {
      base::LogLine line(
          base::LogLevel::kWarning,
          kQuarantineEvents.at(static_cast<size_t>(quarantined.kind())));
      const auto requests =
          IdsOf(quarantined.subjects, routing::SubjectKind::kRequest);
      if (!requests.empty()) {
        line.Add("content", routing::PartIdsText(requests));
      }
      line.Add("parts", routing::PartIdsText(IdsOf(
                            quarantined.subjects, routing::SubjectKind::kPart)))
          .Add("ends", quarantined.ends)
          .Add("own", quarantined.source == router_.beliefs().source())
          .Add("age_ms", (now - quarantined.since).count() / 1000)
          .Add("for_ms",
               (router_.beliefs().TrialFrom(quarantined) - now).count() / 1000);
    }
    base::LogLine(base::LogLevel::kInfo, "quarantine_changed")
        .Add("entries", quarantine.size());
    // In a later iteration of the loop, since a call may have caused it.
    loop_.Post([this] { http_frontend_.OnQuarantineChanged(); });
  }

  static kernel::Duration RandomReadAge() {
    std::random_device source;
    const double fraction =
        std::sqrt(std::uniform_real_distribution<>()(source));
    return kMinReadAge +
           std::chrono::duration_cast<kernel::Duration>(
               fraction * std::chrono::duration<double, std::micro>(
                              kMaxReadAge - kMinReadAge));
  }

  static size_t MaxConnections(const platform::InstanceSettings& settings) {
    return settings.file_descriptors > 2 * kReservedDescriptors
               ? settings.file_descriptors - kReservedDescriptors
               : settings.file_descriptors / 2;
  }

  RecordFollowerCallbacks ConfigurationCallbacks() {
    const auto apply = [this](const std::vector<platform::Record>& records) {
      for (const platform::Record& record : records) {
        if (const auto* state =
                std::get_if<routing::DesiredState>(&record.value)) {
          ApplyDesiredState(*state);
        }
      }
    };
    return {.on_list =
                [this, apply](const std::vector<platform::Record>& records,
                              bool is_restored) {
                  if (is_restored) {
                    freshness_.OnStoreRestored(kernel::BootClock().Now());
                  }
                  apply(records);
                },
            .on_change =
                [this, apply](const std::vector<platform::Record>& records) {
                  apply(records);
                  if (WroteActiveConfiguration(records)) {
                    freshness_.OnConfigurationWritten();
                  }
                },
            .on_current =
                [this](kernel::TimePoint as_of) {
                  if (router_.table() != nullptr &&
                      router_.table()->version() >=
                          exchange_.fleet_configuration_version()) {
                    freshness_.RecordReadAt(as_of);
                  }
                },
            .on_reconnected = [](kernel::Duration) {}};
  }

  // Returns whether `records` contain the active configuration or a newer one,
  // after they were applied.
  bool WroteActiveConfiguration(
      const std::vector<platform::Record>& records) const {
    return std::any_of(
        records.begin(), records.end(), [this](const platform::Record& record) {
          const auto* state = std::get_if<routing::DesiredState>(&record.value);
          return state != nullptr &&
                 state->version >= router_.table()->version();
        });
  }

  void ApplyDesiredState(const routing::DesiredState& state) {
    const bool is_newer = router_.SetDesiredState(state);
    base::Log(base::LogLevel::kInfo,
              is_newer ? "configuration_applied" : "configuration_not_newer",
              {{"version", state.version},
               {"in_force", router_.table()->version()},
               {"routes", state.routes.size()},
               {"workspaces", state.workspaces.size()}});
  }

  RecordFollowerCallbacks UpstreamCallbacks() {
    return {.on_list =
                [this](const std::vector<platform::Record>& records,
                       bool is_restored) {
                  std::vector<routing::Upstream> all;
                  for (const platform::Record& record : records) {
                    if (const auto* upstream =
                            std::get_if<routing::Upstream>(&record.value)) {
                      all.push_back(*upstream);
                    }
                  }
                  router_.ReplaceUpstreams(all, loop_.clock().Now(),
                                           is_restored);
                  has_upstreams_ = true;
                },
            .on_change =
                [this](const std::vector<platform::Record>& records) {
                  const kernel::TimePoint now = loop_.clock().Now();
                  for (const platform::Record& record : records) {
                    if (const auto* upstream =
                            std::get_if<routing::Upstream>(&record.value)) {
                      router_.PutUpstream(*upstream, now);
                    } else {
                      router_.directory().Remove(record.name, now);
                    }
                  }
                },
            .on_current = [](kernel::TimePoint) {},
            .on_reconnected =
                [this](kernel::Duration gap) {
                  if (gap >= kMinExpiryGap) {
                    router_.directory().OnListOutageEnded(loop_.clock().Now());
                  }
                }};
  }

  // Guarantees hold again once a machine has been in contact for some time, so
  // the store is asked several times in it.
  static kernel::Duration MaxRetryDelay(
      const platform::InstanceSettings& settings) {
    return settings.promises.contact / kRetriesPerContact;
  }
  static kernel::Duration EvacuationGrouping(
      const platform::InstanceSettings& settings) {
    return settings.promises.evacuation.value_or(kernel::Duration::zero()) /
           kChangeGroupingDivisor;
  }

  RecordFollowerCallbacks EvacuationCallbacks() {
    return {.on_list =
                [this](const std::vector<platform::Record>& records, bool) {
                  evacuated_.clear();
                  ApplyEvacuations(records);
                },
            .on_change =
                [this](const std::vector<platform::Record>& records) {
                  ApplyEvacuations(records);
                },
            .on_current = [](kernel::TimePoint) {},
            .on_reconnected = [](kernel::Duration) {}};
  }

  void ApplyEvacuations(const std::vector<platform::Record>& records) {
    for (const platform::Record& record : records) {
      if (std::holds_alternative<platform::Evacuation>(record.value)) {
        evacuated_.insert(record.name);
      } else {
        evacuated_.erase(record.name);
      }
    }
    const kernel::TimePoint now = loop_.clock().Now();
    const auto before = router_.directory().evacuated();
    if (evacuated_ != before) {
      evacuations_changed_at_ = now;
    }
    router_.SetEvacuated(evacuated_, now);
    for (const std::string& name : evacuated_) {
      if (!before.contains(name)) {
        LogEvacuation(name, true);
      }
    }
    for (const std::string& name : before) {
      if (!evacuated_.contains(name)) {
        LogEvacuation(name, false);
      }
    }
  }

  // An entry without upstreams may have a misspelt name.
  void LogEvacuation(const std::string& data_centre, bool is_evacuated) {
    const size_t upstreams = router_.directory().CountIn(data_centre);
    base::Log(upstreams > 0 ? base::LogLevel::kInfo : base::LogLevel::kWarning,
              is_evacuated ? "evacuation_began" : "evacuation_ended",
              {{"data_centre", data_centre},
               {"upstreams", upstreams},
               {"revision", evacuations_.changed_revision().revision}});
  }

  bool Listen() {
    std::vector<absl::Status> results;
    if (settings_.callers.has_value()) {
      results.push_back(http_frontend_.Listen(*settings_.callers));
    }
    if (settings_.readiness.has_value()) {
      results.push_back(readiness_.Listen(*settings_.readiness));
    }
    results.push_back(boards_.Open());
    results.push_back(
        operator_server_.Listen({settings_.ip, settings_.last_internal_port})
            .status());
    for (const absl::Status& status : results) {
      if (!status.ok()) {
        base::Log(base::LogLevel::kError, "listen_failed",
                  {{"error", std::string(status.message())}});
        return false;
      }
    }
    return true;
  }

  bool IsReady() const {
    return router_.table() != nullptr && has_upstreams_ &&
           router_.knows_evacuations() && !context_.is_draining &&
           !overload_.IsWithdrawn(loop_.clock().Now()) &&
           freshness_.MayAccept(kernel::BootClock().Now());
  }

  void Tick() {
    router_.Tick(loop_.clock().Now());
    pool_.CloseIdleConnections();
    boards_.DropAbandonedQueries();
    origins_.DropExpired();
    permits_.DropExpired();
    struct stat info {};
    if (stat(settings_path_.c_str(), &info) == 0 &&
        info.st_mtime != settings_mtime_) {
      if (settings_mtime_ != 0) {
        ReloadSettings("changed");
      }
      settings_mtime_ = info.st_mtime;
    }
    metrics_.SetGauge("open_caller_connections",
                      static_cast<double>(http_frontend_.open_connections()));
    metrics_.SetGauge("upstream_connections_opened",
                      static_cast<double>(pool_.connections_opened()));
    metrics_.SetGauge(
        "store_calls",
        static_cast<double>(configuration_.calls() + upstreams_.calls() +
                            evacuations_.calls()));
    metrics_.SetGauge("board_questions",
                      static_cast<double>(boards_.queries_sent()));
    metrics_.SetGauge("board_questions_unanswered",
                      static_cast<double>(boards_.queries_unanswered()));
    metrics_.SetGauge("lag_seconds",
                      std::chrono::duration<double>(overload_.lag()).count());
    metrics_.SetGauge("store_era",
                      static_cast<double>(upstreams_.revision().era));
    metrics_.SetGauge("stream_origins", static_cast<double>(origins_.size()));
    metrics_.SetGauge("stream_origins_rejected",
                      static_cast<double>(origins_.rejected()));
    for (size_t kind = 0; kind < kQuarantineEvents.size(); ++kind) {
      const auto& quarantine = router_.beliefs().quarantine();
      metrics_.SetGauge(std::string(kQuarantineEvents.at(kind)),
                        static_cast<double>(std::count_if(
                            quarantine.begin(), quarantine.end(),
                            [kind](const routing::Quarantine& quarantined) {
                              return static_cast<size_t>(quarantined.kind()) ==
                                     kind;
                            })));
    }
    metrics_.SetGauge(
        "facts", static_cast<double>(router_.beliefs().facts().rows().size()));
    const kernel::TimePoint now = loop_.clock().Now();
    metrics_.SetGauge("cold_upstreams",
                      static_cast<double>(router_.beliefs().CountCold(now)));
    metrics_.SetGauge("evacuated_data_centres",
                      static_cast<double>(evacuated_.size()));
    metrics_.SetGauge(
        "evacuations_age_seconds",
        evacuations_changed_at_ == kernel::TimePoint{}
            ? 0
            : std::chrono::duration<double>(now - evacuations_changed_at_)
                  .count());
    metrics_.SetGauge("permits_granted",
                      static_cast<double>(permits_.granted()));
    metrics_.SetGauge("permits_refused",
                      static_cast<double>(permits_.refused()));
    metrics_.SetGauge("permits_without_board",
                      static_cast<double>(permits_.without_board()));
    metrics_.SetGauge("start_checks",
                      static_cast<double>(start_checks_.opened()));
    metrics_.SetGauge("upstreams",
                      static_cast<double>(router_.directory().size()));
  }

  void MeasureLag() {
    const kernel::TimePoint now = loop_.clock().Now();
    const bool was_withdrawn = overload_.IsWithdrawn(now);
    overload_.OnLag(now - last_lag_check_ - kLagCheckPeriod, now);
    last_lag_check_ = now;
    context_.closes_connections =
        context_.is_draining || overload_.IsWithdrawn(now);
    if (!was_withdrawn && overload_.IsWithdrawn(now)) {
      base::Log(base::LogLevel::kWarning, "withdrawn",
                {{"lag_ms", overload_.lag().count() / 1000},
                 {"busy_calls", http_frontend_.busy_calls()},
                 {"open_connections", http_frontend_.open_connections()}});
    }
  }

  // Reads from the store when reports of the other gateways' reads stop
  // arriving or show a newer state than this gateway has.
  void KeepCurrent() {
    const kernel::TimePoint now = loop_.clock().Now();
    const kernel::Duration age = freshness_.Age(kernel::BootClock().Now());
    const uint64_t version =
        router_.table() == nullptr ? 0 : router_.table()->version();
    const bool is_configuration_behind =
        exchange_.fleet_configuration_version() > version || age > read_age_;
    if (is_configuration_behind && now - last_read_ > kMinReadInterval) {
      last_read_ = now;
      configuration_.ReadNow();
    }
    ReadAfterRestoration();
    if (exchange_.fleet_evacuations_revision() <= evacuations_.revision()) {
      evacuations_behind_since_ = now;
    } else if (now - evacuations_behind_since_ >
               kMaxTimeBehind + EvacuationGrouping(settings_)) {
      evacuations_behind_since_ = now;
      evacuations_.ReadNow();
    }
    if (exchange_.fleet_upstreams_revision() <= upstreams_.revision()) {
      behind_since_ = now;
    } else if (now - behind_since_ >
               kMaxTimeBehind +
                   settings_.promises.drain / kChangeGroupingDivisor) {
      behind_since_ = now;
      upstreams_.ReadNow();
    }
  }

  // Lets the follower that has not seen the store's current era read at once.
  void ReadAfterRestoration() {
    const uint64_t newest_era =
        std::max({configuration_.revision().era, upstreams_.revision().era,
                  exchange_.fleet_upstreams_revision().era});
    for (RecordFollower* const follower :
         {&configuration_, &upstreams_, &evacuations_}) {
      if (follower->revision().era < newest_era) {
        follower->ReadNow();
      }
    }
  }

  // Applies only the seeds, since addresses and limits are fixed while the
  // process runs.
  void ReloadSettings(std::string_view trigger) {
    auto settings = platform::LoadSettings(settings_path_);
    base::Log(settings.ok() ? base::LogLevel::kInfo : base::LogLevel::kWarning,
              "settings_reloaded",
              {{"why", trigger},
               {"error", std::string(settings.status().message())}});
    if (settings.ok()) {
      settings_.seeds = settings->seeds;
    }
  }

  void Drain() {
    if (context_.is_draining) {
      return;
    }
    base::Log(base::LogLevel::kInfo, "draining",
              {{"busy_calls", http_frontend_.busy_calls()},
               {"open_connections", http_frontend_.open_connections()}});
    http_frontend_.StartDraining();
    stop_accepting_timer_ =
        loop_.After(kAcceptWhileDraining, [this] { StopAccepting(); });
    exit_timer_ =
        loop_.After(settings_.promises.termination_grace - kExitMargin,
                    [this] { loop_.Stop(); });
  }

  void StopAccepting() {
    http_frontend_.StopAccepting();
    exit_poll_timer_ = loop_.Every(kExitPollPeriod, [this] {
      if (!http_frontend_.has_open_requests()) {
        loop_.Stop();
      }
    });
  }

  platform::InstanceSettings settings_;
  const std::string settings_path_;
  kernel::EventLoop loop_;
  routing::Router router_;
  routing::KeyFreshness freshness_;
  operator_api::Server operator_server_;
  Metrics metrics_;
  UpstreamPool pool_;
  BoardClient boards_;
  OriginClient origins_;
  StartChecks start_checks_;
  PermitClient permits_;
  routing::OverloadGauge overload_;
  CallContext context_;
  HttpFrontend http_frontend_;
  FleetExchange exchange_;
  ReadinessServer readiness_;
  routing::StoreProbe store_probe_;
  RecordFollower configuration_;
  RecordFollower upstreams_;
  RecordFollower evacuations_;  // Started where data centres are evacuated.
  std::set<std::string, std::less<>> evacuated_;
  kernel::TimePoint evacuations_changed_at_{};
  kernel::TimePoint evacuations_behind_since_{};
  kernel::Timer tick_timer_;
  kernel::Timer log_flush_timer_;
  kernel::Timer stop_accepting_timer_;
  kernel::Timer exit_timer_;
  kernel::Timer exit_poll_timer_;
  kernel::Timer keep_current_timer_;
  const kernel::Duration read_age_ = RandomReadAge();
  kernel::TimePoint last_read_{};
  kernel::TimePoint behind_since_{};
  kernel::Timer lag_timer_;
  kernel::TimePoint last_lag_check_{};
  time_t settings_mtime_ = 0;
  bool has_upstreams_ = false;
};

class GatewayRole final : public kernel::Role {
 public:
  int Run(const std::string& settings_path) override {
    const std::string path =
        settings_path.empty() ? platform::SettingsPath() : settings_path;
    auto settings = platform::LoadForProcess(path);
    if (!settings.has_value()) {
      return kExitWrongSettings;
    }
    return GatewayProcess(*std::move(settings), path).Run();
  }
};

const kernel::Registration<kernel::Role> kGateway("gateway", [] {
  return std::make_unique<GatewayRole>();
});

}  // namespace
}  // namespace jackdawshunt::gateway
