#include "jackdawshunt/records/records.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <fstream>
#include <set>
#include <string>
#include <variant>

#include "nlohmann/json.hpp"

namespace jackdawshunt::records {
namespace {

using nlohmann::json;
using ::testing::ElementsAre;
using ::testing::HasSubstr;
using ::testing::StartsWith;

const std::string kToken(64, 'a');

json MakeWorkspaceV1() {
  return {{"kind", "workspace"},
          {"schema", 1},
          {"name", "lodge"},
          {"spec",
           {{"share", 2}, {"token_sha256", kToken}, {"models", {"quill"}}}}};
}

json MakeUpstream() {
  return {
      {"kind", "upstream"},
      {"schema", 1},
      {"name", "quill-1"},
      {"spec", {{"driver", "engine"}, {"models", {"quill"}}, {"slots", 4}}}};
}

// Guards against a migration from schema 1 to 2 that changes a workspace.
TEST(RecordsTest, BothWorkspaceSchemasParseToTheSameWorkspace) {
  json v2 = MakeWorkspaceV1();
  v2["schema"] = 2;
  v2["spec"]["token_sha256"] = {std::string(64, 'A')};
  v2["spec"]["models"] = {{"quill", json::array()}};
  const auto first = Parse(MakeWorkspaceV1().dump());
  const auto second = Parse(v2.dump());
  ASSERT_TRUE(first.ok() && second.ok()) << second.status();
  const auto& a = std::get<Workspace>(first->spec);
  const auto& b = std::get<Workspace>(second->spec);
  EXPECT_EQ(a.name, b.name);
  EXPECT_EQ(a.share, b.share);
  EXPECT_EQ(a.token_sha256, b.token_sha256);
  EXPECT_EQ(a.models, b.models);
  EXPECT_EQ(KeyOf(*first), "config/workspace/lodge");
}

// Guards against a parser that stops at the first validation error.
TEST(RecordsTest, ReportsEveryErrorWithPointerAndValue) {
  json record = MakeWorkspaceV1();
  record["spec"]["share"] = 0;
  record["spec"]["models"] = {"quill", "no spaces"};
  record["spec"]["colour/tint"] = "red";
  record["extra"] = 1;
  EXPECT_THAT(
      ValidationErrors(record.dump()),
      ElementsAre(StartsWith("/extra: 1: unknown field"),
                  "/spec/share: 0: must be a number from 0.001 to 1e+06",
                  StartsWith("/spec/models/1: \"no spaces\": must be"),
                  StartsWith("/spec/colour~1tint: \"red\": unknown field")));
}

struct ErrorCase {
  const char* patch;  // JSON merge patch onto a valid upstream.
  const char* error;
};

class UpstreamErrorTest : public ::testing::TestWithParam<ErrorCase> {};

// Guards against a field whose type or range is not validated.
TEST_P(UpstreamErrorTest, IsReported) {
  json record = MakeUpstream();
  record.merge_patch(json::parse(GetParam().patch));
  EXPECT_THAT(ValidationErrors(record.dump()),
              ElementsAre(StartsWith(GetParam().error)));
}

INSTANTIATE_TEST_SUITE_P(
    Fields,
    UpstreamErrorTest,
    ::testing::Values(
        ErrorCase{R"({"kind": "router"})", "/kind: \"router\": must be one of"},
        ErrorCase{R"({"schema": 2})", "/schema: 2: must be an integer from 1"},
        ErrorCase{R"({"schema": "1"})", "/schema: \"1\": must be an integer"},
        ErrorCase{R"({"name": "-x"})", "/name: \"-x\": must be 1 to 64"},
        ErrorCase{R"({"name": null})", "/name: missing: must be"},
        ErrorCase{R"({"spec": 7})", "/spec: 7: must be an object"},
        ErrorCase{R"({"spec": {"driver": "x"}})", "/spec/driver: \"x\""},
        ErrorCase{R"({"spec": {"models": []}})", "/spec/models: []: must be"},
        ErrorCase{R"({"spec": {"models": ["a", "a"]}})",
                  "/spec/models/1: \"a\": must not occur twice"},
        ErrorCase{R"({"spec": {"slots": 4097}})", "/spec/slots: 4097"},
        ErrorCase{R"({"spec": {"slots": 18446744073709551615}})",
                  "/spec/slots: 18446744073709551615"},
        ErrorCase{R"({"spec": {"slots": 2.5}})", "/spec/slots: 2.5"},
        // Long requests would never be executed.
        ErrorCase{R"({"spec": {"short_slots": 4}})", "/spec/short_slots: 4"},
        ErrorCase{R"({"spec": {"state": "gone"}})", "/spec/state: \"gone\""},
        ErrorCase{R"({"spec": {"checks_fencing": 1}})",
                  "/spec/checks_fencing: 1: must be true or false"}));

// Guards against a duplicated field that hides the other value.
TEST(RecordsTest, RejectsTextsOtherThanASingleJsonObject) {
  EXPECT_THAT(ValidationErrors(R"({"kind": "model", "kind": "policy"})"),
              ElementsAre(": \"kind\": must not occur twice"));
  EXPECT_THAT(ValidationErrors("{"), ElementsAre(HasSubstr("must be JSON")));
  EXPECT_THAT(ValidationErrors("[]"), ElementsAre(": []: must be an object"));
  EXPECT_THAT(ValidationErrors(""), ElementsAre(HasSubstr("must be JSON")));
  EXPECT_THAT(ValidationErrors(std::string(kMaxRecordBytes + 1, ' ')),
              ElementsAre(HasSubstr("must be at most")));
}

// Guards against one stored record that exhausts the stack of every process
// that reads it.
TEST(RecordsTest, DeeplyNestedRecordOverflowsTheStack) {
  constexpr size_t kDepth = 100'000;
  const std::string text = R"({"kind":"model","name":)" +
                           std::string(kDepth, '[') + std::string(kDepth, ']') +
                           "}";
  EXPECT_THAT(ValidationErrors(text),
              ElementsAre(HasSubstr("must not nest deeper")));
  EXPECT_FALSE(Parse(text).ok());
}

// Guards against a short prefix that matches before a longer one.
TEST(RecordsTest, SortsRoutesByDescendingPrefixLength) {
  const auto record = Parse(R"({"kind": "model", "schema": 1, "name": "desk",
      "spec": {"routes": [
        {"method": "GET", "path_prefix": "/"},
        {"method": "GET", "path_prefix": "/jobs", "repeatable": true}]}})");
  ASSERT_TRUE(record.ok()) << record.status();
  const auto& model = std::get<Model>(record->spec);
  EXPECT_TRUE(model.is_service);
  EXPECT_EQ(model.routes.front().path_prefix, "/jobs");
  EXPECT_TRUE(model.routes.front().repeatable);
  EXPECT_FALSE(model.routes.back().repeatable);
}

TEST(RecordsTest, ReportsModelAndPolicyErrors) {
  EXPECT_THAT(
      ValidationErrors(R"({"kind": "model", "schema": 1, "name": "quill",
      "spec": {"versions": ["1"], "default_version": "2"}})"),
      ElementsAre("/spec/default_version: \"2\": must be one of the "
                  "versions"));
  EXPECT_THAT(
      ValidationErrors(R"({"kind": "model", "schema": 1, "name": "quill",
      "spec": {"versions": ["1"],
               "routes": [{"method": "FETCH", "path_prefix": "x"}]}})"),
      ElementsAre(StartsWith("/spec/routes/0/method: \"FETCH\""),
                  StartsWith("/spec/routes/0/path_prefix: \"x\""),
                  StartsWith("/spec/versions: [\"1\"]: unknown")));
  EXPECT_THAT(
      ValidationErrors(R"({"kind": "policy", "schema": 1, "name": "other",
      "spec": {"max_attempts": 0}})"),
      ElementsAre("/name: \"other\": must be \"fleet\" for a policy",
                  StartsWith("/spec/max_attempts: 0: must be")));
}

