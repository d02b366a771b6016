// Tests of the exchange of facts between gateways through a board, over
// datagrams that are lost, repeated and late.
#include "jackdawshunt/gateway/fact_sync.h"

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "jackdawshunt/board/board.h"

namespace jackdawshunt::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint64_t kDeadlyPart = 0xdead;

struct Gateway {
  explicit Gateway(uint64_t source) : beliefs(source) {}
  routing::Beliefs beliefs;
  FactSync sync;
};

class FactSyncTest : public ::testing::Test {
 protected:
  kernel::TimePoint Now() const { return clock_.Now(); }

  void AddGateways(size_t count) {
    for (size_t i = 0; i < count; ++i) {
      gateways_.push_back(std::make_unique<Gateway>(gateways_.size() + 1));
    }
  }

  static std::vector<routing::Subject> Parts(const std::vector<uint64_t>& ids) {
    std::vector<routing::Subject> subjects;
    subjects.reserve(ids.size());
    for (const uint64_t id : ids) {
      subjects.push_back({routing::SubjectKind::kPart, id});
    }
    return subjects;
  }

  void End(size_t gateway, const std::vector<uint64_t>& parts) {
    EndUnder(gateway, Parts(parts));
  }
  void EndUnder(size_t gateway, const std::vector<routing::Subject>& subjects) {
    routing::Upstream upstream;
    upstream.id = "start-" + std::to_string(++starts_);
    gateways_[gateway]->beliefs.OnLostBeforeAnswer(upstream, subjects, Now(),
                                                   Now());
    gateways_[gateway]->beliefs.OnEnded(upstream.id);
  }

  bool Arrives() { return std::bernoulli_distribution(1 - loss_)(random_); }

  // Each gateway reports to the board once, as in a FleetExchange.
  void Exchange() {
    for (const auto& gateway : gateways_) {
      const auto totals = board_->Handle(
          board::ShareUpdate{.gateway = gateway->beliefs.source(),
                             .sequence = ++sequence_},
          Now());
      if (totals.has_value() && Arrives()) {
        const auto& state = std::get<board::ShareTotals>(*totals);
        gateway->sync.OnBoardState(state.board, state.facts_revision);
      }
      SendFacts(*gateway);
    }
    clock_.Advance(milliseconds(100));
  }

  void SendFacts(Gateway& gateway) {
    while (const auto update =
               gateway.sync.NextUpdate(gateway.beliefs.facts(), Now())) {
      ++updates_;
      bytes_ += board::Encode(*update).size();
      if (!Arrives()) {
        return;
      }
      const auto decoded = board::Decode(board::Encode(*update));
      ASSERT_TRUE(decoded.ok());
      const auto reply = board_->Handle(*decoded, Now());
      ASSERT_TRUE(reply.has_value());
      EXPECT_LE(board::Encode(*reply).size(), 1400u);
      if (!Arrives()) {
        return;
      }
      clock_.Advance(milliseconds(2));
      const auto answer = board::Decode(board::Encode(*reply));
      ASSERT_TRUE(answer.ok());
      const auto& facts = std::get<board::FactReply>(*answer);
      EXPECT_TRUE(gateway.sync.OnReply(facts, gateway.beliefs, Now()));
    }
  }

  size_t Quarantining() const {
    size_t count = 0;
    for (const auto& gateway : gateways_) {
      count += gateway->beliefs.FindQuarantine(Parts({kDeadlyPart}), Now()) !=
                       nullptr
                   ? 1
                   : 0;
    }
    return count;
  }

  kernel::ManualClock clock_;
  std::mt19937_64 random_{1};
  double loss_ = 0;
  std::unique_ptr<board::Board> board_ = std::make_unique<board::Board>(1);
  std::vector<std::unique_ptr<Gateway>> gateways_;
  uint64_t sequence_ = 0;
  uint64_t updates_ = 0;
  uint64_t bytes_ = 0;
  int starts_ = 0;
};

// Guards against gateways each of which must see several ends itself.
TEST_F(FactSyncTest, EndsSeenByDifferentGatewaysCountTogether) {
  AddGateways(30);
  End(0, {1, kDeadlyPart});
  clock_.Advance(seconds(1));
  End(17, {2, kDeadlyPart});
  Exchange();
  Exchange();
  EXPECT_EQ(Quarantining(), 30u);
}

