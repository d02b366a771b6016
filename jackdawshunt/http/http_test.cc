#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "jackdawshunt/http/client.h"
#include "jackdawshunt/http/server.h"

namespace jackdawshunt::http {
namespace {

using std::chrono::seconds;

// A client socket on which the test controls each byte.
class RawCaller {
 public:
  explicit RawCaller(uint16_t port)
      : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons(port)};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(
        connect(fd_, reinterpret_cast<sockaddr*>(&address), sizeof(address)),
        0);
    fcntl(fd_, F_SETFL, fcntl(fd_, F_GETFL) | O_NONBLOCK);
  }
  ~RawCaller() { close(fd_); }
  RawCaller(const RawCaller&) = delete;
  RawCaller& operator=(const RawCaller&) = delete;

  // Sends as much as the socket accepts and removes that from `bytes`. Returns
  // false if all was sent or the server has closed the connection.
  bool SendSome(std::string& bytes) {
    const ssize_t size = send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (size < 0) {
      return errno == EAGAIN;
    }
    bytes.erase(0, static_cast<size_t>(size));
    return !bytes.empty();
  }
  // Reads the bytes that have arrived. Returns true once the server has closed
  // the connection.
  bool IsClosed() {
    char bytes[65536];
    const ssize_t size = recv(fd_, bytes, sizeof(bytes), 0);
    if (size > 0) {
      received_.append(bytes, static_cast<size_t>(size));
    }
    return size == 0 || (size < 0 && errno != EAGAIN);
  }
  const std::string& received() const { return received_; }

 private:
  int fd_;
  std::string received_;
};

// Runs a server and a client in one event loop.
class HttpTest : public testing::Test {
 protected:
  HttpTest() {
    server_.SetErrorPage([](int status) {
      return Response{.body = "page " + std::to_string(status)};
    });
    address_.port = server_.Listen(address_).value();
  }

  absl::StatusOr<Response> Fetch(const Request& request,
                                 CallOptions options = {}) {
    std::optional<absl::StatusOr<Response>> result;
    options.on_done = [&](absl::StatusOr<Response> r) {
      result = std::move(r);
    };
    const auto call = client_.Send(address_, request, std::move(options));
    EXPECT_TRUE(
        loop_.RunUntil([&] { return result.has_value(); }, seconds(20)));
    return result.value_or(absl::InternalError("no result"));
  }

  // Sends raw bytes and returns all that the server sends until it closes the
  // connection.
  std::string SendRaw(std::string bytes) {
    RawCaller caller(address_.port);
    bool sending = true;
    EXPECT_TRUE(loop_.RunUntil(
        [&] {
          sending = sending && caller.SendSome(bytes);
          return caller.IsClosed();
        },
        seconds(20)))
        << caller.received();
    return caller.received();
  }

  kernel::EventLoop loop_;
  Server server_{loop_, {.max_header_bytes = 4096, .max_body_bytes = 100000}};
  Client client_{loop_};
  Address address_;
};

TEST_F(HttpTest, TransfersAllPartsOfRequestAndReply) {
  std::optional<Request> seen;
  server_.SetHandler([&](const std::shared_ptr<Exchange>& exchange) {
    seen = exchange->request();
    exchange->Reply({.status = 201, .headers = {{"X-A", "b"}}, .body = "ok"});
  });
  const auto response = Fetch({.method = "POST",
                               .path = "/a/b",
                               .query = "c=1",
                               .headers = {{"X-In", "v"}},
                               .body = "text"});
  ASSERT_TRUE(response.ok()) << response.status();
  EXPECT_EQ(response->status, 201);
  EXPECT_EQ(response->body, "ok");
  EXPECT_EQ(FindHeader(response->headers, "x-a"), "b");
  EXPECT_EQ(seen->method + " " + seen->path + "?" + seen->query + seen->body,
            "POST /a/b?c=1text");
  EXPECT_EQ(FindHeader(seen->headers, "x-in"), "v");
  EXPECT_TRUE(loop_.RunUntil([&] { return server_.open_exchanges() == 0; },
                             seconds(20)));
}

