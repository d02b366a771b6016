#include "jackdawshunt/gateway/origin_client.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gtest/gtest.h"
#include "jackdawshunt/board/datagram_socket.h"

namespace jackdawshunt::gateway {
namespace {

constexpr char kBoardIp[] = "127.0.0.2";
constexpr uint64_t kOrigin = 77;

// One gateway and the socket of one board.
class OriginClientTest : public ::testing::Test {
 protected:
  OriginClientTest() : router_({}, loop_.clock().Now()) {
    board_ = *board::DatagramSocket::Bind(
        loop_, {kBoardIp, 0},
        [this](const http::Address& from, std::string_view bytes) {
          gateway_ = from;
          received_.push_back(*board::Decode(bytes));
        });
    boards_ = std::make_unique<BoardClient>(loop_, "127.0.0.1", board_->port());
    EXPECT_TRUE(boards_->Open().ok());
    origins_ = std::make_unique<OriginClient>(loop_, router_, *boards_);
    routing::DesiredState state;
    state.version = 1;
    routing::Route route;
    route.kind = routing::RouteKind::kStream;
    route.is_resumable = true;
    route.timeout = std::chrono::seconds(8);
    route.services = {{"llm", 1}};
    state.routes = {route};
    state.services = {{.name = "llm", .engine = routing::EngineProfile{}}};
    router_.SetDesiredState(std::move(state));
    routing::Upstream engine;
    engine.id = "i-1";
    engine.service = "llm";
    engine.address = {kBoardIp, 8080};
    router_.directory().Replace({engine}, loop_.clock().Now());
  }

  routing::RoutedRequest MakeRequest(const std::string& id) {
    routing::RoutedRequest request;
    request.id = id;
    request.table = router_.table();
    request.route = &request.table->state().routes.front();
    router_.Prepare(request, std::chrono::seconds(8), loop_.clock().Now());
    return request;
  }
  // Starts to look up the stream that the request `first` began; a stream whose
  // caller does not name it if that is empty.
  void Find(const std::string& first) {
    resuming_ = MakeRequest("next");
    resuming_.resumption = {.first_request = first, .last_event_id = "3"};
    lookup_ = origins_->Find(resuming_, [this](const OriginAnswer& answer) {
      answer_ = answer.origin;
    });
  }
  // Lists one engine of a stated version for longer than any stream lasts.
  uint64_t ListOneVersion() {
    routing::Upstream engine;
    engine.id = "i-1";
    engine.service = "llm";
    engine.software_version = "v1";
    engine.address = {kBoardIp, 8080};
    router_.directory().Replace({engine},
                                loop_.clock().Now() - std::chrono::seconds(60));
    return routing::StreamOriginOf("llm", "v1");
  }
  template <typename T>
  T Receive() {
    EXPECT_TRUE(loop_.RunUntil([this] { return !received_.empty(); },
                               std::chrono::seconds(20)));
    const T message = std::get<T>(received_.front());
    received_.clear();
    return message;
  }
  void Reply(const board::OriginReply& reply) {
    board_->Send(*gateway_, board::Encode(reply));
  }
  bool AwaitAnswer() {
    return loop_.RunUntil([this] { return answer_.has_value(); },
                          std::chrono::seconds(20));
  }

  kernel::EventLoop loop_;
  routing::Router router_;
  std::unique_ptr<board::DatagramSocket> board_;
  std::unique_ptr<BoardClient> boards_;
  std::unique_ptr<OriginClient> origins_;
  routing::RoutedRequest resuming_;
  OriginClient::LookupHandle lookup_;
  std::optional<http::Address> gateway_;
  std::vector<board::Message> received_;
  std::optional<uint64_t> answer_;
};

TEST_F(OriginClientTest, SendsRecordToBoardAndKeepsIt) {
  routing::RoutedRequest request = MakeRequest("first");
  request.origin = kOrigin;
  origins_->Record(request);
  const auto record = Receive<board::OriginRecord>();
  EXPECT_EQ(record.request, routing::HashOf("first"));
  EXPECT_EQ(record.origin, kOrigin);
  Find("first");
  EXPECT_EQ(answer_, kOrigin);
}

TEST_F(OriginClientTest, FindsOriginAtBoard) {
  Find("first");
  const auto query = Receive<board::OriginQuery>();
  EXPECT_EQ(query.request, routing::HashOf("first"));
  Reply({.nonce = query.nonce, .request = query.request, .origin = kOrigin});
  ASSERT_TRUE(AwaitAnswer());
  EXPECT_EQ(answer_, kOrigin);
}

// Guards against a late reply to an earlier process with the same address,
// whose queries had the same numbers.
TEST_F(OriginClientTest, ReplyAboutAnotherStreamIsIgnored) {
  Find("first");
  const auto query = Receive<board::OriginQuery>();
  Reply({.nonce = query.nonce,
         .request = routing::HashOf("other"),
         .origin = kOrigin});
  ASSERT_TRUE(AwaitAnswer());
  EXPECT_EQ(answer_, routing::kUnknownOrigin);
}

// Guards against a stream that goes on at the only listed version although
// another gateway began it at one that is not known here yet.
TEST_F(OriginClientTest, SoleVersionIsKnownOnlyAfterTheListWasRead) {
  const uint64_t v1 = ListOneVersion();
  std::function<void(bool)> done;
  origins_->SetListReader(
      [&](std::function<void(bool)> read) { done = std::move(read); });
  Find("");
  EXPECT_FALSE(answer_.has_value());
  done(true);
  EXPECT_EQ(answer_, v1);

  answer_.reset();
  Find("");
  routing::Upstream newer;
  newer.id = "i-2";
  newer.service = "llm";
  newer.software_version = "v2";
  newer.address = {kBoardIp, 8081};
  router_.directory().Put(newer, loop_.clock().Now());
  done(true);
  EXPECT_EQ(answer_, routing::kUnknownOrigin);
}

// Guards against a caller that waits for a store that does not answer.
TEST_F(OriginClientTest, SilentStoreMakesTheSoleVersionUnknown) {
  ListOneVersion();
  origins_->SetListReader([](const std::function<void(bool)>&) {});
  const kernel::TimePoint began = loop_.clock().Now();
  Find("");
  ASSERT_TRUE(AwaitAnswer());
  EXPECT_EQ(answer_, routing::kUnknownOrigin);
  EXPECT_LE(loop_.clock().Now() - began, std::chrono::seconds(1));
}

// Guards against a caller that waits for boards that are gone.
TEST_F(OriginClientTest, SilentBoardsMakeTheOriginUnknown) {
  const kernel::TimePoint began = loop_.clock().Now();
  Find("first");
  ASSERT_TRUE(AwaitAnswer());
  EXPECT_EQ(answer_, routing::kUnknownOrigin);
  EXPECT_GE(loop_.clock().Now() - began,
            (routing::OriginLookup::kMaxRounds - 1) *
                routing::OriginLookup::kRoundTime);
}

}  // namespace
}  // namespace jackdawshunt::gateway
