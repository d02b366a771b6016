#include "jackdawshunt/http1/connection_use.h"

#include <vector>

#include "gtest/gtest.h"

namespace jackdawshunt::http1 {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr kernel::TimePoint kNow(seconds(100));

ConnectionUse Use(ConnectionState state, kernel::Duration ago) {
  return {.state = state, .since = kNow - ago};
}

// Returns the index of the connection that yields, or the number of them.
size_t Chosen(const std::vector<ConnectionUse>& connections) {
  return static_cast<size_t>(
      ChooseYielding(
          connections, kNow, [](const ConnectionUse& use) { return use; },
          [](const ConnectionUse& /*use*/) { return false; }) -
      connections.begin());
}

TEST(ConnectionUseTest, IdleCallerYieldsBeforeASilentOne) {
  EXPECT_EQ(Chosen({Use(ConnectionState::kIdle, seconds(10)),
                    Use(ConnectionState::kSilent, milliseconds(1)),
                    Use(ConnectionState::kBusy, seconds(20))}),
            1u);
}

TEST(ConnectionUseTest, NewestSilentConnectionYields) {
  EXPECT_EQ(Chosen({Use(ConnectionState::kSilent, milliseconds(1)),
                    Use(ConnectionState::kSilent, seconds(3)),
                    Use(ConnectionState::kSilent, seconds(2))}),
            1u);
}

TEST(ConnectionUseTest, CallerBetweenTwoRequestsYields) {
  EXPECT_EQ(Chosen({Use(ConnectionState::kIdle, milliseconds(900))}), 1u);
  EXPECT_EQ(Chosen({Use(ConnectionState::kIdle, milliseconds(1000))}), 0u);
}

// Guards against a connection that is closed before its request is read, or one
// whose caller has just sent the next request.
TEST(ConnectionUseTest, ConnectionWithAnUnreadRequestYields) {
  std::vector<ConnectionUse> connections = {
      Use(ConnectionState::kIdle, seconds(5)),
      Use(ConnectionState::kSilent, milliseconds(2)),
      Use(ConnectionState::kSilent, milliseconds(1))};
  const auto chosen = [&connections](ConnectionState last_unread) {
    return ChooseYielding(
               connections, kNow, [](const ConnectionUse& use) { return use; },
               [&](ConnectionUse& use) {
                 const bool has_unread_input = use.state <= last_unread;
                 if (has_unread_input) {
                   use.state = ConnectionState::kBusy;
                 }
                 return has_unread_input;
               }) -
           connections.begin();
  };
  EXPECT_EQ(chosen(ConnectionState::kSilent), 0);
  EXPECT_EQ(chosen(ConnectionState::kIdle), 3);
}

TEST(ConnectionUseTest, BusyConnectionYields) {
  EXPECT_EQ(Chosen({Use(ConnectionState::kBusy, seconds(60))}), 1u);
}

TEST(ConnectionUseTest, ClosingConnectionKeepsItsDescriptor) {
  EXPECT_EQ(Chosen({Use(ConnectionState::kSilent, seconds(3)),
                    Use(ConnectionState::kClosing, milliseconds(1))}),
            1u);
}

}  // namespace
}  // namespace jackdawshunt::http1