TEST_F(HttpTest, StreamedReplyArrivesPartByPart) {
  std::shared_ptr<Exchange> exchange;
  server_.SetHandler([&](std::shared_ptr<Exchange> e) {
    exchange = std::move(e);
    exchange->StartStream(200, {});
    exchange->Write("one");
  });
  std::string body;
  CallOptions options;
  options.on_chunk = [&](const Response& head, std::string_view part) {
    EXPECT_EQ(head.status, 200);
    body += part;
    if (body == "one") {
      exchange->Write("two");
      exchange->EndStream();
    }
  };
  EXPECT_TRUE(Fetch({}, std::move(options)).ok());
  EXPECT_EQ(body, "onetwo");
}

// Guards against a client that takes an aborted stream for a complete one.
TEST_F(HttpTest, AbortedStreamIsAnError) {
  server_.SetHandler([](const std::shared_ptr<Exchange>& exchange) {
    exchange->StartStream(200, {});
    exchange->Write("part");
    exchange->Abort();
  });
  EXPECT_EQ(Fetch({}).status().code(), absl::StatusCode::kAborted);
}

TEST_F(HttpTest, DroppedExchangeReplies500) {
  server_.SetHandler([](const std::shared_ptr<Exchange>&) {});
  const auto response = Fetch({});
  ASSERT_TRUE(response.ok());
  EXPECT_EQ(response->status, 500);
}

TEST_F(HttpTest, RefusedConnectionIsUnavailable) {
  server_.StopListening();
  EXPECT_EQ(Fetch({}).status().code(), absl::StatusCode::kUnavailable);
}

TEST_F(HttpTest, TimeLimitEndsCallWithoutResponse) {
  std::shared_ptr<Exchange> open_exchange;
  server_.SetHandler(
      [&](std::shared_ptr<Exchange> e) { open_exchange = std::move(e); });
  CallOptions options;
  options.timeout = std::chrono::milliseconds(30);
  EXPECT_EQ(Fetch({}, std::move(options)).status().code(),
            absl::StatusCode::kDeadlineExceeded);
}

class HttpLifetimeTest : public HttpTest {
 protected:
  HttpLifetimeTest() {
    server_.SetHandler([this](std::shared_ptr<Exchange> exchange) {
      exchange_ = std::move(exchange);
      exchange_->OnClosed([this] { ++closed_count_; });
    });
  }
  bool Wait(const std::function<bool()>& done) {
    return loop_.RunUntil(done, seconds(20));
  }
  // Sends a request whose exchange stays open in exchange_.
  std::unique_ptr<RawCaller> Open(std::string text = "GET / HTTP/1.1\r\n\r\n") {
    auto caller = std::make_unique<RawCaller>(address_.port);
    caller->SendSome(text);
    EXPECT_TRUE(Wait([&] { return exchange_ != nullptr; }));
    return caller;
  }

  std::shared_ptr<Exchange> exchange_;
  int closed_count_ = 0;
};

// Guards against work that continues for a caller that has disconnected.
TEST_F(HttpLifetimeTest, DetectsDisconnectBeforeReply) {
  auto caller = Open();
  EXPECT_EQ(server_.open_exchanges(), 1);
  caller.reset();
  EXPECT_TRUE(Wait([&] { return closed_count_ == 1; }));
  EXPECT_FALSE(exchange_->is_open());
  EXPECT_EQ(server_.open_exchanges(), 0);
  exchange_->Reply({.body = "late"});
  exchange_->StartStream(200, {});
  exchange_->Write("late");
  exchange_->EndStream();
  exchange_->Abort();
}

