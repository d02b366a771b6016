#include "jackdawshunt/settings/settings.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>

#include "nlohmann/json.hpp"

namespace jackdawshunt::settings {
namespace {

using nlohmann::json;
using protocol::Role;
using ::testing::ElementsAre;
using ::testing::HasSubstr;
using ::testing::IsEmpty;
using ::testing::StartsWith;

json Entry() {
  return {{"instance", "entry-1"},
          {"region", "pnw-west"},
          {"data_centre", "tacoma-a"},
          {"fleet_key", "0123456789abcdef"},
          {"caller", "127.0.0.1:0"},
          {"process", "[::1]:8081"},
          {"operator", "127.0.0.1:8082"},
          {"operator_token_sha256", std::string(64, 'b')},
          {"platform", "127.0.0.1:9000"}};
}

TEST(SettingsTest, LoadReportsAnUnreadableFile) {
  const auto settings = Load("/nonexistent/entry.json", Role::kEntry);
  EXPECT_TRUE(absl::IsNotFound(settings.status()));
}

// Guards against a missing field, or one of the other role, that goes unseen.
TEST(SettingsTest, FieldsDependOnTheRole) {
  EXPECT_THAT(Faults("f", Entry().dump(), Role::kEntry), IsEmpty());
  EXPECT_THAT(Faults("f", Entry().dump(), Role::kSide),
              ElementsAre(StartsWith("f: /upstream: missing: must be"),
                          StartsWith("f: /upstream_address: missing: must be"),
                          StartsWith("f: /caller: \"127.0.0.1:0\": unknown")));
}

struct FaultCase {
  const char* patch;  // JSON merge patch onto valid settings of an entry.
  const char* fault;
};

class SettingsFaultTest : public ::testing::TestWithParam<FaultCase> {};

// Guards against a field whose type or range is not checked.
TEST_P(SettingsFaultTest, IsReported) {
  json settings = Entry();
  settings.merge_patch(json::parse(GetParam().patch));
  EXPECT_THAT(Faults("e.json", settings.dump(), Role::kEntry),
              ElementsAre(StartsWith(GetParam().fault)));
}

INSTANTIATE_TEST_SUITE_P(
    Fields,
    SettingsFaultTest,
    ::testing::Values(
        FaultCase{R"({"instance": "a b"})", "e.json: /instance: \"a b\": must"},
        FaultCase{R"({"platform": "127.0.0.1:0"})", "e.json: /platform: \""},
        FaultCase{R"({"platform": "localhost:80"})", "e.json: /platform: \""},
        FaultCase{R"({"process": "127.0.0.1:65536"})", "e.json: /process: \""},
        FaultCase{R"({"process": "127.0.0.1"})", "e.json: /process: \""},
        FaultCase{R"({"caller": 8080})", "e.json: /caller: 8080: must be"},
        FaultCase{R"({"operator_token_sha256": "secret"})",
                  "e.json: /operator_token_sha256: \"secret\": must be"},
        FaultCase{R"({"drain_lag_ms": -1})", "e.json: /drain_lag_ms: -1: must"},
        FaultCase{R"({"max_body_bytes": 1048577})",
                  "e.json: /max_body_bytes: 1048577: must be an integer"},
        FaultCase{R"({"log_level": "loud"})", "e.json: /log_level: \"loud\""},
        FaultCase{R"({"ports_file": ""})", "e.json: /ports_file: \"\": must"},
        FaultCase{R"({"colour": 1})", "e.json: /colour: 1: unknown field"}));

// Guards against a fleet key in the log of a process that refuses to start.
TEST(SettingsTest, FaultsDoNotShowTheFleetKey) {
  json settings = Entry();
  settings["fleet_key"] = "hunter2";
  const auto faults = Faults("f", settings.dump(), Role::kEntry);
  ASSERT_THAT(faults, ElementsAre(StartsWith("f: /fleet_key: ")));
  EXPECT_THAT(faults.front(), ::testing::Not(HasSubstr("hunter2")));
}

}  // namespace
}  // namespace jackdawshunt::settings
