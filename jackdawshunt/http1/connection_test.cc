#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "event2/buffer.h"
#include "event2/bufferevent.h"
#include "event2/util.h"
#include "gtest/gtest.h"
#include "jackdawshunt/http/socket_address.h"
#include "jackdawshunt/http1/client.h"
#include "jackdawshunt/http1/listener.h"
#include "jackdawshunt/http1/server.h"
#include "jackdawshunt/kernel/loop_work.h"

namespace jackdawshunt::http1 {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Accepts connections and sends the raw bytes that the test writes.
class RawServer {
 public:
  explicit RawServer(kernel::EventLoop& loop) : loop_(loop) {
    listener_ = *Listener::Bind(loop, {"127.0.0.1", 0},
                                [this](int fd) { fds_.push_back(fd); });
  }
  ~RawServer() {
    for (const int fd : fds_) {
      close(fd);
    }
  }

  http::Address address() const { return {"127.0.0.1", listener_->port()}; }
  void AwaitConnections(size_t count) {
    ASSERT_TRUE(
        loop_.RunUntil([&] { return fds_.size() >= count; }, seconds(20)));
  }
  void Write(std::string_view text) {
    ASSERT_EQ(write(fds_.back(), text.data(), text.size()),
              static_cast<ssize_t>(text.size()));
  }
  // Returns how many bytes of `text` the kernel took.
  size_t WriteWhatFits(std::string_view text) {
    const ssize_t count = send(fds_.back(), text.data(), text.size(),
                               MSG_DONTWAIT | MSG_NOSIGNAL);
    return static_cast<size_t>(std::max<ssize_t>(count, 0));
  }
  // Returns how many bytes the peer's kernel has not received.
  size_t unacknowledged() const {
    int count = 0;
    EXPECT_EQ(ioctl(fds_.back(), SIOCOUTQ, &count), 0);
    return static_cast<size_t>(count);
  }
  void Close() {
    // Reads all input first, since a close with unread bytes sends a reset.
    std::array<char, 4096> buffer;
    while (recv(fds_.back(), buffer.data(), buffer.size(), MSG_DONTWAIT) > 0) {
    }
    close(fds_.back());
    fds_.pop_back();
  }
  // Sends no more on the last connection, and does not read from it.
  void ShutDown() { shutdown(fds_.back(), SHUT_WR); }
  // Returns all input up to the end of the last connection.
  std::string ReadAll() {
    std::string text;
    loop_.RunUntil(
        [&] {
          std::array<char, 4096> buffer;
          const ssize_t count =
              recv(fds_.back(), buffer.data(), buffer.size(), MSG_DONTWAIT);
          if (count > 0) {
            text.append(buffer.data(), static_cast<size_t>(count));
          }
          return count == 0;
        },
        seconds(20));
    return text;
  }
  void Reset() {
    const linger now{.l_onoff = 1, .l_linger = 0};
    setsockopt(fds_.back(), SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    close(fds_.back());
    fds_.pop_back();
  }

 private:
  kernel::EventLoop& loop_;
  std::unique_ptr<Listener> listener_;
  std::vector<int> fds_;
};

// Receives one response; a response with another "Id" header belongs to another
// request.
struct Receiver final : ResponseReceiver {
  bool MatchesRequest(const ResponseHead& head) override {
    return http::FindHeader(head.headers, "Id") == id;
  }
  bool IsStillWanted() override { return is_wanted; }
  void OnHead(const ResponseHead& head) override { status = head.status; }
  void OnBody(std::string_view data) override {
    body.append(data);
    if (const auto* work = kernel::LoopWork::current(); work != nullptr) {
      work_port = ntohs(work->peer().sin_port);
    }
  }
  bool IsOtherResponse(const ResponseHead&) override {
    return !may_hold_response;
  }
  void OnEnd() override { has_ended = true; }
  void OnLost(Loss with) override { loss = with; }
  bool is_done() const { return has_ended || loss.has_value(); }

