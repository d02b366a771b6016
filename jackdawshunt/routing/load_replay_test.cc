// Replays loads against the routing decisions and a model of engines, with each
// decision enabled and disabled.
#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "jackdawshunt/routing/admission.h"
#include "jackdawshunt/routing/engine_estimate.h"
#include "jackdawshunt/routing/fair_share.h"
#include "jackdawshunt/routing/placement.h"
#include "jackdawshunt/routing/testing/engine_model.h"

namespace jackdawshunt::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::EngineModel;
using testing::EngineModelSettings;

constexpr kernel::Duration kObjective = milliseconds(1000);
constexpr kernel::Duration kDeadline = seconds(8);
// Refusals are counted from this time on, when the engines have prefilled the
// shared prefixes once.
constexpr kernel::Duration kWarmUp = seconds(3);
constexpr uint64_t kSeed = 20261203;

// A load of prompts that share long prefixes.
struct Load {
  double requests_per_s = 60;
  size_t engines = 6;
  kernel::Duration length = seconds(20);
  size_t templates = 60;
  uint32_t template_tokens = 13000;
  uint32_t own_tokens = 3700;
  uint32_t output_tokens = 100;
  // Parts of all requests that workspaces 0 and 1 send; the other workspaces
  // send equal parts of the rest.
  double first_workspace_part = 0.1;
  double second_workspace_part = 0;
  size_t workspaces = 10;
};

// The decisions that are enabled.
struct Policy {
  bool uses_cost_placement = true;
  bool uses_refusals = true;
  bool uses_pacing = true;
  bool uses_shares = true;
  double stated_tokens_per_ms = 32.0;  // Of one engine.
  // Numbers of engines that may be chosen: the most preferred ones for the
  // shared prefix and some at random; all engines when both are 0.
  size_t preferred_engines = 0;
  size_t random_engines = 0;
};

// Returns for each engine whether the policy lets the request choose it.
std::vector<bool> SelectQueried(const std::vector<EngineCandidate>& engines,
                                uint64_t affinity_key,
                                uint64_t request_hash,
                                const Policy& policy) {
  const bool queries_all =
      policy.preferred_engines + policy.random_engines == 0;
  std::vector<bool> is_queried(engines.size(), queries_all);
  for (size_t n = 0; n < policy.preferred_engines + policy.random_engines;
       ++n) {
    const uint64_t key =
        n < policy.preferred_engines ? affinity_key : request_hash;
    size_t best = engines.size();
    for (size_t i = 0; i < engines.size(); ++i) {
      if (!is_queried[i] &&
          (best == engines.size() ||
           RendezvousWeight(key, engines[i].upstream_hash) >
               RendezvousWeight(key, engines[best].upstream_hash))) {
        best = i;
      }
    }
    is_queried[best] = true;
  }
  return is_queried;
}

struct ReplayResult {
  size_t requests = 0;
  size_t in_time = 0;  // Complete, with the first event within the objective.
  size_t started_in_time = 0;
  size_t refused = 0;
  uint64_t shared_tokens_prefilled = 0;
  std::map<size_t, size_t> requests_by_workspace;
  std::map<size_t, size_t> served_by_workspace;  // In time.

  double InTimeShare() const {
    return static_cast<double>(in_time) / static_cast<double>(requests);
  }
};

