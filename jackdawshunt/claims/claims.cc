#include "jackdawshunt/claims/claims.h"

#include <chrono>
#include <utility>

#include "jackdawshunt/claims/internal/core.h"

namespace jackdawshunt::claims {

struct Claims::Impl {
  Impl(kernel::EventLoop& event_loop,
       object_api::Client& client,
       std::string instance,
       int32_t shards)
      : loop(event_loop),
        core(client,
             {.now = [&event_loop] { return event_loop.clock().Now(); },
              .unix_seconds =
                  [] {
                    return std::chrono::duration_cast<std::chrono::seconds>(
                               std::chrono::system_clock::now()
                                   .time_since_epoch())
                        .count();
                  },
              .post =
                  [&event_loop](std::function<void()> callback) {
                    event_loop.Post(std::move(callback));
                  }},
             std::move(instance),
             shards) {}

  void StartTimer() {
    if (!timer.is_active()) {
      timer = loop.Every(internal::kTickPeriod, [this] {
        core.Tick();
        if (!core.is_busy()) {
          timer.Cancel();
        }
      });
    }
  }

  kernel::EventLoop& loop;
  internal::Core core;
  kernel::Timer timer;
};

Claims::Claims(kernel::EventLoop& loop,
               object_api::Client& client,
               std::string instance,
               int32_t shards)
    : impl_(std::make_unique<Impl>(loop, client, std::move(instance), shards)) {
}

Claims::~Claims() = default;

void Claims::Acquire(const ClaimRequest& claim, Done done) {
  impl_->core.Acquire(claim, std::move(done));
  impl_->StartTimer();
}

void Claims::Complete(std::string_view request, const RecordedAnswer& answer) {
  impl_->core.Complete(request, answer);
  impl_->StartTimer();
}

void Claims::MarkUnknown(std::string_view request) {
  impl_->core.MarkUnknown(request);
  impl_->StartTimer();
}

void Claims::Release(std::string_view request) {
  impl_->core.Release(request);
  impl_->StartTimer();
}

size_t Claims::pending_outcomes() const {
  return impl_->core.pending_outcomes();
}

}  // namespace jackdawshunt::claims
