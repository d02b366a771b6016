// Implements the side role, which connects the dispatcher with the process's
// ports and the configuration.
#include <csignal>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "jackdawshunt/base/id.h"
#include "jackdawshunt/base/log.h"
#include "jackdawshunt/configuration/store.h"
#include "jackdawshunt/configuration/store_status.h"
#include "jackdawshunt/configuration/task.h"
#include "jackdawshunt/kernel/event_loop.h"
#include "jackdawshunt/kernel/loop_watchdog.h"
#include "jackdawshunt/kernel/registry.h"
#include "jackdawshunt/kernel/role.h"
#include "jackdawshunt/membership/view.h"
#include "jackdawshunt/object_api/client.h"
#include "jackdawshunt/operator_api/process_metrics.h"
#include "jackdawshunt/operator_api/server.h"
#include "jackdawshunt/protocol/connection.h"
#include "jackdawshunt/settings/settings.h"
#include "jackdawshunt/settings/startup.h"
#include "jackdawshunt/side/dispatcher.h"
#include "jackdawshunt/side/orders.h"
#include "jackdawshunt/side/side_metrics.h"
#include "jackdawshunt/side/upstream_driver.h"

namespace jackdawshunt::side {
namespace {

// Period of the load reads. A draining upstream gets no new work within about
// this time.
constexpr kernel::Duration kLoadReadPeriod = std::chrono::milliseconds(250);
constexpr kernel::Duration kExitCheckPeriod = std::chrono::milliseconds(50);

protocol::PeerInfo MakePeerInfo(const settings::Settings& settings) {
  return {.instance = settings.instance,
          .role = protocol::Role::kSide,
          .region = settings.region,
          .data_centre = settings.data_centre,
          .incarnation = base::NewIncarnation(),
          .upstream = settings.upstream};
}

class SideProcess {
 public:
  explicit SideProcess(settings::Settings settings)
      : settings_(std::move(settings)),
        self_(MakePeerInfo(settings_)),
        platform_(loop_, settings_.platform),
        configuration_(loop_, platform_, store_, view_, self_),
        listener_(loop_, {self_, settings_.fleet_key}),
        operator_server_(loop_, settings_.operator_token_sha256),
        process_metrics_(operator_server_.registry()),
        metrics_(operator_server_.registry()) {}

  int Run() {
    store_.AddChangeObserver([this] { OnConfiguration(); });
    configuration_.Start();
    listener_.OnConnection(
        [this](const std::shared_ptr<protocol::Connection>& c) {
          AddConnection(c);
        });
    operator_server_.SetReadiness([this] { return IsReady(); });
    operator_server_.SetStatus([this] { return Status(); });
    operator_server_.OnCollect([this] { Collect(); });
    if (!Listen()) {
      return 1;
    }
    heartbeat_timer_ =
        loop_.Every(protocol::kHeartbeatPeriod, [this] { SendHeartbeats(); });
    load_timer_ = loop_.Every(kLoadReadPeriod, [this] { ReadUpstreamLoad(); });
    loop_.OnSignal(SIGTERM, [this] { ShutDown(); });
    loop_.OnSignal(SIGINT, [this] { ShutDown(); });
    const kernel::LoopWatchdog watchdog(loop_);
    loop_.Run();
    base::Log(base::LogLevel::kInfo, "stopped");
    return 0;
  }

 private:
  bool Listen() {
    const auto process_port = listener_.Listen(settings_.process);
    const auto operator_port =
        operator_server_.Listen(settings_.operator_address);
    if (!process_port.ok() || !operator_port.ok()) {
      base::Log(base::LogLevel::kError, "listen_failed",
                {{"process", process_port.status().ToString()},
                 {"operator", operator_port.status().ToString()}});
      return false;
    }
    const nlohmann::json ports = {{"process", *process_port},
                                  {"operator", *operator_port}};
    settings::AnnouncePorts(settings_, ports);
    return true;
  }

  void AddConnection(const std::shared_ptr<protocol::Connection>& connection) {
    connections_[connection.get()] = connection;
    // The connection owns its handlers, so these must not own the connection.
    const std::weak_ptr<protocol::Connection> weak = connection;
    connection->OnClosed([this, raw = connection.get()](std::string_view why) {
      base::Log(base::LogLevel::kInfo, "connection_closed",
                {{"peer", raw->peer().instance}, {"why", why}});
      if (dispatcher_ != nullptr) {
        dispatcher_->RemoveConnection(*raw);
      }
      connections_.erase(raw);
    });
    if (dispatcher_ != nullptr) {
      dispatcher_->AddConnection(connection);
    }
    connection->OnMessage([this, weak](const protocol::Message& message) {
      if (const auto alive = weak.lock()) {
        OnMessage(alive, message);
      }
    });
    SendHeartbeat(*connection);
  }

  void OnMessage(const std::shared_ptr<protocol::Connection>& connection,
                 const protocol::Message& message) {
    configuration_.OnPeerMessage(connection, message);
    if (dispatcher_ != nullptr) {
      dispatcher_->OnMessage(connection, message);
    }
  }

