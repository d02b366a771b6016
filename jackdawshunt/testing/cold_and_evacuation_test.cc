// Cold upstreams and evacuated data centres: real gateways and boards against
// stand-ins of the users' platform.
#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "jackdawshunt/platform/settings.h"
#include "jackdawshunt/testing/platform/platform_fleet.h"

namespace jackdawshunt::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using CallPtr = std::shared_ptr<PlatformCall>;

class ColdAndEvacuationTest : public ::testing::Test {
 protected:
  struct Sent {
    CallPtr call;
    size_t gateway = 0;
    kernel::TimePoint at{};
  };

  void Start(const PlatformFleetOptions& options) {
    gateways_ = options.gateways;
    fleet_ = std::make_unique<PlatformFleet>(options);
    fleet_->Start();
  }
  // Sends calls of these routes in turn, at each gateway in turn.
  void StartLoad(kernel::Duration gap, std::vector<std::string> routes) {
    load_ = fleet_->loop().Every(gap, [this, routes = std::move(routes)] {
      const size_t i = sent_.size();
      const size_t gateway = i % gateways_;
      sent_.push_back(
          {fleet_->Call(gateway,
                        {.route = routes[i / gateways_ % routes.size()],
                         .shared_part = "c" + std::to_string(i % 11)}),
           gateway, fleet_->now()});
    });
  }
  // Returns the arrivals at upstreams of the data centre in this time.
  size_t ArrivalsIn(const std::string& data_centre,
                    kernel::TimePoint from,
                    kernel::TimePoint to) {
    size_t count = 0;
    for (const StandInUpstream* const upstream : fleet_->AllUpstreams()) {
      if (upstream->options().data_centre == data_centre) {
        const auto& log = upstream->arrival_log();
        count += static_cast<size_t>(
            std::count_if(log.begin(), log.end(), [&](const auto& arrival) {
              return arrival.at > from && arrival.at < to;
            }));
      }
    }
    return count;
  }

  size_t gateways_ = 0;
  std::unique_ptr<PlatformFleet> fleet_;
  std::vector<Sent> sent_;
  kernel::Timer load_;
};

// Guards against an evacuation that goes unnoticed, since an earlier answer of
// the store was lost and its connection stays open.
TEST_F(ColdAndEvacuationTest, AnEvacuationIsNoticedAfterALostAnswer) {
  constexpr kernel::Duration kBound = milliseconds(1500);
  const platform::Promises promises;
  Start({.gateways = 2,
         .engines = 6,
         .plain = 3,
         .data_centres = 3,
         .evacuation = kBound});
  fleet_->store().SetFault(StoreFault::kSilent);
  fleet_->RunFor(milliseconds(200));
  fleet_->Evacuate("elsewhere");
  fleet_->RunFor(milliseconds(300));
  fleet_->store().SetFault(StoreFault::kNone);
  fleet_->RunFor(promises.contact);
  StartLoad(milliseconds(15), {kGenerate, kFetch, kHold});
  const std::string data_centre = fleet_->DataCentreName(1);
  fleet_->Evacuate(data_centre);
  const kernel::TimePoint evacuated = fleet_->now();
  fleet_->RunFor(kBound + milliseconds(1000));
  EXPECT_EQ(ArrivalsIn(data_centre, evacuated + kBound, fleet_->now()), 0u);
  EXPECT_GT(ArrivalsIn(fleet_->DataCentreName(0), evacuated, fleet_->now()),
            0u);
}

