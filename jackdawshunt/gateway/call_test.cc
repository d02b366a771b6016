#include "jackdawshunt/gateway/call.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "event2/util.h"
#include "gtest/gtest.h"
#include "jackdawshunt/board/datagram_socket.h"
#include "jackdawshunt/http1/listener.h"

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
  // Leaves the answers to `script`, which gets the number of the arrival.
  using Script = std::function<void(http1::ServerConnection& connection,
                                    const http1::RequestHead& head,
                                    size_t arrival)>;
  void SetScript(Script script) { script_ = std::move(script); }
  // Calls `run` later, unless the connection has ended.
  void After(kernel::Duration delay,
             http1::ServerConnection& connection,
             std::function<void()> run) {
    timers_.push_back(
        loop_.After(delay, [this, then = std::move(run), &connection] {
          if (connections_.Contains(connection)) {
            then();
          }
        }));
  }

  void OnRequest(http1::ServerConnection& connection,
                 const http1::RequestHead& head,
                 std::string&) override {
    ++arrivals_;
    if (script_) {
      script_(connection, head, arrivals_);
      return;
    }
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
  Script script_;
  std::vector<kernel::Timer> timers_;
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
    route.attempts = 3;
    route.timeout = seconds(8);
    route.latency_objective = seconds(1);
    route.services = {{"llm", 1}};
    routing::Route plain = route;
    plain.path_prefix = "/hold/";
    plain.kind = routing::RouteKind::kUnsafe;
    plain.is_resumable = false;
    plain.services = {{"desk", 1}};
    state.routes = {route, plain};
    state.services = {
        {.name = "desk"},
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
    routing::Upstream desk = upstreams.front();
    desk.id = "d-0";
    desk.service = "desk";
    desk.address.ip = "127.0.4.100";
    listeners_.push_back(*http1::Listener::Bind(
        loop_, {desk.address.ip, 0}, [this](int fd) { engines_.Add(fd); }));
    desk.address.port = listeners_.back()->port();
    upstreams.push_back(desk);
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
  const CallerResponse& WholeAnswer(std::string_view request = kRequest) {
    response_.emplace();
    EXPECT_EQ(write(caller_, request.data(), request.size()),
              static_cast<ssize_t>(request.size()));
    EXPECT_TRUE(loop_.RunUntil(
        [&] {
          std::array<char, 4096> buffer;
          const ssize_t count = read(caller_, buffer.data(), buffer.size());
          if (count > 0) {
            response_->Feed({buffer.data(), static_cast<size_t>(count)});
          }
          return response_->is_complete() || count == 0;
        },
        seconds(20)));
    return *response_;
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

  routing::RoutedRequest MakePlainRequest(std::string id) {
    routing::RoutedRequest request;
    request.id = std::move(id);
    request.table = router_.table();
    request.route = request.table->Match("h", "/hold/x");
    router_.Prepare(request, seconds(3), loop_.clock().Now());
    return request;
  }

  // http1::ServerConnection::Handler:
  void OnRequest(http1::ServerConnection& connection,
                 const http1::RequestHead& head,
                 std::string& body) override {
    const std::string id(http::FindHeader(head.headers, "Request-Id"));
    call_ = std::make_unique<Call>(
        *context_, connection, head, body,
        head.target == "/hold/x" ? MakePlainRequest(id) : MakeRequest());
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
  std::optional<CallerResponse> response_;
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

// How the end of a raw answer is marked.
enum class RawEnd { kLength, kChunks, kClose, kCutInBody, kCutAfterHead };

struct RawAnswer {
  std::string first_line;
  std::string fields;  // Each with its line end.
  std::string body;
  RawEnd end = RawEnd::kLength;
};

std::string Describe(const RawAnswer& answer) {
  return absl::StrCat(answer.first_line, " | ", answer.fields, " | ",
                      answer.body, " | ", static_cast<int>(answer.end));
}

// Returns the bytes of the answer.
std::string RawBytes(const RawAnswer& answer) {
  std::string bytes =
      absl::StrCat("HTTP/1.1 ", answer.first_line, "\r\n", answer.fields);
  switch (answer.end) {
    case RawEnd::kChunks:
      return absl::StrCat(bytes, "Transfer-Encoding: chunked\r\n\r\n",
                          answer.body.empty()
                              ? ""
                              : absl::StrCat(absl::Hex(answer.body.size()),
                                             "\r\n", answer.body, "\r\n"),
                          "0\r\n\r\n");
    case RawEnd::kClose:
      return absl::StrCat(bytes, "Connection: close\r\n\r\n", answer.body);
    case RawEnd::kCutAfterHead:
      return absl::StrCat(bytes, "Content-Length: 9\r\n\r\n");
    case RawEnd::kLength:
    case RawEnd::kCutInBody:
      break;
  }
  const size_t rest = answer.end == RawEnd::kCutInBody ? 7 : 0;
  return absl::StrCat(bytes, "Content-Length: ", answer.body.size() + rest,
                      "\r\n\r\n", answer.body);
}

// The answers of an upstream that does not go on with a stream.
std::vector<RawAnswer> ErrorAnswers() {
  constexpr char kOwn[] = "Request-Id: 1\r\n";
  constexpr char kSeal[] = "Request-Id: 1\r\nResponse-Seal: s\r\n";
  constexpr char kRefusal[] = "Request-Id: 1\r\nNot-Executed: 1\r\n";
  // Text that could pass for an event.
  constexpr char kText[] = "id: 9\ndata: error\n\n";
  std::vector<RawAnswer> answers;
  for (const RawEnd end : {RawEnd::kLength, RawEnd::kChunks, RawEnd::kClose,
                           RawEnd::kCutInBody, RawEnd::kCutAfterHead}) {
    for (const int status : {300, 302, 400, 401, 403, 404, 408, 409, 410, 416,
                             421, 422, 429, 500, 501, 502, 503, 504, 599}) {
      const std::string line = absl::StrCat(status, " Error");
      answers.push_back({line, kOwn, kText, end});
      answers.push_back({line, kSeal, kText, end});
      answers.push_back({line, kRefusal, "refused", end});
      answers.push_back({line, kSeal, "", end});
    }
    // Successes that are no part of a stream.
    answers.push_back({"200 OK", kOwn, kText, end});
    answers.push_back({"200 OK", kRefusal, kText, end});
    for (const char* const line :
         {"201 Created", "202 Accepted", "203 Other", "206 Partial Content"}) {
      answers.push_back({line, kSeal, kText, end});
      answers.push_back({line, kSeal, "", end});
    }
    answers.push_back(
        {"200 OK", absl::StrCat(kSeal, "Content-Type: application/json\r\n"),
         "{\"error\":\"lost\"}\n\n", end});
    answers.push_back({"200 OK",
                       absl::StrCat(kSeal, "Content-Type: text/plain\r\n"), "",
                       end});
  }
  answers.push_back({"204 No Content", kSeal, "", RawEnd::kLength});
  answers.push_back({"103 Hints\r\nLink: a\r\n\r\nHTTP/1.1 500 Error", kSeal,
                     kText, RawEnd::kLength});
  answers.push_back(
      {"500 Error", "Request-Id: other\r\n", kText, RawEnd::kLength});
  answers.push_back({"500 Error", "", kText, RawEnd::kClose});
  return answers;
}

// Guards against a crash when an upstream is lost after an event so large that
// pieces of it were forwarded: the request was released with the first piece.
TEST_F(CallTest, StreamThatBeganWithALargeEventIsNotContinued) {
  MakeRequest();  // Adds to the retry budget.
  MakeRequest();
  const http1::ResponseHead stream{
      .status = 200,
      .headers = {{"Request-Id", "1"}, {"Response-Seal", "seal"}}};
  engines_.SetScript([&](http1::ServerConnection& connection,
                         const http1::RequestHead&, size_t) {
    connection.StartResponse(
        stream, http1::BodyFraming::Chunked(), false,
        "id: 1\ndata: " + std::string(size_t{300} * 1024, 'x'));
    engines_.After(milliseconds(20), connection,
                   [&connection] { connection.WriteBody("\n\n"); });
    engines_.After(milliseconds(40), connection,
                   [&connection] { connection.Abort(); });
  });
  EXPECT_FALSE(WholeAnswer().is_complete());
  EXPECT_EQ(engines_.arrivals(), 1u);
}

// The parameter is the index of the answer.
class BrokenStreamTest : public CallTest,
                         public ::testing::WithParamInterface<size_t> {};

// Guards against the text or the head of an error in the middle of a stream,
// and against a stream that ends as if it were complete, when the upstream at
// which a broken stream goes on answers with an error.
TEST_P(BrokenStreamTest, ErrorInPlaceOfTheRestReachesNobody) {
  const RawAnswer answer = ErrorAnswers().at(GetParam());
  SCOPED_TRACE(Describe(answer));
  MakeRequest();  // Adds to the retry budget.
  MakeRequest();
  const std::vector<std::string> events = MakeEvents(7);
  const http1::ResponseHead stream{
      .status = 200,
      .headers = {{"Request-Id", "1"},
                  {"Response-Seal", "seal"},
                  {"Content-Type", "text/event-stream"}}};
  engines_.SetScript([&](http1::ServerConnection& connection,
                         const http1::RequestHead& head, size_t arrival) {
    if (arrival == 1) {
      connection.StartResponse(stream, http1::BodyFraming::Chunked(), false,
                               events[0]);
      engines_.After(milliseconds(1), connection,
                     [&connection] { connection.Abort(); });
    } else if (arrival == 2) {
      connection.WriteRaw(RawBytes(answer));
      engines_.After(milliseconds(2), connection,
                     [&connection] { connection.Abort(); });
    } else {
      EXPECT_EQ(http::FindHeader(head.headers, "Last-Event-Id"), "1");
      connection.Reply(stream, events[1] + events[2]);
    }
  });
  const CallerResponse& response = WholeAnswer();
  EXPECT_TRUE(response.is_complete());
  EXPECT_EQ(response.status(), 200);
  EXPECT_EQ(response.body(), absl::StrJoin(events, ""));
  EXPECT_EQ(engines_.arrivals(), 3u);
}

INSTANTIATE_TEST_SUITE_P(EachAnswer,
                         BrokenStreamTest,
                         ::testing::Range<size_t>(0, ErrorAnswers().size()));

// Guards against the head of an error in the middle of a stream, when the
// upstream writes it in place of the next event.
TEST_F(CallTest, HeadInsideAStreamReachesNobody) {
  MakeRequest();  // Adds to the retry budget.
  MakeRequest();
  const std::vector<std::string> events = MakeEvents(7);
  const http1::ResponseHead stream{
      .status = 200,
      .headers = {{"Request-Id", "1"}, {"Response-Seal", "seal"}}};
  engines_.SetScript([&](http1::ServerConnection& connection,
                         const http1::RequestHead& head, size_t arrival) {
    if (arrival == 1) {
      connection.Reply(stream, events[0] +
                                   "HTTP/1.1 500 Error\r\n"
                                   "Content-Length: 7\r\n\r\nfailed\n");
    } else {
      EXPECT_EQ(http::FindHeader(head.headers, "Last-Event-Id"), "1");
      connection.Reply(stream, events[1] + events[2]);
    }
  });
  const CallerResponse& response = WholeAnswer();
  EXPECT_TRUE(response.is_complete());
  EXPECT_EQ(response.body(), absl::StrJoin(events, ""));
  EXPECT_EQ(engines_.arrivals(), 2u);
}

// When a refusal of an earlier request on the connection is written once more.
enum class RepeatAt {
  kAtOnce,          // With the first one.
  kWhileIdle,       // Before the next request.
  kBeforeAnswer,    // While the next request runs.
  kWithAnswer,      // In front of the answer to it.
  kAfterAnswer,     // Behind the answer to it.
  kWhileIdleAgain,  // After the answer to it.
};

using RepeatedRefusal = std::tuple<RepeatAt, RawEnd, const char*, bool>;

// The parameters are when and in which framing it is written, its status, and
// whether it names the request that was refused.
class RepeatedRefusalTest
    : public CallTest,
      public ::testing::WithParamInterface<RepeatedRefusal> {
 protected:
  static std::string Request(const std::string& id) {
    return absl::StrCat("POST /hold/x HTTP/1.1\r\nHost: h\r\nRequest-Id: ", id,
                        "\r\nContent-Length: 2\r\n\r\n{}");
  }
  static int StatusOf(const char* refusal) {
    int status = 0;
    EXPECT_TRUE(absl::SimpleAtoi(absl::string_view(refusal, 3), &status));
    return status;
  }
  void Pause(kernel::Duration time) {
    loop_.RunUntil([] { return false; }, time);
  }
};

// Guards against "not run, try again" for a request that an upstream runs, and
// against a second run of it.
TEST_P(RepeatedRefusalTest, IsNotTakenForTheAnswerToALaterRequest) {
  const auto [at, end, refusal, names_request] = GetParam();
  const std::string repeated =
      RawBytes({refusal,
                absl::StrCat(names_request ? "Request-Id: refused\r\n" : "",
                             "Not-Executed: 1\r\n"),
                "no", end});
  std::map<std::string, int> runs;
  engines_.SetScript([&, at = at, refusal = refusal, end = end](
                         http1::ServerConnection& connection,
                         const http1::RequestHead& head, size_t) {
    const std::string id(http::FindHeader(head.headers, "Request-Id"));
    ++runs[id];
    const auto repeat = [&connection, &repeated] {
      connection.WriteRaw(repeated);
    };
    const auto answer = [&connection, id] {
      connection.Reply(
          {.status = 200,
           .headers = {{"Request-Id", id}, {"Response-Seal", "s"}}},
          id);
    };
    if (id == "refused") {
      connection.Reply({.status = StatusOf(refusal),
                        .headers = {{"Request-Id", id}, {"Not-Executed", "1"}}},
                       "no");
      if (at == RepeatAt::kAtOnce) {
        repeat();
      } else if (at == RepeatAt::kWhileIdle) {
        engines_.After(milliseconds(1), connection, repeat);
      }
    } else if (id == "next" && at == RepeatAt::kBeforeAnswer) {
      repeat();
      engines_.After(milliseconds(2), connection, answer);
    } else if (id == "next" && at == RepeatAt::kWithAnswer) {
      repeat();
      answer();
    } else {
      answer();
      if (id == "next" && at == RepeatAt::kAfterAnswer) {
        repeat();
      } else if (id == "next" && at == RepeatAt::kWhileIdleAgain) {
        engines_.After(milliseconds(1), connection, repeat);
      }
    }
    if (id == "next" && end == RawEnd::kClose) {
      engines_.After(milliseconds(4), connection,
                     [&connection] { connection.Abort(); });
    }
  });
  EXPECT_EQ(WholeAnswer(Request("refused")).status(), 503);
  if (at == RepeatAt::kWhileIdle) {
    Pause(milliseconds(4));
  }
  const CallerResponse& next = WholeAnswer(Request("next"));
  EXPECT_TRUE(next.is_complete());
  EXPECT_EQ(runs["next"], 1);
  const bool ends_inside_refusal =
      end == RawEnd::kClose &&
      (at == RepeatAt::kBeforeAnswer || at == RepeatAt::kWithAnswer);
  EXPECT_EQ(next.status(), ends_inside_refusal ? 502 : 200) << next.body();
  if (!ends_inside_refusal) {
    EXPECT_EQ(next.body(), "next");
  }
  Pause(milliseconds(3));
  const CallerResponse& last = WholeAnswer(Request("last"));
  EXPECT_EQ(last.status(), 200);
  EXPECT_EQ(last.body(), "last");
  EXPECT_EQ(runs["last"], 1);
  EXPECT_GE(pool_.connections_opened(), 2u);
}

INSTANTIATE_TEST_SUITE_P(
    EachMoment,
    RepeatedRefusalTest,
    ::testing::Combine(
        ::testing::Values(RepeatAt::kAtOnce,
                          RepeatAt::kWhileIdle,
                          RepeatAt::kBeforeAnswer,
                          RepeatAt::kWithAnswer,
                          RepeatAt::kAfterAnswer,
                          RepeatAt::kWhileIdleAgain),
        ::testing::Values(RawEnd::kLength, RawEnd::kChunks, RawEnd::kClose),
        ::testing::Values("503 Busy", "429 Many", "408 Late", "400 Bad"),
        ::testing::Bool()));

}  // namespace
}  // namespace jackdawshunt::gateway