  // Applies a new configuration. The upstream's record selects the driver, so
  // the dispatcher is created with the first configuration that has the record.
  void OnConfiguration() {
    if (dispatcher_ == nullptr) {
      CreateDispatcher();
    }
    if (dispatcher_ != nullptr) {
      dispatcher_->ApplyConfiguration();
    }
    SendHeartbeats();
  }

  void CreateDispatcher() {
    const auto& upstreams = store_.snapshot().upstreams;
    const auto record = upstreams.find(settings_.upstream);
    if (record == upstreams.end()) {
      return;
    }
    driver_ = kernel::Registry<UpstreamDriver>::Create(record->second.driver);
    if (driver_ == nullptr) {
      base::Log(base::LogLevel::kError, "unknown_driver",
                {{"upstream", settings_.upstream},
                 {"driver", record->second.driver}});
      return;
    }
    driver_->Initialize(loop_, settings_.upstream_address);
    dispatcher_ = std::make_unique<Dispatcher>(
        loop_, store_, *driver_,
        DispatcherOptions{settings_.upstream, self_.incarnation,
                          static_cast<size_t>(settings_.stream_buffer_bytes)});
    orders_ = std::make_unique<Orders>(loop_, loop_.clock(), platform_, store_,
                                       *driver_, self_);
    for (const auto& [raw, connection] : connections_) {
      dispatcher_->AddConnection(connection);
    }
    if (is_shutting_down_) {
      dispatcher_->SetShuttingDown();
    }
  }

  bool IsReady() const {
    return configuration_.is_ready() && dispatcher_ != nullptr &&
           !dispatcher_->is_draining();
  }

  void SendHeartbeats() {
    for (const auto& [raw, connection] : connections_) {
      SendHeartbeat(*connection);
    }
  }

  void SendHeartbeat(protocol::Connection& connection) {
    protocol::Heartbeat heartbeat;
    configuration_.FillHeartbeat(heartbeat);
    if (dispatcher_ != nullptr) {
      dispatcher_->FillHeartbeat(heartbeat);
    }
    connection.Send(heartbeat);
  }

  void ReadUpstreamLoad() {
    if (dispatcher_ == nullptr) {
      return;
    }
    driver_->ReadLoad([this](const std::optional<LoadReport>& report) {
      if (report.has_value()) {
        dispatcher_->SetUpstreamDraining(report->is_draining);
        orders_->OnLoadReport(*report);
      }
    });
  }

  void ShutDown() {
    if (std::exchange(is_shutting_down_, true)) {
      return;
    }
    base::Log(base::LogLevel::kInfo, "shutting_down");
    if (dispatcher_ != nullptr) {
      dispatcher_->SetShuttingDown();
    }
    SendHeartbeats();
    exit_timer_ = loop_.Every(kExitCheckPeriod, [this] { StopIfIdle(); });
  }

  void StopIfIdle() {
    if (dispatcher_ != nullptr && !dispatcher_->is_idle()) {
      return;
    }
    for (const auto& [raw, connection] : connections_) {
      if (connection->buffered_bytes() > 0) {
        return;
      }
    }
    if (orders_ != nullptr) {
      orders_->ReleaseLease();
    }
    loop_.Stop();
  }

  void Collect() {
    process_metrics_.Update(platform_.calls(), store_.revision());
    if (dispatcher_ != nullptr) {
      metrics_.Update(*dispatcher_);
    }
  }

  nlohmann::json Status() const {
    nlohmann::json status = {{"instance", settings_.instance},
                             {"role", "side"},
                             {"incarnation", self_.incarnation.ToString()},
                             {"upstream", settings_.upstream},
                             {"ready", IsReady()},
                             {"draining", true},
                             {"running", 0}};
    if (dispatcher_ != nullptr) {
      status["draining"] = dispatcher_->is_draining();
      status["running"] = dispatcher_->running();
      status["slots"] = dispatcher_->slots().slots();
    }
    status.update(configuration::StoreStatus(store_));
    return status;
  }

  const settings::Settings settings_;
  const protocol::PeerInfo self_;
  kernel::EventLoop loop_;
  object_api::Client platform_;
  configuration::Store store_;
  // Always empty: a side receives its records from entries, so that the number
  // of platform calls does not grow with the number of sides.
  membership::View view_;
  configuration::Task configuration_;
  protocol::Listener listener_;
  operator_api::Server operator_server_;
  operator_api::ProcessMetrics process_metrics_;
  SideMetrics metrics_;
  std::unique_ptr<UpstreamDriver> driver_;
  std::unique_ptr<Dispatcher> dispatcher_;
  std::unique_ptr<Orders> orders_;
  std::map<protocol::Connection*, std::shared_ptr<protocol::Connection>>
      connections_;
  kernel::Timer heartbeat_timer_;
  kernel::Timer load_timer_;
  kernel::Timer exit_timer_;
  bool is_shutting_down_ = false;
};

class SideRole final : public kernel::Role {
 public:
  int Run(const std::string& settings_path) override {
    auto settings =
        settings::LoadForProcess(settings_path, protocol::Role::kSide);
    if (!settings.has_value()) {
      return settings::kExitWrongSettings;
    }
    return SideProcess(*std::move(settings)).Run();
  }
};

const kernel::Registration<kernel::Role> kSide("side", [] {
  return std::make_unique<SideRole>();
});

}  // namespace
}  // namespace jackdawshunt::side
