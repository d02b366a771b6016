#include "jackdawshunt/kernel/loop_watchdog.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <ctime>
#include <string>
#include <thread>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "jackdawshunt/kernel/loop_work.h"

namespace jackdawshunt::kernel {
namespace {

using std::chrono::milliseconds;

constexpr Duration kLimit = milliseconds(200);

// Uses processor time of this thread.
void Spin(Duration time) {
  const auto used = [] {
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return std::chrono::seconds(now.tv_sec) +
           std::chrono::nanoseconds(now.tv_nsec);
  };
  const auto end = used() + time;
  while (used() < end) {
  }
}

// Runs `callback` in a watched loop, then ends the process in order.
[[noreturn]] void RunWatched(const std::function<void()>& callback) {
  dup2(STDERR_FILENO, STDOUT_FILENO);  // Which the test can read.
  EventLoop loop;
  const LoopWatchdog watchdog(loop, kLimit);
  loop.Post([&] {
    callback();
    loop.Stop();
  });
  loop.Run();
  _exit(0);
}

// A connection from this process to itself.
class Connection {
 public:
  Connection() {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    EXPECT_EQ(bind(listener_, Cast(address), size), 0);
    EXPECT_EQ(listen(listener_, 1), 0);
    getsockname(listener_, Cast(address), &size);
    EXPECT_EQ(connect(client_, Cast(address), size), 0);
    server_ = accept(listener_, nullptr, nullptr);
    getsockname(client_, Cast(address), &size);
    client_port_ = ntohs(address.sin_port);
  }
  ~Connection() {
    for (const int fd : {listener_, client_, server_}) {
      close(fd);
    }
  }

  int server_fd() const { return server_; }
  int client_port() const { return client_port_; }

 private:
  static sockaddr* Cast(sockaddr_in& address) {
    return reinterpret_cast<sockaddr*>(&address);
  }

  const int listener_ = socket(AF_INET, SOCK_STREAM, 0);
  const int client_ = socket(AF_INET, SOCK_STREAM, 0);
  int server_ = -1;
  int client_port_ = 0;
};

// Guards against a process that stands still instead of ending, and against a
// report that does not say which connection did it.
TEST(LoopWatchdogDeathTest, LoopThatDoesNotReturnStandsStill) {
  const Connection connection;
  const sockaddr_in peer = PeerOf(connection.server_fd());
  EXPECT_EXIT(RunWatched([&] {
                const LoopWork work(LoopWorkKind::kConnection, peer);
                Spin(10 * kLimit);
              }),
              testing::KilledBySignal(SIGABRT),
              absl::StrCat(R"("loop_stuck","work":"connection",)"
                           R"("peer_ip":"127\.0\.0\.1","peer_port":)",
                           connection.client_port(), R"(\})"));
}

// Guards against a report that names work that is over, or none of the work
// around it.
TEST(LoopWatchdogDeathTest, EndedWorkIsBlamed) {
  sockaddr_in sender{};
  sender.sin_addr.s_addr = htonl(0x7f000102);
  sender.sin_port = htons(4711);
  EXPECT_EXIT(
      RunWatched([&] {
        const LoopWork outer(LoopWorkKind::kMessage, sender);
        const sockaddr_in other{};
        { const LoopWork inner(LoopWorkKind::kConnection, other); }
        Spin(10 * kLimit);
      }),
      testing::KilledBySignal(SIGABRT),
      R"("work":"message","peer_ip":"127\.0\.1\.2","peer_port":4711\})");
  EXPECT_EXIT(RunWatched([&] {
                { const LoopWork work(LoopWorkKind::kMessage, sender); }
                Spin(10 * kLimit);
              }),
              testing::KilledBySignal(SIGABRT), R"("loop_stuck"\})");
}

// Guards against the end of a process that is busy, but returns to its loop.
TEST(LoopWatchdogDeathTest, BusyLoopIsEnded) {
  EXPECT_EXIT(
      {
        EventLoop loop;
        const LoopWatchdog watchdog(loop, kLimit);
        int turns = 0;
        const Timer work = loop.Every(milliseconds(1), [&] {
          Spin(kLimit / 10);
          if (++turns == 100) {
            _exit(0);
          }
        });
        loop.Run();
      },
      testing::ExitedWithCode(0), "");
}

// Guards against the end of a process that was stopped, or that its machine
// gave no processor time.
TEST(LoopWatchdogDeathTest, ProcessThatWaitsIsEnded) {
  EXPECT_EXIT(RunWatched([] { std::this_thread::sleep_for(10 * kLimit); }),
              testing::ExitedWithCode(0), "");
}

}  // namespace
}  // namespace jackdawshunt::kernel
