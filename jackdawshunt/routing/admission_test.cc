#include "jackdawshunt/routing/admission.h"

#include "gtest/gtest.h"

namespace jackdawshunt::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

AdmissionInput InputOf(kernel::Duration objective) {
  return {.cost = {.prefill_time = milliseconds(50), .idle_time = seconds(1)},
          .objective = objective,
          .remaining_objective = objective,
          .time_to_deadline = seconds(8)};
}

// Guards against a workspace beyond its share that gets its tokens mostly on
// the routes with long objectives, while engines have some queue: requests of
// all routes are refused at the same queue.
TEST(AdmissionTest, RoutesAreRefusedAlikeBeyondTheShare) {
  for (const double share_used : {1.05, 1.15, 1.25}) {
    for (int wait_ms = 0; wait_ms < 400; wait_ms += 10) {
      AdmissionInput shorter = InputOf(milliseconds(800));
      shorter.share_used = share_used;
      shorter.cost.wait = milliseconds(wait_ms);
      shorter.cost.ahead_of_pace = milliseconds(2 * wait_ms);
      AdmissionInput longer = shorter;
      longer.objective = milliseconds(1500);
      longer.remaining_objective = longer.objective;
      EXPECT_EQ(DecideAdmission(shorter, {}).is_admitted,
                DecideAdmission(longer, {}).is_admitted)
          << share_used << " " << wait_ms;
    }
  }
}

// Guards against refusals whose cause cannot be told from the log.
TEST(AdmissionTest, RefusalNamesTheRuleThatDecided) {
  const auto rule_of = [](const AdmissionInput& input) {
    return DecideAdmission(input, {}).rule;
  };
  const AdmissionInput idle = InputOf(seconds(1));
  EXPECT_EQ(rule_of(idle), RefusalRule::kNone);

  AdmissionInput input = idle;
  input.cost.wait = seconds(1);
  EXPECT_EQ(rule_of(input), RefusalRule::kWait);
  input = idle;
  input.cost.ahead_of_pace = seconds(3);
  EXPECT_EQ(rule_of(input), RefusalRule::kPace);
  input = idle;
  input.share_used = 2;
  input.fleet_has_spare_capacity = false;
  EXPECT_EQ(rule_of(input), RefusalRule::kFleetFull);
  input.fleet_has_spare_capacity = true;
  input.cost.idle_time = {};
  EXPECT_EQ(rule_of(input), RefusalRule::kEngineNotIdle);
  EXPECT_EQ(RefusalRuleName(RefusalRule::kEngineNotIdle), "engine_not_idle");
}

}  // namespace
}  // namespace jackdawshunt::routing
