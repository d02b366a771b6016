// Server connections that share a budget of memory.
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "event2/util.h"
#include "gtest/gtest.h"
#include "jackdawshunt/http1/server.h"

namespace jackdawshunt::http1 {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint64_t kKb = 1024;
constexpr uint64_t kCapacity = 1000 * kKb;

std::string Post(const std::string& target, size_t length) {
  return absl::StrCat("POST ", target,
                      " HTTP/1.1\r\nHost: x\r\nContent-Length: ", length,
                      "\r\n\r\n");
}

// Refuses requests to /refused when their head is known, and answers others
// with 200; holds requests to /held.
class Handler final : public ServerConnection::Handler {
 public:
  void OnHead(ServerConnection& connection, const RequestHead& head) override {
    if (head.target == "/refused") {
      connection.Reply({.status = 401, .headers = {}}, "refused");
    }
  }
  void OnRequest(ServerConnection& connection,
                 const RequestHead& head,
                 std::string& body) override {
    ++requests;
    const std::string kept = std::move(body);
    if (!connection.HoldRequest(kept.capacity())) {
      connection.Reply({.status = 503, .headers = {}}, "no room");
    } else if (head.target == "/held") {
      held.insert(&connection);
    } else {
      connection.Reply({.status = 200, .headers = {}},
                       absl::StrCat("served ", kept.size()));
    }
  }
  void OnRequestError(ServerConnection& connection,
                      RequestError error) override {
    errors.push_back(error);
    connection.Reply(
        {.status = error == RequestError::kNoMemory ? 503 : 400, .headers = {}},
        "error");
  }
  void OnDrained(ServerConnection&) override {}
  void OnClosed(ServerConnection& connection) override {
    held.erase(&connection);
    ++closed;
  }
  // Answers the requests that are held, as at their deadline.
  void AnswerHeld() {
    for (ServerConnection* const connection : std::exchange(held, {})) {
      connection->Reply({.status = 504, .headers = {}}, "late");
    }
  }

  std::set<ServerConnection*> held;
  size_t requests = 0;
  size_t closed = 0;
  std::vector<RequestError> errors;
};

// The client's end of one connection.
struct Client {
  ~Client() { Leave(); }
  void Leave() {
    if (fd >= 0) {
      close(std::exchange(fd, -1));
    }
  }
  // Writes what the connection accepts.
  size_t Write(std::string_view text) const {
    const ssize_t count = send(fd, text.data(), text.size(), MSG_NOSIGNAL);
    return count < 0 ? 0 : static_cast<size_t>(count);
  }
  void Read() {
    std::array<char, 4096> buffer;
    const ssize_t count = recv(fd, buffer.data(), buffer.size(), 0);
    if (count > 0) {
      text.append(buffer.data(), static_cast<size_t>(count));
    }
    is_closed = is_closed || count == 0 || (count < 0 && errno != EAGAIN);
  }

  int fd = -1;
  std::unique_ptr<ServerConnection> connection;
  std::string text;
  bool is_closed = false;
};

class ServerBudgetTest : public ::testing::Test {
 protected:
  Client& Connect() {
    int fds[2];
    EXPECT_EQ(evutil_socketpair(AF_UNIX, SOCK_STREAM, 0, fds), 0);
    evutil_make_socket_nonblocking(fds[0]);
    evutil_make_socket_nonblocking(fds[1]);
    clients_.push_back(std::make_unique<Client>());
    clients_.back()->fd = fds[1];
    clients_.back()->connection = std::make_unique<ServerConnection>(
        loop_, fds[0],
        ServerConnectionLimits{
            .parse = {.header_bytes = 8 * kKb, .body_bytes = 600 * kKb},
            .request_timeout = milliseconds(1500),
            .idle_timeout = seconds(5)},
        handler_, &budget_);
    return *clients_.back();
  }
  void RunFor(kernel::Duration time) {
    loop_.RunUntil([] { return false; }, time);
  }
  // Writes the whole text while the server reads.
  void WriteAll(Client& client, std::string_view text) {
    ASSERT_TRUE(loop_.RunUntil(
        [&] {
          text.remove_prefix(client.Write(text));
          return text.empty();
        },
        seconds(20)));
  }
  bool AwaitText(Client& client, std::string_view wanted) {
    return loop_.RunUntil(
        [&] {
          client.Read();
          return client.text.find(wanted) != std::string::npos;
        },
        seconds(20));
  }
  bool AwaitClose(Client& client) {
    return loop_.RunUntil(
        [&] {
          client.Read();
          return client.is_closed;
        },
        seconds(20));
  }
  bool AwaitHeld(uint64_t bytes) {
    return loop_.RunUntil([&] { return budget_.held_bytes() >= bytes; },
                          seconds(20));
  }
  void ExpectServed() {
    Client& client = Connect();
    client.Write(Post("/", 2) + "ok");
    EXPECT_TRUE(AwaitText(client, "served 2"));
  }
  void ExpectNothingIsHeldOnceAllHaveLeft() {
    for (const auto& client : clients_) {
      client->Leave();
    }
    EXPECT_TRUE(loop_.RunUntil(
        [&] {
          handler_.AnswerHeld();
          return handler_.closed == clients_.size();
        },
        seconds(20)));
    EXPECT_EQ(budget_.held_bytes(), 0u);
  }