ReplayResult Replay(const Load& load, const Policy& policy) {
  std::mt19937_64 random(kSeed);
  std::exponential_distribution<double> gap(load.requests_per_s);
  std::uniform_real_distribution<double> uniform(0, 1);
  const EngineProfile profile{.slots = 64, .cache_tokens = 500000};
  std::vector<EngineModel> engines;
  std::vector<EngineEstimate> estimates;
  for (size_t i = 0; i < load.engines; ++i) {
    engines.emplace_back(EngineModelSettings{});
    estimates.emplace_back(profile, 30.0);
    estimates.back().set_sustained_tokens_per_ms(
        policy.uses_pacing ? policy.stated_tokens_per_ms : 0);
  }
  FairShare shares(seconds(2));
  ReplayResult outcome;
  std::map<std::string, size_t> workspace_of;
  kernel::TimePoint now{seconds(100)};
  const kernel::TimePoint end = now + load.length;
  for (uint64_t n = 0; now < end; ++n) {
    now += kernel::Duration(static_cast<int64_t>(gap(random) * 1e6));
    for (size_t i = 0; i < load.engines; ++i) {
      for (const std::string& request : engines[i].AdvanceTo(now)) {
        estimates[i].OnFirstEvent(request, now);
        estimates[i].OnEnd(request, true, now);
      }
    }
    const double workspace_draw = uniform(random);
    size_t workspace = 1 + random() % (load.workspaces - 1);
    if (workspace_draw < load.first_workspace_part) {
      workspace = 0;
    } else if (workspace_draw <
               load.first_workspace_part + load.second_workspace_part) {
      workspace = 1;
    }
    const std::string request = absl::StrCat("r", n);
    Prompt prompt;
    prompt.parts = {{1 + random() % load.templates, load.template_tokens},
                    {1000000 + n, load.own_tokens}};
    prompt.prompt_tokens = load.template_tokens + load.own_tokens;
    prompt.max_output_tokens = load.output_tokens;
    const std::vector<uint64_t> keys = PartKeys(prompt.parts);
    const uint64_t tokens = prompt.prompt_tokens;
    ++outcome.requests;
    ++outcome.requests_by_workspace[workspace];
    shares.OnRequest(workspace, tokens, now);

    std::vector<EngineCandidate> candidates;
    for (size_t i = 0; i < load.engines; ++i) {
      candidates.push_back(
          {.upstream_hash = HashOf(absl::StrCat("engine", i)),
           .cost = estimates[i].Estimate(keys, prompt.parts, now),
           .is_same_data_centre = true});
    }
    const std::vector<bool> is_queried =
        SelectQueried(candidates, keys[0], HashOf(request), policy);
    // Index of the engine, by position in `offered`.
    std::vector<size_t> engine_of;
    std::vector<EngineCandidate> offered;
    for (size_t i = 0; i < load.engines; ++i) {
      if (is_queried[i]) {
        engine_of.push_back(i);
        offered.push_back(candidates[i]);
      }
    }
    const size_t best = policy.uses_cost_placement
                            ? engine_of[PickEngine(offered, keys[0], {})]
                            : random() % load.engines;
    if (policy.uses_refusals) {
      const AdmissionDecision decision = DecideAdmission(
          {.cost = candidates[best].cost,
           .objective = kObjective,
           .remaining_objective = kObjective,
           .time_to_deadline = kDeadline,
           .share_used =
               policy.uses_shares ? shares.ShareUsed(workspace, now) : 0,
           .request_hash = HashOf(request)},
          {});
      if (!decision.is_admitted) {
        outcome.refused += now > end - load.length + kWarmUp ? 1 : 0;
        continue;
      }
    }
    shares.OnAdmitted(workspace, tokens, now);
    workspace_of[request] = workspace;
    estimates[best].Claim(request, keys, prompt.parts, load.output_tokens, now);
    engines[best].Submit(request, prompt, keys, now, now + kDeadline);
  }
  for (EngineModel& engine : engines) {
    engine.AdvanceTo(end + kDeadline + seconds(20));
    outcome.shared_tokens_prefilled += engine.shared_tokens_prefilled();
    for (const EngineModel::Result& result : engine.results()) {
      const bool started = result.first_event <= kObjective;
      outcome.started_in_time += started ? 1 : 0;
      if (started && result.is_complete) {
        ++outcome.in_time;
        ++outcome.served_by_workspace[workspace_of[result.request]];
      }
    }
  }
  return outcome;
}

// Guards against repeated prefill when many prompts share few long prefixes:
// requests must reach engines that have cached a prefix, so
// that it is prefilled a few times and not hundreds of times.
TEST(LoadReplayTest, PlacementAvoidsRepeatedPrefillOfSharedPrefixes) {
  const Load load{.requests_per_s = 30};
  const ReplayResult by_cost = Replay(load, {.uses_refusals = false});
  const ReplayResult random =
      Replay(load, {.uses_cost_placement = false, .uses_refusals = false});
  EXPECT_LT(by_cost.shared_tokens_prefilled * 3,
            random.shared_tokens_prefilled);
  EXPECT_GT(by_cost.InTimeShare(), 0.9);
  EXPECT_LT(random.InTimeShare(), by_cost.InTimeShare());
}

// Guards against wasted prefill when many prompts share few long prefixes and
// more arrive than the engines can prefill: an engine that is not preferred
// would cache a prefix where later requests do not find it.
TEST(LoadReplayTest, QueryingOnlyPreferredEnginesReducesPrefill) {
  const Load load{.requests_per_s = 450, .engines = 24, .templates = 240};
  const ReplayResult preferred = Replay(load, {.preferred_engines = 3});
  const ReplayResult with_random =
      Replay(load, {.preferred_engines = 2, .random_engines = 2});
  EXPECT_LT(preferred.shared_tokens_prefilled * 10,
            with_random.shared_tokens_prefilled * 7);
  EXPECT_GT(preferred.in_time, with_random.in_time);
}

// Guards against an overload in which nearly all requests are late because none
// is refused.
TEST(LoadReplayTest, RefusalsKeepAdmittedRequestsInTime) {
  const Load load{.requests_per_s = 130, .templates = 200};
  const ReplayResult with = Replay(load, {});
  const ReplayResult without = Replay(
      load,
      {.uses_refusals = false, .uses_pacing = false, .uses_shares = false});
  EXPECT_GT(with.in_time, 3 * without.in_time);
  EXPECT_GT(with.refused, 0u);
}

