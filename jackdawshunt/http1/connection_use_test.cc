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

class FakeConnection {
 public:
  explicit FakeConnection(ConnectionUse use, bool has_unread_input = false)
      : use_(use), has_unread_input_(has_unread_input) {}

  ConnectionUse use() const { return use_; }
  bool HasUnreadInput() {
    if (has_unread_input_) {
      use_.state = ConnectionState::kBusy;
    }
    return has_unread_input_;
  }

 private:
  ConnectionUse use_;
  const bool has_unread_input_;
};

// Returns the index of the connection that yields, or the number of them.
size_t Chosen(std::vector<FakeConnection> connections) {
  return static_cast<size_t>(
      ChooseYielding(connections, kNow,
                     [](FakeConnection& connection) -> FakeConnection& {
                       return connection;
                     }) -
      connections.begin());
}
size_t Chosen(const std::vector<ConnectionUse>& uses) {
  return Chosen(std::vector<FakeConnection>(uses.begin(), uses.end()));
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
  const auto chosen = [](bool is_idle_one_unread) {
    return Chosen(std::vector<FakeConnection>{
        FakeConnection(Use(ConnectionState::kIdle, seconds(5)),
                       is_idle_one_unread),
        FakeConnection(Use(ConnectionState::kSilent, milliseconds(2)), true),
        FakeConnection(Use(ConnectionState::kSilent, milliseconds(1)), true)});
  };
  EXPECT_EQ(chosen(false), 0u);
  EXPECT_EQ(chosen(true), 3u);
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