  std::string id = "1";
  bool is_wanted = true;
  bool may_hold_response = true;
  int status = 0;
  std::string body;
  bool has_ended = false;
  std::optional<Loss> loss;
  int work_port = 0;  // Of the peer that the loop works on.
};

// Pauses reading at each part of the body, as for a caller that reads slowly.
struct PausingReceiver final : ResponseReceiver {
  explicit PausingReceiver(ClientConnection& on) : connection(on) {}
  bool MatchesRequest(const ResponseHead&) override { return true; }
  void OnHead(const ResponseHead&) override {}
  void OnBody(std::string_view) override { connection.PauseReading(); }
  void OnEnd() override { has_ended = true; }
  void OnLost(Loss) override {}

  ClientConnection& connection;
  bool has_ended = false;
};

class ClientConnectionTest : public ::testing::Test {
 protected:
  void Send(bool is_head_request = false) {
    connection_.Send(is_head_request ? "HEAD / HTTP/1.1\r\nHost: x\r\n\r\n"
                                     : "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
                     is_head_request, receiver_);
    server_.AwaitConnections(1);
  }
  void AwaitDone() {
    ASSERT_TRUE(
        loop_.RunUntil([&] { return receiver_.is_done(); }, seconds(20)));
  }

  // Completes a response during which reading was paused.
  void PauseUntilEnd() {
    PausingReceiver paused(connection_);
    connection_.Send("GET / HTTP/1.1\r\nHost: x\r\n\r\n", false, paused);
    server_.AwaitConnections(1);
    server_.Write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    ASSERT_TRUE(loop_.RunUntil([&] { return paused.has_ended; }, seconds(20)));
    ASSERT_TRUE(connection_.is_usable());
  }