  ClientBudget budget_{{.capacity_bytes = kCapacity}};
  kernel::EventLoop loop_;
  Handler handler_;
  std::vector<std::unique_ptr<Client>> clients_;
};

TEST_F(ServerBudgetTest, RefusedRequestIsReadToItsEnd) {
  Client& client = Connect();
  client.Write(Post("/refused", 500 * kKb) + std::string(1000, 'b'));
  EXPECT_TRUE(AwaitText(client, "refused"));
  EXPECT_NE(client.text.find("401"), std::string::npos);
  EXPECT_NE(client.text.find("Connection: close"), std::string::npos);
  EXPECT_TRUE(AwaitClose(client));
  EXPECT_EQ(handler_.requests, 0u);
}

TEST_F(ServerBudgetTest, ShortRestOfARefusedRequestEndsTheConnection) {
  Client& client = Connect();
  client.Write(Post("/refused", 2000) + std::string(1000, 'b'));
  EXPECT_TRUE(AwaitText(client, "refused"));
  EXPECT_EQ(client.text.find("Connection: close"), std::string::npos);
  client.Write(std::string(1000, 'b') + Post("/", 2) + "ok");
  EXPECT_TRUE(AwaitText(client, "served 2"));
  EXPECT_EQ(handler_.requests, 1u);
}

TEST_F(ServerBudgetTest, RestOfARefusedRequestIsAwaitedWithoutEnd) {
  Client& client = Connect();
  client.Write(Post("/refused", 2000) + std::string(1000, 'b'));
  EXPECT_TRUE(AwaitText(client, "refused"));
  EXPECT_FALSE(client.connection->has_arriving_request());
  EXPECT_TRUE(AwaitClose(client));
  EXPECT_TRUE(handler_.errors.empty());
}

TEST_F(ServerBudgetTest, RefusedRequestIsAskedForItsBody) {
  Client& client = Connect();
  client.Write(
      "POST /refused HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n"
      "Expect: 100-continue\r\n\r\n");
  EXPECT_TRUE(AwaitText(client, "refused"));
  EXPECT_EQ(client.text.find("100 Continue"), std::string::npos);
}

TEST_F(ServerBudgetTest, RequestWithoutRoomIsKept) {
  Client& held = Connect();
  WriteAll(held, Post("/held", 600 * kKb) + std::string(600 * kKb, 'b'));
  ASSERT_TRUE(AwaitHeld(600 * kKb));
  Client& refused = Connect();
  WriteAll(refused, Post("/", 400 * kKb) + std::string(200 * kKb, 'b'));
  EXPECT_TRUE(AwaitText(refused, "503"));
  EXPECT_EQ(handler_.errors,
            std::vector<RequestError>{RequestError::kNoMemory});
  ExpectServed();
  ExpectNothingIsHeldOnceAllHaveLeft();
}

TEST_F(ServerBudgetTest, StalledRequestKeepsItsRoom) {
  Client& stalled = Connect();
  WriteAll(stalled, Post("/", 600 * kKb) + std::string(500 * kKb, 'b'));
  ASSERT_TRUE(AwaitHeld(500 * kKb));
  RunFor(milliseconds(600));
  Client& client = Connect();
  WriteAll(client, Post("/", 600 * kKb) + std::string(600 * kKb, 'b'));
  EXPECT_TRUE(AwaitText(client, "served 614400"));
  EXPECT_TRUE(AwaitText(stalled, "503"));
  EXPECT_TRUE(AwaitClose(stalled));
}

TEST_F(ServerBudgetTest, RequestsBehindAnUnreadResponseAreServed) {
  Client& client = Connect();
  const std::string requests = [] {
    std::string text;
    for (int i = 0; i < 20000; ++i) {
      text += Post("/", 0);
    }
    return text;
  }();
  for (size_t written = 0, stuck = 0;
       written < requests.size() && stuck < 50;) {
    const size_t count =
        client.Write(std::string_view(requests).substr(written));
    written += count;
    stuck = count == 0 ? stuck + 1 : 0;
    RunFor(milliseconds(2));
  }
  EXPECT_LE(client.connection->buffered_bytes(), kKb);
  EXPECT_LE(budget_.held_bytes(), 64 * kKb);
  const size_t served_unread = handler_.requests;
  EXPECT_TRUE(loop_.RunUntil(
      [&] {
        client.Read();
        return handler_.requests > served_unread + 100;
      },
      seconds(20)));
}

// A client that sends random parts of requests, reads or not, and leaves at any
// moment.
class RandomClient {
 public:
  RandomClient(Client& client, std::mt19937_64& random)
      : client_(client), random_(random) {}

