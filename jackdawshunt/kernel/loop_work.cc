#include "jackdawshunt/kernel/loop_work.h"

#include <sys/socket.h>

#include <array>

namespace jackdawshunt::kernel {
namespace {

constexpr std::array<std::string_view, 2> kKindNames = {"connection",
                                                        "message"};

}  // namespace

std::string_view LoopWorkKindName(LoopWorkKind kind) {
  return kKindNames.at(static_cast<size_t>(kind));
}

sockaddr_in PeerOf(int fd) {
  sockaddr_in peer{};
  socklen_t size = sizeof(peer);
  if (getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &size) != 0 ||
      peer.sin_family != AF_INET) {
    return {};
  }
  return peer;
}

}  // namespace jackdawshunt::kernel
