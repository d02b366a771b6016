#include "jackdawshunt/gateway/call.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "event2/util.h"
#include "gtest/gtest.h"
#include "jackdawshunt/board/datagram_socket.h"

namespace jackdawshunt::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kEngines = 7;
constexpr char kRequest[] =
    "POST /revise/x HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\nContent-Length: "
    "2\r\n\r\n{}";

// Engines that end the connection of the first request that they get, all
// together, and answer the others.
class EngineHandler final : public http1::ServerConnection::Handler {
 public:
  explicit EngineHandler(kernel::EventLoop& loop) : connections_(loop, *this) {}
  void Add(int fd) { connections_.Add(fd); }
  size_t arrivals() const { return arrivals_; }

  void OnRequest(http1::ServerConnection& connection,
                 const http1::RequestHead& head,
                 std::string&) override {
    if (++arrivals_ == 1) {
      connection.Abort();
      return;
    }
    const std::string id(http::FindHeader(head.headers, "Request-Id"));
    connection.Reply(
        {.status = 200,
         .headers = {{"Request-Id", id}, {"Response-Seal", "seal"}}},
        "id: 1\ndata: x\n\n");
  }
  void OnRequestError(http1::ServerConnection&, http1::RequestError) override {}
  void OnDrained(http1::ServerConnection&) override {}
  void OnClosed(http1::ServerConnection& connection) override {
    connections_.Remove(connection);
  }

 private:
  http1::ConnectionSet connections_;
  size_t arrivals_ = 0;
};

