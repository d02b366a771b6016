#include "jackdawshunt/protocol/connection.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "jackdawshunt/protocol/codec.h"
#include "jackdawshunt/protocol/internal/frame.h"
#include "jackdawshunt/protocol/internal/handshake.h"

namespace jackdawshunt::protocol {
namespace {

using internal::Endpoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Limits for tests that wait for the silence limit to pass.
constexpr ConnectionLimits kShortLimits = {.silence_limit = milliseconds(80)};

Identity MakeIdentity(std::string instance, std::string key = "fleet-key") {
  Identity identity;
  identity.self.instance = std::move(instance);
  identity.self.region = "pnw-west";
  identity.self.data_centre = "tacoma-a";
  identity.self.incarnation = base::NewIncarnation();
  identity.fleet_key = std::move(key);
  return identity;
}

// A plain socket that can send bytes that no Connection sends.
class RawPeer {
 public:
  explicit RawPeer(int fd) : fd_(fd) {
    fcntl(fd_, F_SETFL, fcntl(fd_, F_GETFL) | O_NONBLOCK);
  }
  ~RawPeer() { close(fd_); }
  RawPeer(const RawPeer&) = delete;
  RawPeer& operator=(const RawPeer&) = delete;

  static std::unique_ptr<RawPeer> Dial(uint16_t port) {
    sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons(port)};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    EXPECT_EQ(
        connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
    return std::make_unique<RawPeer>(fd);
  }

  void Send(const std::string& bytes) {
    sent_ += bytes;
    EXPECT_EQ(send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(bytes.size()));
  }
  void SendHandshake(std::string_view body) {
    Send(internal::BuildFrame(FrameKind::kHandshake, body));
  }
  // Reads the received bytes. Returns true once the peer has closed.
  bool IsClosed() {
    char bytes[4096];
    const ssize_t size = recv(fd_, bytes, sizeof(bytes), 0);
    if (size > 0) {
      frames_.Append(std::string_view(bytes, static_cast<size_t>(size)));
    }
    return size == 0 || (size < 0 && errno != EAGAIN);
  }
  // Returns the next received handshake body, or nullopt.
  std::optional<std::string> NextBody() {
    IsClosed();
    const auto frame = frames_.Next(kMaxFrameBytes).value();
    return frame.has_value() ? std::optional<std::string>(frame->body)
                             : std::nullopt;
  }
  const std::string& sent() const { return sent_; }

 private:
  int fd_;
  internal::FrameReader frames_;
  std::string sent_;
};

class ConnectionTest : public testing::Test {
 protected:
  void Listen(ConnectionLimits limits = {}) {
    listener_ = std::make_unique<Listener>(loop_, MakeIdentity("a"), limits);
    listener_->OnConnection([this](std::shared_ptr<Connection> c) {
      accepted_ = std::move(c);
      accepted_->OnClosed(
          [this](std::string_view reason) { close_reason_ = reason; });
    });
    address_.port = listener_->Listen(address_).value();
  }
  void Dial(ConnectionLimits limits = {}) {
    dialer_ =
        std::make_unique<Dialer>(loop_, MakeIdentity("b"), address_, limits);
    dialer_->OnConnection(
        [this](std::shared_ptr<Connection> c) { dialed_ = std::move(c); });
  }
  // Starts a listener and a dialer and waits until both are connected.
  void ConnectBoth(ConnectionLimits limits = {}) {
    Listen(limits);
    Dial(limits);
    ASSERT_TRUE(Wait([this] { return accepted_ && dialed_; }));
  }
  bool Wait(const std::function<bool()>& done) {
    return loop_.RunUntil(done, seconds(20));
  }
  std::string WaitForBody(RawPeer& peer) {
    std::optional<std::string> body;
    EXPECT_TRUE(Wait([&] { return (body = peer.NextBody()).has_value(); }));
    return body.value_or("");
  }
  // Runs the dialer's part of the handshake up to its proof.
  std::unique_ptr<RawPeer> HandshakeAs(const Identity& identity) {
    auto peer = RawPeer::Dial(address_.port);
    internal::Handshake handshake(identity, Endpoint::kDialer);
    peer->SendHandshake(handshake.hello());
    const auto proof = handshake.Receive(WaitForBody(*peer));
    peer->SendHandshake(**proof);
    return peer;
  }
  // Returns a plain listening socket and sets `address_` to its address.
  int ListenRaw() {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = {.sin_family = AF_INET};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* const generic = reinterpret_cast<sockaddr*>(&address);
    EXPECT_EQ(bind(fd, generic, size), 0);
    EXPECT_EQ(listen(fd, 8), 0);
    EXPECT_EQ(getsockname(fd, generic, &size), 0);
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
    address_.port = ntohs(address.sin_port);
    return fd;
  }
  std::unique_ptr<RawPeer> AcceptRaw(int listener) {
    int fd = -1;
    EXPECT_TRUE(
        Wait([&] { return (fd = accept(listener, nullptr, nullptr)) >= 0; }));
    return std::make_unique<RawPeer>(fd);
  }