  kernel::EventLoop loop_;
  RawServer server_{loop_};
  ClientConnection connection_{loop_, server_.address(), {}};
  Receiver receiver_;
};

TEST_F(ClientConnectionTest, ConnectionIsUsableAfterResponse) {
  Send();
  server_.Write(
      "HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=4\r\n"
      "Content-Length: 2\r\n\r\nok");
  AwaitDone();
  EXPECT_TRUE(receiver_.has_ended);
  EXPECT_EQ(receiver_.body, "ok");
  EXPECT_TRUE(connection_.is_usable());
  EXPECT_EQ(connection_.keep_alive(), kernel::Duration(seconds(4)));
}

// Guards against a report of a loop that does not return which cannot say which
// connection it works on.
TEST_F(ClientConnectionTest, WorkOnTheConnectionIsNotNamed) {
  Send();
  server_.Write("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok");
  AwaitDone();
  EXPECT_EQ(receiver_.work_port, server_.address().port);
  EXPECT_EQ(kernel::LoopWork::current(), nullptr);
}

// Guards against a reused connection whose response is never read because
// reading was paused when the previous response ended.
TEST_F(ClientConnectionTest, ReadsAgainAfterAPausedResponse) {
  PauseUntilEnd();
  Send();
  server_.Write("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok");
  AwaitDone();
  EXPECT_TRUE(receiver_.has_ended);
  EXPECT_EQ(receiver_.body, "ok");
}

// Guards against an idle connection whose end is not noticed for the same
// reason.
TEST_F(ClientConnectionTest, NoticesTheEndAfterAPausedResponse) {
  PauseUntilEnd();
  server_.Close();
  EXPECT_TRUE(
      loop_.RunUntil([&] { return !connection_.is_usable(); }, seconds(20)));
}

// Guards against a request that reaches an upstream after its caller has left,
// or after the upstream began to drain, because the connection took long to
// open.
TEST_F(ClientConnectionTest, SendsNothingThatIsNoLongerWanted) {
  receiver_.is_wanted = false;
  Send();
  AwaitDone();
  EXPECT_EQ(receiver_.loss, Loss::kWithdrawn);
  EXPECT_FALSE(connection_.is_usable());
  EXPECT_EQ(server_.ReadAll(), "");
}

TEST_F(ClientConnectionTest, SkipsResponseToAnotherRequest) {
  Send();
  server_.Write("HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 5\r\n\r\nother");
  server_.Write("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok");
  AwaitDone();
  EXPECT_EQ(receiver_.body, "ok");
  EXPECT_FALSE(connection_.is_usable());
}

TEST_F(ClientConnectionTest, ExtraResponseMakesConnectionUnusable) {
  Send();
  const std::string response =
      "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok";
  server_.Write(response + response);
  AwaitDone();
  EXPECT_EQ(receiver_.body, "ok");
  EXPECT_FALSE(connection_.is_usable());
}

TEST_F(ClientConnectionTest, ExtraResponseMakesIdleConnectionUnusable) {
  Send();
  server_.Write("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok");
  AwaitDone();
  ASSERT_TRUE(connection_.is_usable());
  server_.Write("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok");
  EXPECT_TRUE(
      loop_.RunUntil([&] { return !connection_.is_usable(); }, seconds(20)));
}

TEST_F(ClientConnectionTest, OrderlyCloseCompletesBodyWithoutLength) {
  Send();
  server_.Write("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall");
  loop_.RunUntil([&] { return receiver_.body == "all"; }, seconds(20));
  server_.Close();
  AwaitDone();
  EXPECT_TRUE(receiver_.has_ended);
}

TEST_F(ClientConnectionTest, ResetDoesNotCompleteBodyWithoutLength) {
  Send();
  server_.Write("HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart");
  loop_.RunUntil([&] { return receiver_.body == "part"; }, seconds(20));
  server_.Reset();
  AwaitDone();
  EXPECT_EQ(receiver_.loss, Loss::kReset);
}

// Guards against memory that the kernel takes for responses without end whose
// caller has stopped reading, after it has grown the buffer of a fast transfer.
TEST_F(ClientConnectionTest, PausedResponseLeavesFewBytesInTheKernel) {
  constexpr size_t kReadBytes = size_t{64} * 1024 * 1024;
  constexpr size_t kMaxWaitingBytes = size_t{160} * 1024;
  struct StoppingReceiver final : ResponseReceiver {
    explicit StoppingReceiver(ClientConnection& on) : connection(on) {}
    bool MatchesRequest(const ResponseHead&) override { return true; }
    void OnHead(const ResponseHead&) override {}
    void OnBody(std::string_view data) override {
      read += data.size();
      if (read >= kReadBytes) {
        connection.PauseReading();
      }
    }
    void OnEnd() override {}
    void OnLost(Loss) override {}

    ClientConnection& connection;
    size_t read = 0;
  };
  StoppingReceiver receiver(connection_);
  connection_.Send("GET / HTTP/1.1\r\nHost: x\r\n\r\n", false, receiver);
  server_.AwaitConnections(1);
  const std::string head =
      "HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n";
  server_.Write(head);
  size_t received = 0;
  size_t before = 0;
  do {
    before = received;
    loop_.RunUntil(
        [&] {
          received += server_.WriteWhatFits(std::string(65536, 'x'));
          return false;
        },
        milliseconds(300));
  } while (received > before);
  EXPECT_GE(receiver.read, kReadBytes);
  EXPECT_LE(received - server_.unacknowledged() - receiver.read,
            kMaxWaitingBytes);
}

// More than the buffers of the kernel hold.
constexpr size_t kLongBodyBytes = size_t{32} * 1024 * 1024;

// Guards against a part of a response that is taken for the whole one: the
// upstream ends the connection, by a reset or in order, while a long request is
// still being written to it.
TEST_F(ClientConnectionTest, EndDuringTheRequestCompletesNoBodyWithoutLength) {
  for (const bool is_reset : {true, false}) {
    ClientConnection connection(loop_, server_.address(), {});
    receiver_ = {};
    connection.Send("POST / HTTP/1.1\r\nHost: x\r\n\r\n", false, receiver_, 0,
                    std::make_shared<const std::string>(kLongBodyBytes, 'x'));
    server_.AwaitConnections(1);
    server_.Write("HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart");
    loop_.RunUntil([&] { return receiver_.body == "part"; }, seconds(20));
    if (is_reset) {
      server_.Reset();
    } else {
      server_.ShutDown();
    }
    AwaitDone();
    EXPECT_FALSE(receiver_.has_ended) << is_reset;
    EXPECT_EQ(receiver_.loss, Loss::kReset) << is_reset;
  }
}

TEST_F(ClientConnectionTest, TruncatedResponseIsLost) {
  Send();
  server_.Write("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\npart");
  loop_.RunUntil([&] { return receiver_.body == "part"; }, seconds(20));
  server_.Close();
  AwaitDone();
  EXPECT_EQ(receiver_.loss, Loss::kClosed);
}

// Guards against a head that was cut and is taken for a whole response, with an
// empty body or that of the text behind it: the server ends the connection, in
// order or by a reset, at any byte of the head.
TEST_F(ClientConnectionTest, HeadThatWasCutCompletesAResponse) {
  for (const std::string head :
       {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
        "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\nId: 1\nContent-Length: 0\n\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 None\r\nId: 1\r\n\r\n"}) {
    for (size_t size = 0; size < head.size(); ++size) {
      for (const bool is_reset : {false, true}) {
        ClientConnection connection(loop_, server_.address(), {});
        Receiver receiver;
        connection.Send("GET / HTTP/1.1\r\nHost: x\r\n\r\n", false, receiver);
        server_.AwaitConnections(1);
        server_.Write(head.substr(0, size));
        if (is_reset) {
          server_.Reset();
        } else {
          server_.Close();
        }
        ASSERT_TRUE(
            loop_.RunUntil([&] { return receiver.is_done(); }, seconds(20)));
        EXPECT_FALSE(receiver.has_ended) << head.substr(0, size);
        EXPECT_EQ(receiver.status, 0) << head.substr(0, size);
        EXPECT_FALSE(connection.is_usable());
      }
    }
  }
}

TEST_F(ClientConnectionTest, KnowsTheRequestsThatItHasSent) {
  connection_.Send("GET / HTTP/1.1\r\n\r\n", false, receiver_, 7);
  EXPECT_TRUE(connection_.has_sent(7));
  EXPECT_FALSE(connection_.has_sent(8));
}

// Guards against a response taken from the body of a late one: a response to
// another request is framed by the method of that request, and the current one
// is HEAD.
TEST_F(ClientConnectionTest, ForeignResponseToHeadRequestIsMalformed) {
  Send(/*is_head_request=*/true);
  const std::string body =
      "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\n";
  server_.Write("HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body);
  AwaitDone();
  EXPECT_FALSE(receiver_.has_ended);
  EXPECT_EQ(receiver_.loss, Loss::kMalformed);
}

// Guards against a response that loses its beginning to a late one, which
// answers an earlier HEAD request and has no body despite its length.
TEST_F(ClientConnectionTest, ForeignResponseAfterHeadRequestIsMalformed) {
  receiver_.id = "0";
  Send(/*is_head_request=*/true);
  const std::string to_head =
      "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 50\r\n\r\n";
  server_.Write(to_head);
  AwaitDone();
  ASSERT_TRUE(connection_.is_usable());
  receiver_ = {};
  Send();
  // As the body of the late response, these 50 bytes would hide the first of
  // two responses.
  server_.Write(to_head +
                "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nfirst"
                "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 6\r\n\r\nsecond");
  AwaitDone();
  EXPECT_EQ(receiver_.body, "");
  EXPECT_EQ(receiver_.loss, Loss::kMalformed);
}

// Guards against the loss of framed bodies that quote a response.
TEST_F(ClientConnectionTest, FramedBodyMayHoldAResponse) {
  receiver_.may_hold_response = false;
  const std::string body =
      "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok";
  Send();
  server_.Write("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body);
  AwaitDone();
  EXPECT_EQ(receiver_.body, body);
  receiver_ = {};
  receiver_.may_hold_response = false;
  Send();
  std::string chunk;
  AppendChunk(body, chunk);
  server_.Write(
      "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk +
      std::string(kLastChunk));
  AwaitDone();
  EXPECT_EQ(receiver_.body, body);
  EXPECT_TRUE(connection_.is_usable());
}

// Guards against the bytes of another response in a body that only the end of
// the connection ends.
TEST_F(ClientConnectionTest, UnframedBodyEndsBeforeAnotherResponse) {
  receiver_.may_hold_response = false;
  Send();
  server_.Write("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nfirst");
  server_.Write("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 6\r\n\r\nsecond");
  AwaitDone();
  EXPECT_EQ(receiver_.body, "first");
  EXPECT_EQ(receiver_.loss, Loss::kMalformed);
}

// Guards against memory and time for a response to another request that never
// ends.
TEST_F(ClientConnectionTest, ForeignResponseWithoutEndIsMalformed) {
  Send();
  server_.Write("HTTP/1.1 200 OK\r\nId: 2\r\n\r\n");
  const kernel::Timer timer = loop_.Every(std::chrono::milliseconds(1), [&] {
    server_.Write(std::string(4096, 'x'));
  });
  AwaitDone();
  EXPECT_EQ(receiver_.loss, Loss::kMalformed);
}

TEST_F(ClientConnectionTest, BytesThatAreNotHttpAreMalformed) {
  Send();
  server_.Write("garbage\r\n\r\n");
  AwaitDone();
  EXPECT_EQ(receiver_.loss, Loss::kMalformed);
}

TEST(ClientConnectionRefusedTest, RefusedConnectIsReportedAsNotConnected) {
  kernel::EventLoop loop;
  http::Address closed{"127.0.0.1", 0};
  {
    RawServer server(loop);
    closed = server.address();
  }
  ClientConnection connection(loop, closed, {});
  Receiver receiver;
  connection.Send("GET / HTTP/1.1\r\n\r\n", false, receiver);
  ASSERT_TRUE(loop.RunUntil([&] { return receiver.is_done(); }, seconds(20)));
  EXPECT_EQ(receiver.loss, Loss::kNotConnected);
}

// Responds with the target of the request, unless `responds` is false, and
// records all events.
class EchoHandler final : public ServerConnection::Handler {
 public:
  void OnRequest(ServerConnection& connection,
                 const RequestHead& head,
                 std::string&) override {
    targets.push_back(head.target);
    if (on_request) {
      on_request(connection);
    }
    if (responds) {
      connection.Reply({.status = 200, .headers = {}}, head.target);
    }
  }
  void OnRequestError(ServerConnection& connection,
                      RequestError with) override {
    error = with;
    connection.Reply({.status = 400, .headers = {}}, "bad");
  }
  void OnDrained(ServerConnection&) override {}
  void OnClosed(ServerConnection&) override { is_closed = true; }

  ServerConnectionLimits CurrentLimits(
      const ServerConnectionLimits& initial) const override {
    return limits.value_or(initial);
  }

  std::optional<ServerConnectionLimits> limits;
  std::function<void(ServerConnection&)> on_request;
  std::vector<std::string> targets;
  std::optional<RequestError> error;
  bool responds = true;
  bool is_closed = false;
};

class ServerConnectionTest : public ::testing::Test {
 protected:
  void SetUp() override {
    int fds[2];
    ASSERT_EQ(evutil_socketpair(AF_UNIX, SOCK_STREAM, 0, fds), 0);
    evutil_make_socket_nonblocking(fds[0]);
    caller_ = fds[1];
    evutil_make_socket_nonblocking(caller_);
    connection_ = std::make_unique<ServerConnection>(
        loop_, fds[0],
        ServerConnectionLimits{.parse = {},
                               .request_timeout = milliseconds(200),
                               .idle_timeout = milliseconds(300)},
        handler_);
  }
  void TearDown() override {
    if (caller_ >= 0) {
      close(caller_);
    }
  }

  void Write(std::string_view text) {
    ASSERT_EQ(write(caller_, text.data(), text.size()),
              static_cast<ssize_t>(text.size()));
  }
  // Reads from the connection until the received text contains `wanted`.
  // Returns false after 20 s.
  bool AwaitText(std::string_view wanted) {
    return loop_.RunUntil(
        [&] {
          std::array<char, 4096> buffer;
          const ssize_t count = read(caller_, buffer.data(), buffer.size());
          if (count > 0) {
            text_.append(buffer.data(), static_cast<size_t>(count));
          }
          return text_.find(wanted) != std::string::npos;
        },
        seconds(20));
  }

  kernel::EventLoop loop_;
  EchoHandler handler_;
  int caller_ = -1;
  std::string text_;
  std::unique_ptr<ServerConnection> connection_;
};

// Guards against callers whose leaving is read late: after a restart, hundreds
// of connections arrive at once, and accepting them all takes a small machine
// longer than half a second.
TEST(ListenerTest, ReadsOpenConnectionsBetweenAcceptedOnes) {
  constexpr size_t kPending = 200;
  kernel::EventLoop loop;
  EchoHandler handler;
  handler.responds = false;
  std::unique_ptr<ServerConnection> first;
  std::vector<int> accepted;
  const auto listener = *Listener::Bind(loop, {"127.0.0.1", 0}, [&](int fd) {
    if (first == nullptr) {
      first = std::make_unique<ServerConnection>(
          loop, fd, ServerConnectionLimits{}, handler);
    } else {
      accepted.push_back(fd);
    }
  });
  const auto address = *http::ToSocketAddress({"127.0.0.1", listener->port()});
  const auto connect_caller = [&] {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    EXPECT_EQ(connect(fd, reinterpret_cast<const sockaddr*>(&address),
                      sizeof(address)),
              0);
    return fd;
  };
  const int leaving_caller = connect_caller();
  ASSERT_TRUE(loop.RunUntil([&] { return first != nullptr; }, seconds(20)));
  std::vector<int> callers;
  for (size_t i = 0; i < kPending; ++i) {
    callers.push_back(connect_caller());
  }
  close(leaving_caller);
  ASSERT_TRUE(loop.RunUntil([&] { return handler.is_closed; }, seconds(20)));
  EXPECT_LT(accepted.size(), kPending / 2);
  EXPECT_TRUE(
      loop.RunUntil([&] { return accepted.size() == kPending; }, seconds(20)));
  for (const std::vector<int>& fds : {callers, accepted}) {
    for (const int fd : fds) {
      close(fd);
    }
  }
}

// Guards against a request that is lost since its connection is closed for a
// new one before it is read, and against a connection that never yields since
// what it sent is not read.
TEST_F(ServerConnectionTest, UnreadRequestIsNotNoticed) {
  EXPECT_FALSE(connection_->HasUnreadInput());
  EXPECT_EQ(connection_->use().state, ConnectionState::kSilent);
  Write("GET /1 HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(connection_->HasUnreadInput());
  EXPECT_EQ(connection_->use().state, ConnectionState::kBusy);
  ASSERT_TRUE(AwaitText("/1"));
  EXPECT_FALSE(connection_->HasUnreadInput());
  EXPECT_EQ(connection_->use().state, ConnectionState::kIdle);
  Write("GET /2 HTTP/1.1\r\n");
  EXPECT_TRUE(connection_->HasUnreadInput());
  ASSERT_TRUE(loop_.RunUntil(
      [&] { return connection_->use().state == ConnectionState::kSilent; },
      seconds(20)));
}

TEST_F(ServerConnectionTest, AnswersPipelinedRequestsInOrder) {
  Write("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(AwaitText("/2"));
  EXPECT_EQ(handler_.targets, (std::vector<std::string>{"/1", "/2"}));
  EXPECT_LT(text_.find("/1"), text_.find("/2"));
}

// Guards against a report of a loop that does not return which cannot say which
// connection it works on, since the request was read before its turn came.
TEST_F(ServerConnectionTest, WorkOnARequestThatWasReadAheadIsNotNamed) {
  size_t named = 0;
  handler_.responds = false;
  handler_.on_request = [&](ServerConnection& connection) {
    named += kernel::LoopWork::current() == nullptr ? 0 : 1;
    loop_.Post([&] { connection.Reply({.status = 200, .headers = {}}, ""); });
  };
  Write("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(loop_.RunUntil([&] { return handler_.targets.size() == 2; },
                             seconds(20)));
  EXPECT_EQ(named, 2);
}

// Guards against bytes of a body where the next response is due: neither a 204
// or 304 nor a response to HEAD has one.
TEST_F(ServerConnectionTest, ResponseWithoutBodyIsFollowedByTheNextOne) {
  handler_.responds = false;
  struct Case {
    std::string method;
    int status;
    bool is_framed;
  };
  for (const Case& each : {Case{"GET", 204, false}, Case{"GET", 304, false},
                           Case{"HEAD", 200, true}, Case{"HEAD", 503, true}}) {
    for (const BodyFraming framing :
         {BodyFraming::Chunked(), BodyFraming::Length(4)}) {
      handler_.on_request = [&](ServerConnection& connection) {
        connection.StartResponse({.status = each.status, .headers = {}},
                                 framing, false, "bo");
        connection.WriteBody("dy");
        connection.FinishResponse();
      };
      text_.clear();
      Write(each.method + " /1 HTTP/1.1\r\n\r\n");
      ASSERT_TRUE(AwaitText("\r\n\r\n"));
      handler_.on_request = [](ServerConnection& connection) {
        connection.Reply({.status = 200, .headers = {}}, "next");
      };
      Write("GET /2 HTTP/1.1\r\n\r\n");
      ASSERT_TRUE(AwaitText("next"));
      const size_t head_end = text_.find("\r\n\r\n") + 4;
      EXPECT_TRUE(text_.substr(head_end).starts_with("HTTP/1.1 200 OK"))
          << text_;
      const std::string head = text_.substr(0, head_end);
      const bool is_framed =
          head.find("Content-Length") != std::string::npos ||
          head.find("Transfer-Encoding") != std::string::npos;
      EXPECT_EQ(is_framed, each.is_framed) << head;
    }
  }
}

TEST_F(ServerConnectionTest, MalformedRequestIsAnsweredAndClosesConnection) {
  Write("GET / HTTP/1.1\r\nContent-Length: x\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(AwaitText("bad"));
  EXPECT_EQ(handler_.error, RequestError::kMalformed);
  EXPECT_NE(text_.find("Connection: close"), std::string::npos);
  EXPECT_TRUE(handler_.targets.empty());
}

TEST_F(ServerConnectionTest, IncompleteRequestTimesOut) {
  Write("GET / HTTP/1.1\r\n");
  ASSERT_TRUE(AwaitText("bad"));
  EXPECT_EQ(handler_.error, RequestError::kTimeout);
}

TEST_F(ServerConnectionTest, DetectsDisconnectBeforeResponse) {
  handler_.responds = false;
  Write("GET /slow HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(
      loop_.RunUntil([&] { return !handler_.targets.empty(); }, seconds(20)));
  close(std::exchange(caller_, -1));
  EXPECT_TRUE(loop_.RunUntil([&] { return handler_.is_closed; }, seconds(20)));
}

// Guards against requests that are sent on after their callers have left: on a
// busy instance the end of the connection is read later than the request.
TEST_F(ServerConnectionTest, KnowsThatCallerLeftBeforeReadingIt) {
  bool had_left = true;
  handler_.responds = false;
  handler_.on_request = [&](ServerConnection& connection) {
    had_left = connection.has_caller_left();
    close(std::exchange(caller_, -1));
    EXPECT_TRUE(connection.has_caller_left());
  };
  Write("GET /left HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(loop_.RunUntil([&] { return handler_.is_closed; }, seconds(20)));
  EXPECT_FALSE(had_left);
}

TEST_F(ServerConnectionTest, ClosesIdleConnection) {
  EXPECT_TRUE(loop_.RunUntil([&] { return handler_.is_closed; }, seconds(20)));
}

TEST_F(ServerConnectionTest, AbortedResponseHasNoLastChunk) {
  handler_.responds = false;
  Write("GET /stream HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(
      loop_.RunUntil([&] { return !handler_.targets.empty(); }, seconds(20)));
  connection_->StartResponse({.status = 200, .headers = {}},
                             BodyFraming::Chunked());
  connection_->WriteBody("part");
  ASSERT_TRUE(AwaitText("part"));
  connection_->Abort();
  EXPECT_TRUE(handler_.is_closed);
  EXPECT_EQ(text_.find(kLastChunk), std::string::npos);
}

// Guards against a request that was read ahead and is neither delivered nor
// answered because the connection is told to close before it is parsed.
TEST_F(ServerConnectionTest, CloseWhenIdleDeliversARequestThatWasReadAhead) {
  handler_.responds = false;
  Write("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(
      loop_.RunUntil([&] { return !handler_.targets.empty(); }, seconds(20)));
  handler_.responds = true;
  connection_->Reply({.status = 200, .headers = {}}, "one");
  EXPECT_TRUE(connection_->has_arriving_request());
  connection_->CloseWhenIdle();
  ASSERT_TRUE(AwaitText("/2"));
  EXPECT_EQ(handler_.targets, (std::vector<std::string>{"/1", "/2"}));
}

// Guards against bytes after the last request that count as an arriving request
// for as long as the closing connection lingers.
TEST_F(ServerConnectionTest, NothingArrivesAfterTheLastResponse) {
  handler_.responds = false;
  Write("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(
      loop_.RunUntil([&] { return !handler_.targets.empty(); }, seconds(20)));
  connection_->Reply({.status = 200, .headers = {}}, "one", true);
  EXPECT_FALSE(connection_->has_arriving_request());
}

// Guards against connections that keep the limits of the moment at which they
// were accepted.
TEST_F(ServerConnectionTest, LimitsOfTheConnectionOutliveTheConfiguration) {
  Write("GET /1 HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(AwaitText("/1"));
  handler_.limits =
      ServerConnectionLimits{.parse = {.header_bytes = 1000, .body_bytes = 10}};
  Write("POST /2 HTTP/1.1\r\nContent-Length: 11\r\n\r\n");
  ASSERT_TRUE(AwaitText("bad"));
  EXPECT_EQ(handler_.error, RequestError::kBodyTooLarge);
}

TEST_F(ServerConnectionTest, CloseWhenIdleWaitsForResponse) {
  handler_.responds = false;
  Write("GET /last HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(
      loop_.RunUntil([&] { return !handler_.targets.empty(); }, seconds(20)));
  connection_->CloseWhenIdle();
  EXPECT_TRUE(connection_->is_open());
  connection_->Reply({.status = 200, .headers = {}}, "done");
  ASSERT_TRUE(AwaitText("done"));
  EXPECT_NE(text_.find("Connection: close"), std::string::npos);
}

}  // namespace
}  // namespace jackdawshunt::http1