json ReadExample(const std::string& path) {
  std::ifstream file(std::string(EXAMPLES) + "/" + path);
  return json::parse(file, nullptr, /*allow_exceptions=*/false,
                     /*ignore_comments=*/true);
}

// Guards against a reference example whose defaults differ from the code.
TEST(RecordsExampleTest, ReferencePolicyListsEveryDefault) {
  const json example = ReadExample("reference/policy.json");
  const auto shown = Parse(example.dump());
  const auto empty = Parse(R"({"kind": "policy", "schema": 1, "name": "fleet",
      "spec": {}})");
  ASSERT_TRUE(shown.ok()) << shown.status();
  ASSERT_TRUE(empty.ok()) << empty.status();
  const auto& a = std::get<Policy>(shown->spec);
  const auto& b = std::get<Policy>(empty->spec);
  EXPECT_EQ(a.input_weight, b.input_weight);
  EXPECT_EQ(a.output_weight, b.output_weight);
  EXPECT_EQ(a.short_tokens, b.short_tokens);
  EXPECT_EQ(a.default_max_tokens, b.default_max_tokens);
  EXPECT_EQ(a.max_waiting, b.max_waiting);
  EXPECT_EQ(a.max_wait_ms, b.max_wait_ms);
  EXPECT_EQ(a.max_attempts, b.max_attempts);
  EXPECT_EQ(a.bid_fanout, b.bid_fanout);
  EXPECT_EQ(a.exchange_period_ms, b.exchange_period_ms);
  EXPECT_EQ(a.exchange, b.exchange);
  EXPECT_EQ(a.placement, b.placement);
  EXPECT_EQ(a.progress_limit_ms, b.progress_limit_ms);
  // A field added to the policy must be added to the example, too.
  EXPECT_EQ(example["spec"].size(), 12U);
}

class DeploymentRecordsTest : public ::testing::TestWithParam<const char*> {};

// Guards against deployment records that the parser no longer accepts, and
// against upstreams and workspaces that reference a model without a record.
TEST_P(DeploymentRecordsTest, AreValidAndReferenceExistingModels) {
  const json records = ReadExample(std::string(GetParam()) + "/records.json");
  ASSERT_TRUE(records.is_array());
  std::set<std::string> models;
  std::set<std::string> referenced;
  for (const json& text : records) {
    const auto record = Parse(text.dump());
    ASSERT_TRUE(record.ok()) << text << "\n" << record.status();
    if (const auto* model = std::get_if<Model>(&record->spec)) {
      models.insert(model->name);
    } else if (const auto* upstream = std::get_if<Upstream>(&record->spec)) {
      referenced.insert(upstream->models.begin(), upstream->models.end());
    } else if (const auto* workspace = std::get_if<Workspace>(&record->spec)) {
      for (const auto& [name, versions] : workspace->models) {
        referenced.insert(name);
      }
    }
  }
  EXPECT_FALSE(models.empty());
  EXPECT_EQ(referenced, models);
}

INSTANTIATE_TEST_SUITE_P(Deployments,
                         DeploymentRecordsTest,
                         ::testing::Values("cascadia", "port-of-spain"));

}  // namespace
}  // namespace jackdawshunt::records
