#include "jackdawshunt/gateway/gateway_process.h"

#include <malloc.h>
#include <sys/stat.h>

#include <algorithm>
#include <csignal>
#include <utility>

#include "jackdawshunt/base/id.h"
#include "jackdawshunt/base/log.h"
#include "jackdawshunt/kernel/loop_watchdog.h"

namespace jackdawshunt::gateway {
namespace {

constexpr int kExitUnavailable = 1;

// A watch that no longer delivers is detected by comparison with the other
// gateways, of which some renew theirs.
constexpr std::chrono::milliseconds kWatchWait{25000};
constexpr kernel::Duration kKeepCurrentPeriod = std::chrono::milliseconds(100);

// Each request writes about two lines. Lines beyond this rate are counted but
// not written.
constexpr uint64_t kLogLinesPerSecond = 400;
// A killed process loses at most this much of its log.
constexpr kernel::Duration kLogFlushPeriod = std::chrono::milliseconds(200);
constexpr kernel::Duration kLagCheckPeriod = std::chrono::milliseconds(25);
constexpr kernel::Duration kTickPeriod = std::chrono::seconds(1);
// The balancer removes an instance after two failed checks, one a second.
constexpr kernel::Duration kAcceptWhileDraining =
    std::chrono::milliseconds(2700);
// Part of the termination grace period in which requests are accepted at most.
// The rest is for them to end.
constexpr double kMaxAcceptPart = 0.4;
// Requests still running are ended this long before the end of the termination
// grace period, and the process after kLastWriteTime more.
constexpr kernel::Duration kExitMargin = std::chrono::milliseconds(400);
constexpr kernel::Duration kLastWriteTime = std::chrono::milliseconds(100);
constexpr kernel::Duration kExitPollPeriod = std::chrono::milliseconds(50);
// File descriptors that callers do not use for connections that are served.
constexpr size_t kReservedDescriptors = 1000;
// Connections that are accepted to be refused, and their largest part of all
// descriptors.
constexpr size_t kMaxRefusedConnections = 400;
constexpr size_t kRefusedConnectionsDivisor = 10;
// Descriptors that callers that are served and upstreams do not use: for
// connections that are refused, files, the store, boards and the other ports;
// their largest part of all. A process with very few has none to spare.
constexpr size_t kOwnDescriptors = 700;
constexpr size_t kOwnDescriptorsDivisor = 3;
constexpr size_t kFewDescriptors = 64;
// Larger blocks of memory are returned to the system when they are freed, also
// while later ones are in use.
constexpr int kMinMappedBytes = 128 * 1024;

}  // namespace

GatewayProcess::GatewayProcess(platform::InstanceSettings settings,
                               std::string settings_path)
    : settings_(std::move(settings)),
      settings_path_(std::move(settings_path)),
      client_budget_(MakeBudgetOptions(settings_)),
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
      http_frontend_(context_,
                     freshness_,
                     client_budget_,
                     MakeFrontendLimits(settings_)),
      exchange_(loop_, router_, boards_, freshness_, renewal_),
      readiness_(
          loop_,
          [this] { return IsReady(); },
          client_budget_),
      configuration_(loop_,
                     settings_.store,
                     platform::RecordKind::kDesiredState,
                     {.watch_wait = kWatchWait,
                      .change_grouping = settings_.promises.configuration /
                                         kChangeGroupingDivisor,
                      .max_retry_delay = MaxRetryDelay(settings_)},
                     store_probe_,
                     ConfigurationCallbacks()),
      upstreams_(
          loop_,
          settings_.store,
          platform::RecordKind::kUpstream,
          {.watch_wait = kWatchWait,
           .change_grouping = settings_.promises.drain / kChangeGroupingDivisor,
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

int GatewayProcess::Run() {
  mallopt(M_MMAP_THRESHOLD, kMinMappedBytes);
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
  ObserveRouter();
  configuration_.Start();
  upstreams_.Start();
  if (settings_.promises.evacuation.has_value()) {
    evacuations_.Start();
  }
  tick_timer_ = loop_.Every(kTickPeriod, [this] { Tick(); });
  exchange_.Start([this] { return upstreams_.changed_revision(); },
                  [this] { return evacuations_.changed_revision(); });
  origins_.SetListReader([this](const std::function<void(bool)>& done) {
    if (exchange_.IsListCurrent()) {
      upstreams_.Read(done);
    } else {
      done(false);
    }
  });
  keep_current_timer_ =
      loop_.Every(kKeepCurrentPeriod, [this] { KeepCurrent(); });
  last_lag_check_ = loop_.clock().Now();
  lag_timer_ = loop_.Every(kLagCheckPeriod, [this] { MeasureLag(); });
  loop_.OnSignal(SIGTERM, [this] { Drain(); });
  loop_.OnSignal(SIGINT, [this] { Drain(); });
  loop_.OnSignal(SIGHUP, [this] { ReloadSettings("signal"); });
  const kernel::LoopWatchdog watchdog(loop_);
  loop_.Run();
  base::Log(base::LogLevel::kInfo, "stopped",
            {{"busy_calls", http_frontend_.busy_calls()}});
  base::FlushLog();
  return 0;
}

routing::RouterSettings GatewayProcess::MakeRouterSettings(
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

http1::ClientBudgetOptions GatewayProcess::MakeBudgetOptions(
    const platform::InstanceSettings& settings) {
  http1::ClientBudgetOptions options;
  options.capacity_bytes =
      settings.client_memory_bytes.value_or(settings.memory_bytes / 2);
  return options;
}

FrontendLimits GatewayProcess::MakeFrontendLimits(
    const platform::InstanceSettings& settings) {
  const size_t descriptors = settings.file_descriptors;
  FrontendLimits limits;
  limits.connections = descriptors > 2 * kReservedDescriptors
                           ? descriptors - kReservedDescriptors
                           : descriptors / 2;
  limits.refused_connections = std::min<size_t>(
      kMaxRefusedConnections, descriptors / kRefusedConnectionsDivisor);
  limits.descriptors =
      descriptors < kFewDescriptors
          ? descriptors
          : descriptors -
                std::min(kOwnDescriptors, descriptors / kOwnDescriptorsDivisor);
  return limits;
}

bool GatewayProcess::Listen() {
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

bool GatewayProcess::IsReady() const {
  return router_.table() != nullptr && has_upstreams_ &&
         router_.knows_evacuations() && !context_.is_draining &&
         !overload_.IsWithdrawn(loop_.clock().Now()) &&
         freshness_.MayAccept(kernel::BootClock().Now());
}

void GatewayProcess::Tick() {
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
  SetGauges();
  LogClientMemory();
}

void GatewayProcess::MeasureLag() {
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

void GatewayProcess::ReloadSettings(std::string_view trigger) {
  auto settings = platform::LoadSettings(settings_path_);
  base::Log(
      settings.ok() ? base::LogLevel::kInfo : base::LogLevel::kWarning,
      "settings_reloaded",
      {{"why", trigger}, {"error", std::string(settings.status().message())}});
  if (settings.ok()) {
    settings_.seeds = settings->seeds;
  }
}

void GatewayProcess::Drain() {
  if (context_.is_draining) {
    return;
  }
  base::Log(base::LogLevel::kInfo, "draining",
            {{"busy_calls", http_frontend_.busy_calls()},
             {"open_connections", http_frontend_.open_connections()}});
  http_frontend_.StartDraining();
  const kernel::Duration grace = settings_.promises.termination_grace;
  stop_accepting_timer_ = loop_.After(
      std::min(
          kAcceptWhileDraining,
          std::chrono::duration_cast<kernel::Duration>(kMaxAcceptPart * grace)),
      [this] { StopAccepting(); });
  exit_timer_ = loop_.After(grace - kExitMargin, [this] { EndRequests(); });
}

void GatewayProcess::EndRequests() {
  base::Log(base::LogLevel::kWarning, "grace_period_ended",
            {{"busy_calls", http_frontend_.busy_calls()}});
  http_frontend_.EndRequests();
  exit_timer_ = loop_.After(kLastWriteTime, [this] { loop_.Stop(); });
}

void GatewayProcess::StopAccepting() {
  http_frontend_.StopAccepting();
  exit_poll_timer_ = loop_.Every(kExitPollPeriod, [this] {
    if (!http_frontend_.has_open_requests()) {
      loop_.Stop();
    }
  });
}

}  // namespace jackdawshunt::gateway
