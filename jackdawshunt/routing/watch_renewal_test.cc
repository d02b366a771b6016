#include "jackdawshunt/routing/watch_renewal.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

#include "gtest/gtest.h"

namespace jackdawshunt::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr kernel::Duration kStep = milliseconds(100);
constexpr kernel::Duration kAnswerTimeout = seconds(1);
// Until a gateway knows what another one has reported.
constexpr kernel::Duration kRelayTime = milliseconds(300);

// A fleet of gateways whose watches have all been lost at time 0, when the
// store began to answer again. A renewed watch delivers at once.
class RenewalReplay {
 public:
  RenewalReplay(size_t gateways, uint64_t seed) {
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<> fraction;
    std::uniform_int_distribution<int64_t> phase(0,
                                                 WatchRenewal::kMaxAge.count());
    // The last renewal was before the loss; a call may be lost as well.
    const kernel::TimePoint last =
        kStart - kernel::Duration(phase(random)) % WatchRenewal::kMaxAge;
    for (size_t i = 0; i < gateways; ++i) {
      const auto max_age = WatchRenewal::kMinAge +
                           std::chrono::duration_cast<kernel::Duration>(
                               std::sqrt(fraction(random)) *
                               (WatchRenewal::kMaxAge - WatchRenewal::kMinAge));
      Gateway& gateway = gateways_.emplace_back(Gateway{WatchRenewal(max_age)});
      gateway.renewal.RecordRenewedAt(last);
      gateway.busy_until =
          kStart +
          (phase(random) % 2 == 0 ? kAnswerTimeout : kernel::Duration::zero());
    }
  }

  // Runs until `end`. Returns the number of renewals.
  size_t RunUntil(kernel::Duration end) {
    size_t renewals = 0;
    for (; now_ < kStart + end; now_ += kStep) {
      std::erase_if(reports_, [this](kernel::TimePoint report) {
        if (report + kRelayTime > now_) {
          return false;
        }
        for (Gateway& gateway : gateways_) {
          gateway.renewal.RecordRenewedAt(report);
        }
        return true;
      });
      for (Gateway& gateway : gateways_) {
        if (now_ >= gateway.busy_until && gateway.renewal.IsDue(now_)) {
          gateway.renewal.RecordRenewedAt(now_);
          reports_.push_back(now_);
          first_renewal_ = std::min(first_renewal_, now_);
          ++renewals;
        }
      }
    }
    return renewals;
  }
  // Time from the end of the disturbance to the first live watch.
  kernel::Duration TimeToLiveWatch() const { return first_renewal_ - kStart; }

 private:
  struct Gateway {
    WatchRenewal renewal;
    kernel::TimePoint busy_until{};  // Waits for a call that was lost.
  };

  static constexpr kernel::TimePoint kStart{seconds(100)};

  std::vector<Gateway> gateways_;
  std::vector<kernel::TimePoint> reports_;
  kernel::TimePoint now_ = kStart;
  kernel::TimePoint first_renewal_ = kernel::TimePoint::max();
};

// Guards against changes that no gateway notices, since the answers to all of
// their watches were lost.
TEST(WatchRenewalTest, SomeGatewayHasALiveWatchSoonAfterAllWereLost) {
  constexpr kernel::Duration kContact = seconds(3);
  for (const size_t gateways : {1, 2, 4, 27, 170}) {
    for (uint64_t seed = 0; seed < 50; ++seed) {
      RenewalReplay replay(gateways, seed);
      replay.RunUntil(seconds(5));
      EXPECT_LE(replay.TimeToLiveWatch(), kContact) << gateways;
    }
  }
}

// Guards against calls of the store that grow with the number of gateways.
TEST(WatchRenewalTest, FewGatewaysRenew) {
  for (const size_t gateways : {1, 2, 4, 27, 170}) {
    RenewalReplay replay(gateways, gateways);
    replay.RunUntil(seconds(10));
    const size_t renewals = replay.RunUntil(seconds(70));
    EXPECT_GE(renewals, 20u);
    // Each takes four calls, together at most 5% of 2,000 a second.
    EXPECT_LE(renewals, 25u * 60) << gateways;
  }
}

TEST(WatchRenewalTest, EarlierTimesAreIgnored) {
  WatchRenewal renewal(seconds(2));
  const kernel::TimePoint start{seconds(100)};
  EXPECT_TRUE(renewal.IsDue(start));
  renewal.RecordRenewedAt(start);
  renewal.RecordRenewedAt(start - seconds(5));
  EXPECT_EQ(renewal.renewed_at(), start);
  EXPECT_FALSE(renewal.IsDue(start + seconds(2)));
  EXPECT_TRUE(renewal.IsDue(start + milliseconds(2001)));
}

}  // namespace
}  // namespace jackdawshunt::routing
