#include "jackdawshunt/http1/internal/socket_stream.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include "event2/event.h"
#include "event2/util.h"
#include "jackdawshunt/http/socket_address.h"
#include "jackdawshunt/http1/internal/release.h"
#include "jackdawshunt/http1/internal/socket_options.h"
#include "jackdawshunt/kernel/loop_work.h"

namespace jackdawshunt::http1::internal {
namespace {

constexpr size_t kReadBufferBytes = size_t{32} * 1024;
// Sent bytes are erased from the front of the output buffer once there are this
// many.
constexpr size_t kCompactBytes = size_t{64} * 1024;
// So much of a body is copied behind its head, to send both at once.
constexpr size_t kCopiedBodyBytes = size_t{16} * 1024;

bool IsTemporary(int error) {
  return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

}  // namespace

SocketStream::SocketStream(kernel::EventLoop& loop, Owner& owner)
    : loop_(loop), owner_(owner) {}

SocketStream::~SocketStream() {
  Close();
}

void SocketStream::Adopt(int fd) {
  fd_ = fd;
  peer_ = kernel::PeerOf(fd);
  StartEvents();
  SetReading(true);
}

bool SocketStream::Connect(const http::Address& address) {
  const auto to = http::ToSocketAddress(address);
  if (!to.has_value()) {
    return false;
  }
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd_ < 0) {
    return false;
  }
  // Before the handshake, which announces the window.
  SetReceiveBuffer(fd_, kLargeReceiveBufferBytes);
  if (connect(fd_, reinterpret_cast<const sockaddr*>(&*to), sizeof(*to)) != 0 &&
      errno != EINPROGRESS) {
    was_refused_ = errno == ECONNREFUSED;
    close(std::exchange(fd_, -1));
    return false;
  }
  is_connecting_ = true;
  peer_ = *to;
  StartEvents();
  event_add(write_event_, nullptr);
  return true;
}

void SocketStream::StartEvents() {
  read_event_ = event_new(
      loop_.base(), fd_, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* context) {
        static_cast<SocketStream*>(context)->OnReadable();
      },
      this);
  write_event_ = event_new(
      loop_.base(), fd_, EV_WRITE,
      [](evutil_socket_t, short, void* context) {
        static_cast<SocketStream*>(context)->OnWritable();
      },
      this);
}

void SocketStream::SetReading(bool is_reading) {
  if (!is_open() || is_reading == is_reading_) {
    return;
  }
  is_reading_ = is_reading;
  if (is_reading) {
    event_add(read_event_, nullptr);
  } else {
    event_del(read_event_);
  }
}

void SocketStream::Close() {
  if (!is_open()) {
    return;
  }
  event_free(std::exchange(read_event_, nullptr));
  event_free(std::exchange(write_event_, nullptr));
  close(std::exchange(fd_, -1));
  DropOutput();
  is_reading_ = false;
}

void SocketStream::DropOutput() {
  Release(output_);
  output_sent_ = 0;
  shared_.reset();
  shared_sent_ = 0;
}

void SocketStream::OnReadable() {
  const kernel::LoopWork work(kernel::LoopWorkKind::kConnection, peer_);
  static std::array<char, kReadBufferBytes> buffer;
  const ssize_t count = recv(fd_, buffer.data(), buffer.size(), 0);
  if (count > 0) {
    owner_.OnData({buffer.data(), static_cast<size_t>(count)});
    return;
  }
  if (count < 0 && IsTemporary(errno)) {
    return;
  }
  owner_.OnEnd(count == 0 && !has_failed_ ? End::kClosed : End::kReset);
}

void SocketStream::OnWritable() {
  const kernel::LoopWork work(kernel::LoopWorkKind::kConnection, peer_);
  if (is_connecting_) {
    is_connecting_ = false;
    int error = 0;
    socklen_t length = sizeof(error);
    getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &length);
    // The kernel reports a reset before the connection was established as
    // refused.
    was_accepted_ = error == 0 || error == ECONNRESET || error == EPIPE;
    if (error != 0) {
      was_refused_ = error == ECONNREFUSED;
      owner_.OnEnd(End::kReset);
      return;
    }
    SetReading(true);
    owner_.OnConnected();
    return;
  }
  const size_t before = unwritten();
  if (Flush()) {
    owner_.OnDrained();
  } else if (unwritten() < before) {
    owner_.OnPartlySent();
  }
}

void SocketStream::Write(std::string_view data) {
  if (!is_open() || has_failed_) {
    return;
  }
  if (unwritten() == 0) {
    const ssize_t count = send(fd_, data.data(), data.size(), MSG_NOSIGNAL);
    if (count >= 0) {
      data.remove_prefix(static_cast<size_t>(count));
    } else if (!IsTemporary(errno)) {
      has_failed_ = true;
      return;
    }
    if (data.empty()) {
      return;
    }
    event_add(write_event_, nullptr);
  }
  if (shared_ != nullptr) {
    output_.append(*shared_, shared_sent_);
    shared_.reset();
    shared_sent_ = 0;
  }
  output_.append(data);
}

void SocketStream::Write(std::string_view head,
                         std::shared_ptr<const std::string> body) {
  std::string first;
  first.reserve(head.size() + std::min(body->size(), kCopiedBodyBytes));
  first.append(head).append(*body, 0, kCopiedBodyBytes);
  Write(first);
  if (!is_open() || has_failed_ || body->size() <= kCopiedBodyBytes) {
    return;
  }
  shared_ = std::move(body);
  shared_sent_ = kCopiedBodyBytes;
  if (output_.empty()) {
    Flush();
  }
}

bool SocketStream::has_undelivered_output() const {
  int unacknowledged = 0;
  return unwritten() > 0 ||
         (is_open() && ioctl(fd_, SIOCOUTQ, &unacknowledged) == 0 &&
          unacknowledged > 0);
}

bool SocketStream::FlushPart(const std::string& data, size_t* sent) {
  while (*sent < data.size()) {
    const ssize_t count =
        send(fd_, data.data() + *sent, data.size() - *sent, MSG_NOSIGNAL);
    if (count < 0) {
      if (IsTemporary(errno)) {
        event_add(write_event_, nullptr);
      } else {
        has_failed_ = true;
        DropOutput();
      }
      return false;
    }
    *sent += static_cast<size_t>(count);
  }
  return true;
}

bool SocketStream::Flush() {
  if (!FlushPart(output_, &output_sent_) ||
      (shared_ != nullptr && !FlushPart(*shared_, &shared_sent_))) {
    if (output_sent_ >= kCompactBytes) {
      output_.erase(0, std::exchange(output_sent_, 0));
    }
    return false;
  }
  DropOutput();
  return true;
}

}  // namespace jackdawshunt::http1::internal
