// Replays long prompts beside short ones against a model of engines, with each
// option of docs/design/long-prompts.md.
#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <iostream>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "gtest/gtest.h"
#include "jackdawshunt/routing/admission.h"
#include "jackdawshunt/routing/engine_estimate.h"
#include "jackdawshunt/routing/placement.h"
#include "jackdawshunt/routing/prefill_interference.h"
#include "jackdawshunt/routing/testing/engine_model.h"

namespace jackdawshunt::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::EngineModel;
using testing::EngineModelSettings;

constexpr double kPrefillTokensPerMs = 64.2;
constexpr double kStepMs = 4.23;
constexpr uint32_t kSlots = 64;
constexpr uint64_t kCacheTokens = 519991;
// As assumed by boards and the router.
constexpr double kInitialPrefillTokensPerMs = 30;
constexpr double kPaceFactor = 1.1;
constexpr uint32_t kMaxPromptTokens = 93000;
constexpr kernel::Duration kMaxPause = milliseconds(400);
constexpr kernel::Duration kDeadline = seconds(8);
// Time of a message between two machines, and of a board's reply.
constexpr kernel::Duration kMessageTime = milliseconds(2);
constexpr kernel::Duration kModelTick = milliseconds(5);
constexpr kernel::Duration kLength = seconds(30);
constexpr kernel::Duration kWarmUp = seconds(4);
constexpr double kMeasuredSeconds = 26;
constexpr std::array<uint64_t, 4> kSeeds = {11, 12, 13, 14};
constexpr double kSlowdown = 2.5;
constexpr kernel::Duration kSlowPeriod = milliseconds(600);
constexpr size_t kQueriedEngines = 3;
constexpr uint64_t kChunkTokens = 4096;
// Part of the engines' time that prompts of more than a chunk take.
constexpr double kChunkedWork = 0.7;
// A held prompt is sent when the engine's queue is this short; otherwise it
// asks again after kHoldTime.
constexpr kernel::Duration kHeldWait = milliseconds(100);
constexpr kernel::Duration kHoldTime = milliseconds(20);
constexpr size_t kTemplates = 24;
// Part of the long prompts whose prefix others share.
constexpr double kSharedPart = 0.75;

enum Kind : size_t { kLong, kMedium, kShort, kKinds };
struct KindRow {
  std::string_view name;
  double part;  // Of all requests.
  uint32_t shared_tokens;
  uint32_t own_tokens;  // On average.
  uint32_t output_tokens;
  kernel::Duration target;
};
constexpr std::array<KindRow, kKinds> kKindRows = {
    KindRow{"long", 0.25, 13300, 3700, 120, milliseconds(800)},
    KindRow{"medium", 0.25, 0, 9200, 50, milliseconds(1500)},
    KindRow{"short", 0.5, 0, 1460, 170, milliseconds(1500)}};

struct Fleet {
  std::string_view name;
  size_t engines = 8;
  std::vector<double> speeds = {1.0};
  // Part of the time in which an engine runs kSlowdown times slower.
  double slow_part = 0;
  // Boards pace claims to the speed of their own engine, not to the mean.
  bool knows_speeds = false;

  double SpeedOf(size_t engine) const {
    return speeds[engine % speeds.size()] *
           (1 - slow_part + slow_part / kSlowdown);
  }
  double Speed() const {
    double sum = 0;
    for (size_t i = 0; i < engines; ++i) {
      sum += SpeedOf(i);
    }
    return sum;
  }
};

struct KindResult {
  size_t requests = 0;
  size_t refused = 0;
  size_t late = 0;  // Served, but not within the targets.
  size_t in_time = 0;
  size_t late_first = 0;
  size_t large = 0;  // The largest tenth.
  size_t large_refused = 0;
  uint64_t tokens = 0;
  std::vector<double> first_event_ms;
  std::vector<double> pause_ms;

  double Part(size_t count) const {
    return static_cast<double>(count) / static_cast<double>(requests);
  }
};
using Outcome = std::array<KindResult, kKinds>;

