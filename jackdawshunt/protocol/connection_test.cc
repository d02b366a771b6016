#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "jackdawshunt/protocol/connection.h"

namespace jackdawshunt::protocol {
namespace {

using std::chrono::seconds;

Identity MakeIdentity(std::string instance, std::string key = "fleet-key") {
  Identity identity;
  identity.self.instance = std::move(instance);
  identity.self.region = "pnw-west";
  identity.self.data_centre = "tacoma-a";
  identity.self.incarnation = base::NewIncarnation();
  identity.fleet_key = std::move(key);
  return identity;
}

class ConnectionTest : public testing::Test {
 protected:
  // Starts a listener and a dialer and waits until both have a connection.
  void ConnectBoth(ConnectionLimits limits = {}) {
    listener_ = std::make_unique<Listener>(loop_, MakeIdentity("a"), limits);
    listener_->OnConnection(
        [this](std::shared_ptr<Connection> c) { accepted_ = std::move(c); });
    address_.port = listener_->Listen(address_).value();
    dialer_ =
        std::make_unique<Dialer>(loop_, MakeIdentity("b"), address_, limits);
    dialer_->OnConnection(
        [this](std::shared_ptr<Connection> c) { dialed_ = std::move(c); });
    ASSERT_TRUE(Wait([this] { return accepted_ && dialed_; }));
  }
  bool Wait(const std::function<bool()>& done) {
    return loop_.RunUntil(done, seconds(20));
  }

  kernel::EventLoop loop_;
  http::Address address_;
  std::unique_ptr<Listener> listener_;
  std::unique_ptr<Dialer> dialer_;
  std::shared_ptr<Connection> accepted_;
  std::shared_ptr<Connection> dialed_;
};

TEST_F(ConnectionTest, MessagesArriveInOrderAlsoBeforeTheHandlerIsSet) {
  ConnectBoth();
  EXPECT_EQ(accepted_->peer().instance, "b");
  EXPECT_EQ(dialed_->peer().data_centre, "tacoma-a");
  const uint64_t before = ProcessTraffic().data_bytes_received;
  dialed_->Send(Decline{.grant = 1});
  dialed_->Send(Chunk{.request = "r", .data = "x"});
  ASSERT_TRUE(
      Wait([&] { return ProcessTraffic().data_bytes_received > before; }));
  std::vector<std::string> names;
  accepted_->OnMessage(
      [&](const Message& m) { names.emplace_back(MessageName(m)); });
  dialed_->Send(Decline{.grant = 2});
  ASSERT_TRUE(Wait([&] { return names.size() == 3; }));
  EXPECT_EQ(names, (std::vector<std::string>{"decline", "chunk", "decline"}));
  EXPECT_EQ(ProcessTraffic().messages_sent.at("decline"),
            ProcessTraffic().messages_received.at("decline"));
}

// Guards against a dialer that gives up after the loss of its connection.
TEST_F(ConnectionTest, DialerConnectsAgainAfterALoss) {
  ConnectBoth();
  const auto first = std::exchange(dialed_, nullptr);
  bool closed = false;
  first->OnClosed([&](std::string_view) { closed = true; });
  accepted_->Close("test");
  EXPECT_TRUE(Wait([&] { return closed && dialed_ != nullptr; }));
  EXPECT_FALSE(first->is_open());
  EXPECT_TRUE(dialed_->is_open());
}

}  // namespace
}  // namespace jackdawshunt::protocol
