// Replays loads against the decisions and a model of engines, with and without
// each decision.
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
// Refusals are counted when the engines have read the beginnings once.
constexpr kernel::Duration kWarmUp = seconds(3);
constexpr uint64_t kSeed = 20261203;

// A load of prompts that share long beginnings.
struct Load {
  double requests_per_s = 60;
  size_t engines = 6;
  kernel::Duration length = seconds(20);
  size_t templates = 60;
  uint32_t template_tokens = 13000;
  uint32_t own_tokens = 3700;
  uint32_t output_tokens = 100;
  // Workspace 0 sends this part of all requests, workspace 1 the second one;
  // the others share the rest.
  double first_workspace_part = 0.1;
  double second_workspace_part = 0;
  size_t workspaces = 10;
};

// Which decisions are used.
struct Policy {
  bool places_by_cost = true;
  bool refuses = true;
  bool paces = true;
  bool shares = true;
  // Engines that may be chosen: the first homes of the shared part and some at
  // random; all of them when both are 0.
  size_t homes_asked = 0;
  size_t others_asked = 0;
};

// Marks the engines that the policy lets a request choose from.
std::vector<bool> Asked(const std::vector<EngineCandidate>& engines,
                        uint64_t home_key,
                        uint64_t request_hash,
                        const Policy& policy) {
  const bool asks_all = policy.homes_asked + policy.others_asked == 0;
  std::vector<bool> asked(engines.size(), asks_all);
  for (size_t n = 0; n < policy.homes_asked + policy.others_asked; ++n) {
    const uint64_t key = n < policy.homes_asked ? home_key : request_hash;
    size_t best = engines.size();
    for (size_t i = 0; i < engines.size(); ++i) {
      if (!asked[i] &&
          (best == engines.size() ||
           RendezvousWeight(key, engines[i].upstream_hash) >
               RendezvousWeight(key, engines[best].upstream_hash))) {
        best = i;
      }
    }
    asked[best] = true;
  }
  return asked;
}

struct Outcome {
  size_t asked = 0;
  size_t in_time = 0;  // First event within the objective, and complete.
  size_t started_in_time = 0;
  size_t refused = 0;
  uint64_t shared_tokens_read = 0;
  std::map<size_t, size_t> asked_by;   // By workspace.
  std::map<size_t, size_t> served_by;  // In time, by workspace.

  double InTime() const {
    return static_cast<double>(in_time) / static_cast<double>(asked);
  }
};