// Guards against gateways that forget an evacuation when they or boards
// restart, or that end streams at the evacuated upstreams.
TEST_F(ColdAndEvacuationTest, NothingReachesAnEvacuatedDataCentreOverRestarts) {
  constexpr kernel::Duration kBound = milliseconds(1500);
  constexpr uint32_t kEvents = 150;   // 1.5 s.
  constexpr size_t kUndisturbed = 2;  // The gateway that does not restart.
  Start({.gateways = 3,
         .engines = 6,
         .plain = 3,
         .stream_events = kEvents,
         .data_centres = 3,
         .evacuation = kBound});
  const std::string data_centre = fleet_->DataCentreName(1);
  StartLoad(milliseconds(15), {kGenerate, kFetch, kHold});
  fleet_->RunFor(milliseconds(1000));
  fleet_->Evacuate(data_centre);
  const kernel::TimePoint evacuated = fleet_->now();
  EXPECT_GT(ArrivalsIn(data_centre, {}, evacuated), 0u);
  // One gateway and one board restart before the bound, others after it.
  fleet_->gateway(0).Kill();
  fleet_->board(0).Kill();
  fleet_->RunFor(milliseconds(300));
  fleet_->StartGateway(0);
  fleet_->StartBoard(0);
  fleet_->RunFor(kBound);
  fleet_->gateway(1).Kill();
  fleet_->board(1).Kill();
  fleet_->RunFor(milliseconds(200));
  fleet_->StartGateway(1);
  fleet_->StartBoard(1);
  fleet_->RunFor(milliseconds(1500));
  const kernel::TimePoint taken_back = fleet_->now();
  EXPECT_EQ(ArrivalsIn(data_centre, evacuated + kBound, taken_back), 0u);
  size_t served = 0;
  for (const Sent& sent : sent_) {
    served += sent.at > evacuated + kBound && sent.call->status() == 200;
  }
  EXPECT_GT(served, 50u);

  fleet_->TakeBack(data_centre);
  ASSERT_TRUE(fleet_->Await(
      [&] { return ArrivalsIn(data_centre, taken_back, fleet_->now()) > 20; }));
  load_ = {};
  ASSERT_TRUE(fleet_->Await([&] {
    return std::ranges::all_of(
        sent_, [](const Sent& sent) { return sent.call->is_done(); });
  }));
  size_t streams = 0;  // That ran in the data centre when it was evacuated.
  for (const Sent& sent : sent_) {
    const auto runs = fleet_->runs().find(sent.call->id());
    if (sent.gateway != kUndisturbed || runs == fleet_->runs().end() ||
        sent.call->options().route != kGenerate) {
      continue;
    }
    EXPECT_EQ(sent.call->status(), 200);
    EXPECT_EQ(sent.call->body(),
              StandInUpstream::ExpectedBody(sent.call->id(), true, kEvents,
                                            runs->second.front().version));
    for (size_t i = 0; i < fleet_->upstreams(); ++i) {
      streams +=
          fleet_->DataCentreOfUpstream(i) == data_centre &&
          runs->second.front().upstream == fleet_->upstream(i).options().id &&
          runs->second.front().began < evacuated &&
          runs->second.front().ended > evacuated + kBound / 2;
    }
  }
  EXPECT_GT(streams, 0u);
}

// Guards against a herd of all gateways at engines that come back together,
// cold, under the ids that gateways know as warm.
TEST_F(ColdAndEvacuationTest, EnginesThatReturnColdTogetherAreNotOverloaded) {
  constexpr ColdStarts kCold = {.per_second = 4, .time = seconds(3)};
  constexpr size_t kEngines = 5;
  constexpr size_t kReturning = 4;
  Start({.gateways = 4, .engines = kEngines, .plain = 1, .cold_starts = kCold});
  StartLoad(milliseconds(8), {kGenerate});
  fleet_->RunFor(milliseconds(1000));
  for (size_t i = 0; i < kReturning; ++i) {
    fleet_->RestartUpstream(i, milliseconds(1500));
  }
  fleet_->RunFor(milliseconds(1500) + kCold.time + seconds(2));
  load_ = {};
  EXPECT_TRUE(fleet_->cold_ends().empty());
  ASSERT_EQ(fleet_->cold_spans().size(), kReturning);
  for (const PlatformFleet::ColdSpan& span : fleet_->cold_spans()) {
    std::vector<kernel::TimePoint> times;
    for (const auto& arrival : span.upstream->arrival_log()) {
      if (arrival.at < span.to) {
        times.push_back(arrival.at);
      }
    }
    EXPECT_LE(static_cast<double>(MostInASecond(times)),
              kCold.per_second * kColdOverage + kColdSlack)
        << span.upstream->options().id;
    // It is used while it is cold.
    EXPECT_GE(times.size(), 3u) << span.upstream->options().id;
  }
}

}  // namespace
}  // namespace jackdawshunt::testing
