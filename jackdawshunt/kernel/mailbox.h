// A typed queue of messages to one task. Each message is handled in a later
// turn of the loop, so Post() never calls the receiver directly.
//
// Example:
//   kernel::Mailbox<LinkEvent> mailbox(loop, [this](LinkEvent event) { ... });
//   mailbox.Post(LinkUp{"side-3"});
#ifndef JACKDAWSHUNT_KERNEL_MAILBOX_H_
#define JACKDAWSHUNT_KERNEL_MAILBOX_H_

#include <functional>
#include <memory>
#include <utility>

#include "jackdawshunt/kernel/event_loop.h"

namespace jackdawshunt::kernel {

// Owned by the receiving task. Messages still queued when the mailbox is
// destroyed are dropped. Not thread-safe.
template <typename Message>
class Mailbox {
 public:
  using Handler = std::function<void(Message)>;

  Mailbox(EventLoop& loop, Handler handler)
      : loop_(loop), handler_(std::make_shared<Handler>(std::move(handler))) {}

  // Queues `message` for the handler.
  void Post(Message message) {
    loop_.Post([weak = std::weak_ptr<Handler>(handler_),
                content = std::move(message)]() mutable {
      if (const auto handler = weak.lock()) {
        (*handler)(std::move(content));
      }
    });
  }

 private:
  EventLoop& loop_;
  std::shared_ptr<Handler> handler_;
};

}  // namespace jackdawshunt::kernel

#endif  // JACKDAWSHUNT_KERNEL_MAILBOX_H_