TEST_F(FactSyncTest, LostDatagramsOnlyDelayFacts) {
  loss_ = 0.4;
  AddGateways(10);
  for (int i = 0; i < 8; ++i) {
    End(static_cast<size_t>(i), {static_cast<uint64_t>(i), kDeadlyPart});
    clock_.Advance(seconds(1));
  }
  for (int i = 0; i < 30; ++i) {
    Exchange();
  }
  EXPECT_EQ(Quarantining(), 10u);
}

TEST_F(FactSyncTest, GatewayThatJoinsLateLearnsAll) {
  AddGateways(2);
  for (int i = 0; i < 3; ++i) {
    End(0, {kDeadlyPart});
    clock_.Advance(seconds(1));
  }
  Exchange();
  clock_.Advance(seconds(30));
  AddGateways(1);
  Exchange();
  EXPECT_EQ(Quarantining(), 3u);
}

// Guards against a quarantine that a restarted board does not hand on.
TEST_F(FactSyncTest, RestartedBoardGetsFactsFromTheGateways) {
  AddGateways(2);
  End(0, {kDeadlyPart});
  clock_.Advance(seconds(1));
  End(1, {kDeadlyPart});
  Exchange();
  Exchange();
  board_ = std::make_unique<board::Board>(2);
  gateways_.erase(gateways_.begin());  // It knew of the first end itself.
  Exchange();
  Exchange();
  AddGateways(1);
  Exchange();
  EXPECT_EQ(Quarantining(), 2u);
}

// Guards against the refusal of a sound part because its answers begin at
// another gateway than the ends were seen at.
TEST_F(FactSyncTest, AnswerAtOneGatewayClearsThePartAtAll) {
  AddGateways(3);
  End(0, {7});
  clock_.Advance(seconds(1));
  gateways_[2]->beliefs.OnAnswerBegan(Parts({7}), Now(), Now());
  clock_.Advance(seconds(1));
  End(1, {7});
  Exchange();
  Exchange();
  for (const auto& gateway : gateways_) {
    EXPECT_EQ(gateway->beliefs.FindQuarantine(Parts({7}), Now()), nullptr);
  }
}

// Guards against the refusal of sound parts, and against calls that are
// cancelled, while a gateway that joins has only some of the facts.
TEST_F(FactSyncTest, GatewayThatJoinsConcludesNothingFromHalfOfTheFacts) {
  AddGateways(1);
  for (uint64_t i = 0; i < 12; ++i) {
    End(0, {7, 100 + i});
    clock_.Advance(seconds(1));
  }
  gateways_[0]->beliefs.OnAnswerBegan(Parts({7}), Now(), Now());
  Exchange();
  AddGateways(1);
  size_t concluded = 0;
  gateways_[1]->beliefs.SetObserver(
      [&](const std::vector<routing::Quarantine>& quarantine) {
        concluded += quarantine.size();
      });
  Exchange();
  Exchange();
  EXPECT_EQ(gateways_[1]->beliefs.facts().rows().size(), 13u);
  EXPECT_EQ(concluded, 0u);
}

// Guards against an exchange that never rests: nothing is sent once all know
// all, though clocks and datagrams take time.
TEST_F(FactSyncTest, NothingIsSentWithoutNews) {
  AddGateways(10);
  End(0, {1, kDeadlyPart});
  gateways_[3]->beliefs.OnAnswerBegan(Parts({1}), Now(), Now());
  for (int i = 0; i < 10; ++i) {
    Exchange();
  }
  const uint64_t updates = updates_;
  for (int i = 0; i < 100; ++i) {
    Exchange();
  }
  EXPECT_EQ(updates_, updates);
}

// The size of a large installation: 530 gateways and a full store of ends. A
// gateway's control traffic may be 19 KB/s.
TEST_F(FactSyncTest, FullStoreReachesManyGatewaysInBoundedBytes) {
  AddGateways(530);
  uint64_t id = 0;
  for (int i = 0; i < 200; ++i) {
    std::vector<routing::Subject> subjects;
    for (const routing::SubjectKind kind :
         {routing::SubjectKind::kPart, routing::SubjectKind::kRequest}) {
      for (size_t k = 0; k < routing::MaxSuspects(kind); ++k) {
        subjects.push_back({kind, routing::HashOf(std::to_string(++id))});
      }
    }
    EndUnder(0, subjects);
    clock_.Advance(milliseconds(300));
  }
  for (int i = 0; i < 4; ++i) {
    Exchange();
  }
  EXPECT_LE(bytes_ / gateways_.size(), 19'000u);
}

}  // namespace
}  // namespace jackdawshunt::gateway