double Percentile(std::vector<double> values, double part) {
  if (values.empty()) {
    return 0;
  }
  const auto at =
      static_cast<ptrdiff_t>(part * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + at, values.end());
  return values[static_cast<size_t>(at)];
}

kernel::Duration Part(kernel::Duration time, double part) {
  return std::chrono::duration_cast<kernel::Duration>(time * part);
}

struct Request {
  std::string id;
  Kind kind = kShort;
  Prompt prompt;
  std::vector<uint64_t> keys;
  uint64_t affinity = 0;
  kernel::TimePoint arrived_at{};
  kernel::TimePoint sent_at{};
  int refusals = 0;
  bool is_large = false;
  bool is_counted = false;
};

// Mean time per request on an engine of speed 1 and its tokens, output tokens
// twice and cached ones not.
struct MeanWork {
  double ms = 0;
  double tokens = 0;
};
MeanWork MeanWorkOf() {
  MeanWork work;
  for (const KindRow& row : kKindRows) {
    const double own = row.own_tokens;
    const double unshared = row.shared_tokens > 0 ? 1 - kSharedPart : 0;
    const double uncached = own + unshared * row.shared_tokens;
    const double steps = 1 + uncached / (1.5 * kChunkTokens);
    work.ms += row.part * (uncached / kPrefillTokensPerMs + steps * kStepMs);
    work.tokens += row.part * (uncached + 2.0 * row.output_tokens);
  }
  return work;
}

// A way to place long prompts; the options of docs/design/long-prompts.md.
struct Options {
  std::string_view name;
  PrefillInterferenceSettings interference;
  // Wait at the engine up to which prompts of more than a chunk are admitted,
  // as part of their target; it shrinks with the slots used there.
  double queue_bound = 0;
  // Long prompts and others prefer different engines.
  bool concentrates = false;
  // Part of its target for which a prompt of more than a chunk is held at the
  // gateway while the engine has a queue.
  double held_part = 0;
};

class Replay {
 public:
  Replay(const Fleet& fleet,
         const Options& options,
         double part_of_capacity,
         uint64_t seed)
      : fleet_(fleet), options_(options), random_(seed) {
    const MeanWork mean = MeanWorkOf();
    requests_per_s_ = part_of_capacity * fleet.Speed() * 1000 / mean.ms;
    for (size_t i = 0; i < fleet.engines; ++i) {
      const double speed = fleet.speeds[i % fleet.speeds.size()];
      engines_.emplace_back(EngineModelSettings{
          .prefill_tokens_per_ms = kPrefillTokensPerMs * speed,
          .step_ms = kStepMs / speed,
          .cache_tokens = kCacheTokens,
          .slots = kSlots});
      boards_.emplace_back(
          EngineProfile{.slots = kSlots, .cache_tokens = kCacheTokens},
          kInitialPrefillTokensPerMs);
      boards_.back().set_sustained_tokens_per_ms(
          kPaceFactor * mean.tokens / mean.ms *
          (fleet.knows_speeds
               ? fleet.SpeedOf(i)
               : fleet.Speed() / static_cast<double>(fleet.engines)));
      hashes_.push_back(HashOf(absl::StrCat("engine", i)));
      read_results_.push_back(0);
    }
  }

  Outcome Run() {
    const kernel::TimePoint start{seconds(100)};
    end_ = start + kLength;
    Arrive(start);
    Tick(start);
    while (!events_.empty()) {
      const auto next = events_.begin();
      now_ = next->first;
      const std::function<void()> event = std::move(next->second);
      events_.erase(next);
      event();
    }
    return std::move(outcome_);
  }

 private:
  void At(kernel::TimePoint time, std::function<void()> event) {
    events_.emplace(time, std::move(event));
  }