TEST_F(HttpLifetimeTest, DetectsDisconnectDuringStream) {
  auto caller = Open();
  exchange_->StartStream(200, {});
  exchange_->Write("part");
  ASSERT_TRUE(Wait([&] {
    caller->IsClosed();
    return caller->received().find("part") != std::string::npos;
  }));
  caller.reset();
  EXPECT_TRUE(Wait([&] { return closed_count_ == 1; }));
  EXPECT_EQ(exchange_->buffered_bytes(), 0);
  exchange_->Write("late");
  exchange_->EndStream();
  EXPECT_EQ(server_.open_exchanges(), 0);
}

// Guards against unbounded buffering: the owner of a stream must see the bytes
// that a slow reader has not read.
TEST_F(HttpLifetimeTest, ReportsBufferedBytesAndDrainOfSlowReader) {
  auto caller = Open();
  int drain_count = 0;
  exchange_->OnDrained([&] { ++drain_count; });
  exchange_->StartStream(200, {});
  exchange_->Write("first");
  EXPECT_TRUE(Wait([&] { return drain_count == 1; }));
  // Exceeds the buffers of both sockets.
  const std::string block(size_t{32} * 1024 * 1024, 'x');
  exchange_->Write(block);
  EXPECT_GE(exchange_->buffered_bytes(), block.size());
  EXPECT_TRUE(Wait([&] {
    caller->IsClosed();
    return drain_count == 2;
  }));
  EXPECT_EQ(exchange_->buffered_bytes(), 0);
}

// Guards against a pipelined request that corrupts the reply to the first one.
TEST_F(HttpLifetimeTest, PipelinedRequestsAreAnsweredInOrder) {
  auto caller = Open("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n");
  const auto first = std::exchange(exchange_, nullptr);
  EXPECT_EQ(first->request().path, "/a");
  first->StartStream(200, {});
  first->Write("one");
  EXPECT_EQ(server_.open_exchanges(), 1);
  first->EndStream();
  ASSERT_TRUE(Wait([&] { return exchange_ != nullptr; }));
  EXPECT_EQ(exchange_->request().path, "/b");
  exchange_->Reply({.headers = {{"Connection", "close"}}, .body = "two"});
  EXPECT_TRUE(Wait([&] { return caller->IsClosed(); }));
  EXPECT_LT(caller->received().find("one"), caller->received().find("two"));
  EXPECT_EQ(closed_count_, 0);
}

TEST_F(HttpLifetimeTest, SendsErrorPageOnReusedConnection) {
  auto caller = Open("GET /a HTTP/1.1\r\n\r\nnonsense\r\n\r\n");
  exchange_->Reply({.body = "one"});
  EXPECT_TRUE(Wait([&] { return caller->IsClosed(); }));
  EXPECT_NE(caller->received().find("page 400"), std::string::npos)
      << caller->received();
}

// Guards against a use after free when the server is destroyed before the
// exchange.
TEST_F(HttpLifetimeTest, ExchangeMayOutliveTheServer) {
  auto server = std::make_unique<Server>(loop_, ServerLimits());
  server->SetHandler(
      [&](std::shared_ptr<Exchange> e) { exchange_ = std::move(e); });
  address_.port = server->Listen({}).value();
  const auto caller = Open();
  exchange_->StartStream(200, {});
  exchange_->Write("part");
  server.reset();
  EXPECT_FALSE(exchange_->is_open());
  exchange_->Write("late");
  exchange_->EndStream();
  EXPECT_TRUE(Wait([&] { return caller->IsClosed(); }));
}

// Guards against a paused client that continues to read and buffer the
// response.
TEST_F(HttpLifetimeTest, PausedClientStopsReading) {
  size_t received = 0;
  bool done = false;
  std::unique_ptr<Call> call;
  call = client_.Send(
      address_, {},
      {.on_chunk =
           [&](const Response&, std::string_view part) {
             if (received == 0) {
               call->Pause();
             }
             received += part.size();
           },
       .on_done = [&](const absl::StatusOr<Response>& r) { done = r.ok(); }});
  ASSERT_TRUE(Wait([&] { return exchange_ != nullptr; }));
  exchange_->StartStream(200, {});
  const std::string block(size_t{64} * 1024, 'x');
  // Grows until the buffers of both sockets are full.
  size_t written = 0;
  ASSERT_TRUE(Wait([&] {
    exchange_->Write(block);
    written += block.size();
    return received > 0 && exchange_->buffered_bytes() > 8 * block.size();
  }));
  const size_t before = received;
  EXPECT_LT(before, written / 2);
  exchange_->EndStream();
  call->Resume();
  EXPECT_TRUE(Wait([&] { return done; }));
  EXPECT_EQ(received, written);
}

