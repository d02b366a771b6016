#include "jackdawshunt/kernel/loop_watchdog.h"

#include <arpa/inet.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>

#include "jackdawshunt/base/crash_line.h"
#include "jackdawshunt/base/log.h"
#include "jackdawshunt/kernel/loop_work.h"

namespace jackdawshunt::kernel {
namespace {

// The loop beats so often in the limit, as long as it returns.
constexpr int kBeatsPerLimit = 3;

// Shared with the signal handler, which runs on the loop's thread.
volatile std::sig_atomic_t beats = 0;
volatile std::sig_atomic_t checked_beats = 0;

int CheckSignal() {
  return SIGRTMIN;
}

void AddWork(const LoopWork& work, base::CrashLine& line) {
  std::array<char, INET_ADDRSTRLEN> ip{};
  inet_ntop(AF_INET, &work.peer().sin_addr, ip.data(), ip.size());
  line.Add("work", LoopWorkKindName(work.kind()))
      .Add("peer_ip", ip.data())
      .Add("peer_port", ntohs(work.peer().sin_port));
}

void CheckBeats(int) {
  if (beats != checked_beats) {
    checked_beats = beats;
    return;
  }
  base::CrashLine line("loop_stuck");
  if (const LoopWork* const work = LoopWork::current(); work != nullptr) {
    AddWork(*work, line);
  }
  line.Write();
  std::abort();
}

timespec ToTimespec(Duration duration) {
  const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(duration);
  return {.tv_sec = seconds.count(),
          .tv_nsec = std::chrono::nanoseconds(duration - seconds).count()};
}

// Starts a timer that sends the signal to this thread each time it has used
// `period` of processor time.
std::optional<timer_t> StartTimer(Duration period) {
  struct sigaction action {};
  action.sa_handler = CheckBeats;
  action.sa_flags = SA_RESTART;
  sigevent event{};
  event.sigev_notify = SIGEV_THREAD_ID;
  event.sigev_signo = CheckSignal();
  event._sigev_un._tid = gettid();
  timer_t timer{};
  if (sigaction(CheckSignal(), &action, nullptr) != 0 ||
      timer_create(CLOCK_THREAD_CPUTIME_ID, &event, &timer) != 0) {
    return std::nullopt;
  }
  const itimerspec times = {.it_interval = ToTimespec(period),
                            .it_value = ToTimespec(period)};
  if (timer_settime(timer, 0, &times, nullptr) != 0) {
    timer_delete(timer);
    return std::nullopt;
  }
  return timer;
}

}  // namespace

LoopWatchdog::LoopWatchdog(EventLoop& loop, Duration limit) {
  beats = checked_beats + 1;
  beat_ = loop.Every(limit / kBeatsPerLimit, [] { beats = beats + 1; });
  check_ = StartTimer(limit);
  if (!check_.has_value()) {
    base::Log(base::LogLevel::kWarning, "loop_watchdog_failed",
              {{"error", strerror(errno)}});
  }
}

LoopWatchdog::~LoopWatchdog() {
  if (check_.has_value()) {
    timer_delete(*check_);
  }
}

}  // namespace jackdawshunt::kernel