  void Tick(kernel::TimePoint time) {
    At(time, [this, time] {
      for (size_t i = 0; i < engines_.size(); ++i) {
        if (fleet_.slow_part > 0 &&
            time.time_since_epoch() % kSlowPeriod < kModelTick) {
          engines_[i].set_slowdown(Uniform() < fleet_.slow_part ? kSlowdown
                                                                : 1);
        }
        for (const std::string& id : engines_[i].AdvanceTo(time)) {
          At(time + kMessageTime,
             [this, i, id] { boards_[i].OnFirstEvent(id, now_); });
        }
        const auto& results = engines_[i].results();
        for (; read_results_[i] < results.size(); ++read_results_[i]) {
          const auto& result = results[read_results_[i]];
          OnResult(requests_.at(result.request), result);
          At(time + kMessageTime, [this, i, id = result.request] {
            boards_[i].OnEnd(id, true, now_);
          });
        }
        boards_[i].DropExpired(seconds(20), time);
      }
      if (time < end_ + kDeadline + seconds(4)) {
        Tick(time + kModelTick);
      }
    });
  }

  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  void Arrive(kernel::TimePoint time) {
    if (time >= end_) {
      return;
    }
    At(time, [this, time] {
      Request request;
      const double draw = Uniform();
      request.kind = draw < kKindRows[kLong].part ? kLong
                     : draw < kKindRows[kLong].part + kKindRows[kMedium].part
                         ? kMedium
                         : kShort;
      const KindRow& row = kKindRows[request.kind];
      request.id = absl::StrCat("r", ++arrivals_);
      std::normal_distribution<double> normal(0, 1);
      constexpr double kSigma = 0.6;
      const double size = normal(random_);
      const double factor = std::exp(kSigma * size - kSigma * kSigma / 2);
      const auto own = std::min(kMaxPromptTokens - row.shared_tokens,
                                static_cast<uint32_t>(row.own_tokens * factor));
      request.is_large = size > 1.2816;  // Quantile 0.9.
      if (row.shared_tokens > 0) {
        const bool is_shared = Uniform() < kSharedPart;
        request.prompt.parts.push_back(
            {is_shared ? 1 + random_() % kTemplates : 2000000 + arrivals_,
             row.shared_tokens});
      }
      request.prompt.parts.push_back({1000000 + arrivals_, own});
      request.prompt.prompt_tokens = row.shared_tokens + own;
      request.prompt.max_output_tokens = row.output_tokens;
      request.keys = PartKeys(request.prompt.parts);
      request.affinity =
          request.keys.size() >= 2 ? request.keys[0] : HashOf(request.id);
      request.arrived_at = time;
      request.is_counted = time >= end_ - kLength + kWarmUp;
      KindResult& result = outcome_[request.kind];
      if (request.is_counted) {
        ++result.requests;
        result.large += request.is_large ? 1 : 0;
      }
      const std::string id = request.id;
      requests_.emplace(id, std::move(request));
      Query(id, kQueriedEngines);
      const auto gap =
          std::exponential_distribution<double>(requests_per_s_)(random_);
      Arrive(time + kernel::Duration(static_cast<int64_t>(gap * 1e6)));
    });
  }

  // Asks boards, whose replies are some ms old when they are used.
  void Query(const std::string& id, size_t count) {
    At(now_ + kMessageTime, [this, id, count] {
      const Request& request = requests_.at(id);
      std::vector<size_t> order(engines_.size());
      for (size_t i = 0; i < order.size(); ++i) {
        order[i] = i;
      }
      std::sort(order.begin(), order.end(), [&](size_t a, size_t b) {
        return RendezvousWeight(request.affinity, hashes_[a]) >
               RendezvousWeight(request.affinity, hashes_[b]);
      });
      if (options_.concentrates && (request.keys.size() < 2 ||
                                    request.prompt.parts[0].id > kTemplates)) {
        const bool is_heavy = request.prompt.prompt_tokens > kChunkTokens;
        const auto group = static_cast<size_t>(
            std::lround(kChunkedWork * static_cast<double>(engines_.size())));
        std::stable_sort(order.begin(), order.end(), [&](size_t a, size_t b) {
          return (is_heavy == (a < group)) > (is_heavy == (b < group));
        });
      }
      order.resize(std::min(order.size(), count));
      std::vector<EngineCandidate> offers;
      offers.reserve(order.size());
      for (const size_t i : order) {
        offers.push_back({.upstream_hash = hashes_[i],
                          .cost = boards_[i].Estimate(
                              request.keys, request.prompt.parts, now_),
                          .is_same_data_centre = true});
      }
      At(now_ + kMessageTime, [this, id, order, offers, count] {
        Decide(id, order, offers, count);
      });
    });
  }

