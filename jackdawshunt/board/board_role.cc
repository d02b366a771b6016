// The board role: runs beside an engine and replies to gateways' datagrams.
#include <csignal>
#include <memory>
#include <string>
#include <utility>

#include "jackdawshunt/base/id.h"
#include "jackdawshunt/base/log.h"
#include "jackdawshunt/board/board.h"
#include "jackdawshunt/board/datagram_socket.h"
#include "jackdawshunt/board/engine_monitor.h"
#include "jackdawshunt/kernel/boot_clock.h"
#include "jackdawshunt/kernel/loop_watchdog.h"
#include "jackdawshunt/kernel/registry.h"
#include "jackdawshunt/kernel/role.h"
#include "jackdawshunt/platform/settings.h"

namespace jackdawshunt::board {
namespace {

constexpr int kExitUnavailable = 1;
constexpr int kExitWrongSettings = 2;
constexpr kernel::Duration kExpiryPeriod = std::chrono::seconds(1);
// Fewer are usual, since claims and reports arrive at different times.
constexpr size_t kLoggedUnclaimed = 4;

class BoardProcess {
 public:
  explicit BoardProcess(platform::InstanceSettings settings)
      : settings_(std::move(settings)) {}

  int Run() {
    base::SetLogContext({{"instance", settings_.instance}});
    auto socket = DatagramSocket::Bind(
        loop_, {settings_.ip, settings_.first_internal_port},
        [this](const http::Address& from, std::string_view bytes) {
          OnDatagram(from, bytes);
        });
    if (!socket.ok()) {
      base::Log(base::LogLevel::kError, "listen_failed",
                {{"error", std::string(socket.status().message())}});
      return kExitUnavailable;
    }
    socket_ = *std::move(socket);
    base::Log(base::LogLevel::kInfo, "started",
              {{"role", "board"},
               {"address", settings_.ip},
               {"upstream", settings_.local_upstream.has_value()
                                ? settings_.local_upstream->ToString()
                                : ""}});
    expiry_timer_ = loop_.Every(kExpiryPeriod,
                                [this] { board_.DropExpired(clock_.Now()); });
    if (settings_.local_upstream.has_value()) {
      monitor_ = std::make_unique<EngineMonitor>(
          loop_, *settings_.local_upstream,
          [this](const routing::EngineReport& report) { OnReport(report); });
    }
    loop_.OnSignal(SIGTERM, [this] { loop_.Stop(); });
    loop_.OnSignal(SIGINT, [this] { loop_.Stop(); });
    loop_.OnSignal(SIGHUP, [] {});  // No setting can change at run time.
    const kernel::LoopWatchdog watchdog(loop_);
    loop_.Run();
    base::Log(
        base::LogLevel::kInfo, "stopped",
        {{"datagrams_dropped", socket_->dropped()},
         {"datagrams_unreadable", unreadable_},
         {"engine_reports", monitor_ == nullptr ? 0 : monitor_->reports()},
         {"engine_report_failures",
          monitor_ == nullptr ? 0 : monitor_->failures()},
         {"stream_origins", board_.origins().size()},
         {"stream_origins_rejected", board_.origins().rejected()}});
    return 0;
  }

 private:
  void OnDatagram(const http::Address& from, std::string_view bytes) {
    const auto message = Decode(bytes);
    if (!message.ok()) {
      ++unreadable_;
      return;
    }
    if (const auto reply = board_.Handle(*message, clock_.Now())) {
      socket_->Send(from, Encode(*reply));
    }
    // Only engines have reports. Queries tell that the upstream is one.
    if (monitor_ != nullptr && board_.engine() != nullptr) {
      monitor_->Start();
    }
  }

  void OnReport(const routing::EngineReport& report) {
    board_.OnReport(report, clock_.Now());
    if (board_.engine() == nullptr) {
      return;
    }
    const size_t unclaimed = board_.engine()->unclaimed();
    const bool has_unclaimed = unclaimed >= kLoggedUnclaimed;
    if (has_unclaimed && !has_unclaimed_) {
      base::Log(base::LogLevel::kInfo, "engine_has_unclaimed_requests",
                {{"unclaimed", unclaimed},
                 {"waiting", report.waiting},
                 {"running", report.running},
                 {"claimed", board_.engine()->running()}});
    }
    has_unclaimed_ = has_unclaimed;
  }

  const platform::InstanceSettings settings_;
  kernel::EventLoop loop_;
  const kernel::BootClock clock_;
  Board board_{routing::HashOf(base::NewRequestId())};
  std::unique_ptr<DatagramSocket> socket_;
  // Null where the machine has no upstream.
  std::unique_ptr<EngineMonitor> monitor_;
  bool has_unclaimed_ = false;
  kernel::Timer expiry_timer_;
  uint64_t unreadable_ = 0;
};

class BoardRole final : public kernel::Role {
 public:
  int Run(const std::string& settings_path) override {
    auto settings = platform::LoadForProcess(settings_path);
    if (!settings.has_value()) {
      return kExitWrongSettings;
    }
    return BoardProcess(*std::move(settings)).Run();
  }
};

const kernel::Registration<kernel::Role> kBoard("board", [] {
  return std::make_unique<BoardRole>();
});

}  // namespace
}  // namespace jackdawshunt::board
