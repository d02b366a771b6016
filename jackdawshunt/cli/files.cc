#include "jackdawshunt/cli/files.h"

#include <fstream>
#include <iterator>
#include <map>
#include <set>
#include <string_view>
#include <utility>

#include "absl/strings/str_cat.h"
#include "jackdawshunt/records/fields.h"
#include "jackdawshunt/settings/settings.h"
#include "nlohmann/json.hpp"

namespace jackdawshunt::cli {
namespace {

using Json = nlohmann::json;

// Adds an error and returns nullopt when the file cannot be read or parsed.
std::optional<Json> ReadJsonFile(const std::string& path,
                                 std::string& text,
                                 std::vector<std::string>& errors) {
  std::ifstream file(path, std::ios::binary);
  text.assign(std::istreambuf_iterator<char>(file),
              std::istreambuf_iterator<char>());
  if (!file) {
    errors.push_back(absl::StrCat(path, ": cannot be read"));
    return std::nullopt;
  }
  std::vector<std::string> parse_errors;
  auto json = records::ParseJson(text, parse_errors);
  for (const std::string& error : parse_errors) {
    errors.push_back(absl::StrCat(path, ": ", error));
  }
  return json;
}

void ReadRecord(const std::string& path,
                const std::string& pointer,
                const Json& json,
                std::vector<RecordText>& texts,
                std::vector<std::string>& errors) {
  std::string value = json.dump();
  const std::vector<std::string> record_errors =
      records::ValidationErrors(value);
  for (const std::string& error : record_errors) {
    errors.push_back(absl::StrCat(path, ": ", pointer, error));
  }
  if (!record_errors.empty()) {
    return;
  }
  auto record = records::Parse(value);
  if (record.ok()) {
    texts.push_back({.key = records::KeyOf(*record),
                     .value = std::move(value),
                     .record = *std::move(record)});
  }
}

std::vector<RecordText> ReadRecords(const std::string& path,
                                    const Json& json,
                                    std::vector<std::string>& errors) {
  std::vector<RecordText> texts;
  if (!json.is_array()) {
    ReadRecord(path, "", json, texts, errors);
    return texts;
  }
  std::set<std::string> keys;
  for (size_t i = 0; i < json.size(); ++i) {
    const std::string pointer = absl::StrCat("/", i);
    const size_t before = texts.size();
    ReadRecord(path, pointer, json[i], texts, errors);
    if (texts.size() > before && !keys.insert(texts.back().key).second) {
      errors.push_back(absl::StrCat(path, ": ", pointer, ": ", texts.back().key,
                                    ": must not occur twice"));
    }
  }
  return texts;
}

bool IsRecord(const Json& json) {
  return json.is_array() || (json.is_object() && json.contains("kind"));
}

protocol::Role RoleOf(const Json& json) {
  const bool is_side = json.is_object() && (json.contains("upstream") ||
                                            json.contains("upstream_address"));
  return is_side ? protocol::Role::kSide : protocol::Role::kEntry;
}

}  // namespace

std::vector<RecordText> ReadRecordFile(const std::string& path,
                                       std::vector<std::string>& errors) {
  std::string text;
  const auto json = ReadJsonFile(path, text, errors);
  return json.has_value() ? ReadRecords(path, *json, errors)
                          : std::vector<RecordText>();
}

std::vector<std::string> CheckFile(const std::string& path,
                                   std::optional<protocol::Role> role) {
  std::vector<std::string> errors;
  std::string text;
  const auto json = ReadJsonFile(path, text, errors);
  if (!json.has_value()) {
    return errors;
  }
  if (!IsRecord(*json)) {
    return settings::ValidationErrors(path, text, role.value_or(RoleOf(*json)));
  }
  ReadRecords(path, *json, errors);
  return errors;
}

std::vector<std::string> TokenConflicts(
    const std::vector<records::Workspace>& workspaces) {
  std::vector<std::string> errors;
  std::map<std::string_view, std::string_view> owners;
  for (const records::Workspace& workspace : workspaces) {
    for (const std::string& token : workspace.token_sha256) {
      const auto [owner, is_new] = owners.emplace(token, workspace.name);
      if (!is_new && owner->second != workspace.name) {
        errors.push_back(absl::StrCat("config/workspace/", workspace.name,
                                      ": /spec/token_sha256: \"", token,
                                      "\": is a token of workspace \"",
                                      std::string(owner->second), "\""));
      }
    }
  }
  return errors;
}

}  // namespace jackdawshunt::cli
