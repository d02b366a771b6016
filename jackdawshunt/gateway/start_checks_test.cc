#include "jackdawshunt/gateway/start_checks.h"

#include <sys/socket.h>
#include <unistd.h>

#include <optional>

#include "gtest/gtest.h"
#include "jackdawshunt/http1/listener.h"
#include "jackdawshunt/http1/server.h"

namespace jackdawshunt::gateway {
namespace {

// Returns whether the check says that the start at `address` may have ended.
std::optional<bool> Check(kernel::EventLoop& loop,
                          const http::Address& address) {
  routing::Router router({}, loop.clock().Now());
  StartChecks checks(loop, router);
  routing::Upstream upstream;
  upstream.id = "a";
  upstream.address = address;
  std::optional<bool> result;
  const StartChecks::Handle handle = checks.Check(
      upstream, [&result](bool may_have_ended) { result = may_have_ended; });
  loop.RunUntil([&result] { return result.has_value(); },
                std::chrono::seconds(20));
  return result;
}

// Resets the connection, as an upstream at its limit of connections does.
void Reset(int fd) {
  const linger now{.l_onoff = 1, .l_linger = 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  close(fd);
}

// Guards against an answer that is taken as complete because it could not be
// found out whether its upstream runs.
TEST(StartChecksTest, OnlyAnAcceptedConnectionShowsThatAStartGoesOn) {
  kernel::EventLoop loop;
  http::Address address{"127.0.0.1", 0};
  {
    const auto listener =
        *http1::Listener::Bind(loop, address, [](int fd) { Reset(fd); });
    address.port = listener->port();
    EXPECT_EQ(Check(loop, address), false);
  }
  EXPECT_EQ(Check(loop, address), true);
  // Cannot be connected to, and does not refuse.
  EXPECT_EQ(Check(loop, {"255.255.255.255", 1}), true);
}

}  // namespace
}  // namespace jackdawshunt::gateway