  void Decide(const std::string& id,
              const std::vector<size_t>& order,
              std::vector<EngineCandidate> offers,
              size_t count) {
    Request& request = requests_.at(id);
    const KindRow& row = kKindRows[request.kind];
    const kernel::Duration elapsed = now_ - request.arrived_at;
    for (EngineCandidate& offer : offers) {
      offer.penalty +=
          DelayOfRunning(offer.cost, kSlots, options_.interference);
    }
    const size_t best = PickEngine(offers, request.affinity, {});
    const EngineCost& cost = offers[best].cost;
    const bool is_chunked = cost.uncached_tokens > kChunkTokens;
    if (is_chunked && cost.wait > kHeldWait &&
        elapsed < Part(row.target, options_.held_part)) {
      At(now_ + std::min(cost.wait - kHeldWait, kHoldTime),
         [this, id] { Query(id, kQueriedEngines); });
      return;
    }
    AdmissionDecision decision = DecideAdmission(
        {.cost = cost,
         .objective = row.target,
         .remaining_objective =
             std::max(row.target - elapsed, kernel::Duration::zero()),
         .time_to_deadline = request.arrived_at + kDeadline - now_,
         .request_hash = HashOf(id)},
        {});
    if (options_.queue_bound > 0 && is_chunked) {
      const double used = static_cast<double>(cost.running_requests) / kSlots;
      const kernel::Duration excess =
          cost.wait -
          Part(row.target, options_.queue_bound * (1.5 - std::min(used, 1.0)));
      if (excess > kernel::Duration::zero()) {
        decision = {
            .is_admitted = false,
            .retry_after = RetryDelay(
                excess, request.arrived_at + kDeadline - now_, HashOf(id))};
      }
    }
    if (decision.is_admitted && count == kQueriedEngines &&
        request.keys.size() < 2 &&
        ShouldCompareFurther(cost, options_.interference)) {
      Query(id, 2 * kQueriedEngines);
      return;
    }
    if (!decision.is_admitted) {
      if (request.refusals++ == 0) {
        At(now_ + decision.retry_after,
           [this, id] { Query(id, kQueriedEngines); });
      } else if (request.is_counted) {
        ++outcome_[request.kind].refused;
        outcome_[request.kind].large_refused += request.is_large ? 1 : 0;
      }
      return;
    }
    const size_t engine = order[best];
    At(now_ + kMessageTime, [this, id, engine] {
      Request& sent = requests_.at(id);
      sent.sent_at = now_;
      boards_[engine].Claim(id, sent.keys, sent.prompt.parts,
                            sent.prompt.max_output_tokens, now_);
      engines_[engine].Submit(id, sent.prompt, sent.keys, now_,
                              sent.arrived_at + kDeadline);
    });
  }

  void OnResult(Request& request, const EngineModel::Result& result) {
    if (!request.is_counted) {
      return;
    }
    const KindRow& row = kKindRows[request.kind];
    KindResult& kind = outcome_[request.kind];
    const kernel::Duration first =
        request.sent_at - request.arrived_at + result.first_event;
    const bool is_late_first = first > row.target;
    const bool is_in_time = !is_late_first &&
                            result.longest_pause <= kMaxPause &&
                            result.is_complete;
    kind.late_first += is_late_first ? 1 : 0;
    kind.late += is_in_time ? 0 : 1;
    kind.in_time += is_in_time ? 1 : 0;
    kind.tokens += request.prompt.prompt_tokens + 2 * row.output_tokens;
    kind.first_event_ms.push_back(static_cast<double>(first.count()) / 1000);
    kind.pause_ms.push_back(static_cast<double>(result.longest_pause.count()) /
                            1000);
  }