// One call with engines and their boards.
class CallTest : public ::testing::Test,
                 public http1::ServerConnection::Handler {
 protected:
  CallTest()
      : router_({.retry_budget = {.ratio = 1}}, loop_.clock().Now()),
        engines_(loop_) {
    routing::DesiredState state;
    state.version = 1;
    routing::Route route;
    route.host = "h";
    route.path_prefix = "/revise/";
    route.kind = routing::RouteKind::kStream;
    route.is_resumable = true;
    route.attempts = 2;
    route.timeout = seconds(8);
    route.latency_objective = seconds(1);
    route.services = {{"llm", 1}};
    state.routes = {route};
    state.services = {
        {.name = "llm",
         .engine = routing::EngineProfile{.slots = 64, .cache_tokens = 90000}}};
    router_.SetDesiredState(std::move(state));
    std::vector<routing::Upstream> upstreams;
    uint16_t port = 0;
    for (size_t i = 0; i < kEngines; ++i) {
      routing::Upstream engine;
      engine.id = absl::StrCat("i-", i);
      engine.service = "llm";
      engine.address.ip = absl::StrCat("127.0.4.", i + 1);
      boards_.push_back(*board::DatagramSocket::Bind(
          loop_, {engine.address.ip, port},
          [this, i](const http::Address& from, std::string_view bytes) {
            OnBoardMessage(i, from, *board::Decode(bytes));
          }));
      port = boards_.front()->port();
      listeners_.push_back(*http1::Listener::Bind(
          loop_, {engine.address.ip, 0}, [this](int fd) { engines_.Add(fd); }));
      engine.address.port = listeners_.back()->port();
      upstreams.push_back(engine);
    }
    router_.directory().Replace(upstreams, loop_.clock().Now());
    board_client_ = std::make_unique<BoardClient>(loop_, "127.0.0.1", port);
    EXPECT_TRUE(board_client_->Open().ok());
    origins_ = std::make_unique<OriginClient>(loop_, router_, *board_client_);
    permits_ = std::make_unique<PermitClient>(loop_, router_, *board_client_);
    context_ = std::make_unique<CallContext>(CallContext{
        .loop = loop_,
        .router = router_,
        .pool = pool_,
        .boards = *board_client_,
        .origins = *origins_,
        .start_checks = start_checks_,
        .permits = *permits_,
        .metrics = metrics_,
        .overload = overload_,
    });
    int fds[2];
    EXPECT_EQ(evutil_socketpair(AF_UNIX, SOCK_STREAM, 0, fds), 0);
    evutil_make_socket_nonblocking(fds[0]);
    evutil_make_socket_nonblocking(fds[1]);
    connection_ = std::make_unique<http1::ServerConnection>(
        loop_, fds[0], http1::ServerConnectionLimits{}, *this);
    caller_ = fds[1];
  }
  ~CallTest() override {
    call_.reset();
    close(caller_);
  }

  routing::RoutedRequest MakeRequest() {
    routing::RoutedRequest request;
    request.id = "1";
    request.table = router_.table();
    request.route = request.table->Match("h", "/revise/x");
    request.workspace = "lodge";
    request.prompt = routing::Prompt{.parts = {{1, 900}, {2, 100}},
                                     .prompt_tokens = 1000,
                                     .max_output_tokens = 10};
    router_.Prepare(request, seconds(8), loop_.clock().Now());
    return request;
  }
  // Lets the workspace "lodge" have used a little of its share while another
  // one uses much.
  void UseLittleOfShare() {
    const kernel::TimePoint now = loop_.clock().Now();
    for (const auto& [workspace, admitted] :
         {std::pair("lodge", 10), std::pair("other", 100000)}) {
      router_.shares().OnRequest(routing::HashOf(workspace), 500000, now);
      router_.shares().OnAdmitted(routing::HashOf(workspace),
                                  static_cast<uint64_t>(admitted), now);
    }
    loop_.RunUntil([] { return false; }, milliseconds(300));
  }
  // Returns the start of the answer to the request.
  std::string Answer() {
    EXPECT_EQ(write(caller_, kRequest, sizeof(kRequest) - 1),
              static_cast<ssize_t>(sizeof(kRequest) - 1));
    std::string text;
    EXPECT_TRUE(loop_.RunUntil(
        [&] {
          std::array<char, 4096> buffer;
          const ssize_t count = read(caller_, buffer.data(), buffer.size());
          text.append(buffer.data(),
                      static_cast<size_t>(std::max<ssize_t>(count, 0)));
          return text.find("\r\n") != std::string::npos;
        },
        seconds(20)));
    return text.substr(0, text.find("\r\n"));
  }
  void OnBoardMessage(size_t engine,
                      const http::Address& from,
                      const board::Message& message) {
    if (const auto* query = std::get_if<board::Query>(&message)) {
      board::Offer offer{.nonce = query->nonce};
      if (busy_.contains(absl::StrCat("i-", engine))) {
        offer.cost.wait = seconds(60);
      }
      boards_[engine]->Send(from, board::Encode(offer));
    }
  }

  // http1::ServerConnection::Handler:
  void OnRequest(http1::ServerConnection& connection,
                 const http1::RequestHead& head,
                 std::string& body) override {
    call_ = std::make_unique<Call>(*context_, connection, head, body,
                                   MakeRequest());
    call_->Start();
  }
  void OnRequestError(http1::ServerConnection&, http1::RequestError) override {}
  void OnDrained(http1::ServerConnection&) override {}
  void OnClosed(http1::ServerConnection&) override {}

  kernel::EventLoop loop_;
  routing::Router router_;
  EngineHandler engines_;
  std::vector<std::unique_ptr<http1::Listener>> listeners_;
  std::vector<std::unique_ptr<board::DatagramSocket>> boards_;
  std::set<std::string> busy_;  // Engines whose boards state a long wait.
  UpstreamPool pool_{loop_};
  std::unique_ptr<BoardClient> board_client_;
  std::unique_ptr<OriginClient> origins_;
  StartChecks start_checks_{loop_, router_};
  std::unique_ptr<PermitClient> permits_;
  prometheus::Registry registry_;
  Metrics metrics_{registry_};
  routing::OverloadGauge overload_;
  std::unique_ptr<CallContext> context_;
  int caller_ = -1;
  std::unique_ptr<http1::ServerConnection> connection_;
  std::unique_ptr<Call> call_;
};

// Guards against a lost request that is not repeated though engines are free,
// because an earlier attempt had been placed at one of the further engines.
TEST_F(CallTest, EachAttemptMayUseFurtherEngines) {
  UseLittleOfShare();
  routing::RoutedRequest request = MakeRequest();
  for (const routing::Upstream& engine :
       router_.EnginesToQuery(request, loop_.clock().Now())) {
    busy_.insert(engine.id);
  }
  EXPECT_EQ(Answer(), "HTTP/1.1 200 OK");
  EXPECT_EQ(engines_.arrivals(), 2u);
}

}  // namespace
}  // namespace jackdawshunt::gateway