// Guards against prompts that are prefilled in time while long streams end at
// their deadline.
TEST(LoadReplayTest, PacingLetsLongStreamsFinish) {
  const Load load{.requests_per_s = 130,
                  .templates = 60,
                  .own_tokens = 3700,
                  .output_tokens = 350};
  const ReplayResult paced = Replay(load, {});
  const ReplayResult unpaced = Replay(load, {.uses_pacing = false});
  EXPECT_GT(paced.in_time * 10, unpaced.in_time * 11);
}

// Guards against engines that idle while work waits, where the operator states
// less than they can do.
TEST(LoadReplayTest, EnginesFasterThanStatedAreUsed) {
  const Load load{.requests_per_s = 100, .templates = 60};
  const ReplayResult stated = Replay(load, {});
  const ReplayResult understated = Replay(load, {.stated_tokens_per_ms = 10});
  EXPECT_GT(understated.in_time * 10, stated.in_time * 9);
}

// Guards against one workspace that sends many times its usual load at the
// expense of the others.
TEST(LoadReplayTest, FloodOfOneWorkspaceDoesNotStarveOthers) {
  const Load load{.requests_per_s = 160, .first_workspace_part = 0.7};
  const ReplayResult shared = Replay(load, {});
  const ReplayResult unshared = Replay(load, {.uses_shares = false});
  const auto others_served = [](const ReplayResult& outcome) {
    double requests = 0;
    double served = 0;
    for (const auto& [workspace, count] : outcome.requests_by_workspace) {
      if (workspace != 0) {
        requests += static_cast<double>(count);
        const auto row = outcome.served_by_workspace.find(workspace);
        served += row == outcome.served_by_workspace.end()
                      ? 0
                      : static_cast<double>(row->second);
      }
    }
    return served / requests;
  };
  EXPECT_GT(others_served(shared), others_served(unshared) + 0.15);
  // The flooding workspace gets at least half as much as the best of the
  // others.
  size_t best_other = 0;
  for (const auto& [workspace, served] : shared.served_by_workspace) {
    if (workspace != 0) {
      best_other = std::max(best_other, served);
    }
  }
  EXPECT_GE(shared.served_by_workspace.at(0) * 2, best_other);
}

// Guards against a larger share for the workspace that tries more often, when
// two are beyond their share: it would take more of the short moments in which
// an engine has spare capacity.
TEST(LoadReplayTest, MoreAttemptsGiveNoLargerShare) {
  const ReplayResult outcome = Replay({.requests_per_s = 400,
                                       .first_workspace_part = 0.8,
                                       .second_workspace_part = 0.12},
                                      {});
  const auto served = [&outcome](size_t workspace) {
    return static_cast<double>(outcome.served_by_workspace.at(workspace));
  };
  EXPECT_LT(served(0), 1.5 * served(1));
  EXPECT_LT(served(1), 1.5 * served(0));
}

// Guards against idle engines after an outage: the few requests admitted during
// the outage make the share of a flooding workspace small for the rest of the
// window.
TEST(LoadReplayTest, IdleEngineAdmitsWorkspaceFarBeyondItsShare) {
  AdmissionInput input{
      .cost = {.prefill_time = milliseconds(60), .idle_time = seconds(2)},
      .objective = kObjective,
      .remaining_objective = kObjective,
      .time_to_deadline = kDeadline,
      .share_used = 5};
  EXPECT_TRUE(DecideAdmission(input, {}).is_admitted);
  input.fleet_has_spare_capacity = false;
  EXPECT_FALSE(DecideAdmission(input, {}).is_admitted);
  input.fleet_has_spare_capacity = true;
  input.cost.wait = milliseconds(5);
  EXPECT_FALSE(DecideAdmission(input, {}).is_admitted);
}

// Guards against the start of traffic, when the fleet has spare capacity by its
// counts: a workspace that tries more often takes the short moments between two
// requests and leaves the others less than half of its own tokens.
TEST(LoadReplayTest, ShortIdleMomentsAreLeftToWorkspacesWithinTheirShare) {
  AdmissionInput input{
      .cost = {.prefill_time = milliseconds(60), .idle_time = milliseconds(50)},
      .objective = kObjective,
      .remaining_objective = kObjective,
      .time_to_deadline = kDeadline,
      .share_used = 2.5};
  EXPECT_FALSE(DecideAdmission(input, {}).is_admitted);
  input.share_used = 0.9;
  EXPECT_TRUE(DecideAdmission(input, {}).is_admitted);
  EXPECT_GT(RequiredIdleTime(5), RequiredIdleTime(2.5));
}

TEST(LoadReplayTest, RefusesNothingWhileEnginesAreIdle) {
  const ReplayResult outcome = Replay(
      {.requests_per_s = 12, .templates = 6, .first_workspace_part = 0.8}, {});
  EXPECT_EQ(outcome.refused, 0u);
}

}  // namespace
}  // namespace jackdawshunt::routing
