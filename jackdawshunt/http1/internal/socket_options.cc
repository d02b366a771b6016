#include "jackdawshunt/http1/internal/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>

#include "jackdawshunt/base/log.h"

namespace jackdawshunt::http1::internal {
namespace {

// A peer that disappeared is detected after kProbeIdleSeconds + kProbes *
// kProbeIntervalSeconds.
constexpr int kProbeIdleSeconds = 1;
constexpr int kProbeIntervalSeconds = 1;
constexpr int kProbes = 2;

// Beside what is in flight.
constexpr int kMaxUnsentBytes = 16 * 1024;

void Set(int fd, int level, int option, int value) {
  if (setsockopt(fd, level, option, &value, sizeof(value)) != 0) {
    base::Log(base::LogLevel::kDebug, "socket_option_failed",
              {{"option", option}, {"error", strerror(errno)}});
  }
}

bool IsSet(int fd, int level, int option) {
  int value = 0;
  socklen_t size = sizeof(value);
  return getsockopt(fd, level, option, &value, &size) == 0 && value != 0;
}

void SetKeepAlive(int fd) {
  Set(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  Set(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  Set(fd, IPPROTO_TCP, TCP_KEEPIDLE, kProbeIdleSeconds);
  Set(fd, IPPROTO_TCP, TCP_KEEPINTVL, kProbeIntervalSeconds);
  Set(fd, IPPROTO_TCP, TCP_KEEPCNT, kProbes);
}

}  // namespace

void SetCallerSocketOptions(int fd) {
  SetKeepAlive(fd);
  Set(fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, kMaxUnsentBytes);
}

void SetReceiveBuffer(int fd, size_t bytes) {
  Set(fd, SOL_SOCKET, SO_RCVBUF, static_cast<int>(bytes));
  // The buffer alone does not raise the window beyond that of the handshake.
  Set(fd, IPPROTO_TCP, TCP_WINDOW_CLAMP, static_cast<int>(bytes));
}

bool HasCallerSocketOptions(int fd) {
  return IsSet(fd, IPPROTO_TCP, TCP_NODELAY) &&
         IsSet(fd, SOL_SOCKET, SO_KEEPALIVE);
}

void SetUpstreamSocketOptions(int fd, kernel::Duration unacknowledged_timeout) {
  SetKeepAlive(fd);
  Set(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
      static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(
                           unacknowledged_timeout)
                           .count()));
}

void ResetOnClose(int fd) {
  const linger now{.l_onoff = 1, .l_linger = 0};
  if (setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now)) != 0) {
    base::Log(base::LogLevel::kDebug, "socket_option_failed",
              {{"option", SO_LINGER}, {"error", strerror(errno)}});
  }
}

}  // namespace jackdawshunt::http1::internal
