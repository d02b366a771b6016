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