  void Act() {
    if (client_.fd < 0) {
      return;
    }
    if (pending_.empty()) {
      pending_ = NextPart();
    }
    const std::string_view part =
        std::string_view(pending_).substr(0, Below(64 * kKb) + 1);
    pending_.erase(0, client_.Write(part));
    if (Below(3) > 0) {
      client_.Read();
    }
    if (Below(60) == 0) {
      client_.Leave();
    }
  }

 private:
  size_t Below(size_t bound) {
    return std::uniform_int_distribution<size_t>(0, bound - 1)(random_);
  }
  std::string NextPart() {
    constexpr std::array<const char*, 4> kTargets = {"/", "/", "/refused",
                                                     "/held"};
    const std::string target = kTargets.at(Below(kTargets.size()));
    const size_t length = Below(8) == 0 ? Below(700 * kKb) : Below(20 * kKb);
    switch (Below(8)) {
      case 0:
        return Post(target, length);  // Without its body.
      case 1:
        return Post(target, length) + std::string(length - length / 8, 'b');
      case 2:
        return "POST " + target + " HTTP/1.1\r\nHost: x\r\nA:\r\nA:\r\n";
      case 3:
        return std::string(Below(100), 'z') + "\r\n";
      case 4:
      case 5: {
        std::string text = "POST " + target +
                           " HTTP/1.1\r\nHost: x\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n";
        for (size_t sent = 0; sent < length;) {
          const size_t size = std::min(length - sent, Below(2 * kKb) + 1);
          absl::StrAppend(&text, absl::Hex(size), "\r\n",
                          std::string(size, 'b'), "\r\n");
          sent += size;
        }
        return text + (Below(2) == 0 ? "0\r\n\r\n" : "0\r\nTrailer: x\r\n");
      }
      default:
        return Post(target, length) + std::string(length, 'b');
    }
  }

  Client& client_;
  std::mt19937_64& random_;
  std::string pending_;
};

TEST_F(ServerBudgetTest, RandomClientsLeaveMemoryBehind) {
  for (uint64_t seed = 1; seed <= 12; ++seed) {
    SCOPED_TRACE(seed);
    std::mt19937_64 random(seed);
    constexpr int kClients = 24;
    std::vector<RandomClient> crowd;
    crowd.reserve(kClients);
    for (int i = 0; i < kClients; ++i) {
      crowd.emplace_back(Connect(), random);
    }
    for (int turn = 0; turn < 120; ++turn) {
      for (RandomClient& client : crowd) {
        client.Act();
      }
      RunFor(milliseconds(1));
      ASSERT_LE(budget_.held_bytes(), kCapacity);
    }
    ExpectNothingIsHeldOnceAllHaveLeft();
    ExpectServed();
  }
  ExpectNothingIsHeldOnceAllHaveLeft();
}

}  // namespace
}  // namespace jackdawshunt::http1
