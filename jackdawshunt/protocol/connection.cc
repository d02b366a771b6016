#include "jackdawshunt/protocol/connection.h"

#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <set>
#include <utility>

#include "absl/random/random.h"
#include "absl/strings/str_cat.h"
#include "jackdawshunt/base/log.h"
#include "jackdawshunt/protocol/internal/link.h"

namespace jackdawshunt::protocol {
namespace {

using internal::Link;

constexpr kernel::Duration kFirstBackoff = std::chrono::milliseconds(50);
constexpr kernel::Duration kMaxBackoff = std::chrono::seconds(2);
// Most connections in the handshake. Further ones are closed at once, so that
// unauthenticated peers cannot exhaust the process's sockets.
constexpr size_t kMaxHandshakes = 1024;
constexpr int kListenBacklog = 1024;

absl::StatusOr<uint16_t> BoundPort(evutil_socket_t fd) {
  sockaddr_storage storage = {};
  socklen_t size = sizeof(storage);
  if (getsockname(fd, reinterpret_cast<sockaddr*>(&storage), &size) != 0) {
    return absl::UnavailableError("cannot read the bound port");
  }
  return ntohs(storage.ss_family == AF_INET6
                   ? reinterpret_cast<sockaddr_in6*>(&storage)->sin6_port
                   : reinterpret_cast<sockaddr_in*>(&storage)->sin_port);
}

}  // namespace

struct Listener::Impl {
  Impl(kernel::EventLoop& event_loop, Identity own, ConnectionLimits bounds)
      : loop(event_loop), identity(std::move(own)), limits(bounds) {}
  ~Impl();
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void HandleAccept(evutil_socket_t fd);

  kernel::EventLoop& loop;
  Identity identity;
  ConnectionLimits limits;
  evconnlistener* listener = nullptr;
  Handler handler;
  size_t open_handshakes = 0;
  std::set<std::shared_ptr<Link>> links;
};

Listener::Impl::~Impl() {
  for (const auto& link : links) {
    link->DetachAndClose("the listener was destroyed");
  }
  if (listener != nullptr) {
    evconnlistener_free(listener);
  }
}

void Listener::Impl::HandleAccept(evutil_socket_t fd) {
  if (open_handshakes >= kMaxHandshakes) {
    base::Log(base::LogLevel::kWarning, "too_many_handshakes",
              {{"open", open_handshakes}});
    evutil_closesocket(fd);
    return;
  }
  ++open_handshakes;
  const auto link = std::make_shared<Link>(
      loop, identity, internal::Endpoint::kListener, limits,
      Link::OwnerCallbacks{.on_ready =
                               [this](const std::shared_ptr<Link>& ready) {
                                 --open_handshakes;
                                 if (handler) {
                                   handler(ready);
                                 }
                               },
                           .on_closed =
                               [this](const std::shared_ptr<Link>& closed) {
                                 if (!closed->is_ready()) {
                                   --open_handshakes;
                                 }
                                 links.erase(closed);
                               }});
  links.insert(link);
  link->Accept(fd);
}

Listener::Listener(kernel::EventLoop& loop,
                   Identity identity,
                   ConnectionLimits limits)
    : impl_(std::make_unique<Impl>(loop, std::move(identity), limits)) {}

Listener::~Listener() = default;

void Listener::OnConnection(Handler handler) {
  impl_->handler = std::move(handler);
}

absl::StatusOr<uint16_t> Listener::Listen(const http::Address& address) {
  sockaddr_storage storage;
  int size = 0;
  if (!internal::ParseAddress(address, storage, size)) {
    return absl::UnavailableError(
        absl::StrCat("\"", address.ip, "\" is not an IP address"));
  }
  impl_->listener = evconnlistener_new_bind(
      impl_->loop.base(),
      [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
        static_cast<Impl*>(self)->HandleAccept(fd);
      },
      impl_.get(),
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
      kListenBacklog, reinterpret_cast<sockaddr*>(&storage), size);
  if (impl_->listener == nullptr) {
    return absl::UnavailableError(absl::StrCat(
        "cannot listen on ", address.ToString(), ": ", std::strerror(errno)));
  }
  return BoundPort(evconnlistener_get_fd(impl_->listener));
}

void Listener::StopListening() {
  if (impl_->listener != nullptr) {
    evconnlistener_free(std::exchange(impl_->listener, nullptr));
  }
}

struct Dialer::Impl {
  Impl(kernel::EventLoop& event_loop,
       Identity own,
       http::Address target,
       ConnectionLimits bounds)
      : loop(event_loop),
        identity(std::move(own)),
        address(std::move(target)),
        limits(bounds) {}
  ~Impl() {
    if (link) {
      link->DetachAndClose("the dialer was destroyed");
    }
  }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void Dial();
  void ScheduleDial();

  kernel::EventLoop& loop;
  Identity identity;
  http::Address address;
  ConnectionLimits limits;
  Handler handler;
  std::shared_ptr<Link> link;
  kernel::Duration backoff = kFirstBackoff;
  kernel::Timer timer;
  absl::BitGen random;
};

void Dialer::Impl::Dial() {
  link = std::make_shared<Link>(
      loop, identity, internal::Endpoint::kDialer, limits,
      Link::OwnerCallbacks{.on_ready =
                               [this](const std::shared_ptr<Link>& ready) {
                                 backoff = kFirstBackoff;
                                 if (handler) {
                                   handler(ready);
                                 }
                               },
                           .on_closed =
                               [this](const std::shared_ptr<Link>& /*closed*/) {
                                 link.reset();
                                 ScheduleDial();
                               }});
  link->Connect(address);
}

void Dialer::Impl::ScheduleDial() {
  // Waits between half of the backoff and all of it, so that the peers of a
  // restarted process do not all dial at the same time.
  const kernel::Duration delay(
      absl::Uniform(random, backoff.count() / 2, backoff.count()));
  backoff = std::min(backoff * 2, kMaxBackoff);
  timer = loop.After(delay, [this] { Dial(); });
}

Dialer::Dialer(kernel::EventLoop& loop,
               Identity identity,
               http::Address address,
               ConnectionLimits limits)
    : impl_(std::make_unique<Impl>(loop,
                                   std::move(identity),
                                   std::move(address),
                                   limits)) {
  impl_->timer =
      loop.After(kernel::Duration(0), [impl = impl_.get()] { impl->Dial(); });
}

Dialer::~Dialer() = default;

void Dialer::OnConnection(Handler handler) {
  impl_->handler = std::move(handler);
}

}  // namespace jackdawshunt::protocol
