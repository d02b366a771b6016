#include "jackdawshunt/board/engine_monitor.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "jackdawshunt/base/log.h"
#include "jackdawshunt/platform/engine_report.h"

namespace jackdawshunt::board {
namespace {

constexpr kernel::Duration kPollPeriod = std::chrono::milliseconds(100);
// A report that takes longer is given up, with its connection.
constexpr kernel::Duration kReportTimeout = std::chrono::milliseconds(1000);
// Period of new connections, which are expensive for engines.
constexpr kernel::Duration kReconnectPeriod = std::chrono::seconds(1);
constexpr size_t kMaxReportBytes = size_t{256} * 1024;
constexpr int kOk = 200;
constexpr int kTooLarge = -1;  // No status of HTTP.

}  // namespace

EngineMonitor::EngineMonitor(kernel::EventLoop& loop,
                             const http::Address& engine,
                             Callback on_report)
    : loop_(loop),
      engine_(engine),
      request_(platform::EngineReportRequest(engine)),
      on_report_(std::move(on_report)) {}

void EngineMonitor::Start() {
  if (!timer_.is_active()) {
    timer_ = loop_.Every(kPollPeriod, [this] { Poll(); });
    Poll();
  }
}

void EngineMonitor::Poll() {
  const kernel::TimePoint now = loop_.clock().Now();
  if (connection_ != nullptr && connection_->is_busy()) {
    if (now - sent_at_ < kReportTimeout) {
      return;
    }
    connection_->CancelRequest();
    OnFailure("timeout");
  }
  if (now < not_before_) {
    return;
  }
  if (connection_ == nullptr || !connection_->is_usable()) {
    connection_ = std::make_unique<http1::ClientConnection>(
        loop_, engine_, http1::ClientConnectionOptions{});
    not_before_ = now + kReconnectPeriod;
  }
  body_.clear();
  status_ = 0;
  sent_at_ = now;
  connection_->Send(request_, /*is_head_request=*/false, *this);
}

void EngineMonitor::OnHead(const http1::ResponseHead& head) {
  status_ = head.status;
}

void EngineMonitor::OnBody(std::string_view data) {
  if (body_.size() + data.size() <= kMaxReportBytes) {
    body_.append(data);
  } else {
    status_ = kTooLarge;
  }
}

void EngineMonitor::OnEnd() {
  if (status_ != kOk) {
    OnFailure(status_ == kTooLarge ? "too large"
                                   : absl::StrCat("status ", status_));
    return;
  }
  const auto report = platform::DecodeEngineReport(body_);
  if (!report.ok()) {
    OnFailure(std::string(report.status().message()));
    return;
  }
  if (is_failing_ || reports_ == 0) {
    base::Log(base::LogLevel::kInfo, "engine_report_read",
              {{"upstream", engine_.ToString()},
               {"waiting", report->waiting},
               {"running", report->running}});
  }
  is_failing_ = false;
  ++reports_;
  if (connection_->is_usable()) {
    not_before_ = {};
  }
  on_report_(*report);
}

void EngineMonitor::OnLost(http1::Loss loss) {
  OnFailure(http1::LossName(loss));
}

void EngineMonitor::OnFailure(std::string_view reason) {
  if (!is_failing_) {
    base::Log(base::LogLevel::kWarning, "engine_report_failed",
              {{"upstream", engine_.ToString()},
               {"reason", std::string(reason)},
               {"failures", failures_ + 1}});
  }
  is_failing_ = true;
  ++failures_;
  not_before_ = loop_.clock().Now() + kReconnectPeriod;
}

}  // namespace jackdawshunt::board
