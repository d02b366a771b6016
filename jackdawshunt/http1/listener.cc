#include "jackdawshunt/http1/listener.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <limits>
#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "event2/event.h"
#include "event2/util.h"
#include "jackdawshunt/base/log.h"
#include "jackdawshunt/http/socket_address.h"
#include "jackdawshunt/http1/internal/socket_options.h"

namespace jackdawshunt::http1 {
namespace {

constexpr int kBacklog = 1024;
// Connections accepted in one turn of the loop, so that a full backlog does not
// delay the events of open connections.
constexpr size_t kMaxAcceptsPerTurn = 32;
// Time without accepting after an error.
constexpr kernel::Duration kAcceptRetryTime = std::chrono::milliseconds(100);

}  // namespace

struct Listener::Impl {
  explicit Impl(kernel::EventLoop& on_loop) : loop(on_loop) {}
  ~Impl() {
    event_free(readable);
    close(fd);
  }

  // Accepts up to `max` connections.
  void Accept(size_t max) {
    for (size_t i = 0; i < max; ++i) {
      const int accepted =
          accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (accepted >= 0) {
        OnAccepted(accepted);
        continue;
      }
      if (errno == EINTR || errno == ECONNABORTED) {
        continue;
      }
      if (errno != EAGAIN) {
        base::Log(base::LogLevel::kError, "accept_failed",
                  {{"error", strerror(errno)}});
        // Without descriptors the connection would be reported again at once.
        event_del(readable);
        retry = loop.After(kAcceptRetryTime,
                           [this] { event_add(readable, nullptr); });
      }
      return;
    }
  }

  void OnAccepted(int accepted) {
    if (!inherits_options.has_value()) {
      inherits_options = internal::HasCallerSocketOptions(accepted);
    }
    if (!*inherits_options) {
      internal::SetCallerSocketOptions(accepted);
    }
    accept(accepted);
  }

  kernel::EventLoop& loop;
  int fd = -1;
  event* readable = nullptr;
  kernel::Timer retry;
  AcceptCallback accept;
  // Whether accepted sockets have the options of the listening one; unknown
  // before the first connection.
  std::optional<bool> inherits_options;
};

Listener::Listener(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

Listener::~Listener() = default;

absl::StatusOr<std::unique_ptr<Listener>> Listener::Bind(
    kernel::EventLoop& loop,
    const http::Address& address,
    AcceptCallback accept,
    bool has_small_buffers) {
  const auto bound = http::ToSocketAddress(address);
  if (!bound.has_value()) {
    return absl::UnavailableError(
        absl::StrCat(address.ToString(), " is not an IPv4 address"));
  }
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd >= 0 && has_small_buffers) {
    // Before listen(), since the window of a connection is chosen when it
    // opens.
    internal::SetReceiveBuffer(fd, internal::kReceiveBufferBytes);
  }
  if (fd < 0 || evutil_make_listen_socket_reuseable(fd) != 0 ||
      bind(fd, reinterpret_cast<const sockaddr*>(&*bound), sizeof(*bound)) !=
          0 ||
      listen(fd, kBacklog) != 0) {
    const int error = errno;
    if (fd >= 0) {
      close(fd);
    }
    return absl::UnavailableError(absl::StrCat(
        "cannot listen at ", address.ToString(), ": ", strerror(error)));
  }
  internal::SetCallerSocketOptions(fd);
  auto impl = std::make_unique<Impl>(loop);
  impl->fd = fd;
  impl->accept = std::move(accept);
  impl->readable = event_new(
      loop.base(), fd, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* context) {
        static_cast<Impl*>(context)->Accept(kMaxAcceptsPerTurn);
      },
      impl.get());
  event_add(impl->readable, nullptr);
  return std::unique_ptr<Listener>(new Listener(std::move(impl)));
}

void Listener::AcceptPending() {
  impl_->Accept(std::numeric_limits<size_t>::max());
}

uint16_t Listener::port() const {
  sockaddr_in bound{};
  socklen_t length = sizeof(bound);
  if (getsockname(impl_->fd, reinterpret_cast<sockaddr*>(&bound), &length) !=
      0) {
    return 0;
  }
  return ntohs(bound.sin_port);
}

}  // namespace jackdawshunt::http1
