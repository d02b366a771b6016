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
// Later than any time since boot of the machine that runs the test.
constexpr uint64_t kBoardTimeUs = uint64_t{1} << 50;

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
          ++updates_;
          reported_renewal_us_ = update.store.watches_renewed_at_us;
          if (is_board_up_) {
            board_->Send(
                from,
                board::Encode(board::ShareTotals{
                    .sequence = update.sequence,
                    .gateways = 2,
                    .board = 1,
                    .board_time_us = kBoardTimeUs,
                    .store = {.upstreams_revision = fleet_revision_,
                              .watches_renewed_at_us = fleet_renewal_us_}}));
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
  uint64_t fleet_renewal_us_ = 0;
  bool is_board_up_ = true;
  size_t updates_ = 0;
  uint64_t reported_renewal_us_ = 0;  // By the last update.
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

// Guards against a fleet in which each gateway renews its watches, or none does
// since one reports a renewal that never was.
TEST_F(FleetExchangeTest, RenewalsOfWatchesAreSharedOnceTheyAreKnown) {
  const kernel::BootClock clock;
  ASSERT_TRUE(loop_.RunUntil([&] { return updates_ >= 3; }, seconds(20)));
  EXPECT_EQ(reported_renewal_us_, 0u);
  EXPECT_EQ(renewal_.renewed_at(), kernel::TimePoint{});

  const kernel::TimePoint before = clock.Now();
  fleet_renewal_us_ = kBoardTimeUs - 100'000;
  ASSERT_TRUE(loop_.RunUntil(
      [&] { return renewal_.renewed_at() != kernel::TimePoint{}; },
      seconds(20)));
  EXPECT_GE(renewal_.renewed_at(), before - seconds(1));
  EXPECT_LE(renewal_.renewed_at(), clock.Now() - milliseconds(100));

  renewal_.RecordRenewedAt(clock.Now());
  ASSERT_TRUE(loop_.RunUntil(
      [&] { return reported_renewal_us_ > fleet_renewal_us_; }, seconds(20)));
}

TEST_F(FleetExchangeTest, ListIsNotCurrentWithoutReplies) {
  EXPECT_TRUE(Await(true));
  is_board_up_ = false;
  EXPECT_TRUE(Await(false));
}

}  // namespace
}  // namespace jackdawshunt::gateway
