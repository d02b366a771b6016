#include "jackdawshunt/board/datagram_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include "absl/strings/str_cat.h"
#include "event2/event.h"
#include "event2/util.h"
#include "jackdawshunt/http/socket_address.h"
#include "jackdawshunt/kernel/loop_work.h"

namespace jackdawshunt::board {
namespace {

constexpr size_t kMaxDatagramBytes = 65536;
// Datagrams read in one iteration of the loop. An instance that is short of
// processor time sends hundreds of queries in one iteration; with a lower limit
// the replies would pile up, and all of them would be read too late.
constexpr int kMaxReadsPerIteration = 2048;

}  // namespace

struct DatagramSocket::Impl {
  ~Impl() {
    if (readable != nullptr) {
      event_free(readable);
    }
    if (fd >= 0) {
      close(fd);
    }
  }

  void ReadDatagrams() {
    std::array<char, kMaxDatagramBytes> buffer;
    for (int i = 0; i < kMaxReadsPerIteration; ++i) {
      sockaddr_in from{};
      socklen_t length = sizeof(from);
      const ssize_t count =
          recvfrom(fd, buffer.data(), buffer.size(), 0,
                   reinterpret_cast<sockaddr*>(&from), &length);
      if (count < 0) {
        return;
      }
      const kernel::LoopWork work(kernel::LoopWorkKind::kMessage, from);
      std::array<char, INET_ADDRSTRLEN> ip{};
      inet_ntop(AF_INET, &from.sin_addr, ip.data(), ip.size());
      receiver({ip.data(), ntohs(from.sin_port)},
               {buffer.data(), static_cast<size_t>(count)});
    }
  }

  int fd = -1;
  event* readable = nullptr;
  Receiver receiver;
  uint64_t dropped = 0;
};

DatagramSocket::DatagramSocket(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}
DatagramSocket::~DatagramSocket() = default;

absl::StatusOr<std::unique_ptr<DatagramSocket>> DatagramSocket::Bind(
    kernel::EventLoop& loop,
    const http::Address& address,
    Receiver receiver) {
  const auto bound = http::ToSocketAddress(address);
  auto impl = std::make_unique<Impl>();
  impl->receiver = std::move(receiver);
  impl->fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (!bound.has_value() || impl->fd < 0 ||
      bind(impl->fd, reinterpret_cast<const sockaddr*>(&*bound),
           sizeof(*bound)) != 0) {
    return absl::UnavailableError(absl::StrCat(
        "cannot bind UDP at ", address.ToString(), ": ", strerror(errno)));
  }
  impl->readable = event_new(
      loop.base(), impl->fd, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* context) {
        static_cast<Impl*>(context)->ReadDatagrams();
      },
      impl.get());
  event_add(impl->readable, nullptr);
  return std::unique_ptr<DatagramSocket>(new DatagramSocket(std::move(impl)));
}

void DatagramSocket::Send(const http::Address& to, std::string_view bytes) {
  const auto address = http::ToSocketAddress(to);
  if (!address.has_value() ||
      sendto(impl_->fd, bytes.data(), bytes.size(), MSG_NOSIGNAL,
             reinterpret_cast<const sockaddr*>(&*address),
             sizeof(*address)) < 0) {
    ++impl_->dropped;
  }
}

uint16_t DatagramSocket::port() const {
  sockaddr_in bound{};
  socklen_t length = sizeof(bound);
  if (getsockname(impl_->fd, reinterpret_cast<sockaddr*>(&bound), &length) !=
      0) {
    return 0;
  }
  return ntohs(bound.sin_port);
}

uint64_t DatagramSocket::dropped() const {
  return impl_->dropped;
}

}  // namespace jackdawshunt::board
