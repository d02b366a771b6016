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
// Valid versions kept per key: the versions that a rejected workspace can fall
// back to.
constexpr size_t kHistory = 4;
// Invalid values are passed on so that every process reports the same fault,
// but a longer one may not fit a frame when it is escaped.
constexpr size_t kMaxInvalidBytes = size_t{64} * 1024;

std::string FaultOf(const ConfigRecord& record,
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

uint64_t HashOf(std::string_view key, uint64_t newest, uint64_t valid) {
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
  std::set<std::string> touched;
  for (const ConfigRecord& record : records) {
    if (MergeOne(record)) {
      touched.insert(record.key);
    }
  }
  if (!touched.empty()) {
    Changed();
  }
  return {touched.begin(), touched.end()};
}

std::vector<std::string> Store::MergeListing(
    uint64_t revision,
    const std::vector<ConfigRecord>& records) {
  std::set<std::string, std::less<>> listed;
  std::vector<ConfigRecord> merged = records;
  for (const ConfigRecord& record : records) {
    listed.insert(record.key);
  }
  for (const auto& [key, held] : held_) {
    if (!listed.contains(key) && !held.newest.deleted &&
        held.newest.version <= revision) {
      merged.push_back({.key = key, .version = revision, .deleted = true});
    }
  }
  std::vector<std::string> changed = Merge(merged);
  listed_revision_ = std::max(listed_revision_, revision);
  return changed;
}

bool Store::MergeOne(const ConfigRecord& record) {
  if (record.version == 0 || !record.key.starts_with(kPrefix)) {
    return false;
  }
  const auto found = held_.find(record.key);
  if (found != held_.end()) {
    return Insert(found->second, record);
  }
  ConfigRecord first = record;
  if (!first.deleted && first.version <= listed_revision_) {
    // The platform had no such key at that revision, so the sender missed its
    // deletion.
    first = {.key = record.key, .version = listed_revision_, .deleted = true};
  }
  return Insert(held_[record.key], std::move(first));
}

bool Store::Insert(Held& held, ConfigRecord record) {
  const uint64_t version = record.version;
  const auto position = std::find_if(
      held.valid.begin(), held.valid.end(),
      [version](const Valid& valid) { return valid.raw.version <= version; });
  const bool is_known =
      version == held.newest.version ||
      (position != held.valid.end() && position->raw.version == version);
  const bool is_superseded =
      position == held.valid.end() &&
      (held.valid.size() >= kHistory ||
       (!held.valid.empty() && held.valid.back().raw.deleted));
  if (is_known || (version < held.newest.version && is_superseded)) {
    return false;
  }
  std::string fault;
  Valid valid;
  if (record.deleted) {
    record.value.clear();
  } else {
    auto parsed = records::Parse(record.value);
    fault = FaultOf(record, parsed);
    if (fault.empty()) {
      valid.parsed =
          std::make_shared<const records::Record>(std::move(*parsed));
    } else if (record.value.size() > kMaxInvalidBytes ||
               !nlohmann::json::accept(record.value, true)) {
      record.value.clear();
    }
  }
  const bool is_newest = version > held.newest.version;
  if (is_newest) {
    held.newest = record;
    held.fault = fault;
  }
  if (!fault.empty()) {
    return is_newest;
  }
  valid.raw = std::move(record);
  held.valid.insert(position, std::move(valid));
  const auto tombstone =
      std::find_if(held.valid.begin(), held.valid.end(),
                   [](const Valid& v) { return v.raw.deleted; });
  if (tombstone != held.valid.end()) {
    held.valid.erase(tombstone + 1, held.valid.end());
  }
  if (held.valid.size() > kHistory) {
    held.valid.resize(kHistory);
  }
  return true;
}

void Store::Rebuild() {
  snapshot_ = Snapshot();
  revision_ = 0;
  digest_ = 0;
  std::vector<Held*> workspaces;
  for (auto& [key, held] : held_) {
    held.version_in_force = 0;
    held.conflict.clear();
    const uint64_t valid_version =
        held.valid.empty() ? 0 : held.valid.front().raw.version;
    revision_ = std::max(revision_, held.newest.version);
    digest_ += HashOf(key, held.newest.version, valid_version);
    if (held.valid.empty()) {
      continue;
    }
    const Valid& valid = held.valid.front();
    if (valid.parsed != nullptr &&
        valid.parsed->kind == records::RecordKind::kWorkspace) {
      workspaces.push_back(&held);
    } else {
      PutInForce(held, valid);
    }
  }
  ResolveWorkspaces(std::move(workspaces));
}

void Store::PutInForce(Held& held, const Valid& valid) {
  held.version_in_force = valid.raw.version;
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

std::string Store::ConflictOf(const records::Workspace& workspace) const {
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

bool Store::ClaimTokens(const records::Workspace& workspace) {
  if (!ConflictOf(workspace).empty()) {
    return false;
  }
  for (const std::string& token : workspace.token_sha256) {
    snapshot_.workspace_by_token_sha256_[token] = workspace.name;
  }
  return true;
}

void Store::ResolveWorkspaces(std::vector<Held*> workspaces) {
  std::sort(
      workspaces.begin(), workspaces.end(), [](const Held* a, const Held* b) {
        return a->valid.front().raw.version < b->valid.front().raw.version;
      });
  std::vector<Held*> rejected;
  for (Held* held : workspaces) {
    const Valid& valid = held->valid.front();
    const auto& workspace = std::get<records::Workspace>(valid.parsed->spec);
    held->conflict = ConflictOf(workspace);
    if (ClaimTokens(workspace)) {
      PutInForce(*held, valid);
    } else {
      rejected.push_back(held);
    }
  }
  // Fallbacks come last, so that an old version never displaces a new one.
  for (Held* held : rejected) {
    const auto fallback = std::find_if(
        held->valid.begin() + 1, held->valid.end(), [this](const Valid& v) {
          return v.parsed == nullptr ||
                 ClaimTokens(std::get<records::Workspace>(v.parsed->spec));
        });
    if (fallback != held->valid.end()) {
      PutInForce(*held, *fallback);
    }
  }
}

void Store::Changed() {
  Rebuild();
  // A callback may add further callbacks.
  const auto callbacks = callbacks_;
  for (const auto& callback : callbacks) {
    callback();
  }
}

std::vector<std::pair<std::string, uint64_t>> Store::Versions() const {
  std::vector<std::pair<std::string, uint64_t>> versions;
  versions.reserve(held_.size());
  for (const auto& [key, held] : held_) {
    versions.emplace_back(
        key, held.valid.empty() ? 0 : held.valid.front().raw.version);
  }
  return versions;
}

std::vector<ConfigRecord> Store::NewerThan(
    const std::vector<std::pair<std::string, uint64_t>>& known) const {
  const std::map<std::string_view, uint64_t> known_versions(known.begin(),
                                                            known.end());
  std::vector<ConfigRecord> newer;
  for (const auto& [key, held] : held_) {
    const auto found = known_versions.find(key);
    const uint64_t version = found == known_versions.end() ? 0 : found->second;
    // Older versions first; they matter only while the newest is rejected.
    for (auto valid = held.valid.rbegin(); valid != held.valid.rend();
         ++valid) {
      const bool is_useful = valid->raw.version >= held.version_in_force;
      if (is_useful && valid->raw.version > version &&
          valid->raw.version != held.newest.version) {
        newer.push_back(valid->raw);
      }
    }
    if (held.newest.version > version) {
      newer.push_back(held.newest);
    }
  }
  return newer;
}

std::vector<RejectedRecord> Store::rejected() const {
  std::vector<RejectedRecord> rows;
  for (const auto& [key, held] : held_) {
    const std::string& fault = held.fault.empty() ? held.conflict : held.fault;
    if (!fault.empty()) {
      rows.push_back({.key = key,
                      .version = held.newest.version,
                      .version_in_force = held.version_in_force,
                      .fault = fault});
    }
  }
  return rows;
}

void Store::AddChangeObserver(std::function<void()> callback) {
  callbacks_.push_back(std::move(callback));
}

}  // namespace jackdawshunt::configuration
