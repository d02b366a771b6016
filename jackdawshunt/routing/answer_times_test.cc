#include "jackdawshunt/routing/answer_times.h"

#include <algorithm>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "jackdawshunt/routing/placement.h"
#include "jackdawshunt/routing/router.h"

namespace jackdawshunt::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr kernel::Duration kTime = milliseconds(60);
constexpr kernel::Duration kTarget = milliseconds(150);

// Replays requests at upstreams with 6 slots, of which each is 2.5 times slower
// for 600 ms of every 4 s. Returns the part that is answered after the target.
double LatePart(bool uses_times, double requests_per_s) {
  constexpr size_t kUpstreams = 4;
  constexpr size_t kSlots = 6;
  constexpr int kRequests = 20000;
  struct Answer {
    kernel::TimePoint at{};
    size_t upstream = 0;
    kernel::Duration time{};
    bool operator>(const Answer& other) const { return at > other.at; }
  };
  std::mt19937_64 random(20261204);
  std::exponential_distribution<double> gap(requests_per_s);
  std::priority_queue<Answer, std::vector<Answer>, std::greater<>> answers;
  std::vector<std::vector<kernel::TimePoint>> free_at(
      kUpstreams, std::vector<kernel::TimePoint>(kSlots));
  std::vector<size_t> in_flight(kUpstreams);
  AnswerTimes times;
  kernel::TimePoint now{seconds(100)};
  int late = 0;
  for (int n = 0; n < kRequests; ++n) {
    now += kernel::Duration(static_cast<int64_t>(gap(random) * 1e6));
    for (; !answers.empty() && answers.top().at <= now; answers.pop()) {
      const Answer& answer = answers.top();
      times.Record(answer.upstream, answer.time, answer.at);
      --in_flight[answer.upstream];
    }
    std::vector<PlainCandidate> rows;
    for (size_t i = 0; i < kUpstreams; ++i) {
      rows.push_back({.upstream_hash = i,
                      .in_flight = in_flight[i],
                      .slots = kSlots,
                      .is_same_data_centre = true});
      if (uses_times) {
        rows.back().expected_time = times.Expected(i, now);
      }
    }
    const size_t best = PickPlain(rows, random());
    auto slot = std::min_element(free_at[best].begin(), free_at[best].end());
    const kernel::TimePoint start = std::max(now, *slot);
    const auto phase = (start.time_since_epoch() + best * seconds(1)) %
                       std::chrono::microseconds(seconds(4));
    *slot = start + (phase < milliseconds(600) ? kTime * 5 / 2 : kTime);
    ++in_flight[best];
    answers.push({*slot, best, *slot - now});
    late += *slot - now >= kTarget ? 1 : 0;
  }
  return static_cast<double>(late) / kRequests;
}

// Guards against requests that take a free slot of a slow upstream although a
// faster one answers in time.
TEST(PlainPlacementTest, SlowPeriodsMakeFewerRequestsLate) {
  for (const double part_of_capacity : {0.4, 0.7}) {
    const double per_second = part_of_capacity * 4 * 6 / 0.06;
    const double with = LatePart(true, per_second);
    const double without = LatePart(false, per_second);
    RecordProperty(absl::StrCat("late_", part_of_capacity),
                   absl::StrCat(with, " without ", without));
    EXPECT_LT(with, 0.5 * without) << part_of_capacity;
  }
}

TEST(PlainPlacementTest, FreeSlotOfASlowUpstreamLosesUntilOthersAreSlower) {
  std::vector<PlainCandidate> rows = {{.upstream_hash = 1,
                                       .in_flight = 0,
                                       .slots = 6,
                                       .is_same_data_centre = true,
                                       .expected_time = milliseconds(150)},
                                      {.upstream_hash = 2,
                                       .in_flight = 6,
                                       .slots = 6,
                                       .expected_time = milliseconds(60)}};
  EXPECT_EQ(PickPlain(rows, 7), 1u);
  rows[1].in_flight = 17;  // Three times its slots.
  EXPECT_EQ(PickPlain(rows, 7), 0u);
  rows[1].in_flight = 0;
  rows[1].is_avoided = true;
  EXPECT_EQ(PickPlain(rows, 7), 0u);
}

