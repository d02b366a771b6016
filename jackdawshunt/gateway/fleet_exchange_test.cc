#include "jackdawshunt/gateway/fleet_exchange.h"

#include <memory>
#include <optional>

#include "gtest/gtest.h"
#include "jackdawshunt/board/datagram_socket.h"

namespace jackdawshunt::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kBoardIp[] = "127.0.0.2";

// A gateway that exchanges its state with one board, whose replies state the
// newest revision of upstreams that any gateway has read.
class FleetExchangeTest : public ::testing::Test {
 protected:
  FleetExchangeTest() : router_({}, loop_.clock().Now()), freshness_({}) {
    board_ = *board::DatagramSocket::Bind(
        loop_, {kBoardIp, 0},
        [this](const http::Address& from, std::string_view bytes) {
          const auto message = board::Decode(bytes);
          const auto& update = std::get<board::ShareUpdate>(*message);
          if (is_board_up_) {
            board_->Send(
                from, board::Encode(board::ShareTotals{
                          .sequence = update.sequence,
                          .gateways = 2,
                          .store = {.upstreams_revision = fleet_revision_}}));
          }
        });
    boards_ = std::make_unique<BoardClient>(loop_, "127.0.0.1", board_->port());
    EXPECT_TRUE(boards_->Open().ok());
    routing::DesiredState state;
    state.version = 1;
    state.services = {{.name = "llm", .engine = routing::EngineProfile{}}};
    router_.SetDesiredState(std::move(state));
    routing::Upstream engine;
    engine.id = "i-1";
    engine.service = "llm";
    engine.address = {kBoardIp, 8080};
    router_.directory().Replace({engine}, loop_.clock().Now());
    exchange_.emplace(loop_, router_, *boards_, freshness_, renewal_);
    exchange_->Start([this] { return own_revision_; },
                     [this] { return own_evacuations_revision_; });
  }
  bool Await(bool is_current) {
    return loop_.RunUntil(
        [&] { return exchange_->IsListCurrent() == is_current; }, seconds(20));
  }

  kernel::EventLoop loop_;
  routing::Router router_;
  routing::KeyFreshness freshness_;
  routing::WatchRenewal renewal_{seconds(2)};
  routing::StoreRevision own_revision_{.era = 1, .revision = 7};
  routing::StoreRevision own_evacuations_revision_;
  routing::StoreRevision fleet_revision_{.era = 1, .revision = 7};
  bool is_board_up_ = true;
  std::unique_ptr<board::DatagramSocket> board_;
  std::unique_ptr<BoardClient> boards_;
  std::optional<FleetExchange> exchange_;
};

// Guards against a gateway that takes its own old list of upstreams for the
// fleet's, and so does not know of a new software version.
TEST_F(FleetExchangeTest, ListIsCurrentOnlyIfNoGatewayHasANewerOne) {
  EXPECT_FALSE(exchange_->IsListCurrent());
  EXPECT_TRUE(Await(true));
  fleet_revision_ = {.era = 1, .revision = 8};
  EXPECT_TRUE(Await(false));
  own_revision_ = {.era = 1, .revision = 8};
  EXPECT_TRUE(Await(true));
  fleet_revision_ = {.era = 2, .revision = 3};
  EXPECT_TRUE(Await(false));
}

TEST_F(FleetExchangeTest, ListIsNotCurrentWithoutReplies) {
  EXPECT_TRUE(Await(true));
  is_board_up_ = false;
  EXPECT_TRUE(Await(false));
}

}  // namespace
}  // namespace jackdawshunt::gateway
