// Versioned records in force in this process. Keeps the highest object version
// per key, deletions as tombstones, so that nothing reverts; a record that is
// not valid leaves the last valid one in force. Does no I/O.
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
#include <string>
#include <string_view>
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

  // `token` is the bearer token as the caller sent it. Null when unknown.
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

  const Snapshot& snapshot() const { return snapshot_; }
  // Highest version held.
  uint64_t revision() const { return revision_; }
  // Order-independent hash over all keys and versions, tombstones included.
  uint64_t digest() const { return digest_; }
  std::vector<std::pair<std::string, uint64_t>> Versions() const;
  // Records that a peer with `known` lacks or holds in an older version.
  std::vector<protocol::ConfigRecord> NewerThan(
      const std::vector<std::pair<std::string, uint64_t>>& known) const;
  std::vector<RejectedRecord> rejected() const;

  // Called after a merge that changed something.
  void OnChange(std::function<void()> callback);

 private:
  struct Held {
    protocol::ConfigRecord newest;
    uint64_t version_in_force = 0;
    std::string fault;
  };

  void Apply(Held& held);

  std::map<std::string, Held, std::less<>> held_;
  Snapshot snapshot_;
  uint64_t revision_ = 0;
  uint64_t digest_ = 0;
  std::vector<std::function<void()>> callbacks_;
};

}  // namespace jackdawshunt::configuration

#endif  // JACKDAWSHUNT_CONFIGURATION_STORE_H_
