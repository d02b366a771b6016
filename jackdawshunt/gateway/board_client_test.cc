#include "jackdawshunt/gateway/board_client.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "gtest/gtest.h"

namespace jackdawshunt::gateway {
namespace {

using std::chrono::seconds;

// Guards against a pace and a prior that the gateway knows and the board does
// not get, and a speed that the board states and the gateway drops.
TEST(BoardClientTest, MessagesCarryPaceSlotsAndSpeeds) {
  kernel::EventLoop loop;
  std::optional<board::Query> query;
  std::optional<board::Claim> claim;
  std::unique_ptr<board::DatagramSocket> board_socket;
  const routing::Speed stated{.prefill_tokens_per_ms = 93, .event_ms = 3.3};
  auto bound = board::DatagramSocket::Bind(
      loop, {"127.0.0.2", 0},
      [&](const http::Address& from, std::string_view bytes) {
        const auto message = board::Decode(bytes);
        ASSERT_TRUE(message.ok());
        if (const auto* received = std::get_if<board::Query>(&*message)) {
          query = *received;
          board_socket->Send(
              from, board::Encode(board::Offer{.nonce = received->nonce,
                                               .speed = stated}));
        } else if (const auto* sent = std::get_if<board::Claim>(&*message)) {
          claim = *sent;
        }
      });
  ASSERT_TRUE(bound.ok()) << bound.status();
  board_socket = *std::move(bound);
  BoardClient client(loop, "127.0.0.1", board_socket->port());
  const absl::Status opened = client.Open();
  ASSERT_TRUE(opened.ok()) << opened;

  routing::DesiredState state;
  state.services = {
      {.name = "llm",
       .engine = routing::EngineProfile{.slots = 64, .cache_tokens = 519991}}};
  std::vector<routing::Upstream> engines(1);
  engines[0].id = "e1";
  engines[0].service = "llm";
  engines[0].address = {"127.0.0.2", 80};
  engines[0].start = 1;
  routing::Upstream slow = engines[0];
  slow.start = 2;
  const auto speeds = std::make_shared<routing::SpeedTable>();
  const kernel::TimePoint now{seconds(100)};
  speeds->Observe(engines[0], {.prefill_tokens_per_ms = 90}, now);
  speeds->Observe(slow, {.prefill_tokens_per_ms = 30}, now);
  speeds->Update(now);
  routing::RoutedRequest request;
  request.table = std::make_shared<routing::RoutingTable>(std::move(state));
  request.prompt = routing::Prompt{.max_output_tokens = 80};
  request.engine_tokens_per_s = 1000;
  request.speeds = speeds;

  std::vector<routing::BoardOffer> offers;
  // On a busy machine the reply may miss the time that a query waits.
  for (int i = 0; i < 100 && offers.empty(); ++i) {
    bool is_done = false;
    const auto handle = client.SendQueries(
        engines, request, [&](const std::vector<routing::BoardOffer>& got) {
          offers = got;
          is_done = true;
        });
    ASSERT_TRUE(loop.RunUntil([&] { return is_done; }, seconds(20)));
  }
  ASSERT_EQ(offers.size(), 1u);
  EXPECT_EQ(offers[0].speed, stated);
  ASSERT_TRUE(query.has_value());
  EXPECT_EQ(query->engine.sustained_tokens_per_s, 1500u);
  EXPECT_EQ(query->engine.slots, 64u);
  EXPECT_EQ(query->engine.prior.prefill_tokens_per_ms, 90);
  client.SendClaim(engines[0], request);
  ASSERT_TRUE(loop.RunUntil([&] { return claim.has_value(); }, seconds(20)));
  EXPECT_EQ(claim->engine.sustained_tokens_per_s, 1500u);
  EXPECT_EQ(claim->engine.prior.prefill_tokens_per_ms, 90);
}

}  // namespace
}  // namespace jackdawshunt::gateway