  kernel::EventLoop loop_;
  http::Address address_;
  std::unique_ptr<Listener> listener_;
  std::unique_ptr<Dialer> dialer_;
  std::shared_ptr<Connection> accepted_;
  std::shared_ptr<Connection> dialed_;
  std::string close_reason_;
};

TEST_F(ConnectionTest,
       MessagesReceivedBeforeTheHandlerIsSetAreDeliveredInOrder) {
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
}

// Guards against control traffic counted as callers' data.
TEST_F(ConnectionTest, TrafficCountsControlAndDataSeparately) {
  ConnectBoth();
  const uint64_t control = ProcessTraffic().control_bytes_sent;
  const uint64_t data = ProcessTraffic().data_bytes_sent;
  dialed_->Send(Grant{.grant = 1});
  EXPECT_EQ(ProcessTraffic().control_bytes_sent - control,
            Encode(Grant{.grant = 1}).size());
  EXPECT_EQ(ProcessTraffic().data_bytes_sent, data);
  dialed_->Send(Chunk{.request = "r"});
  EXPECT_EQ(ProcessTraffic().data_bytes_sent - data,
            Encode(Chunk{.request = "r"}).size());
}

// Guards against a dialer that does not reconnect after a connection loss.
TEST_F(ConnectionTest, DialerReconnectsAfterConnectionLoss) {
  ConnectBoth();
  const auto first = std::exchange(dialed_, nullptr);
  bool closed = false;
  first->OnClosed([&](std::string_view) { closed = true; });
  accepted_->Close("test");
  EXPECT_TRUE(Wait([&] { return closed && dialed_ != nullptr; }));
  EXPECT_FALSE(first->is_open());
  EXPECT_TRUE(dialed_->is_open());
}

// Guards against a use after free when a handler closes the connection or
// destroys its owner between two messages of one read.
TEST_F(ConnectionTest, HandlerMayCloseAndDestroyTheOwner) {
  ConnectBoth();
  int messages = 0;
  accepted_->OnMessage([&](const Message&) {
    ++messages;
    listener_.reset();
    accepted_.reset();
  });
  dialed_->Send(Decline{.grant = 1});
  dialed_->Send(Decline{.grant = 2});
  EXPECT_TRUE(Wait([&] { return !dialed_->is_open(); }));
  EXPECT_EQ(messages, 1);
}

TEST_F(ConnectionTest, ListenerRefusesAWrongKey) {
  Listen();
  const auto peer = HandshakeAs(MakeIdentity("b", "other-key"));
  EXPECT_TRUE(Wait([&] { return peer->IsClosed(); }));
  EXPECT_EQ(accepted_, nullptr);
}

// Guards against an eavesdropper that replays a recorded handshake.
TEST_F(ConnectionTest, ListenerRefusesAReplayedHandshake) {
  Listen();
  const auto genuine = HandshakeAs(MakeIdentity("b"));
  ASSERT_TRUE(Wait([&] { return accepted_ != nullptr; }));
  accepted_.reset();
  const auto replay = RawPeer::Dial(address_.port);
  replay->Send(genuine->sent());
  EXPECT_TRUE(Wait([&] { return replay->IsClosed(); }));
  EXPECT_EQ(accepted_, nullptr);
}

// Guards against a listener without the key that reflects the dialer's own
// frames.
TEST_F(ConnectionTest, DialerRefusesReflectedProofAndDialsAgain) {
  const int listener = ListenRaw();
  Dial();
  const auto peer = AcceptRaw(listener);
  peer->SendHandshake(WaitForBody(*peer));
  peer->SendHandshake(WaitForBody(*peer));
  EXPECT_TRUE(Wait([&] { return peer->IsClosed(); }));
  EXPECT_EQ(dialed_, nullptr);
  AcceptRaw(listener);
  close(listener);
}

TEST_F(ConnectionTest, DialerRefusesAListenerWithAWrongKey) {
  const int listener = ListenRaw();
  Dial();
  const auto peer = AcceptRaw(listener);
  internal::Handshake handshake(MakeIdentity("a", "other-key"),
                                Endpoint::kListener);
  peer->SendHandshake(handshake.hello());
  EXPECT_TRUE(handshake.Receive(WaitForBody(*peer)).ok());
  EXPECT_FALSE(handshake.Receive(WaitForBody(*peer)).ok());
  peer->SendHandshake(std::string(64, '0'));
  EXPECT_TRUE(Wait([&] { return peer->IsClosed(); }));
  EXPECT_EQ(dialed_, nullptr);
  close(listener);
}

// Guards against unauthenticated peers whose input is processed or buffered.
TEST_F(ConnectionTest, UnauthenticatedMessagesAndLongFramesAreRefused) {
  Listen();
  const std::vector<std::string> inputs = {
      Encode(Decline{.grant = 1}),
      internal::BuildFrame(FrameKind::kHandshake, "{}"),
      internal::BuildFrame(FrameKind::kHandshake,
                           std::string(internal::kMaxHandshakeBytes, '[')),
      "GET / HTTP/1.1\r\n\r\n"};
  for (const std::string& input : inputs) {
    const auto peer = RawPeer::Dial(address_.port);
    peer->Send(input);
    EXPECT_TRUE(Wait([&] { return peer->IsClosed(); })) << input.substr(0, 80);
  }
  EXPECT_EQ(accepted_, nullptr);
}

TEST_F(ConnectionTest, MalformedMessageClosesTheConnection) {
  Listen();
  const auto peer = HandshakeAs(MakeIdentity("b"));
  peer->Send(internal::BuildFrame(FrameKind::kJsonRpc, "{}"));
  EXPECT_TRUE(Wait([&] { return peer->IsClosed(); }));
  EXPECT_NE(close_reason_, "");
}

TEST_F(ConnectionTest, IncompleteHandshakeTimesOut) {
  Listen(kShortLimits);
  const auto peer = RawPeer::Dial(address_.port);
  EXPECT_TRUE(Wait([&] { return peer->IsClosed(); }));
  EXPECT_EQ(accepted_, nullptr);
}

// Guards against a dialer that waits forever for a listener that accepts and
// sends nothing.
TEST_F(ConnectionTest, DialerReconnectsWhenTheListenerIsSilent) {
  const int listener = ListenRaw();
  Dial(kShortLimits);
  const auto first = AcceptRaw(listener);
  AcceptRaw(listener);
  close(listener);
}

// Guards against an established connection that stays open without traffic.
TEST_F(ConnectionTest, ConnectionToASilentPeerIsClosed) {
  Listen(kShortLimits);
  const auto peer = HandshakeAs(MakeIdentity("b"));
  EXPECT_TRUE(Wait([&] { return !close_reason_.empty(); }));
  EXPECT_EQ(close_reason_, "nothing received within the silence limit");
}

// Guards against a connection that fails only in the direction to the peer.
TEST_F(ConnectionTest, ConnectionToAPeerThatSendsButDoesNotReadIsClosed) {
  Listen(kShortLimits);
  const auto peer = HandshakeAs(MakeIdentity("b"));
  ASSERT_TRUE(Wait([&] { return accepted_ != nullptr; }));
  accepted_->OnMessage([](const Message&) {});
  // Exceeds the buffers of both sockets.
  const Chunk chunk{.data = std::string(size_t{1024} * 1024, 'x')};
  for (int i = 0; i < 32; ++i) {
    accepted_->Send(chunk);
  }
  const kernel::Timer heartbeat_timer =
      loop_.Every(kShortLimits.silence_limit / 8, [&] {
        if (close_reason_.empty()) {
          peer->Send(Encode(Heartbeat()));
        }
      });
  EXPECT_TRUE(Wait([&] { return !close_reason_.empty(); }));
  EXPECT_EQ(close_reason_, "nothing sent within the silence limit");
}

TEST_F(ConnectionTest, HeartbeatsKeepAConnectionOpen) {
  ConnectBoth({.silence_limit = milliseconds(400)});
  int heartbeats = 0;
  accepted_->OnMessage([&](const Message&) {
    ++heartbeats;
    accepted_->Send(Heartbeat());
  });
  dialed_->OnMessage([](const Message&) {});
  const kernel::Timer timer =
      loop_.Every(milliseconds(50), [&] { dialed_->Send(Heartbeat()); });
  EXPECT_TRUE(Wait([&] { return heartbeats == 20 || !close_reason_.empty(); }));
  EXPECT_EQ(close_reason_, "");
}

// Guards against a process that was busy or paused for longer than the limit
// and counts that time as silence of its peers.
TEST_F(ConnectionTest, OwnPauseIsNotCountedAsSilenceOfThePeer) {
  Listen(kShortLimits);
  const auto peer = HandshakeAs(MakeIdentity("b"));
  ASSERT_TRUE(Wait([&] { return accepted_ != nullptr; }));
  int messages = 0;
  accepted_->OnMessage([&](const Message&) { ++messages; });
  const kernel::TimePoint end =
      loop_.clock().Now() + 3 * kShortLimits.silence_limit;
  while (loop_.clock().Now() < end) {
  }
  peer->Send(Encode(Heartbeat()));
  EXPECT_TRUE(Wait([&] { return messages == 1 || !close_reason_.empty(); }));
  EXPECT_EQ(close_reason_, "");
}

// Guards against unbounded output buffers for a peer that reads slowly.
TEST_F(ConnectionTest, OutputBufferIsBounded) {
  Listen({.max_buffered_bytes = 100000});
  const auto peer = HandshakeAs(MakeIdentity("b"));
  ASSERT_TRUE(Wait([&] { return accepted_ != nullptr; }));
  accepted_->Send(Chunk{.data = std::string(50000, 'x')});
  EXPECT_TRUE(accepted_->is_open());
  accepted_->Send(Chunk{.data = std::string(200000, 'x')});
  EXPECT_FALSE(accepted_->is_open());
  EXPECT_TRUE(Wait([&] { return !close_reason_.empty(); }));
}

// Guards against the loss of records that together exceed a frame.
TEST_F(ConnectionTest, LongConfigPushIsDeliveredInParts) {
  ConnectBoth();
  ConfigPush push;
  for (int i = 0; i < 5; ++i) {
    push.records.push_back({.key = "config/workspace/" + std::to_string(i),
                            .value = std::string(700000, '"')});
  }
  std::vector<ConfigRecord> received;
  accepted_->OnMessage([&](const Message& message) {
    for (const auto& record : std::get<ConfigPush>(message).records) {
      received.push_back(record);
    }
  });
  dialed_->Send(push);
  EXPECT_TRUE(Wait([&] { return received.size() == push.records.size(); }));
  EXPECT_EQ(received, push.records);
}

}  // namespace
}  // namespace jackdawshunt::protocol