  const Fleet fleet_;
  const Options options_;
  std::mt19937_64 random_;
  double requests_per_s_ = 0;
  std::vector<EngineModel> engines_;
  std::vector<EngineEstimate> boards_;
  std::vector<uint64_t> hashes_;
  std::vector<size_t> read_results_;
  std::multimap<kernel::TimePoint, std::function<void()>> events_;
  std::unordered_map<std::string, Request> requests_;
  Outcome outcome_;
  kernel::TimePoint now_{};
  kernel::TimePoint end_{};
  uint64_t arrivals_ = 0;
};

double PartOf(size_t count, size_t all) {
  return static_cast<double>(count) /
         static_cast<double>(std::max<size_t>(all, 1));
}

// Prints for each kind: parts in time, late, late to the first event, refused,
// refused of the largest tenth; time to first event and pause at the 99th
// percentile.
void Print(const Fleet& fleet,
           const Options& options,
           double part_of_capacity,
           const Outcome& outcome) {
  uint64_t tokens = 0;
  std::string text;
  for (size_t kind = 0; kind < kKinds; ++kind) {
    const KindResult& row = outcome[kind];
    tokens += row.tokens;
    absl::StrAppendFormat(
        &text,
        " | %s in time %.3f late %.3f (first %.3f) refused %.3f (large %.3f) "
        "p99 %.0f ms, pause %.0f ms",
        kKindRows[kind].name, row.Part(row.in_time), row.Part(row.late),
        row.Part(row.late_first), row.Part(row.refused),
        PartOf(row.large_refused, row.large),
        Percentile(row.first_event_ms, 0.99), Percentile(row.pause_ms, 0.99));
  }
  std::cout << absl::StrFormat(
      "%s %d, %.1f, %s%s | %.0f tokens/s\n", fleet.name, fleet.engines,
      part_of_capacity, options.name, text,
      static_cast<double>(tokens) / (kSeeds.size() * kMeasuredSeconds));
}

void Add(Outcome& sum, const Outcome& other) {
  for (size_t kind = 0; kind < kKinds; ++kind) {
    KindResult& to = sum[kind];
    const KindResult& from = other[kind];
    to.requests += from.requests;
    to.refused += from.refused;
    to.late += from.late;
    to.in_time += from.in_time;
    to.late_first += from.late_first;
    to.large += from.large;
    to.large_refused += from.large_refused;
    to.tokens += from.tokens;
    to.first_event_ms.insert(to.first_event_ms.end(),
                             from.first_event_ms.begin(),
                             from.first_event_ms.end());
    to.pause_ms.insert(to.pause_ms.end(), from.pause_ms.begin(),
                       from.pause_ms.end());
  }
}

Outcome ReplayAll(const Fleet& fleet,
                  const Options& options,
                  double part_of_capacity) {
  Outcome sum;
  for (const uint64_t seed : kSeeds) {
    Add(sum, Replay(fleet, options, part_of_capacity, seed).Run());
  }
  Print(fleet, options, part_of_capacity, sum);
  return sum;
}

const Options kToday{.name = "e"};
const Options kChosen{.name = "a, compared",
                      .interference = {.is_enabled = true}};
constexpr std::array<double, 3> kPartsOfCapacity = {0.5, 0.9, 1.3};

// Returns engines of customer C.
Fleet MixedFleet(size_t engines) {
  return {.name = "mixed",
          .engines = engines,
          .speeds = {0.7, 0.7, 1.7},
          .slow_part = 0.15,
          .knows_speeds = true};
}

// Checks what docs/design/requirements.md, part H, asks of both kinds.
void ExpectGoals(const Fleet& fleet) {
  for (const double part : kPartsOfCapacity) {
    const Outcome today = ReplayAll(fleet, kToday, part);
    const Outcome with = ReplayAll(fleet, kChosen, part);
    const std::string place =
        absl::StrFormat("%d engines at %.1f", fleet.engines, part);
    for (size_t kind = 0; kind < kKinds; ++kind) {
      EXPECT_GE(
          with[kind].Part(with[kind].in_time),
          today[kind].Part(today[kind].in_time) - (part <= 0.5 ? 0.01 : 0.02))
          << place << ", " << kKindRows[kind].name;
    }
    if (part > 0.5 && today[kShort].late > 0) {
      EXPECT_LT(2 * with[kShort].late, today[kShort].late) << place;
    }
  }
}

