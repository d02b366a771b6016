#include "jackdawshunt/kernel/event_loop.h"

#include <event2/event.h>

#include <csignal>
#include <utility>

namespace jackdawshunt::kernel {
namespace {

timeval ToTimeval(Duration duration) {
  constexpr int64_t kMicrosecondsPerSecond = 1'000'000;
  const int64_t us = duration.count() < 0 ? 0 : duration.count();
  return {static_cast<time_t>(us / kMicrosecondsPerSecond),
          static_cast<suseconds_t>(us % kMicrosecondsPerSecond)};
}

}  // namespace

struct Timer::State {
  ~State() {
    if (timer_event != nullptr) {
      event_free(timer_event);
    }
  }

  event* timer_event = nullptr;
  bool repeat = false;
  std::function<void()> callback;
  // Keeps the state alive while its callback runs.
  std::weak_ptr<State> self;
};

Timer::Timer() = default;
Timer::~Timer() {
  Cancel();
}
Timer::Timer(Timer&&) noexcept = default;
Timer& Timer::operator=(Timer&& other) noexcept {
  if (this != &other) {
    Cancel();
    state_ = std::move(other.state_);
  }
  return *this;
}

void Timer::Cancel() {
  if (state_ == nullptr) {
    return;
  }
  event_del(state_->timer_event);
  state_.reset();
}

struct EventLoop::Signal {
  event* signal_event = nullptr;
  std::function<void()> callback;
};

EventLoop::EventLoop() {
  // A write to a socket closed by the peer must not end the process.
  signal(SIGPIPE, SIG_IGN);
  // Not EVENT_BASE_FLAG_PRECISE_TIMER: it costs a system call in each iteration
  // and gains only a few milliseconds of precision.
  base_ = event_base_new();
  posted_event_ = event_new(
      base_, -1, 0,
      [](evutil_socket_t, short, void* self) {
        static_cast<EventLoop*>(self)->RunPosted();
      },
      this);
}

EventLoop::~EventLoop() {
  posted_.clear();
  for (const auto& entry : signals_) {
    event_free(entry->signal_event);
  }
  event_free(posted_event_);
  event_base_free(base_);
}

void EventLoop::Run() {
  event_base_loop(base_, EVLOOP_NO_EXIT_ON_EMPTY);
}

void EventLoop::Stop() {
  event_base_loopbreak(base_);
}

bool EventLoop::RunUntil(const std::function<bool()>& done, Duration limit) {
  constexpr Duration kCheckPeriod = std::chrono::milliseconds(1);
  const TimePoint deadline = clock_.Now() + limit;
  const Timer wake_up = Every(kCheckPeriod, [] {});
  while (!done()) {
    if (clock_.Now() >= deadline) {
      return false;
    }
    event_base_loop(base_, EVLOOP_ONCE);
  }
  return true;
}

Timer EventLoop::Schedule(Duration delay,
                          bool repeat,
                          std::function<void()> callback) {
  Timer timer;
  timer.state_ = std::make_shared<Timer::State>();
  Timer::State& state = *timer.state_;
  state.repeat = repeat;
  state.callback = std::move(callback);
  state.self = timer.state_;
  state.timer_event = event_new(
      base_, -1, repeat ? EV_PERSIST : 0,
      [](evutil_socket_t, short, void* argument) {
        const auto running = static_cast<Timer::State*>(argument)->self.lock();
        if (running != nullptr) {
          running->callback();
        }
      },
      &state);
  const timeval tv = ToTimeval(delay);
  event_add(state.timer_event, &tv);
  return timer;
}

Timer EventLoop::After(Duration delay, std::function<void()> callback) {
  return Schedule(delay, /*repeat=*/false, std::move(callback));
}

Timer EventLoop::Every(Duration period, std::function<void()> callback) {
  return Schedule(period, /*repeat=*/true, std::move(callback));
}

void EventLoop::Post(std::function<void()> callback) {
  posted_.push_back(std::move(callback));
  event_active(posted_event_, EV_TIMEOUT, 0);
}

void EventLoop::RunPosted() {
  std::vector<std::function<void()>> batch;
  batch.swap(posted_);
  for (const auto& callback : batch) {
    callback();
  }
}

void EventLoop::OnSignal(int signal_number, std::function<void()> callback) {
  auto entry = std::make_unique<Signal>();
  entry->callback = std::move(callback);
  entry->signal_event = evsignal_new(
      base_, signal_number,
      [](evutil_socket_t, short, void* argument) {
        static_cast<Signal*>(argument)->callback();
      },
      entry.get());
  evsignal_add(entry->signal_event, nullptr);
  signals_.push_back(std::move(entry));
}

}  // namespace jackdawshunt::kernel
