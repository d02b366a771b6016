#include "jackdawshunt/records/records.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "jackdawshunt/records/fields.h"
#include "nlohmann/json.hpp"

namespace jackdawshunt::records {
namespace {

using Json = nlohmann::json;
using ErrorList = std::vector<std::string>;

constexpr size_t kMaxTokens = 64;
constexpr size_t kMaxModels = 1024;
constexpr size_t kMaxVersions = 256;
constexpr size_t kMaxRoutes = 1024;

constexpr std::array<std::string_view, 4> kKindNames = {"workspace", "model",
                                                        "upstream", "policy"};

bool IsPathPrefix(std::string_view text) {
  constexpr size_t kMaxPathBytes = 1024;
  return text.starts_with('/') && text.size() <= kMaxPathBytes &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return c > ' ' && c < '\x7f' && c != '?' && c != '#';
         });
}

const TextRule kPathRule = {
    IsPathPrefix,
    "must be a path of at most 1024 bytes that starts with '/', without query"};

void ConvertTokensToLowerCase(std::vector<std::string>& tokens) {
  // Hexadecimal digits of a hash may be written in either case.
  for (std::string& token : tokens) {
    token = absl::AsciiStrToLower(token);
  }
}

void ReadWorkspaceV1(FieldReader& reader, Workspace& workspace) {
  std::string token;
  reader.Text("token_sha256", Presence::kRequired, kSha256Rule, token);
  workspace.token_sha256 = {token};
  std::vector<std::string> models;
  reader.Texts("models", Presence::kRequired, kNameRule, 0, kMaxModels, models);
  for (const std::string& model : models) {
    workspace.models[model] = {};
  }
}

void ReadWorkspaceV2(FieldReader& reader,
                     Workspace& workspace,
                     ErrorList& errors) {
  reader.Texts("token_sha256", Presence::kRequired, kSha256Rule, 1, kMaxTokens,
               workspace.token_sha256);
  const Json* models = reader.Object("models", Presence::kRequired);
  if (models == nullptr) {
    return;
  }
  FieldReader versions(*models, "/spec/models", errors);
  for (const auto& [model, value] : models->items()) {
    if (!kNameRule.is_allowed(model)) {
      versions.Reject(model, absl::StrCat("the name of the field ",
                                          std::string(kNameRule.requirement)));
    }
    versions.Texts(model, Presence::kRequired, kNameRule, 0, kMaxVersions,
                   workspace.models[model]);
  }
}

Workspace ReadWorkspace(FieldReader& reader,
                        int32_t schema,
                        ErrorList& errors) {
  // Far outside this range, normalised service loses precision.
  constexpr double kMinShare = 0.001;
  constexpr double kMaxShare = 1'000'000;
  Workspace workspace;
  reader.Number("share", Presence::kRequired, kMinShare, kMaxShare,
                workspace.share);
  if (schema == 1) {
    ReadWorkspaceV1(reader, workspace);
  } else {
    ReadWorkspaceV2(reader, workspace, errors);
  }
  ConvertTokensToLowerCase(workspace.token_sha256);
  return workspace;
}

void ReadRoutes(const Json& routes, Model& model, ErrorList& errors) {
  constexpr std::array<std::string_view, 6> kMethods = {
      "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"};
  for (size_t i = 0; i < routes.size(); ++i) {
    const std::string pointer = absl::StrCat("/spec/routes/", i);
    FieldReader reader(routes[i], pointer, errors);
    Model::Route route;
    reader.Choice("method", Presence::kRequired, kMethods, route.method);
    reader.Text("path_prefix", Presence::kRequired, kPathRule,
                route.path_prefix);
    reader.Flag("repeatable", Presence::kOptional, route.repeatable);
    reader.Finish();
    const bool is_duplicate =
        !route.method.empty() && !route.path_prefix.empty() &&
        std::any_of(model.routes.begin(), model.routes.end(),
                    [&](const Model::Route& other) {
                      return other.method == route.method &&
                             other.path_prefix == route.path_prefix;
                    });
    if (is_duplicate) {
      errors.push_back(MakeValidationError(
          pointer, routes[i], "must not repeat a method and path_prefix"));
    }
    model.routes.push_back(std::move(route));
  }
  std::stable_sort(model.routes.begin(), model.routes.end(),
                   [](const Model::Route& a, const Model::Route& b) {
                     return a.path_prefix.size() > b.path_prefix.size();
                   });
}