// Guards against a model whose streams do not pause or that runs more requests
// than it has slots.
TEST(LongPromptReplayTest, ModelPausesStreamsAndLimitsRequests) {
  const kernel::TimePoint now{seconds(100)};
  const auto make_engine = [now](uint32_t slots) {
    EngineModel engine(
        {.prefill_tokens_per_ms = 50, .step_ms = 4, .slots = slots});
    for (const uint64_t id : {1, 2}) {
      Prompt prompt;
      prompt.parts = {{id, 1000}};
      prompt.max_output_tokens = 50;
      engine.Submit(absl::StrCat(id), prompt, PartKeys(prompt.parts), now,
                    now + kDeadline);
    }
    return engine;
  };
  // The first prompt takes 24 ms and its stream 50 steps of 4 ms.
  EngineModel one_slot = make_engine(1);
  EXPECT_EQ(one_slot.AdvanceTo(now + milliseconds(220)).size(), 1u);
  EXPECT_EQ(one_slot.AdvanceTo(now + milliseconds(500)).size(), 1u);
  EngineModel two_slots = make_engine(2);
  EXPECT_EQ(two_slots.AdvanceTo(now + milliseconds(60)).size(), 2u);
  two_slots.AdvanceTo(now + milliseconds(500));
  ASSERT_EQ(one_slot.results().size(), 2u);
  ASSERT_EQ(two_slots.results().size(), 2u);
  EXPECT_EQ(one_slot.results()[0].longest_pause, milliseconds(4));
  EXPECT_EQ(two_slots.results()[0].longest_pause, milliseconds(24));
}

// Guards against short streams that reach their deadline before their end
// because their engine prefills long prompts most of the time. Prints the
// options that were not chosen beside the one that was.
TEST(LongPromptReplayTest, ShortStreamsBesideLongPromptsAreInTime) {
  for (const size_t engines : {6, 9, 10}) {
    ExpectGoals(MixedFleet(engines));
  }
  constexpr kernel::Duration kNever = seconds(1000);
  const std::vector<Options> others = {
      {.name = "a",
       .interference = {.is_enabled = true, .compared_wait = kNever}},
      {.name = "compared",
       .interference = {.is_enabled = true, .delay_factor = 0}},
      {.name = "b", .queue_bound = 0.2},
      {.name = "c", .concentrates = true},
      {.name = "d", .held_part = 0.2}};
  for (const Options& other : others) {
    for (const double part : kPartsOfCapacity) {
      ReplayAll(MixedFleet(9), other, part);
    }
  }
}

// The same where boards pace all engines alike, so that slow ones get too much.
TEST(LongPromptReplayTest, ShortStreamsAreInTimeWhereSpeedsAreUnknown) {
  Fleet fleet = MixedFleet(9);
  fleet.name = "unknown";
  fleet.knows_speeds = false;
  ExpectGoals(fleet);
}

// The same on engines of one speed.
TEST(LongPromptReplayTest, ShortStreamsAreInTimeOnEqualEngines) {
  ExpectGoals({.name = "equal"});
}

// Guards against refusals of the largest prompts of a kind.
TEST(LongPromptReplayTest, LargestPromptsAreRefusedAtMostTwiceAsOften) {
  // Below this part of a kind its largest tenth holds one or two refused
  // requests.
  constexpr double kMinRefused = 0.01;
  for (const size_t engines : {6, 9, 10}) {
    for (const double part : kPartsOfCapacity) {
      const Outcome with = ReplayAll(MixedFleet(engines), kChosen, part);
      for (size_t kind = 0; kind < kKinds; ++kind) {
        const KindResult& row = with[kind];
        if (row.Part(row.refused) >= kMinRefused) {
          EXPECT_LE(PartOf(row.large_refused, row.large),
                    2 * row.Part(row.refused))
              << absl::StrFormat("%d engines at %.1f, %s", engines, part,
                                 kKindRows[kind].name);
        }
      }
    }
  }
}

}  // namespace
}  // namespace jackdawshunt::routing
