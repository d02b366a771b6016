// The gateway process on the users' platform: owns its parts, follows the
// platform's store and reports to the operator.
//
// Example:
//   return gateway::GatewayProcess(settings, settings_path).Run();
//
// Not thread-safe.
#ifndef JACKDAWSHUNT_GATEWAY_GATEWAY_PROCESS_H_
#define JACKDAWSHUNT_GATEWAY_GATEWAY_PROCESS_H_

#include <ctime>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "jackdawshunt/gateway/board_client.h"
#include "jackdawshunt/gateway/call_context.h"
#include "jackdawshunt/gateway/fleet_exchange.h"
#include "jackdawshunt/gateway/http_frontend.h"
#include "jackdawshunt/gateway/metrics.h"
#include "jackdawshunt/gateway/origin_client.h"
#include "jackdawshunt/gateway/readiness_server.h"
#include "jackdawshunt/gateway/record_follower.h"
#include "jackdawshunt/kernel/event_loop.h"
#include "jackdawshunt/operator_api/server.h"
#include "jackdawshunt/platform/settings.h"
#include "jackdawshunt/routing/key_freshness.h"
#include "jackdawshunt/routing/router.h"
#include "jackdawshunt/routing/watch_renewal.h"

namespace jackdawshunt::gateway {

class GatewayProcess {
 public:
  GatewayProcess(platform::InstanceSettings settings,
                 std::string settings_path);

  // Runs until the process is told to stop. Returns its exit status.
  int Run();

 private:
  // Changes are grouped for this part of the time in which they must be in
  // effect.
  static constexpr int kChangeGroupingDivisor = 4;
  static constexpr int kRetriesPerContact = 4;

  // What the process starts and stops (gateway_process.cc).
  static routing::RouterSettings MakeRouterSettings(
      const platform::InstanceSettings& settings);
  static http1::ClientBudgetOptions MakeBudgetOptions(
      const platform::InstanceSettings& settings);
  static FrontendLimits MakeFrontendLimits(
      const platform::InstanceSettings& settings);
  bool Listen();
  bool IsReady() const;
  void Tick();
  void MeasureLag();
  // Applies only the seeds, since addresses and limits are fixed while the
  // process runs.
  void ReloadSettings(std::string_view trigger);
  void Drain();
  void StopAccepting();
  // Ends the requests that still run at the end of the grace period.
  void EndRequests();

  // What it follows in the store (gateway_follow.cc).
  RecordFollowerCallbacks ConfigurationCallbacks();
  // Returns whether `records` contain the active configuration or a newer one,
  // after they were applied.
  bool WroteActiveConfiguration(
      const std::vector<platform::Record>& records) const;
  void ApplyDesiredState(const routing::DesiredState& state);
  RecordFollowerCallbacks UpstreamCallbacks();
  // Guarantees hold again once a machine has been in contact for some time, so
  // the store is asked several times in it.
  static kernel::Duration MaxRetryDelay(
      const platform::InstanceSettings& settings) {
    return settings.promises.contact / kRetriesPerContact;
  }
  static kernel::Duration EvacuationGrouping(
      const platform::InstanceSettings& settings);
  RecordFollowerCallbacks EvacuationCallbacks();
  void ApplyEvacuations(const std::vector<platform::Record>& records);
  // Reads from the store when reports of the other gateways' reads stop
  // arriving or show a newer state than this gateway has, and renews the
  // watches when no gateway has done so for a while.
  void KeepCurrent();
  void RenewWatches();
  // Lets the follower that has not seen the store's current era read at once.
  void ReadAfterRestoration();
  static kernel::Duration RandomReadAge();
  static kernel::Duration RandomRenewalAge();

  // What it reports to the operator (gateway_report.cc).
  // Logs what changes in the router.
  void ObserveRouter();
  void OnQuarantineChanged(const std::vector<routing::Quarantine>& quarantine);
  // An entry without upstreams may have a misspelt name.
  void LogEvacuation(const std::string& data_centre, bool is_evacuated);
  void SetGauges();
  // Logs how many clients were refused room, or lost it, since the last call.
  void LogClientMemory();

  platform::InstanceSettings settings_;
  const std::string settings_path_;
  http1::ClientBudget client_budget_;  // Outlives what waits in the loop.
  kernel::EventLoop loop_;
  routing::Router router_;
  routing::KeyFreshness freshness_;
  routing::WatchRenewal renewal_{RandomRenewalAge()};
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
  uint64_t logged_reclaimed_ = 0;
  uint64_t logged_refused_ = 0;
};

}  // namespace jackdawshunt::gateway

#endif  // JACKDAWSHUNT_GATEWAY_GATEWAY_PROCESS_H_