Model ReadModel(FieldReader& reader, int32_t, ErrorList& errors) {
  Model model;
  model.is_service = reader.Has("routes");
  if (model.is_service) {
    const Json* routes =
        reader.Array("routes", Presence::kRequired, 1, kMaxRoutes);
    if (routes != nullptr) {
      ReadRoutes(*routes, model, errors);
    }
    return model;
  }
  reader.Texts("versions", Presence::kRequired, kNameRule, 1, kMaxVersions,
               model.versions);
  reader.Text("default_version", Presence::kOptional, kNameRule,
              model.default_version);
  if (model.versions.empty()) {
    return model;
  }
  if (model.default_version.empty()) {
    model.default_version = model.versions.front();
  } else if (std::find(model.versions.begin(), model.versions.end(),
                       model.default_version) == model.versions.end()) {
    reader.Reject("default_version", "must be one of the versions");
  }
  return model;
}

Upstream ReadUpstream(FieldReader& reader, int32_t, ErrorList&) {
  constexpr int32_t kMaxSlots = 4096;
  constexpr std::array<std::string_view, 2> kDrivers = {"engine", "service"};
  constexpr std::array<std::string_view, 2> kStates = {"active", "leaving"};
  Upstream upstream;
  reader.Choice("driver", Presence::kRequired, kDrivers, upstream.driver);
  reader.Texts("models", Presence::kRequired, kNameRule, 1, kMaxModels,
               upstream.models);
  reader.Integer("slots", Presence::kRequired, 1, kMaxSlots, upstream.slots);
  // At least one slot must accept long requests, or they would never be
  // executed.
  reader.Integer("short_slots", Presence::kOptional, 0, upstream.slots - 1,
                 upstream.short_slots);
  std::string state = "active";
  reader.Choice("state", Presence::kOptional, kStates, state);
  upstream.state =
      state == "active" ? UpstreamState::kActive : UpstreamState::kLeaving;
  reader.Flag("checks_fencing", Presence::kOptional, upstream.checks_fencing);
  return upstream;
}

struct PolicyInteger {
  std::string_view name;
  std::variant<int32_t Policy::*, int64_t Policy::*> member;
  int64_t min;
  int64_t max;
};

constexpr int64_t kMaxPolicyTokens = 1'000'000;
constexpr int64_t kHourMs = 3'600'000;

