#include "jackdawshunt/configuration/store.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <set>

#include "absl/strings/str_cat.h"
#include "jackdawshunt/base/crypto.h"
#include "nlohmann/json.hpp"

namespace jackdawshunt::configuration {
namespace {

using protocol::ConfigRecord;

constexpr std::string_view kPrefix = "config/";
// Valid versions kept per key. A rejected workspace falls back to one of them.
constexpr size_t kMaxValidVersions = 4;
// Invalid values up to this length are sent to peers, so that every process
// reports the same error. A longer one may not fit a frame after escaping.
constexpr size_t kMaxInvalidBytes = size_t{64} * 1024;

std::string FindValidationError(const ConfigRecord& record,
                                const absl::StatusOr<records::Record>& parsed) {
  if (!parsed.ok()) {
    return std::string(parsed.status().message());
  }
  const std::string key = records::KeyOf(*parsed);
  if (key != record.key) {
    return absl::StrCat("/name: \"", parsed->name, "\": must match the key, ",
                        "which for this record is ", key);
  }
  return "";
}

uint64_t HashVersions(std::string_view key, uint64_t newest, uint64_t valid) {
  const std::array<uint64_t, 2> versions = {newest, valid};
  const uint64_t seed = XXH3_64bits(versions.data(), sizeof(versions));
  return XXH3_64bits_withSeed(key.data(), key.size(), seed);
}

}  // namespace

const records::Workspace* Snapshot::FindWorkspaceByToken(
    std::string_view token) const {
  const auto name = workspace_by_token_sha256_.find(base::Sha256Hex(token));
  if (name == workspace_by_token_sha256_.end()) {
    return nullptr;
  }
  const auto found = workspaces.find(name->second);
  return found == workspaces.end() ? nullptr : &found->second;
}

std::vector<std::string> Store::Merge(
    const std::vector<ConfigRecord>& records) {
  std::set<std::string> changed_keys;
  for (const ConfigRecord& record : records) {
    if (MergeRecord(record)) {
      changed_keys.insert(record.key);
    }
  }
  if (!changed_keys.empty()) {
    RebuildAndNotify();
  }
  return {changed_keys.begin(), changed_keys.end()};
}

std::vector<std::string> Store::MergeListing(
    uint64_t revision,
    const std::vector<ConfigRecord>& records) {
  std::set<std::string, std::less<>> listed;
  std::vector<ConfigRecord> merged = records;
  for (const ConfigRecord& record : records) {
    listed.insert(record.key);
  }
  for (const auto& [key, history] : histories_) {
    if (!listed.contains(key) && !history.newest.deleted &&
        history.newest.version <= revision) {
      merged.push_back({.key = key, .version = revision, .deleted = true});
    }
  }
  std::vector<std::string> changed = Merge(merged);
  listed_revision_ = std::max(listed_revision_, revision);
  return changed;
}

bool Store::MergeRecord(const ConfigRecord& record) {
  if (record.version == 0 || !record.key.starts_with(kPrefix)) {
    return false;
  }
  const auto found = histories_.find(record.key);
  if (found != histories_.end()) {
    return Insert(found->second, record);
  }
  ConfigRecord initial = record;
  if (!initial.deleted && initial.version <= listed_revision_) {
    // The platform had no such key at the listed revision, so the sender missed
    // the deletion.
    initial = {.key = record.key, .version = listed_revision_, .deleted = true};
  }
  return Insert(histories_[record.key], std::move(initial));
}

bool Store::Insert(RecordHistory& history, ConfigRecord record) {
  const uint64_t version = record.version;
  const auto position = std::find_if(history.valid.begin(), history.valid.end(),
                                     [version](const ValidVersion& valid) {
                                       return valid.raw.version <= version;
                                     });
  const bool is_known =
      version == history.newest.version ||
      (position != history.valid.end() && position->raw.version == version);
  const bool is_superseded =
      position == history.valid.end() &&
      (history.valid.size() >= kMaxValidVersions ||
       (!history.valid.empty() && history.valid.back().raw.deleted));
  if (is_known || (version < history.newest.version && is_superseded)) {
    return false;
  }
  std::string error;
  ValidVersion valid;
  if (record.deleted) {
    record.value.clear();
  } else {
    auto parsed = records::Parse(record.value);
    error = FindValidationError(record, parsed);
    if (error.empty()) {
      valid.parsed =
          std::make_shared<const records::Record>(std::move(*parsed));
    } else if (record.value.size() > kMaxInvalidBytes ||
               !nlohmann::json::accept(record.value, true)) {
      record.value.clear();
    }
  }
  const bool is_newest = version > history.newest.version;
  if (is_newest) {
    history.newest = record;
    history.error = error;
  }
  if (!error.empty()) {
    return is_newest;
  }
  valid.raw = std::move(record);
  history.valid.insert(position, std::move(valid));
  const auto tombstone =
      std::find_if(history.valid.begin(), history.valid.end(),
                   [](const ValidVersion& v) { return v.raw.deleted; });
  if (tombstone != history.valid.end()) {
    history.valid.erase(tombstone + 1, history.valid.end());
  }
  if (history.valid.size() > kMaxValidVersions) {
    history.valid.resize(kMaxValidVersions);
  }
  return true;
}

void Store::Rebuild() {
  snapshot_ = Snapshot();
  revision_ = 0;
  digest_ = 0;
  std::vector<RecordHistory*> workspaces;
  for (auto& [key, history] : histories_) {
    history.active_version = 0;
    history.conflict.clear();
    const uint64_t valid_version =
        history.valid.empty() ? 0 : history.valid.front().raw.version;
    revision_ = std::max(revision_, history.newest.version);
    digest_ += HashVersions(key, history.newest.version, valid_version);
    if (history.valid.empty()) {
      continue;
    }
    const ValidVersion& valid = history.valid.front();
    if (valid.parsed != nullptr &&
        valid.parsed->kind == records::RecordKind::kWorkspace) {
      workspaces.push_back(&history);
    } else {
      Activate(history, valid);
    }
  }
  ActivateWorkspaces(std::move(workspaces));
}

void Store::Activate(RecordHistory& history, const ValidVersion& valid) {
  history.active_version = valid.raw.version;
  if (valid.parsed == nullptr) {
    return;
  }
  const records::Record& record = *valid.parsed;
  switch (record.kind) {
    case records::RecordKind::kWorkspace:
      snapshot_.workspaces[record.name] =
          std::get<records::Workspace>(record.spec);
      break;
    case records::RecordKind::kModel:
      snapshot_.models[record.name] = std::get<records::Model>(record.spec);
      break;
    case records::RecordKind::kUpstream:
      snapshot_.upstreams[record.name] =
          std::get<records::Upstream>(record.spec);
      break;
    case records::RecordKind::kPolicy:
      snapshot_.policy = std::get<records::Policy>(record.spec);
      break;
  }
}

std::string Store::FindTokenConflict(
    const records::Workspace& workspace) const {
  for (const std::string& token : workspace.token_sha256) {
    const auto owner = snapshot_.workspace_by_token_sha256_.find(token);
    if (owner != snapshot_.workspace_by_token_sha256_.end()) {
      return absl::StrCat("/spec/token_sha256: \"", token,
                          "\": is a token of workspace \"", owner->second,
                          "\", whose record is older");
    }
  }
  return "";
}

bool Store::TryAssignTokens(const records::Workspace& workspace) {
  if (!FindTokenConflict(workspace).empty()) {
    return false;
  }
  for (const std::string& token : workspace.token_sha256) {
    snapshot_.workspace_by_token_sha256_[token] = workspace.name;
  }
  return true;
}

void Store::ActivateWorkspaces(std::vector<RecordHistory*> workspaces) {
  std::sort(workspaces.begin(), workspaces.end(),
            [](const RecordHistory* a, const RecordHistory* b) {
              return a->valid.front().raw.version <
                     b->valid.front().raw.version;
            });
  std::vector<RecordHistory*> rejected;
  for (RecordHistory* history : workspaces) {
    const ValidVersion& valid = history->valid.front();
    const auto& workspace = std::get<records::Workspace>(valid.parsed->spec);
    history->conflict = FindTokenConflict(workspace);
    if (TryAssignTokens(workspace)) {
      Activate(*history, valid);
    } else {
      rejected.push_back(history);
    }
  }
  // Fallback versions are activated last, so that they never displace a newest
  // valid version.
  for (RecordHistory* history : rejected) {
    const auto fallback = std::find_if(
        history->valid.begin() + 1, history->valid.end(),
        [this](const ValidVersion& v) {
          return v.parsed == nullptr ||
                 TryAssignTokens(std::get<records::Workspace>(v.parsed->spec));
        });
    if (fallback != history->valid.end()) {
      Activate(*history, *fallback);
    }
  }
}

void Store::RebuildAndNotify() {
  Rebuild();
  // Copied, because an observer may add further observers.
  const auto observers = observers_;
  for (const auto& observer : observers) {
    observer();
  }
}

std::vector<std::pair<std::string, uint64_t>> Store::Versions() const {
  std::vector<std::pair<std::string, uint64_t>> versions;
  versions.reserve(histories_.size());
  for (const auto& [key, history] : histories_) {
    versions.emplace_back(
        key, history.valid.empty() ? 0 : history.valid.front().raw.version);
  }
  return versions;
}

std::vector<ConfigRecord> Store::NewerThan(
    const std::vector<std::pair<std::string, uint64_t>>& known) const {
  const std::map<std::string_view, uint64_t> known_versions(known.begin(),
                                                            known.end());
  std::vector<ConfigRecord> newer;
  for (const auto& [key, history] : histories_) {
    const auto found = known_versions.find(key);
    const uint64_t version = found == known_versions.end() ? 0 : found->second;
    // Older versions come first. The peer needs them only while the newest is
    // rejected.
    for (auto valid = history.valid.rbegin(); valid != history.valid.rend();
         ++valid) {
      const bool is_active_or_newer =
          valid->raw.version >= history.active_version;
      if (is_active_or_newer && valid->raw.version > version &&
          valid->raw.version != history.newest.version) {
        newer.push_back(valid->raw);
      }
    }
    if (history.newest.version > version) {
      newer.push_back(history.newest);
    }
  }
  return newer;
}

std::vector<RejectedRecord> Store::rejected() const {
  std::vector<RejectedRecord> rejected_records;
  for (const auto& [key, history] : histories_) {
    const std::string& error =
        history.error.empty() ? history.conflict : history.error;
    if (!error.empty()) {
      rejected_records.push_back({.key = key,
                                  .version = history.newest.version,
                                  .active_version = history.active_version,
                                  .error = error});
    }
  }
  return rejected_records;
}

void Store::AddChangeObserver(std::function<void()> callback) {
  observers_.push_back(std::move(callback));
}

}  // namespace jackdawshunt::configuration