// Guards against upstreams that all count as slow, so that the fewest requests
// in flight decide, because one that is avoided had been fast.
TEST(PlainPlacementTest, AvoidedUpstreamIsNotTheMeasure) {
  const std::vector<PlainCandidate> rows = {
      {.upstream_hash = 1,
       .in_flight = 0,
       .slots = 6,
       .is_avoided = true,
       .expected_time = milliseconds(20)},
      {.upstream_hash = 2,
       .in_flight = 0,
       .slots = 6,
       .expected_time = milliseconds(150)},
      {.upstream_hash = 3,
       .in_flight = 2,
       .slots = 6,
       .expected_time = milliseconds(60)}};
  EXPECT_EQ(PickPlain(rows, 7), 2u);
}

// Guards against a new start that gets nothing, or everything, because it has
// not answered yet.
TEST(PlainPlacementTest, UpstreamWithoutAnswersCountsAsUsual) {
  const std::vector<PlainCandidate> rows = {
      {.upstream_hash = 1,
       .in_flight = 2,
       .slots = 6,
       .expected_time = milliseconds(60)},
      {.upstream_hash = 2, .in_flight = 1, .slots = 6},
      {.upstream_hash = 3,
       .in_flight = 0,
       .slots = 6,
       .expected_time = milliseconds(200)}};
  EXPECT_EQ(PickPlain(rows, 7), 1u);
}

// Guards against an upstream that gets nothing after a slow period, so that its
// end is never seen.
TEST(AnswerTimesTest, OldAnswersGiveWayToTheUsualTime) {
  AnswerTimes times;
  kernel::TimePoint now{seconds(100)};
  EXPECT_EQ(times.Expected(1, now).count(), 0);
  for (int i = 0; i < 100; ++i) {
    times.Record(1, kTime, now += milliseconds(20));
  }
  for (int i = 0; i < 4; ++i) {
    times.Record(1, kTime * 5 / 2, now += milliseconds(20));
  }
  EXPECT_GT(times.Expected(1, now), milliseconds(120));
  now += milliseconds(601);
  EXPECT_LT(times.Expected(1, now), milliseconds(80));
  times.Record(1, kTime, now);
  EXPECT_EQ(times.Expected(1, now), kTime);
  EXPECT_EQ(times.Expected(1, now + seconds(6)).count(), 0);
}

// Guards against memory that grows with each start.
TEST(AnswerTimesTest, StartsWithoutAnswersAreDropped) {
  AnswerTimes times;
  kernel::TimePoint now{seconds(100)};
  times.Record(1, kTime, now);
  times.DropExpired(now + minutes(3));
  EXPECT_EQ(times.size(), 0u);
  for (uint64_t start = 0; start < 20000; ++start) {
    times.Record(start, kTime, now);
  }
  EXPECT_LE(times.size(), 8192u);
}

// Guards against answers that do not reach the placement of later requests.
TEST(PlainPlacementTest, RouterSendsToTheFasterUpstream) {
  kernel::TimePoint now{seconds(100)};
  Router router({.data_centre = "a"}, now);
  DesiredState state;
  state.version = 1;
  Route route{.name = "plain", .host = "h.example", .path_prefix = "/p/"};
  route.kind = RouteKind::kSafe;
  route.timeout = seconds(8);
  route.services = {{"desk", 1}};
  state.routes.push_back(route);
  state.services.push_back({.name = "desk"});
  router.SetDesiredState(state);
  std::vector<Upstream> upstreams(2);
  for (size_t i = 0; i < 2; ++i) {
    upstreams[i].id = absl::StrCat("p", i);
    upstreams[i].service = "desk";
    upstreams[i].address = {absl::StrCat("10.0.0.", i + 1), 80};
    upstreams[i].data_centre = "a";
    upstreams[i].slots = 6;
  }
  router.ReplaceUpstreams(upstreams, now, false);
  std::vector<int> sent(2);
  for (int n = 0; n < 100; ++n) {
    RoutedRequest request;
    request.id = absl::StrCat("r", n);
    request.table = router.table();
    request.route = request.table->Match("h.example", "/p/x");
    router.Prepare(request, seconds(8), now);
    const Decision decision = router.Choose(request, {}, now);
    ASSERT_EQ(decision.verdict, Verdict::kSend);
    router.OnSent(request, decision, now);
    const size_t index = decision.upstream.id == "p0" ? 0 : 1;
    ++sent[index];
    now += index == 0 ? kTime * 5 / 2 : kTime;
    router.OnEnded(request, decision.upstream, Outcome::kSuccess, now);
  }
  EXPECT_LT(sent[0], 20);
}

}  // namespace
}  // namespace jackdawshunt::routing