constexpr std::array kPolicyIntegers = {
    PolicyInteger{"short_tokens", &Policy::short_tokens, 1, kMaxPolicyTokens},
    PolicyInteger{"default_max_tokens", &Policy::default_max_tokens, 1,
                  kMaxPolicyTokens},
    PolicyInteger{"max_waiting", &Policy::max_waiting, 1, 100'000},
    PolicyInteger{"max_wait_ms", &Policy::max_wait_ms, 1, kHourMs},
    PolicyInteger{"max_attempts", &Policy::max_attempts, 1, 16},
    PolicyInteger{"bid_fanout", &Policy::bid_fanout, 1, 4096},
    PolicyInteger{"exchange_period_ms", &Policy::exchange_period_ms, 10,
                  60'000},
    PolicyInteger{"progress_limit_ms", &Policy::progress_limit_ms, 100,
                  kHourMs},
};

Policy ReadPolicy(FieldReader& reader, int32_t, ErrorList&) {
  constexpr double kMaxWeight = 1000;
  constexpr std::array<std::string_view, 3> kExchanges = {"none", "mesh",
                                                          "tree"};
  constexpr std::array<std::string_view, 3> kPlacements = {
      "late_binding", "least_loaded", "round_robin"};
  Policy policy;
  reader.Number("input_weight", Presence::kOptional, 0, kMaxWeight,
                policy.input_weight);
  // With an output weight of zero, long replies would cost nothing.
  reader.Number("output_weight", Presence::kOptional, 0.001, kMaxWeight,
                policy.output_weight);
  for (const PolicyInteger& field : kPolicyIntegers) {
    std::visit(
        [&](auto member) {
          reader.Integer(field.name, Presence::kOptional, field.min, field.max,
                         policy.*member);
        },
        field.member);
  }
  reader.Choice("exchange", Presence::kOptional, kExchanges, policy.exchange);
  reader.Choice("placement", Presence::kOptional, kPlacements,
                policy.placement);
  return policy;
}

using Spec = std::variant<Workspace, Model, Upstream, Policy>;

template <auto read>
Spec ReadSpec(FieldReader& reader,
              int32_t schema,
              const std::string& name,
              ErrorList& errors) {
  auto spec = read(reader, schema, errors);
  if constexpr (requires { spec.name; }) {
    spec.name = name;
  }
  return spec;
}

struct KindInfo {
  RecordKind kind;
  int32_t max_schema;
  Spec (*read)(FieldReader&, int32_t, const std::string&, ErrorList&);
};

constexpr std::array kKinds = {
    KindInfo{RecordKind::kWorkspace, 2, ReadSpec<ReadWorkspace>},
    KindInfo{RecordKind::kModel, 1, ReadSpec<ReadModel>},
    KindInfo{RecordKind::kUpstream, 1, ReadSpec<ReadUpstream>},
    KindInfo{RecordKind::kPolicy, 1, ReadSpec<ReadPolicy>},
};

Record ReadRecord(const Json& json, ErrorList& errors) {
  Record record;
  FieldReader reader(json, "", errors);
  std::string kind_name;
  reader.Choice("kind", Presence::kRequired, kKindNames, kind_name);
  const auto kind = ParseRecordKind(kind_name);
  const KindInfo& kind_info =
      kKinds.at(static_cast<size_t>(kind.value_or(RecordKind::kWorkspace)));
  const size_t error_count = errors.size();
  reader.Integer("schema", Presence::kRequired, 1, kind_info.max_schema,
                 record.schema);
  const bool is_schema_known = errors.size() == error_count;
  reader.Text("name", Presence::kRequired, kNameRule, record.name);
  const Json* spec = reader.Object("spec", Presence::kRequired);
  reader.Finish();
  // If the kind or the schema is unknown, every field of the spec would give an
  // error.
  if (!kind.has_value() || !is_schema_known || spec == nullptr) {
    return record;
  }
  record.kind = *kind;
  if (record.kind == RecordKind::kPolicy && !record.name.empty() &&
      record.name != "fleet") {
    reader.Reject("name", "must be \"fleet\" for a policy");
  }
  FieldReader spec_reader(*spec, "/spec", errors);
  record.spec = kind_info.read(spec_reader, record.schema, record.name, errors);
  spec_reader.Finish();
  return record;
}

Record ReadText(std::string_view text, ErrorList& errors) {
  if (text.size() > kMaxRecordBytes) {
    errors.push_back(absl::StrCat(": ", text.size(), " bytes: must be at most ",
                                  kMaxRecordBytes, " bytes"));
    return {};
  }
  const std::optional<Json> json = ParseJson(text, errors);
  return json.has_value() ? ReadRecord(*json, errors) : Record{};
}

}  // namespace

std::string_view RecordKindName(RecordKind kind) {
  return kKindNames.at(static_cast<size_t>(kind));
}

std::optional<RecordKind> ParseRecordKind(std::string_view name) {
  const auto* found = std::find(kKindNames.begin(), kKindNames.end(), name);
  if (found == kKindNames.end()) {
    return std::nullopt;
  }
  return static_cast<RecordKind>(found - kKindNames.begin());
}

std::vector<std::string> ValidationErrors(std::string_view json_text) {
  ErrorList errors;
  ReadText(json_text, errors);
  return errors;
}

absl::StatusOr<Record> Parse(std::string_view json_text) {
  ErrorList errors;
  Record record = ReadText(json_text, errors);
  if (!errors.empty()) {
    return absl::InvalidArgumentError(absl::StrJoin(errors, "\n"));
  }
  return record;
}

std::string KeyOf(const Record& record) {
  return absl::StrCat("config/", std::string(RecordKindName(record.kind)), "/",
                      record.name);
}

}  // namespace jackdawshunt::records
