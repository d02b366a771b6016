// Replays long prompts at engines of different speeds, with equal parts of the
// stated throughput and with parts by speed.
#include <algorithm>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "jackdawshunt/routing/admission.h"
#include "jackdawshunt/routing/engine_estimate.h"
#include "jackdawshunt/routing/placement.h"
#include "jackdawshunt/routing/router.h"
#include "jackdawshunt/routing/speed_table.h"
#include "jackdawshunt/routing/testing/engine_model.h"

namespace jackdawshunt::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kEngines = 46;
constexpr double kSpeeds[] = {0.7, 0.7, 1.7};
// Of an engine of speed 1. It prefills 60 tokens per ms at most, beside the
// steps of its streams.
constexpr double kPrefillTokensPerMs = 64.2;
constexpr double kStepMs = 4.23;
constexpr double kStatedTokensPerMs = 45;
// As Router does.
constexpr double kPaceFactor = 1.1;
// Long prompts have 17,000 tokens in the mean and 93,000 at most.
constexpr double kLongTokens = 17000;
constexpr uint32_t kMaxLongTokens = 93000;
constexpr uint32_t kMediumTokens = 9200;
constexpr uint32_t kShortTokens = 1460;
constexpr double kMeanTokens = (kLongTokens + kMediumTokens + kShortTokens) / 3;
constexpr uint32_t kOutputTokens = 250;
constexpr kernel::Duration kObjective = milliseconds(800);
constexpr kernel::Duration kDeadline = seconds(6);
constexpr kernel::Duration kWarmUp = seconds(5);
constexpr kernel::Duration kLength = seconds(20);
constexpr uint64_t kSeed = 20261204;

struct Outcome {
  uint64_t tokens_in_time = 0;
  size_t late = 0;  // Admitted, and not in time.
};

struct Engine {
  testing::EngineModel model;
  EngineEstimate estimate;
  Upstream upstream;
  uint32_t waiting = 0;
};

class PaceReplay {
 public:
  explicit PaceReplay(bool is_by_speed) : is_by_speed_(is_by_speed) {
    for (size_t i = 0; i < kEngines; ++i) {
      const double speed = kSpeeds[i % 3];
      stated_ += kStatedTokensPerMs * speed;
      Engine engine{.model = testing::EngineModel(
                        {.prefill_tokens_per_ms = kPrefillTokensPerMs * speed,
                         .step_ms = kStepMs / speed,
                         .cache_tokens = 519991}),
                    .estimate = EngineEstimate(
                        {.slots = 64, .cache_tokens = 519991}, 30)};
      engine.upstream.id = absl::StrCat("engine", i);
      engine.upstream.hash = HashOf(engine.upstream.id);
      engine.upstream.start = i + 1;
      engine.upstream.service = "llm";
      engines_.push_back(std::move(engine));
    }
  }

  // Sends `load` times what the engines sustain.
  Outcome Run(double load) {
    std::mt19937_64 random(kSeed);
    std::exponential_distribution<double> gap(
        load * stated_ / (kMeanTokens + 2 * kOutputTokens));
    const kernel::TimePoint start = now_;
    for (uint64_t n = 1; now_ < start + kLength; ++n) {
      now_ += kernel::Duration(static_cast<int64_t>(gap(random) * 1000));
      Advance();
      Send(n, DrawPrompt(random), now_ - start > kWarmUp);
    }
    Outcome outcome;
    for (Engine& engine : engines_) {
      engine.model.AdvanceTo(now_ + kDeadline + seconds(1));
      for (const auto& result : engine.model.results()) {
        const auto tokens = counted_.find(result.request);
        if (tokens != counted_.end()) {
          const bool is_in_time =
              result.is_complete && result.first_event <= kObjective;
          outcome.tokens_in_time += is_in_time ? tokens->second : 0;
          outcome.late += is_in_time ? 0 : 1;
        }
      }
    }
    return outcome;
  }

 private:
  void Advance() {
    for (Engine& engine : engines_) {
      for (const std::string& request : engine.model.AdvanceTo(now_)) {
        engine.estimate.OnFirstEvent(request, now_);
        engine.estimate.OnEnd(request, true, now_);
        --engine.waiting;
      }
    }
    if (now_ < next_report_) {
      return;
    }
    next_report_ = now_ + milliseconds(100);
    speeds_.Update(now_);
    for (Engine& engine : engines_) {
      engine.estimate.OnReport({.waiting = engine.waiting}, now_);
      speeds_.Observe(engine.upstream, engine.estimate.speed().Observed(),
                      now_);
      const double factor =
          is_by_speed_ ? speeds_.PaceFactor(engine.upstream.start) : 1;
      engine.estimate.set_sustained_tokens_per_ms(kPaceFactor * factor *
                                                  stated_ / kEngines);
    }
  }

  static uint32_t DrawPrompt(std::mt19937_64& random) {
    std::exponential_distribution<double> long_tokens(1 / kLongTokens);
    switch (random() % 3) {
      case 0:
        return std::min(static_cast<uint32_t>(long_tokens(random)) + 1,
                        kMaxLongTokens);
      case 1:
        return kMediumTokens;
      default:
        return kShortTokens;
    }
  }