Outcome Replay(const Load& load, const Policy& policy) {
  std::mt19937_64 random(kSeed);
  std::exponential_distribution<double> gap(load.requests_per_s);
  std::uniform_real_distribution<double> part(0, 1);
  const EngineProfile profile{.slots = 64, .cache_tokens = 500000};
  std::vector<EngineModel> engines;
  std::vector<EngineEstimate> estimates;
  for (size_t i = 0; i < load.engines; ++i) {
    engines.emplace_back(EngineModelSettings{});
    estimates.emplace_back(profile, 30.0);
    estimates.back().set_sustained_tokens_per_ms(policy.paces ? 32.0 : 0);
  }
  FairShare shares(seconds(2));
  Outcome outcome;
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
    const double drawn = part(random);
    size_t workspace = 1 + random() % (load.workspaces - 1);
    if (drawn < load.first_workspace_part) {
      workspace = 0;
    } else if (drawn < load.first_workspace_part + load.second_workspace_part) {
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
    ++outcome.asked;
    ++outcome.asked_by[workspace];
    shares.OnRequest(workspace, tokens, now);

    std::vector<EngineCandidate> candidates;
    for (size_t i = 0; i < load.engines; ++i) {
      candidates.push_back(
          {.upstream_hash = HashOf(absl::StrCat("engine", i)),
           .cost = estimates[i].Estimate(keys, prompt.parts, now),
           .is_same_data_centre = true});
    }
    const std::vector<bool> asked =
        Asked(candidates, keys[0], HashOf(request), policy);
    std::vector<size_t> engine_of;  // By position among those asked.
    std::vector<EngineCandidate> offered;
    for (size_t i = 0; i < load.engines; ++i) {
      if (asked[i]) {
        engine_of.push_back(i);
        offered.push_back(candidates[i]);
      }
    }
    const size_t best = policy.places_by_cost
                            ? engine_of[PickEngine(offered, keys[0], {})]
                            : random() % load.engines;
    if (policy.refuses) {
      const AdmissionDecision decision = Decide(
          {.cost = candidates[best].cost,
           .objective = kObjective,
           .objective_left = kObjective,
           .deadline_left = kDeadline,
           .share_used = policy.shares ? shares.ShareUsed(workspace, now) : 0,
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
    outcome.shared_tokens_read += engine.shared_tokens_read();
    for (const EngineModel::Result& result : engine.results()) {
      const bool started = result.first_event <= kObjective;
      outcome.started_in_time += started ? 1 : 0;
      if (started && result.is_complete) {
        ++outcome.in_time;
        ++outcome.served_by[workspace_of[result.request]];
      }
    }
  }
  return outcome;
}

// "Many prompts share few long beginnings": engines that hold a beginning are
// found, so it is read a few times and not hundreds of times.
TEST(LoadReplayTest, PlacementReadsSharedBeginningsOnce) {
  const Load load{.requests_per_s = 30};
  const Outcome by_cost = Replay(load, {.refuses = false});
  const Outcome random =
      Replay(load, {.places_by_cost = false, .refuses = false});
  EXPECT_LT(by_cost.shared_tokens_read * 3, random.shared_tokens_read);
  EXPECT_GT(by_cost.InTime(), 0.9);
  EXPECT_LT(random.InTime(), by_cost.InTime());
}

// "Many prompts share few long beginnings, and more arrives than the engines
// can read": an engine outside a beginning's homes would read it for one
// request that later ones do not find.
TEST(LoadReplayTest, OnlyHomesReadABeginning) {
  const Load load{.requests_per_s = 450, .engines = 24, .templates = 240};
  const Outcome homes = Replay(load, {.homes_asked = 3});
  const Outcome mixed = Replay(load, {.homes_asked = 2, .others_asked = 2});
  EXPECT_LT(homes.shared_tokens_read * 10, mixed.shared_tokens_read * 7);
  EXPECT_GT(homes.in_time, mixed.in_time);
}

// "More arrives than the engines can read": without refusals nearly all are
// late.
TEST(LoadReplayTest, RefusalsKeepTheOthersInTime) {
  const Load load{.requests_per_s = 130, .templates = 200};
  const Outcome with = Replay(load, {});
  const Outcome without =
      Replay(load, {.refuses = false, .paces = false, .shares = false});
  EXPECT_GT(with.in_time, 3 * without.in_time);
  EXPECT_GT(with.refused, 0u);
}

// "Prompts are read in time, but long streams end at their deadline".
TEST(LoadReplayTest, PacedReadingLetsLongStreamsFinish) {
  const Load load{.requests_per_s = 130,
                  .templates = 60,
                  .own_tokens = 3700,
                  .output_tokens = 350};
  const Outcome paced = Replay(load, {});
  const Outcome unpaced = Replay(load, {.paces = false});
  EXPECT_GT(paced.in_time * 10, unpaced.in_time * 11);
}

// "One workspace sends many times its usual": the others lose nothing to it.
TEST(LoadReplayTest, AFloodOfOneWorkspaceDoesNotStarveTheOthers) {
  const Load load{.requests_per_s = 160, .first_workspace_part = 0.7};
  const Outcome shared = Replay(load, {});
  const Outcome unshared = Replay(load, {.shares = false});
  const auto others_served = [](const Outcome& outcome) {
    double asked = 0;
    double served = 0;
    for (const auto& [workspace, count] : outcome.asked_by) {
      if (workspace != 0) {
        asked += static_cast<double>(count);
        const auto row = outcome.served_by.find(workspace);
        served += row == outcome.served_by.end()
                      ? 0
                      : static_cast<double>(row->second);
      }
    }
    return served / asked;
  };
  EXPECT_GT(others_served(shared), others_served(unshared) + 0.15);
  // The flood gets at least as much as the best of the others.
  size_t best_other = 0;
  for (const auto& [workspace, served] : shared.served_by) {
    if (workspace != 0) {
      best_other = std::max(best_other, served);
    }
  }
  EXPECT_GE(shared.served_by.at(0) * 2, best_other);
}

// "Two workspaces are beyond their share, and one of them tries many times as
// often": it finds more of the short moments in which an engine has room.
TEST(LoadReplayTest, TryingMoreOftenGivesNoLargerShare) {
  const Outcome outcome = Replay({.requests_per_s = 400,
                                  .first_workspace_part = 0.8,
                                  .second_workspace_part = 0.12},
                                 {});
  const auto served = [&outcome](size_t workspace) {
    return static_cast<double>(outcome.served_by.at(workspace));
  };
  EXPECT_LT(served(0), 1.5 * served(1));
  EXPECT_LT(served(1), 1.5 * served(0));
}

// "The engines come back empty and a workspace floods": what little was
// admitted while they were gone makes its share small for the rest of the
// window.
TEST(LoadReplayTest, AnIdleEngineTakesAWorkspaceFarBeyondItsShare) {
  AdmissionInput input{.cost = {.prefill_time = milliseconds(60)},
                       .objective = kObjective,
                       .objective_left = kObjective,
                       .deadline_left = kDeadline,
                       .share_used = 5};
  EXPECT_TRUE(Decide(input, {}).is_admitted);
  input.fleet_has_spare_capacity = false;
  EXPECT_FALSE(Decide(input, {}).is_admitted);
  input.fleet_has_spare_capacity = true;
  input.cost.wait = milliseconds(5);
  EXPECT_FALSE(Decide(input, {}).is_admitted);
}

TEST(LoadReplayTest, NobodyIsRefusedWhileEnginesAreIdle) {
  const Outcome outcome = Replay(
      {.requests_per_s = 12, .templates = 6, .first_workspace_part = 0.8}, {});
  EXPECT_EQ(outcome.refused, 0u);
}

}  // namespace
}  // namespace jackdawshunt::routing
