// Entry role: creates the tasks, connects their mailboxes, and shuts down.
#include <algorithm>
#include <csignal>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "jackdawshunt/base/id.h"
#include "jackdawshunt/base/log.h"
#include "jackdawshunt/claims/claims.h"
#include "jackdawshunt/configuration/store.h"
#include "jackdawshunt/configuration/store_status.h"
#include "jackdawshunt/configuration/task.h"
#include "jackdawshunt/entry/dispatcher.h"
#include "jackdawshunt/entry/http_frontend.h"
#include "jackdawshunt/entry/instance_reader.h"
#include "jackdawshunt/entry/links.h"
#include "jackdawshunt/entry/metrics.h"
#include "jackdawshunt/kernel/event_loop.h"
#include "jackdawshunt/kernel/loop_watchdog.h"
#include "jackdawshunt/kernel/mailbox.h"
#include "jackdawshunt/kernel/registry.h"
#include "jackdawshunt/kernel/role.h"
#include "jackdawshunt/membership/view.h"
#include "jackdawshunt/object_api/client.h"
#include "jackdawshunt/operator_api/process_metrics.h"
#include "jackdawshunt/operator_api/server.h"
#include "jackdawshunt/settings/settings.h"
#include "jackdawshunt/settings/startup.h"

namespace jackdawshunt::entry {
namespace {

// Longest wait of a starting entry for the counters of listed peers. Without
// them the entry would treat workspaces that had much service like workspaces
// that had none.
constexpr kernel::Duration kCountersWait = std::chrono::seconds(2);
constexpr kernel::Duration kExitCheckPeriod = std::chrono::milliseconds(50);

enum class Phase { kServing, kAwaitingLoadBalancer, kDraining };

protocol::PeerInfo MakeSelf(const settings::Settings& settings) {
  return {.instance = settings.instance,
          .role = protocol::Role::kEntry,
          .region = settings.region,
          .data_centre = settings.data_centre,
          .incarnation = base::NewIncarnation()};
}

class EntryProcess {
 public:
  explicit EntryProcess(settings::Settings settings)
      : settings_(std::move(settings)),
        self_(MakeSelf(settings_)),
        platform_(loop_, settings_.platform),
        configuration_(loop_, platform_, store_, view_, self_),
        operator_server_(loop_, settings_.operator_token_sha256),
        process_metrics_(operator_server_.registry()),
        metrics_(operator_server_.registry()),
        caller_events_(loop_,
                       [this](const CallerEvent& event) {
                         dispatcher_.OnCallerEvent(event);
                       }),
        link_events_(
            loop_,
            [this](const LinkEvent& event) { dispatcher_.OnLinkEvent(event); }),
        dispatcher_(loop_.clock(), self_, store_, metrics_, MakeCallbacks()),
        links_(
            loop_,
            {self_, settings_.fleet_key},
            configuration_,
            [this](LinkEvent event) { link_events_.Post(std::move(event)); }),
        http_frontend_(loop_,
                       store_,
                       MakeFrontendOptions(),
                       [this](CallerEvent event) {
                         caller_events_.Post(std::move(event));
                       }),
        instance_reader_(loop_,
                         platform_,
                         view_,
                         [this] {
                           has_instances_ = true;
                           links_.UpdateInstances(view_.instances());
                         }),
        started_at_(loop_.clock().Now()) {}

  int Run() {
    store_.AddChangeObserver([this] { OnConfiguration(); });
    links_.SetPeerListCallback(
        [this](std::vector<object_api::Instance> instances) {
          MergePeerList(std::move(instances));
        });
    operator_server_.SetReadiness(
        [this] { return phase_ == Phase::kServing && IsLoaded(); });
    operator_server_.SetStatus([this] { return Status(); });
    operator_server_.OnCollect([this] { Collect(); });
    if (!Listen()) {
      return 1;
    }
    configuration_.Start();
    instance_reader_.Start();
    tick_timer_ = loop_.Every(kTickPeriod, [this] { dispatcher_.Tick(); });
    ScheduleExchange();
    loop_.OnSignal(SIGTERM, [this] { ShutDown(); });
    loop_.OnSignal(SIGINT, [this] { ShutDown(); });
    const kernel::LoopWatchdog watchdog(loop_);
    loop_.Run();
    base::Log(base::LogLevel::kInfo, "stopped");
    return 0;
  }

