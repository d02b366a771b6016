// The libevent loop of a process, with timers, posted functions and signals.
//
// Example:
//   kernel::EventLoop loop;
//   kernel::Timer timer = loop.Every(period, [&] { ++ticks; });
//   loop.OnSignal(SIGTERM, [&] { loop.Stop(); });
//   loop.Run();
//
// Not thread-safe: all calls must come from the thread that runs the loop.
#ifndef JACKDAWSHUNT_KERNEL_EVENT_LOOP_H_
#define JACKDAWSHUNT_KERNEL_EVENT_LOOP_H_

#include <functional>
#include <memory>
#include <vector>

#include "jackdawshunt/kernel/clock.h"

struct event;
struct event_base;

namespace jackdawshunt::kernel {

// Owns one scheduled call. Destruction cancels it and is allowed during the
// call.
class Timer {
 public:
  Timer();
  ~Timer();
  Timer(Timer&&) noexcept;
  Timer& operator=(Timer&&) noexcept;

  bool is_active() const { return state_ != nullptr; }
  void Cancel();

 private:
  friend class EventLoop;
  struct State;
  std::shared_ptr<State> state_;
};

class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Returns the base for libevent calls, owned by the loop.
  event_base* base() const { return base_; }
  const Clock& clock() const { return clock_; }

  // Runs until Stop().
  void Run();
  void Stop();
  // Runs until `done` returns true, or returns false when `limit` passes first.
  // For tests and command-line clients.
  bool RunUntil(const std::function<bool()>& done, Duration limit);

  // Calls `callback` once after `delay`, or every `period`.
  [[nodiscard]] Timer After(Duration delay, std::function<void()> callback);
  [[nodiscard]] Timer Every(Duration period, std::function<void()> callback);

  // Calls `callback` in a later turn of the loop, in the order of the posts.
  void Post(std::function<void()> callback);

  // Calls `callback` in the loop each time the process receives the signal.
  void OnSignal(int signal_number, std::function<void()> callback);

 private:
  struct Signal;

  Timer Schedule(Duration delay, bool repeat, std::function<void()> callback);
  void RunPosted();

  event_base* base_;
  SteadyClock clock_;
  event* posted_event_;
  std::vector<std::function<void()>> posted_;
  std::vector<std::unique_ptr<Signal>> signals_;
};

}  // namespace jackdawshunt::kernel

#endif  // JACKDAWSHUNT_KERNEL_EVENT_LOOP_H_
