#include "jackdawshunt/settings/settings.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <set>
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

json EntrySettings() {
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

TEST(SettingsTest, LoadReturnsNotFoundForAnUnreadableFile) {
  const auto settings = Load("/nonexistent/entry.json", Role::kEntry);
  EXPECT_TRUE(absl::IsNotFound(settings.status()));
}

// Guards against accepting settings that lack a field of the role or have a
// field of the other role.
TEST(SettingsTest, RequiresTheFieldsOfTheRoleOnly) {
  EXPECT_THAT(ValidationErrors("f", EntrySettings().dump(), Role::kEntry),
              IsEmpty());
  EXPECT_THAT(ValidationErrors("f", EntrySettings().dump(), Role::kSide),
              ElementsAre(StartsWith("f: /upstream: missing: must be"),
                          StartsWith("f: /upstream_address: missing: must be"),
                          StartsWith("f: /caller: \"127.0.0.1:0\": unknown")));
}

struct ErrorCase {
  const char* patch;  // JSON merge patch onto valid settings of an entry.
  const char* error;
};

class SettingsErrorTest : public ::testing::TestWithParam<ErrorCase> {};

// Guards against a field whose type or range is not validated.
TEST_P(SettingsErrorTest, IsReported) {
  json settings = EntrySettings();
  settings.merge_patch(json::parse(GetParam().patch));
  EXPECT_THAT(ValidationErrors("e.json", settings.dump(), Role::kEntry),
              ElementsAre(StartsWith(GetParam().error)));
}

INSTANTIATE_TEST_SUITE_P(
    Fields,
    SettingsErrorTest,
    ::testing::Values(
        ErrorCase{R"({"instance": "a b"})", "e.json: /instance: \"a b\": must"},
        ErrorCase{R"({"platform": "127.0.0.1:0"})", "e.json: /platform: \""},
        ErrorCase{R"({"platform": "localhost:80"})", "e.json: /platform: \""},
        ErrorCase{R"({"process": "127.0.0.1:65536"})", "e.json: /process: \""},
        ErrorCase{R"({"process": "127.0.0.1"})", "e.json: /process: \""},
        ErrorCase{R"({"caller": 8080})", "e.json: /caller: 8080: must be"},
        ErrorCase{R"({"operator_token_sha256": "secret"})",
                  "e.json: /operator_token_sha256: \"secret\": must be"},
        ErrorCase{R"({"drain_lag_ms": -1})", "e.json: /drain_lag_ms: -1: must"},
        ErrorCase{R"({"max_body_bytes": 1048577})",
                  "e.json: /max_body_bytes: 1048577: must be an integer"},
        ErrorCase{R"({"log_level": "loud"})", "e.json: /log_level: \"loud\""},
        ErrorCase{R"({"ports_file": ""})", "e.json: /ports_file: \"\": must"},
        ErrorCase{R"({"colour": 1})", "e.json: /colour: 1: unknown field"}));

// Guards against a fleet key in the error output of a process that does not
// start.
TEST(SettingsTest, ErrorsDoNotShowTheFleetKey) {
  json settings = EntrySettings();
  settings["fleet_key"] = "hunter2";
  const auto errors = ValidationErrors("f", settings.dump(), Role::kEntry);
  ASSERT_THAT(errors, ElementsAre(StartsWith("f: /fleet_key: ")));
  EXPECT_THAT(errors.front(), ::testing::Not(HasSubstr("hunter2")));
}

json ReadExample(const std::string& path) {
  std::ifstream file(std::string(EXAMPLES) + "/" + path);
  return json::parse(file, nullptr, /*allow_exceptions=*/false,
                     /*ignore_comments=*/true);
}

// Guards against a reference example whose defaults differ from the code.
TEST(SettingsExampleTest, ReferenceListsTheDefaults) {
  const std::string folder = std::string(EXAMPLES) + "/reference/";
  const Settings defaults;
  for (const Role role : {Role::kEntry, Role::kSide}) {
    const auto shown = Load(
        folder + (role == Role::kEntry ? "entry.json" : "side.json"), role);
    ASSERT_TRUE(shown.ok()) << shown.status();
    EXPECT_EQ(shown->log_level, defaults.log_level);
    EXPECT_EQ(shown->drain_lag_ms, defaults.drain_lag_ms);
    EXPECT_EQ(shown->max_header_bytes, defaults.max_header_bytes);
    EXPECT_EQ(shown->max_body_bytes, defaults.max_body_bytes);
    EXPECT_EQ(shown->stream_buffer_bytes, defaults.stream_buffer_bytes);
  }
}

class DeploymentExampleTest : public ::testing::TestWithParam<const char*> {
 protected:
  Settings LoadFile(const std::string& data_centre, Role role) {
    const std::string path =
        std::string(EXAMPLES) + "/" + GetParam() + "/settings/" + data_centre +
        (role == Role::kEntry ? "-entry.json" : "-side.json");
    const auto settings = Load(path, role);
    EXPECT_TRUE(settings.ok()) << settings.status();
    return settings.ok() ? *settings : Settings{};
  }

  // All processes of an example run on one machine, so each port must be
  // unique.
  void ExpectUnusedPort(const http::Address& address) {
    EXPECT_EQ(address.ip, "127.0.0.1");
    EXPECT_NE(address.port, 0);
    EXPECT_TRUE(ports_.insert(address.port).second) << address.ToString();
  }

  void ExpectLocationAndPorts(const Settings& settings,
                              const std::string& data_centre,
                              const json& site) {
    EXPECT_EQ(settings.data_centre, data_centre);
    EXPECT_EQ(settings.region, site["region"].get<std::string>());
    EXPECT_TRUE(instances_.insert(settings.instance).second);
    fleet_keys_.insert(settings.fleet_key);
    platforms_.insert(settings.platform.ToString());
    ExpectUnusedPort(settings.process);
    ExpectUnusedPort(settings.operator_address);
  }

  std::set<uint16_t> ports_;
  std::set<std::string> instances_;
  std::set<std::string> fleet_keys_;
  std::set<std::string> platforms_;
};

// Guards against example settings that do not load, that cannot be used
// together on one machine, or whose location or upstream the deployment does
// not have.
TEST_P(DeploymentExampleTest, EveryDataCentreHasAnEntryAndASide) {
  const std::string name = GetParam();
  const json site = ReadExample(name + "/site.json");
  const json records = ReadExample(name + "/records.json");
  ASSERT_TRUE(site.is_object() && records.is_array());
  std::set<std::string> upstreams;
  for (const json& record : records) {
    if (record["kind"] == "upstream") {
      upstreams.insert(record["name"]);
    }
  }
  for (const std::string data_centre : site["data_centres"]) {
    const Settings entry = LoadFile(data_centre, Role::kEntry);
    ExpectLocationAndPorts(entry, data_centre, site);
    ExpectUnusedPort(entry.caller);
    const Settings side = LoadFile(data_centre, Role::kSide);
    ExpectLocationAndPorts(side, data_centre, site);
    ExpectUnusedPort(side.upstream_address);
    EXPECT_THAT(side.upstream, StartsWith(data_centre + "-"));
    EXPECT_TRUE(upstreams.contains(side.upstream)) << side.upstream;
  }
  EXPECT_EQ(fleet_keys_.size(), 1U);
  EXPECT_EQ(platforms_.size(), 1U);
  // There are no further files.
  size_t files = 0;
  for (const auto& file : std::filesystem::directory_iterator(
           std::string(EXAMPLES) + "/" + name + "/settings")) {
    files += file.is_regular_file() ? 1 : 0;
  }
  EXPECT_EQ(files, 2 * site["data_centres"].size());
}

INSTANTIATE_TEST_SUITE_P(Deployments,
                         DeploymentExampleTest,
                         ::testing::Values("cascadia", "port-of-spain"));

}  // namespace
}  // namespace jackdawshunt::settings
