#include "jackdawshunt/board/engine_monitor.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "jackdawshunt/http1/listener.h"
#include "jackdawshunt/http1/server.h"

namespace jackdawshunt::board {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kReport[] =
    R"({"queueDepth": 12, "activeRequests": 20, "kvUsed": 3, "kvTotal": 4})";

// Replies to requests for the report as a test sets it.
class StandInEngine final : public http1::ServerConnection::Handler {
 public:
  explicit StandInEngine(kernel::EventLoop& loop) : connections_(loop, *this) {
    auto listener =
        http1::Listener::Bind(loop, {"127.0.0.1", 0}, [this](int fd) {
          ++accepted;
          connections_.Add(fd);
        });
    EXPECT_TRUE(listener.ok()) << listener.status();
    listener_ = *std::move(listener);
  }

  http::Address address() const { return {"127.0.0.1", listener_->port()}; }

  void OnRequest(http1::ServerConnection& connection,
                 const http1::RequestHead& head,
                 std::string& /*body*/) override {
    targets.push_back(head.target);
    if (!cut_response.empty()) {
      connection.WriteRaw(cut_response);
      connection.Yield();
    } else if (!is_silent) {
      connection.Reply({.status = status}, body, closes);
    }
  }
  void OnRequestError(http1::ServerConnection& connection,
                      http1::RequestError /*error*/) override {
    connection.Reply({.status = 400}, "", true);
  }
  void OnDrained(http1::ServerConnection& /*connection*/) override {}
  void OnClosed(http1::ServerConnection& connection) override {
    connections_.Remove(connection);
  }

  int status = 200;
  std::string body = kReport;
  bool closes = false;
  bool is_silent = false;
  std::string cut_response;  // Sent instead, before the connection closes.
  size_t accepted = 0;
  std::vector<std::string> targets;

 private:
  http1::ConnectionSet connections_;
  std::unique_ptr<http1::Listener> listener_;
};

class EngineMonitorTest : public ::testing::Test {
 protected:
  bool RunUntilReports(size_t count) {
    return loop_.RunUntil([&] { return reports_.size() >= count; },
                          seconds(20));
  }
  void RunFor(kernel::Duration time) {
    loop_.RunUntil([] { return false; }, time);
  }

  kernel::EventLoop loop_;
  StandInEngine engine_{loop_};
  std::vector<routing::EngineReport> reports_;
  EngineMonitor monitor_{loop_, engine_.address(),
                         [this](const routing::EngineReport& report) {
                           reports_.push_back(report);
                         }};
};

// Guards against a new connection for each report, which is expensive for
// engines.
TEST_F(EngineMonitorTest, ReadsReportsOverOneConnection) {
  monitor_.Start();
  monitor_.Start();
  ASSERT_TRUE(RunUntilReports(4));
  EXPECT_EQ(reports_[0].waiting, 12u);
  EXPECT_EQ(reports_[0].running, 20u);
  EXPECT_EQ(engine_.targets[0], "/jackdawshunt/report");
  EXPECT_EQ(engine_.accepted, 1u);
  EXPECT_EQ(monitor_.failures(), 0u);
}

// Guards against ten requests and connections per second to a server that has
// no report.
TEST_F(EngineMonitorTest, ServerWithoutReportIsAskedOnceASecond) {
  engine_.status = 404;
  engine_.body = "";
  monitor_.Start();
  RunFor(milliseconds(1500));
  EXPECT_GE(engine_.targets.size(), 1u);
  EXPECT_LE(engine_.targets.size(), 2u);
  EXPECT_EQ(monitor_.failures(), engine_.targets.size());
  EXPECT_TRUE(reports_.empty());
}

TEST_F(EngineMonitorTest, EngineThatClosesConnectionsIsAskedOnceASecond) {
  engine_.closes = true;
  monitor_.Start();
  RunFor(milliseconds(1500));
  EXPECT_GE(reports_.size(), 1u);
  EXPECT_LE(engine_.accepted, 2u);
}

// Guards against a monitor that waits for good for the response of an engine
// that was frozen for a while.
TEST_F(EngineMonitorTest, ReadsAgainAfterAResponseThatDidNotArrive) {
  engine_.is_silent = true;
  monitor_.Start();
  ASSERT_TRUE(
      loop_.RunUntil([&] { return monitor_.failures() > 0; }, seconds(20)));
  EXPECT_TRUE(reports_.empty());
  engine_.is_silent = false;
  EXPECT_TRUE(RunUntilReports(2));
}

// Guards against a report that is read from a response whose head was cut.
TEST_F(EngineMonitorTest, HeadThatWasCutIsAFailure) {
  engine_.cut_response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n";
  monitor_.Start();
  ASSERT_TRUE(
      loop_.RunUntil([&] { return monitor_.failures() > 0; }, seconds(20)));
  EXPECT_TRUE(reports_.empty());
  engine_.cut_response.clear();
  EXPECT_TRUE(RunUntilReports(1));
}

// Guards against a report with cut or foreign content that is merged.
TEST_F(EngineMonitorTest, UnreadableReportIsAFailure) {
  engine_.body = R"({"queueDepth": )";
  monitor_.Start();
  ASSERT_TRUE(
      loop_.RunUntil([&] { return monitor_.failures() > 0; }, seconds(20)));
  EXPECT_TRUE(reports_.empty());
  engine_.body = kReport;
  EXPECT_TRUE(RunUntilReports(1));
}

}  // namespace
}  // namespace jackdawshunt::board