 private:
  bool Listen() {
    const auto caller = http_frontend_.Listen(settings_.caller);
    const auto process = links_.Listen(settings_.process);
    const auto operator_port =
        operator_server_.Listen(settings_.operator_address);
    if (!caller.ok() || !process.ok() || !operator_port.ok()) {
      base::Log(base::LogLevel::kError, "listen_failed",
                {{"caller", caller.status().ToString()},
                 {"process", process.status().ToString()},
                 {"operator", operator_port.status().ToString()}});
      return false;
    }
    const nlohmann::json ports = {{"caller", *caller},
                                  {"process", *process},
                                  {"operator", *operator_port}};
    settings::AnnouncePorts(settings_, ports);
    return true;
  }

  DispatcherCallbacks MakeCallbacks() {
    return {
        .send =
            [this](LinkCommand command) { links_.Post(std::move(command)); },
        .answer =
            [this](Answer answer) { http_frontend_.Post(std::move(answer)); },
        .schedule_flush = [this] { ScheduleFlush(); },
        .acquire_claim =
            [this](const claims::ClaimRequest& claim,
                   claims::Claims::Done done) {
              Claims().Acquire(claim, std::move(done));
            },
        .complete_claim =
            [this](std::string_view request,
                   const claims::RecordedAnswer& answer) {
              Claims().Complete(request, answer);
            },
        .mark_claim_unknown =
            [this](std::string_view request) { Claims().MarkUnknown(request); },
        .release_claim =
            [this](std::string_view request) { Claims().Release(request); }};
  }

  HttpFrontendOptions MakeFrontendOptions() {
    return {.limits = {static_cast<size_t>(settings_.max_header_bytes),
                       static_cast<size_t>(settings_.max_body_bytes)},
            .stream_buffer_bytes =
                static_cast<size_t>(settings_.stream_buffer_bytes),
            .check_admission = [this] { return Refusal(); },
            .on_rejected =
                [this](base::ErrorKind kind) {
                  metrics_.CountOutcome(base::ErrorKindName(kind));
                }};
  }

  // Merges a peer's copy of the instance list, which may arrive in parts, so
  // that an entry that starts while the platform is down can reach the sides.
  // Ignored once the list has been read from the platform.
  void MergePeerList(std::vector<object_api::Instance> instances) {
    if (has_instances_) {
      return;
    }
    for (const object_api::Instance& known : view_.instances()) {
      const bool is_repeated = std::any_of(
          instances.begin(), instances.end(), [&known](const auto& instance) {
            return instance.instance == known.instance;
          });
      if (!is_repeated) {
        instances.push_back(known);
      }
    }
    view_.Update(std::move(instances));
    links_.UpdateInstances(view_.instances());
  }

  // Returns true once the records, the instance list and the peers' counters
  // are loaded, or the wait for the counters is over.
  bool IsLoaded() const {
    const bool has_counters =
        dispatcher_.has_peer_counters() ||
        loop_.clock().Now() - started_at_ >= kCountersWait ||
        store_.snapshot().policy.exchange == "none" ||
        view_.LiveEntries().size() == 1;
    // Without the instance list the entry has no sides.
    return configuration_.is_ready() && has_counters &&
           !view_.instances().empty();
  }

  std::optional<base::ErrorKind> Refusal() const {
    if (phase_ == Phase::kDraining) {
      return base::ErrorKind::kDraining;
    }
    if (!IsLoaded()) {
      return base::ErrorKind::kNotReady;
    }
    return std::nullopt;
  }

  // Returns the claims. Created on first use, since most entries handle none.
  claims::Claims& Claims() {
    if (claims_ == nullptr) {
      claims_ = std::make_unique<claims::Claims>(
          loop_, platform_, settings_.instance, claims::kClaimShards);
    }
    return *claims_;
  }

