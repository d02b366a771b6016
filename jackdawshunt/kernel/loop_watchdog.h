// Ends a process whose event loop does not return, such as one with a parser
// that makes no progress. Such a process answers nothing, not even SIGTERM or a
// readiness check, until it is killed.
//
// Example:
//   const kernel::LoopWatchdog watchdog(loop);
//   loop.Run();
//
// The time is processor time of the loop's thread. A process that is stopped,
// that lacks processor time or that waits in a system call is thus not ended.
#ifndef JACKDAWSHUNT_KERNEL_LOOP_WATCHDOG_H_
#define JACKDAWSHUNT_KERNEL_LOOP_WATCHDOG_H_

#include <ctime>
#include <optional>

#include "jackdawshunt/kernel/clock.h"
#include "jackdawshunt/kernel/event_loop.h"

namespace jackdawshunt::kernel {

class LoopWatchdog {
 public:
  // Far more than any turn of a sound loop takes, also on a slow machine.
  static constexpr Duration kLimit = std::chrono::seconds(3);

  // Watches `loop`, which must run on this thread, from now on. Once a turn has
  // taken between `limit` and twice as much processor time, the log gets a line
  // "loop_stuck" that names the work (see loop_work.h) and the process ends by
  // SIGABRT. At most one watchdog may exist at a time. If it cannot be
  // installed, logs "loop_watchdog_failed" and does nothing.
  explicit LoopWatchdog(EventLoop& loop, Duration limit = kLimit);
  ~LoopWatchdog();
  LoopWatchdog(const LoopWatchdog&) = delete;
  LoopWatchdog& operator=(const LoopWatchdog&) = delete;

 private:
  Timer beat_;
  std::optional<timer_t> check_;
};

}  // namespace jackdawshunt::kernel

#endif  // JACKDAWSHUNT_KERNEL_LOOP_WATCHDOG_H_
