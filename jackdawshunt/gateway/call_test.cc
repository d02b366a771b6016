#include "jackdawshunt/gateway/call.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
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

// A response that an engine gives.
struct EngineResponse {
  int status = 200;
  std::vector<std::string> events;  // Without those the caller has, by id.
  // Bytes of the body that are sent before the connection ends, if it is cut.
  std::optional<size_t> cut;
};

// Engines that end the connection of the first request that they get, all
// together, and answer the others; or that give the responses that are set.
class EngineHandler final : public http1::ServerConnection::Handler {
 public:
  explicit EngineHandler(kernel::EventLoop& loop)
      : loop_(loop), connections_(loop, *this) {}
  void Add(int fd) { connections_.Add(fd); }
  size_t arrivals() const { return arrivals_; }
  void SetResponses(std::vector<EngineResponse> responses) {
    responses_ = std::move(responses);
  }

  void OnRequest(http1::ServerConnection& connection,
                 const http1::RequestHead& head,
                 std::string&) override {
    ++arrivals_;
    const std::string id(http::FindHeader(head.headers, "Request-Id"));
    const http1::ResponseHead response_head{
        .status = 200,
        .headers = {{"Request-Id", id}, {"Response-Seal", "seal"}}};
    if (arrivals_ <= responses_.size()) {
      Send(connection, head, response_head, responses_[arrivals_ - 1]);
    } else if (arrivals_ == 1) {
      connection.Abort();
    } else {
      connection.Reply(response_head, "id: 1\ndata: x\n\n");
    }
  }
  void OnRequestError(http1::ServerConnection&, http1::RequestError) override {}
  void OnDrained(http1::ServerConnection&) override {}
  void OnClosed(http1::ServerConnection& connection) override {
    connections_.Remove(connection);
  }

 private:
  void Send(http1::ServerConnection& connection,
            const http1::RequestHead& request,
            http1::ResponseHead head,
            const EngineResponse& response) {
    head.status = response.status;
    const std::string last_id(
        http::FindHeader(request.headers, "Last-Event-ID"));
    size_t first = 0;
    EXPECT_TRUE(last_id.empty() || absl::SimpleAtoi(last_id, &first));
    std::string body;
    for (size_t i = first; i < response.events.size(); ++i) {
      body.append(response.events[i]);
    }
    if (response.cut.has_value()) {
      ASSERT_LT(*response.cut, body.size());
      connection.StartResponse(head, http1::BodyFraming::Length(body.size()),
                               false, body.substr(0, *response.cut));
      // After the gateway has read what was sent.
      abort_timer_ = loop_.After(milliseconds(1), [this, &connection] {
        if (connections_.Contains(connection)) {
          connection.Abort();
        }
      });
    } else {
      connection.Reply(head, body);
    }
  }

  kernel::EventLoop& loop_;
  http1::ConnectionSet connections_;
  kernel::Timer abort_timer_;
  std::vector<EngineResponse> responses_;
  size_t arrivals_ = 0;
};

// The response that the caller gets.
class CallerResponse final : public http1::ResponseSink {
 public:
  void OnHead(const http1::ResponseHead& head) override {
    status_ = head.status;
  }
  void OnBody(std::string_view data) override { body_.append(data); }
  void Feed(std::string_view bytes) { parser_.Feed(bytes, *this); }

  int status() const { return status_; }
  const std::string& body() const { return body_; }
  bool is_complete() const {
    return parser_.state() == http1::ParseState::kComplete;
  }

 private:
  http1::ResponseParser parser_;
  int status_ = 0;
  std::string body_;
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
      engine.software_version = "v1";
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
  // Returns the response to the request, as far as it arrives.
  const CallerResponse& WholeAnswer() {
    EXPECT_EQ(write(caller_, kRequest, sizeof(kRequest) - 1),
              static_cast<ssize_t>(sizeof(kRequest) - 1));
    EXPECT_TRUE(loop_.RunUntil(
        [&] {
          std::array<char, 4096> buffer;
          const ssize_t count = read(caller_, buffer.data(), buffer.size());
          if (count > 0) {
            response_.Feed({buffer.data(), static_cast<size_t>(count)});
          }
          return response_.is_complete() || count == 0;
        },
        seconds(20)));
    return response_;
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
  CallerResponse response_;
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

// Three events whose data and line ends follow from `seed`.
std::vector<std::string> MakeEvents(size_t seed) {
  std::minstd_rand random(static_cast<unsigned>(seed + 1));
  std::vector<std::string> events;
  for (int id = 1; id <= 3; ++id) {
    const std::string data(random() % 9, static_cast<char>('a' + random() % 9));
    const std::string line_end = random() % 2 == 0 ? "\n" : "\r\n";
    events.push_back(
        absl::StrCat("id: ", id, line_end, "data: ", data, line_end, line_end));
  }
  return events;
}

// The parameter is the seed of the events and the byte at which the first
// response is cut.
class CutResponseTest : public CallTest,
                        public ::testing::WithParamInterface<size_t> {
 protected:
  CutResponseTest() {
    MakeRequest();  // Adds to the retry budget.
  }
};

// Guards against bytes of a lost attempt's last, incomplete event in the
// response that goes on at another upstream, and against events given twice.
TEST_P(CutResponseTest, NextAttemptContinuesAfterTheLastWholeEvent) {
  const std::vector<std::string> events = MakeEvents(GetParam());
  const std::string whole = absl::StrJoin(events, "");
  engines_.SetResponses({{.events = events, .cut = GetParam() % whole.size()},
                         {.events = events}});
  const CallerResponse& response = WholeAnswer();
  EXPECT_TRUE(response.is_complete());
  EXPECT_EQ(response.status(), 200);
  EXPECT_EQ(response.body(), whole);
  EXPECT_EQ(engines_.arrivals(), 2u);
}

// Guards against bytes of a lost attempt's collected body in the next one's.
TEST_P(CutResponseTest, CollectedBodyIsTheLastAttemptsOnly) {
  const std::vector<std::string> lost = MakeEvents(GetParam());
  engines_.SetResponses({{.status = 404,
                          .events = lost,
                          .cut = GetParam() % absl::StrJoin(lost, "").size()},
                         {.status = 404, .events = {"not found"}}});
  const CallerResponse& response = WholeAnswer();
  EXPECT_TRUE(response.is_complete());
  EXPECT_EQ(response.status(), 404);
  EXPECT_EQ(response.body(), "not found");
  EXPECT_EQ(engines_.arrivals(), 2u);
}

INSTANTIATE_TEST_SUITE_P(EachByte,
                         CutResponseTest,
                         ::testing::Range<size_t>(0, 60));

}  // namespace
}  // namespace jackdawshunt::gateway