TEST_F(HttpLifetimeTest, CallMayBeDestroyedByItsOwnCallback) {
  std::unique_ptr<Call> call;
  call = client_.Send(
      address_, {},
      {.on_chunk = [&](const Response&, std::string_view) { call.reset(); },
       .on_done =
           [](const absl::StatusOr<Response>&) {
             ADD_FAILURE() << "a cancelled call must not report its end";
           }});
  ASSERT_TRUE(Wait([&] { return exchange_ != nullptr; }));
  exchange_->StartStream(200, {});
  exchange_->Write("part");
  EXPECT_TRUE(Wait([&] { return closed_count_ == 1; }));
  EXPECT_EQ(call, nullptr);
}

bool Contains(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

std::string RequestWithHeader(size_t header_bytes) {
  return "GET / HTTP/1.1\r\nX-Long: " + std::string(header_bytes, 'x') +
         "\r\n\r\n";
}

std::string RequestWithBody(size_t body_bytes) {
  return "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(body_bytes) +
         "\r\n\r\n" + std::string(body_bytes, 'x');
}

class HttpLimitTest : public HttpTest {
 protected:
  HttpLimitTest() {
    server_.SetHandler([this](const std::shared_ptr<Exchange>& exchange) {
      ++handled_count_;
      exchange->Reply({.headers = {{"Connection", "close"}}, .body = "ok"});
    });
  }
  int handled_count_ = 0;
};

// Guards against a wrong status or a missing error page for a request that is
// slightly or far over the limit.
TEST_F(HttpLimitTest, OversizedHeaderGets431) {
  EXPECT_TRUE(Contains(SendRaw(RequestWithHeader(3000)), "HTTP/1.1 200"));
  for (const size_t bytes : {5000, 100'000, 3'000'000}) {
    const std::string reply = SendRaw(RequestWithHeader(bytes));
    EXPECT_TRUE(Contains(reply, "HTTP/1.1 431")) << bytes << reply;
    EXPECT_TRUE(Contains(reply, "page 431")) << bytes << reply;
  }
  EXPECT_EQ(handled_count_, 1);
  EXPECT_EQ(server_.open_exchanges(), 0);
}

TEST_F(HttpLimitTest, OversizedBodyGets413) {
  EXPECT_TRUE(Contains(SendRaw(RequestWithBody(90'000)), "HTTP/1.1 200"));
  for (const size_t bytes : {110'000, 5'000'000}) {
    const std::string reply = SendRaw(RequestWithBody(bytes));
    EXPECT_TRUE(Contains(reply, "HTTP/1.1 413")) << bytes << reply;
    EXPECT_TRUE(Contains(reply, "page 413")) << bytes << reply;
  }
  const std::string chunked = SendRaw(
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4c4b40\r\n" +
      std::string(5'000'000, 'x') + "\r\n0\r\n\r\n");
  EXPECT_TRUE(Contains(chunked, "page 413")) << chunked;
  EXPECT_EQ(handled_count_, 1);
  EXPECT_EQ(server_.open_exchanges(), 0);
}

// Guards against a chunk's size or end that is awaited without end, of which
// all is kept and searched again for each piece.
TEST_F(HttpLimitTest, ChunkWithoutEndIsReadOn) {
  for (const std::string chunk : {"1;", "1\r\n"}) {
    RawCaller caller(address_.port);
    std::string bytes =
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk;
    bytes.append(size_t{40} * 1024 * 1024, 'x');
    EXPECT_TRUE(
        loop_.RunUntil([&] { return !caller.SendSome(bytes); }, seconds(20)));
    EXPECT_FALSE(bytes.empty()) << chunk;
    EXPECT_TRUE(caller.IsClosed()) << chunk;
    EXPECT_EQ(caller.received(), "");
  }
  EXPECT_EQ(handled_count_, 0);
  EXPECT_EQ(server_.open_exchanges(), 0);
}

// Guards against the loss of an error reply that the server sends before it has
// read the whole upload.
TEST_F(HttpLimitTest, ClientReceivesErrorReplyDuringUpload) {
  const auto response =
      Fetch({.method = "POST", .body = std::string(5'000'000, 'x')});
  ASSERT_TRUE(response.ok()) << response.status();
  EXPECT_EQ(response->status, 413);
}

// A server that answers a request with the same bytes while it arrives, then
// ends the connection, or keeps it open.
class RawServer {
 public:
  enum class End { kReset, kInOrder, kNone };

  RawServer(kernel::EventLoop& loop, std::string answer, End end)
      : answer_(std::move(answer)),
        end_(end),
        listener_(
            socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0)) {
    // Inherited by the connection: what fits is far less than a long request.
    constexpr int kReceiveBytes = 16384;
    setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &kReceiveBytes,
               sizeof(kReceiveBytes));
    sockaddr_in address = {.sin_family = AF_INET, .sin_port = 0};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(
        bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof(address)),
        0);
    EXPECT_EQ(listen(listener_, 1), 0);
    socklen_t size = sizeof(address);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    timer_ = loop.Every(std::chrono::milliseconds(20), [this] { Step(); });
  }
  ~RawServer() {
    close(listener_);
    if (connection_ >= 0) {
      close(connection_);
    }
  }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  Address address() const { return {"127.0.0.1", port_}; }

 private:
  // Accepts a connection, answers, and ends it, one a turn.
  void Step() {
    if (connection_ < 0) {
      connection_ = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK);
    } else if (!has_answered_) {
      const ssize_t count = send(connection_, answer_.data() + sent_,
                                 answer_.size() - sent_, MSG_NOSIGNAL);
      sent_ += static_cast<size_t>(std::max<ssize_t>(count, 0));
      has_answered_ = sent_ == answer_.size();
    } else if (end_ == End::kInOrder) {
      shutdown(connection_, SHUT_WR);
    } else if (end_ == End::kReset) {
      const linger now{.l_onoff = 1, .l_linger = 0};
      setsockopt(connection_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
      close(std::exchange(connection_, -1));
      timer_ = {};
    }
  }

  const std::string answer_;
  const End end_;
  const int listener_;
  int connection_ = -1;
  size_t sent_ = 0;  // Bytes of the answer.
  bool has_answered_ = false;
  uint16_t port_ = 0;
  kernel::Timer timer_;
};

// Guards against a part of a response that is taken for the whole one: the
// server ends the connection, by a reset or in order, while a long request is
// still being written to it.
TEST_F(HttpTest, EndDuringTheRequestCompletesNoBodyWithoutLength) {
  for (const auto end : {RawServer::End::kReset, RawServer::End::kInOrder}) {
    const RawServer server(loop_, "HTTP/1.1 200 OK\r\n\r\npart", end);
    address_ = server.address();
    // More than the buffers of the kernel hold.
    std::string body;
    body.resize(size_t{32} * 1024 * 1024, 'x');
    CallOptions options;
    options.timeout = seconds(1);
    const auto response =
        Fetch({.method = "POST", .body = body}, std::move(options));
    EXPECT_FALSE(response.ok()) << static_cast<int>(end);
    EXPECT_FALSE(absl::IsUnavailable(response.status()));
  }
}

// Guards against a part of a response that is taken for the whole one, or whose
// call never ends: the server ends the connection, by a reset or in order, at
// any byte of the head, of a chunk or of a body with length.
TEST_F(HttpTest, EndInsideTheResponseCompletesItOrIsNotNoticed) {
  struct Case {
    std::string sent;
    std::unique_ptr<RawServer> server;
    std::unique_ptr<Call> call;
    std::optional<absl::Status> status;
  };
  std::list<Case> cases;
  size_t ended = 0;
  for (const std::string response :
       {"HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x\r\nok\r\n"
        "0\r\nA: b\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n"}) {
    for (size_t size = 0; size < response.size(); ++size) {
      for (const auto end :
           {RawServer::End::kReset, RawServer::End::kInOrder}) {
        Case& added = cases.emplace_back();
        added.sent = response.substr(0, size);
        added.server = std::make_unique<RawServer>(loop_, added.sent, end);
        CallOptions options;
        if (size % 2 == 1) {
          options.on_chunk = [](const Response&, std::string_view) {};
        }
        options.on_done = [&](const absl::StatusOr<Response>& result) {
          ++ended;
          added.status = result.status();
        };
        added.call = client_.Send(added.server->address(), {.body = "x"},
                                  std::move(options));
      }
    }
  }
  loop_.RunUntil([&] { return ended == cases.size(); }, seconds(5));
  for (const Case& each : cases) {
    EXPECT_EQ(each.status.value_or(absl::OkStatus()).code(),
              absl::StatusCode::kAborted)
        << each.status.has_value() << " " << each.sent;
  }
}

// Guards against a chunk's size without end, of which all is kept and searched
// again for each piece, and against a chunk that never ends.
TEST_F(HttpTest, ChunkWithoutEndIsReadOn) {
  for (const std::string chunk : {"1;", "7fffffffffff\r\n"}) {
    const RawServer server(
        loop_,
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk +
            std::string(size_t{9} * 1024 * 1024, 'x'),
        RawServer::End::kNone);
    address_ = server.address();
    CallOptions options;
    options.on_chunk = [](const Response&, std::string_view) {};
    EXPECT_EQ(Fetch({}, std::move(options)).status().code(),
              absl::StatusCode::kAborted)
        << chunk;
  }
}

// Guards against a request that was sent and counts as not sent, so that it is
// repeated: the status 0 stands for a connection that was not established.
TEST_F(HttpTest, StatusZeroIsALostResponse) {
  const RawServer server(loop_,
                         "HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\n",
                         RawServer::End::kInOrder);
  address_ = server.address();
  EXPECT_EQ(Fetch({.method = "POST", .body = "x"}).status().code(),
            absl::StatusCode::kAborted);
}

// Guards against an interim response that is taken for the whole one.
TEST_F(HttpTest, InterimResponseCompletesTheCall) {
  for (const int status : {101, 102, 103, 199}) {
    const RawServer server(
        loop_,
        "HTTP/1.1 " + std::to_string(status) +
            " Early\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        RawServer::End::kInOrder);
    address_ = server.address();
    EXPECT_EQ(Fetch({}).status().code(), absl::StatusCode::kAborted) << status;
  }
  const RawServer server(loop_,
                         "HTTP/1.1 100 Continue\r\n\r\n"
                         "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                         RawServer::End::kInOrder);
  address_ = server.address();
  const auto response = Fetch({});
  ASSERT_TRUE(response.ok()) << response.status();
  EXPECT_EQ(response->body, "ok");
}

TEST_F(HttpLimitTest, MalformedRequestGets400) {
  for (const char* const text :
       {"nonsense\r\n\r\n", "GET / HTTP/1.1\r\nno colon\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: -5\r\n\r\n"}) {
    const std::string reply = SendRaw(text);
    EXPECT_TRUE(Contains(reply, "HTTP/1.1 400")) << text << reply;
    EXPECT_TRUE(Contains(reply, "page 400")) << text << reply;
  }
  EXPECT_EQ(handled_count_, 0);
}

}  // namespace
}  // namespace jackdawshunt::http
