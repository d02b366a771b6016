// The versioned configuration records of this process. Keeps the highest object
// version of each key, and deletions as tombstones, so that no record reverts
// to an older version. While the newest version of a record is invalid, its
// last valid version stays active. Does no I/O.
//
// If two workspaces list the same token, the one whose newest valid version is
// higher is rejected: its last version without the conflict stays active, or
// none. The result depends on the set of merged records and not on their order,
// so that all processes reach the same state.
//
// Example:
//   configuration::Store store;
//   store.Merge(records);
//   const records::Workspace* workspace =
//       store.snapshot().FindWorkspaceByToken(token);
//
// Not thread-safe.
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

// The active version of every record.
class Snapshot {
 public:
  std::map<std::string, records::Workspace, std::less<>> workspaces;
  std::map<std::string, records::Model, std::less<>> models;
  std::map<std::string, records::Upstream, std::less<>> upstreams;
  records::Policy policy;

  // Returns the workspace of a bearer token, given as the caller sent it, or
  // null if the token is unknown. The result is valid until the next merge.
  const records::Workspace* FindWorkspaceByToken(std::string_view token) const;

 private:
  friend class Store;
  std::map<std::string, std::string, std::less<>> workspace_by_token_sha256_;
};

// A record whose newest version is not active.
struct RejectedRecord {
  std::string key;
  uint64_t version = 0;         // The newest version.
  uint64_t active_version = 0;  // 0: none.
  std::string error;            // Why the newest version is not active.
};

class Store {
 public:
  // Stores every record that is newer than the stored one. Returns the keys
  // that changed. Repeated, late and reordered merges give the same result.
  std::vector<std::string> Merge(
      const std::vector<protocol::ConfigRecord>& records);
  // Merges a complete list of the platform's records at `revision` and returns
  // the keys that changed. Deletes stored records of a version up to `revision`
  // that the list does not contain, and later also older records from a peer
  // that missed the deletion.
  std::vector<std::string> MergeListing(
      uint64_t revision,
      const std::vector<protocol::ConfigRecord>& records);

  const Snapshot& snapshot() const { return snapshot_; }
  // Returns the highest stored version.
  uint64_t revision() const { return revision_; }
  // Returns an order-independent hash over all keys, each with its newest and
  // its newest valid version, tombstones included.
  uint64_t digest() const { return digest_; }
  // Returns the key and the newest valid version of every stored record,
  // tombstones included; version 0 if no valid version is known.
  std::vector<std::pair<std::string, uint64_t>> Versions() const;
  // Returns the records that a peer with the versions `known` lacks or has in
  // an older version.
  std::vector<protocol::ConfigRecord> NewerThan(
      const std::vector<std::pair<std::string, uint64_t>>& known) const;
  // Returns every record whose newest version is not active.
  std::vector<RejectedRecord> rejected() const;

  // Adds a function that is called after each merge that changes a record.
  void AddChangeObserver(std::function<void()> callback);

 private:
  struct ValidVersion {
    protocol::ConfigRecord raw;
    std::shared_ptr<const records::Record> parsed;  // Null: tombstone.
  };
  struct RecordHistory {
    protocol::ConfigRecord newest;
    std::string error;  // Of the newest version; empty when valid.
    // Newest first, at most kMaxValidVersions.
    std::vector<ValidVersion> valid;
    uint64_t active_version = 0;
    // The token conflict of the newest valid version; empty if none.
    std::string conflict;
  };
  using HistoryMap = std::map<std::string, RecordHistory, std::less<>>;

  bool MergeRecord(const protocol::ConfigRecord& record);
  static bool Insert(RecordHistory& history, protocol::ConfigRecord record);
  void Rebuild();
  void Activate(RecordHistory& history, const ValidVersion& valid);
  bool TryAssignTokens(const records::Workspace& workspace);
  void ActivateWorkspaces(std::vector<RecordHistory*> workspaces);
  std::string FindTokenConflict(const records::Workspace& workspace) const;
  void RebuildAndNotify();

  HistoryMap histories_;
  // Revision of the newest complete list; a key that the list did not contain
  // did not exist at that revision.
  uint64_t listed_revision_ = 0;
  Snapshot snapshot_;
  uint64_t revision_ = 0;
  uint64_t digest_ = 0;
  std::vector<std::function<void()>> observers_;
};

}  // namespace jackdawshunt::configuration

#endif  // JACKDAWSHUNT_CONFIGURATION_STORE_H_
