// Accepts TCP connections.
//
// Example:
//   auto listener = http1::Listener::Bind(loop, address, [&](int fd) {
//     connections.push_back(std::make_unique<http1::ServerConnection>(
//         loop, fd, limits, handler));
//   });
//
// Not thread-safe; runs on the loop's thread.
#ifndef JACKDAWSHUNT_HTTP1_LISTENER_H_
#define JACKDAWSHUNT_HTTP1_LISTENER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "absl/status/statusor.h"
#include "jackdawshunt/http/http.h"
#include "jackdawshunt/kernel/event_loop.h"

namespace jackdawshunt::http1 {

// A listening socket. Destruction closes it; accepted sockets stay open.
class Listener {
 public:
  using AcceptCallback = std::function<void(int fd)>;

  // Listens at `address` and calls `accept` with each accepted socket, which is
  // non-blocking and which `accept` then owns. With `has_small_buffers` the
  // kernel receives few bytes ahead; connections with a budget adapt that.
  // Error: Unavailable if the address cannot be bound.
  static absl::StatusOr<std::unique_ptr<Listener>> Bind(
      kernel::EventLoop& loop,
      const http::Address& address,
      AcceptCallback accept,
      bool has_small_buffers = false);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  // Returns the bound port, or 0 if it cannot be read.
  uint16_t port() const;
  // Accepts all connections in the backlog; closing the listener would reset
  // them.
  void AcceptPending();

 private:
  struct Impl;
  explicit Listener(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace jackdawshunt::http1

#endif  // JACKDAWSHUNT_HTTP1_LISTENER_H_