  void OnConfiguration() {
    dispatcher_.OnConfiguration();
    links_.SendHeartbeats();
  }

  void ScheduleFlush() {
    if (!flush_timer_.is_active()) {
      flush_timer_ = loop_.After(kBidDelay, [this] {
        flush_timer_.Cancel();
        dispatcher_.FlushBids();
      });
    }
  }

  void ScheduleExchange() {
    const kernel::Duration period =
        std::chrono::milliseconds(store_.snapshot().policy.exchange_period_ms);
    exchange_timer_ = loop_.After(period, [this] {
      dispatcher_.ExchangeCounters();
      ScheduleExchange();
    });
  }

  void ShutDown() {
    if (phase_ != Phase::kServing) {
      return;
    }
    phase_ = Phase::kAwaitingLoadBalancer;
    base::Log(base::LogLevel::kInfo, "shutting_down",
              {{"active", dispatcher_.active()}});
    links_.SetDraining();
    // Keeps accepting requests until the load balancer has seen that the entry
    // is not ready.
    drain_timer_ =
        loop_.After(std::chrono::milliseconds(settings_.drain_lag_ms), [this] {
          phase_ = Phase::kDraining;
          http_frontend_.StopListening();
          exit_timer_ =
              loop_.Every(kExitCheckPeriod, [this] { StopWhenIdle(); });
        });
  }

  void StopWhenIdle() {
    const bool has_pending_outcome =
        claims_ != nullptr && claims_->pending_outcomes() > 0;
    if (dispatcher_.active() == 0 && http_frontend_.open_exchanges() == 0 &&
        !has_pending_outcome && links_.is_flushed()) {
      loop_.Stop();
    }
  }

  void Collect() {
    process_metrics_.Update(platform_.calls(), store_.revision());
    metrics_.SetRequestCounts(dispatcher_.waiting(), dispatcher_.running());
    metrics_.SetRejectedRecords(store_.rejected().size());
  }

  nlohmann::json Status() const {
    nlohmann::json status = {{"instance", settings_.instance},
                             {"role", "entry"},
                             {"incarnation", self_.incarnation.ToString()},
                             {"ready", phase_ == Phase::kServing && IsLoaded()},
                             {"draining", phase_ != Phase::kServing},
                             {"peers", links_.Status()},
                             {"waiting", dispatcher_.waiting()},
                             {"running", dispatcher_.running()}};
    status.update(configuration::StoreStatus(store_));
    return status;
  }

  const settings::Settings settings_;
  const protocol::PeerInfo self_;
  Phase phase_ = Phase::kServing;
  kernel::EventLoop loop_;
  object_api::Client platform_;
  configuration::Store store_;
  membership::View view_;
  configuration::Task configuration_;
  operator_api::Server operator_server_;
  operator_api::ProcessMetrics process_metrics_;
  Metrics metrics_;
  std::unique_ptr<claims::Claims> claims_;
  kernel::Mailbox<CallerEvent> caller_events_;
  kernel::Mailbox<LinkEvent> link_events_;
  kernel::Timer flush_timer_;
  kernel::Timer tick_timer_;
  kernel::Timer exchange_timer_;
  kernel::Timer drain_timer_;
  kernel::Timer exit_timer_;
  Dispatcher dispatcher_;
  Links links_;
  HttpFrontend http_frontend_;
  InstanceReader instance_reader_;
  const kernel::TimePoint started_at_;
  bool has_instances_ = false;  // The instance list has been read.
};

class EntryRole final : public kernel::Role {
 public:
  int Run(const std::string& settings_path) override {
    auto settings =
        settings::LoadForProcess(settings_path, protocol::Role::kEntry);
    if (!settings.has_value()) {
      return settings::kExitWrongSettings;
    }
    return EntryProcess(*std::move(settings)).Run();
  }
};

const kernel::Registration<kernel::Role> kEntry("entry", [] {
  return std::make_unique<EntryRole>();
});

}  // namespace
}  // namespace jackdawshunt::entry
