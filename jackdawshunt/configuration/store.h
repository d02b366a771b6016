// Versioned records in force in this process. Keeps the highest object version
// per key, deletions as tombstones, so that nothing reverts; a record that is
// not valid leaves the last valid one in force. Does no I/O.
//
// Of two workspaces that claim the same token, the one whose newest valid
// version is higher is rejected: it keeps its last version without the
// conflict, or has none in force. The result is a function of the set of
// records merged, not of their order, so that all processes agree.
//
// Example:
//   configuration::Store store;
//   store.Merge(records);
//   const records::Workspace* w = store.snapshot().FindWorkspaceByToken(token);
#ifndef JACKDAWSHUNT_CONFIGURATION_STORE_H_
#define JACKDAWSHUNT_CONFIGURATION_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "jackdawshunt/protocol/messages.h"
#include "jackdawshunt/records/records.h"

namespace jackdawshunt::configuration {

// The valid records in force.
class Snapshot {
 public:
  std::map<std::string, records::Workspace, std::less<>> workspaces;
  std::map<std::string, records::Model, std::less<>> models;
  std::map<std::string, records::Upstream, std::less<>> upstreams;
  records::Policy policy;

  // `token` is the bearer token as the caller sent it. Null when unknown. The
  // result is valid until the next merge.
  const records::Workspace* FindWorkspaceByToken(std::string_view token) const;

 private:
  friend class Store;
  std::map<std::string, std::string, std::less<>> workspace_by_token_sha256_;
};

// A record whose newest version is not in force, and why.
struct RejectedRecord {
  std::string key;
  uint64_t version = 0;
  uint64_t version_in_force = 0;  // 0: none.
  std::string fault;
};

class Store {
 public:
  // Takes every record that is newer than the one held; returns the keys that
  // changed. Repeated, late and reordered merges give the same result.
  std::vector<std::string> Merge(
      const std::vector<protocol::ConfigRecord>& records);
  // Merges a complete list of the platform's records at `revision`. Records
  // held in a version up to it and absent from the list are deleted, and so are
  // older records that arrive later from a peer that missed the deletion.
  std::vector<std::string> MergeListing(
      uint64_t revision,
      const std::vector<protocol::ConfigRecord>& records);

  const Snapshot& snapshot() const { return snapshot_; }
  // Highest version held.
  uint64_t revision() const { return revision_; }
  // Order-independent hash over all keys, with the newest and the newest valid
  // version of each, tombstones included.
  uint64_t digest() const { return digest_; }
  // Key and newest valid version of every record held, tombstones included; 0
  // when no valid version is known.
  std::vector<std::pair<std::string, uint64_t>> Versions() const;
  // Records that a peer with `known` lacks or holds in an older version.
  std::vector<protocol::ConfigRecord> NewerThan(
      const std::vector<std::pair<std::string, uint64_t>>& known) const;
  std::vector<RejectedRecord> rejected() const;

  // Called after a merge that changed something.
  void AddChangeObserver(std::function<void()> callback);

 private:
  struct Valid {
    protocol::ConfigRecord raw;
    std::shared_ptr<const records::Record> parsed;  // Null: tombstone.
  };
  struct Held {
    protocol::ConfigRecord newest;
    std::string fault;         // Of the newest version; empty when valid.
    std::vector<Valid> valid;  // Newest first, at most kHistory.
    uint64_t version_in_force = 0;
    std::string conflict;  // Why the newest valid version is not in force.
  };
  using HeldMap = std::map<std::string, Held, std::less<>>;

  bool MergeOne(const protocol::ConfigRecord& record);
  static bool Insert(Held& held, protocol::ConfigRecord record);
  void Rebuild();
  void PutInForce(Held& held, const Valid& valid);
  bool ClaimTokens(const records::Workspace& workspace);
  void ResolveWorkspaces(std::vector<Held*> workspaces);
  std::string ConflictOf(const records::Workspace& workspace) const;
  void Changed();

  HeldMap held_;
  // Revision of the newest complete list: keys absent from it did not exist.
  uint64_t listed_revision_ = 0;
  Snapshot snapshot_;
  uint64_t revision_ = 0;
  uint64_t digest_ = 0;
  std::vector<std::function<void()>> callbacks_;
};

}  // namespace jackdawshunt::configuration

#endif  // JACKDAWSHUNT_CONFIGURATION_STORE_H_