  void Send(uint64_t n, uint32_t prompt_tokens, bool is_counted) {
    Prompt prompt{.parts = {{n, prompt_tokens}}};
    prompt.prompt_tokens = prompt_tokens;
    prompt.max_output_tokens = kOutputTokens;
    const std::vector<uint64_t> keys = PartKeys(prompt.parts);
    std::vector<Engine*> offered;
    std::vector<EngineCandidate> rows;
    for (uint64_t i = 0; i < 3; ++i) {
      Engine& engine = engines_[RendezvousWeight(n, i) % kEngines];
      offered.push_back(&engine);
      rows.push_back(
          {.upstream_hash = engine.upstream.hash,
           .cost = engine.estimate.Estimate(keys, prompt.parts, now_)});
    }
    const size_t best = PickEngine(rows, keys[0], {});
    const std::string request = absl::StrCat("r", n);
    const AdmissionDecision admission =
        DecideAdmission({.cost = rows[best].cost,
                         .objective = kObjective,
                         .remaining_objective = kObjective,
                         .time_to_deadline = kDeadline,
                         .share_used = 1,
                         .request_hash = HashOf(request)},
                        {});
    if (!admission.is_admitted) {
      return;
    }
    if (is_counted) {
      counted_[request] = prompt_tokens + kOutputTokens;
    }
    ++offered[best]->waiting;
    offered[best]->estimate.Claim(request, keys, prompt.parts, kOutputTokens,
                                  now_);
    offered[best]->model.Submit(request, prompt, keys, now_, now_ + kDeadline);
  }

  const bool is_by_speed_;
  double stated_ = 0;  // Tokens per ms of all engines.
  std::vector<Engine> engines_;
  SpeedTable speeds_;
  // Tokens of the requests after the warm-up.
  std::unordered_map<std::string, uint64_t> counted_;
  kernel::TimePoint now_{seconds(100)};
  kernel::TimePoint next_report_{};
};

// Guards against fast engines that idle while slow ones are late.
TEST(PaceReplayTest, PartsBySpeedServeMoreTokensAndFewerLate) {
  for (const double load : {0.9, 1.2}) {
    const Outcome equal = PaceReplay(false).Run(load);
    const Outcome by_speed = PaceReplay(true).Run(load);
    RecordProperty(absl::StrCat("equal_", load),
                   absl::StrCat(equal.tokens_in_time, " late ", equal.late));
    RecordProperty(
        absl::StrCat("by_speed_", load),
        absl::StrCat(by_speed.tokens_in_time, " late ", by_speed.late));
    EXPECT_GT(by_speed.tokens_in_time, equal.tokens_in_time) << load;
    EXPECT_LT(by_speed.late, equal.late) << load;
  }
}

// Guards against offers whose speeds do not reach the pace of the engines, and
// a prior that is not passed on.
TEST(RouterPaceTest, EnginesGetPartsOfTheStatedThroughputBySpeed) {
  kernel::TimePoint now{seconds(100)};
  Router router({.data_centre = "a"}, now);
  DesiredState state;
  state.version = 1;
  Route route{.name = "stream", .host = "h.example", .path_prefix = "/s/"};
  route.kind = RouteKind::kStream;
  route.timeout = seconds(8);
  route.latency_objective = milliseconds(800);
  route.services = {{"llm", 1}};
  state.routes.push_back(route);
  state.services.push_back(
      {.name = "llm",
       .engine = EngineProfile{.slots = 64, .cache_tokens = 519991}});
  state.limits.tokens_per_second = 120'000;
  router.SetDesiredState(state);
  std::vector<Upstream> engines;
  for (int i = 0; i < 3; ++i) {
    Upstream& engine = engines.emplace_back();
    engine.id = absl::StrCat("e", i);
    engine.service = "llm";
    engine.address = {absl::StrCat("10.0.0.", i + 1), 80};
    engine.data_centre = "a";
  }
  router.ReplaceUpstreams(engines, now, false);
  RoutedRequest request;
  request.id = "r1";
  request.table = router.table();
  request.route = request.table->Match("h.example", "/s/x");
  request.prompt = Prompt{.prompt_tokens = 100, .max_output_tokens = 10};
  request.prompt->parts = {{.id = 1, .tokens = 100}};
  router.Prepare(request, seconds(8), now);
  const std::vector<Upstream> queried = router.EnginesToQuery(request, now);
  ASSERT_EQ(queried.size(), 3u);
  const double mean = request.engine_tokens_per_s;
  EXPECT_GT(mean, 0);
  EXPECT_EQ(request.EngineTokensPerSecond(queried[0]), mean);
  std::vector<BoardOffer> offers;
  for (size_t i = 0; i < 3; ++i) {
    offers.push_back({.upstream = queried[i].id,
                      .speed = {.prefill_tokens_per_ms = 64 * kSpeeds[i]}});
  }
  router.Choose(request, offers, now);
  router.Tick(now);
  EXPECT_NEAR(request.EngineTokensPerSecond(queried[0]), 0.68 * mean,
              0.01 * mean);
  EXPECT_NEAR(request.EngineTokensPerSecond(queried[2]), 1.65 * mean,
              0.01 * mean);
  EXPECT_EQ(request.speeds->PriorOf(queried[2]).prefill_tokens_per_ms,
            64 * kSpeeds[2]);
}

}  // namespace
}  // namespace jackdawshunt::routing
