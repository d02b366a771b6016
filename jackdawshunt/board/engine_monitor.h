// Reads the load report of the engine beside a board, again and again.
//
// The report is fresh only on the engine's own machine, so only the board reads
// it. A board that has restarted learns from it what the engine still does for
// gateways that no longer exist.
//
// Example:
//   board::EngineMonitor monitor(loop, address, on_report);
//   monitor.Start();
//
// Uses one connection. After a failure, or where the engine closes the
// connection after its response, it reads once a second only. Not thread-safe.
#ifndef JACKDAWSHUNT_BOARD_ENGINE_MONITOR_H_
#define JACKDAWSHUNT_BOARD_ENGINE_MONITOR_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "jackdawshunt/http1/client.h"
#include "jackdawshunt/kernel/event_loop.h"
#include "jackdawshunt/routing/engine_report.h"

namespace jackdawshunt::board {

class EngineMonitor final : public http1::ResponseReceiver {
 public:
  // Receives each report that could be read.
  using Callback = std::function<void(const routing::EngineReport&)>;

  EngineMonitor(kernel::EventLoop& loop,
                const http::Address& engine,
                Callback on_report);

  // Begins to read; does nothing if it has begun.
  void Start();
  // Returns the number of reports that were read.
  uint64_t reports() const { return reports_; }
  // Returns the number of requests without a readable report.
  uint64_t failures() const { return failures_; }

  // http1::ResponseReceiver:
  bool MatchesRequest(const http1::ResponseHead&) override { return true; }
  void OnHead(const http1::ResponseHead& head) override;
  void OnBody(std::string_view data) override;
  void OnEnd() override;
  void OnLost(http1::Loss loss) override;

 private:
  void Poll();
  // Counts a failure, and logs the first one after a report.
  void OnFailure(std::string_view reason);

  kernel::EventLoop& loop_;
  const http::Address engine_;
  const std::string request_;
  const Callback on_report_;
  std::unique_ptr<http1::ClientConnection> connection_;
  kernel::Timer timer_;
  int status_ = 0;  // Of the answer that is being received.
  std::string body_;
  kernel::TimePoint sent_at_{};
  // No request is sent before this time.
  kernel::TimePoint not_before_{};
  bool is_failing_ = false;
  uint64_t reports_ = 0;
  uint64_t failures_ = 0;
};

}  // namespace jackdawshunt::board

#endif  // JACKDAWSHUNT_BOARD_ENGINE_MONITOR_H_
