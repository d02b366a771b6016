#include "jackdawshunt/configuration/store.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>
// These need the headers of gtest and rapidcheck above.
#include <rapidcheck/gtest.h>
#include <rapidcheck/state.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "jackdawshunt/base/crypto.h"

namespace jackdawshunt::configuration {
namespace {

using protocol::ConfigRecord;
using ::testing::ElementsAre;
using ::testing::HasSubstr;
using ::testing::IsEmpty;

enum class Content { kValid, kInvalid, kDeleted };

// A write to the platform. Its version is its position in the history, from 1.
struct PlatformWrite {
  std::string name;
  bool is_workspace = false;
  Content content = Content::kValid;
  std::string token;  // Workspaces only.
};

std::string MakeKey(const PlatformWrite& write) {
  return absl::StrCat(
      write.is_workspace ? "config/workspace/" : "config/model/", write.name);
}

std::string MakeValue(const PlatformWrite& write, uint64_t version) {
  if (write.content == Content::kDeleted) {
    return "";
  }
  if (write.content == Content::kInvalid) {
    return R"({"kind": "workspace"})";
  }
  // The share and the model version identify the active version.
  const std::string spec =
      write.is_workspace
          ? absl::StrCat(R"({"share": )", version, R"(, "token_sha256": ")",
                         base::Sha256Hex(write.token), R"(", "models": []})")
          : absl::StrCat(R"({"versions": ["v)", version, R"("]})");
  return absl::StrCat(
      R"({"kind": ")", write.is_workspace ? "workspace" : "model",
      R"(", "schema": 1, "name": ")", write.name, R"(", "spec": )", spec, "}");
}

ConfigRecord MakeRecord(const PlatformWrite& write, uint64_t version) {
  return {.key = MakeKey(write),
          .version = version,
          .deleted = write.content == Content::kDeleted,
          .value = MakeValue(write, version)};
}

// The history of the platform, and the writes that the store has received.
struct Model {
  std::vector<PlatformWrite> history;
  // By key and version, with the tombstones that a list implies.
  std::map<std::string, std::map<uint64_t, PlatformWrite>> received;
  uint64_t listed = 0;

  void Receive(uint64_t version) {
    const PlatformWrite& write = history[version - 1];
    const std::string key = MakeKey(write);
    if (!received.contains(key) && write.content != Content::kDeleted &&
        version <= listed) {
      PlatformWrite deleted = write;
      deleted.content = Content::kDeleted;
      received[key][listed] = deleted;
      return;
    }
    received[key].emplace(version, write);
  }

  std::map<std::string, uint64_t> Live() const {
    std::map<std::string, uint64_t> live;
    for (uint64_t version = 1; version <= history.size(); ++version) {
      live[MakeKey(history[version - 1])] = version;
    }
    std::erase_if(live, [this](const auto& entry) {
      return history[entry.second - 1].content == Content::kDeleted;
    });
    return live;
  }

  void ReceiveListing() {
    const auto live = Live();
    for (auto& [key, versions] : received) {
      PlatformWrite last = versions.rbegin()->second;
      if (!live.contains(key) && last.content != Content::kDeleted) {
        last.content = Content::kDeleted;
        versions[history.size()] = last;
      }
    }
    for (const auto& [key, version] : live) {
      received[key].emplace(version, history[version - 1]);
    }
    listed = history.size();
  }

  // Returns the valid versions of a key, newest first, up to and including the
  // first tombstone.
  std::vector<std::pair<uint64_t, PlatformWrite>> Candidates(
      const std::string& key) const {
    constexpr size_t kMaxValidVersions = 4;
    std::vector<std::pair<uint64_t, PlatformWrite>> candidates;
    const auto& versions = received.at(key);
    for (auto it = versions.rbegin(); it != versions.rend(); ++it) {
      if (it->second.content != Content::kInvalid) {
        candidates.emplace_back(*it);
        if (it->second.content == Content::kDeleted ||
            candidates.size() == kMaxValidVersions) {
          break;
        }
      }
    }
    return candidates;
  }

  // Returns the active version by key, for records that are not deleted.
  std::map<std::string, uint64_t> ActiveVersions() const {
    std::map<std::string, uint64_t> active;
    std::map<uint64_t, std::string> workspaces;  // By newest valid version.
    for (const auto& [key, versions] : received) {
      const auto candidates = Candidates(key);
      if (candidates.empty() ||
          candidates.front().second.content == Content::kDeleted) {
        continue;
      }
      if (candidates.front().second.is_workspace) {
        workspaces[candidates.front().first] = key;
      } else {
        active[key] = candidates.front().first;
      }
    }
    std::set<std::string> tokens;
    std::vector<std::string> rejected;
    for (const auto& [version, key] : workspaces) {
      if (tokens.insert(history[version - 1].token).second) {
        active[key] = version;
      } else {
        rejected.push_back(key);
      }
    }
    for (const std::string& key : rejected) {
      for (const auto& [version, write] : Candidates(key)) {
        if (write.content == Content::kDeleted) {
          break;
        }
        if (tokens.insert(write.token).second) {
          active[key] = version;
          break;
        }
      }
    }
    return active;
  }
};

std::map<std::string, uint64_t> ActiveVersions(const Store& store) {
  std::map<std::string, uint64_t> active;
  for (const auto& [name, workspace] : store.snapshot().workspaces) {
    active[absl::StrCat("config/workspace/", name)] =
        static_cast<uint64_t>(workspace.share);
  }
  for (const auto& [name, model] : store.snapshot().models) {
    active[absl::StrCat("config/model/", name)] =
        std::stoull(model.versions.front().substr(1));
  }
  return active;
}

void CheckStoreMatches(const Model& model, const Store& store) {
  RC_ASSERT(ActiveVersions(store) == model.ActiveVersions());
  uint64_t revision = 0;
  for (const auto& [key, versions] : model.received) {
    revision = std::max(revision, versions.rbegin()->first);
  }
  RC_ASSERT(store.revision() == revision);
}

struct System {
  Store store;
};

using Command = rc::state::Command<Model, System>;

// Writes a record to the platform without a merge into the store.
struct Write : Command {
  PlatformWrite write;

  Write() {
    write.name = *rc::gen::element<std::string>("a", "b", "c");
    write.is_workspace = *rc::gen::arbitrary<bool>();
    write.content = *rc::gen::weightedElement<Content>(
        {{4, Content::kValid}, {1, Content::kInvalid}, {1, Content::kDeleted}});
    write.token = *rc::gen::element<std::string>("s", "t");
  }
  void apply(Model& model) const override { model.history.push_back(write); }
  void run(const Model&, System&) const override {}
  void show(std::ostream& os) const override {
    os << "Write " << MakeKey(write) << " " << static_cast<int>(write.content)
       << " " << write.token;
  }
};

// Merges a part of the history, in any order and with repetitions.
struct MergeSome : Command {
  std::vector<uint64_t> versions;

  explicit MergeSome(const Model& model)
      : versions(*rc::gen::container<std::vector<uint64_t>>(
            rc::gen::inRange<uint64_t>(1, model.history.size() + 2))) {}
  void checkPreconditions(const Model& model) const override {
    RC_PRE(std::all_of(versions.begin(), versions.end(),
                       [&](uint64_t v) { return v <= model.history.size(); }));
  }
  void apply(Model& model) const override {
    for (const uint64_t version : versions) {
      model.Receive(version);
    }
  }
  void run(const Model& model, System& system) const override {
    std::vector<ConfigRecord> records;
    records.reserve(versions.size());
    for (const uint64_t version : versions) {
      records.push_back(MakeRecord(model.history[version - 1], version));
    }
    const uint64_t revision = system.store.revision();
    const auto models = system.store.snapshot().models;
    system.store.Merge(records);
    CheckStoreMatches(nextState(model), system.store);
    RC_ASSERT(system.store.revision() >= revision);
    const uint64_t digest = system.store.digest();
    RC_ASSERT(system.store.Merge(records).empty());
    RC_ASSERT(system.store.digest() == digest);
  }
  void show(std::ostream& os) const override {
    os << "MergeSome " << ::testing::PrintToString(versions);
  }
};

// Merges a complete list of the platform.
struct MergeList : Command {
  void apply(Model& model) const override { model.ReceiveListing(); }
  void run(const Model& model, System& system) const override {
    std::vector<ConfigRecord> records;
    for (const auto& [key, version] : model.Live()) {
      records.push_back(MakeRecord(model.history[version - 1], version));
    }
    system.store.MergeListing(model.history.size(), records);
    CheckStoreMatches(nextState(model), system.store);
  }
};

// Guards against a store that reverts a record, restores a deleted one, or
// depends on the order of the merges.
RC_GTEST_PROP(StoreTest, MatchesTheReferenceModel, ()) {
  System system;
  rc::state::check(
      Model(), system,
      rc::state::gen::execOneOfWithArgs<Write, Write, MergeSome, MergeList>());
}

// Guards against processes whose digests still differ after they have exchanged
// all records.
RC_GTEST_PROP(StoreTest, PullsInBothDirectionsMakeTwoStoresEqual, ()) {
  Model model;
  const auto writes =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000));
  for (size_t i = 0; i < writes.size(); ++i) {
    model.history.push_back(
        {.name = std::string(1, static_cast<char>('a' + writes[i] % 3)),
         .is_workspace = writes[i] % 2 == 0,
         .content = static_cast<Content>(std::min(writes[i] / 3 % 5, 2)),
         .token = std::string(1, static_cast<char>('s' + writes[i] / 7 % 2))});
  }
  Store first;
  Store second;
  for (size_t i = 0; i < writes.size(); ++i) {
    Store& store = *rc::gen::arbitrary<bool>() ? first : second;
    store.Merge({MakeRecord(model.history[i], i + 1)});
  }
  first.Merge(second.NewerThan(first.Versions()));
  second.Merge(first.NewerThan(second.Versions()));
  RC_ASSERT(first.digest() == second.digest());
  RC_ASSERT(first.revision() == second.revision());
}

PlatformWrite Workspace(std::string name, std::string token) {
  return {
      .name = std::move(name), .is_workspace = true, .token = std::move(token)};
}

// Guards against serving a caller of one workspace as a caller of another.
TEST(StoreTest, RejectsTheLaterOfTwoWorkspacesWithTheSameToken) {
  Store store;
  store.Merge({MakeRecord(Workspace("hall", "hall-token"), 1),
               MakeRecord(Workspace("lodge", "lodge-token"), 2),
               MakeRecord(Workspace("hall", "lodge-token"), 3)});
  const auto* owner = store.snapshot().FindWorkspaceByToken("lodge-token");
  ASSERT_NE(owner, nullptr);
  EXPECT_EQ(owner->name, "lodge");
  // The rejected workspace keeps its last version without the conflict.
  owner = store.snapshot().FindWorkspaceByToken("hall-token");
  ASSERT_NE(owner, nullptr);
  EXPECT_EQ(owner->name, "hall");
  ASSERT_EQ(store.rejected().size(), 1);
  EXPECT_EQ(store.rejected().front().version, 3);
  EXPECT_EQ(store.rejected().front().active_version, 1);
  EXPECT_THAT(store.rejected().front().error, HasSubstr("\"lodge\""));
  // The conflict ends when the other workspace no longer lists the token.
  store.Merge({MakeRecord(Workspace("lodge", "new-token"), 4)});
  EXPECT_THAT(store.rejected(), IsEmpty());
  EXPECT_EQ(store.snapshot().FindWorkspaceByToken("lodge-token")->name, "hall");
  EXPECT_EQ(store.snapshot().FindWorkspaceByToken("hall-token"), nullptr);
}

// Guards against a validation error that operators cannot see, and against a
// record stored under the key of another.
TEST(StoreTest, InvalidRecordLeavesTheLastValidVersionActive) {
  Store store;
  ConfigRecord good = MakeRecord({.name = "quill"}, 5);
  store.Merge({good});
  ConfigRecord misplaced = good;
  misplaced.version = 6;
  misplaced.value = MakeRecord({.name = "other"}, 6).value;
  EXPECT_THAT(store.Merge({misplaced}), ElementsAre("config/model/quill"));
  EXPECT_TRUE(store.snapshot().models.contains("quill"));
  ASSERT_EQ(store.rejected().size(), 1);
  EXPECT_EQ(store.rejected().front().version, 6);
  EXPECT_EQ(store.rejected().front().active_version, 5);
  EXPECT_THAT(store.rejected().front().error, HasSubstr("must match the key"));
  // A restarted process receives the valid version and the rejected one.
  Store restarted;
  restarted.Merge(store.NewerThan({}));
  EXPECT_TRUE(restarted.snapshot().models.contains("quill"));
  EXPECT_EQ(restarted.digest(), store.digest());
}

// Guards against a deletion that a peer that missed it undoes, after a restart
// lost the tombstone.
TEST(StoreTest, ListingPreventsTheReturnOfDeletedRecords) {
  Store store;
  store.MergeListing(9, {});
  store.Merge({MakeRecord({.name = "quill"}, 5)});
  EXPECT_THAT(store.snapshot().models, IsEmpty());
  EXPECT_THAT(store.Versions(),
              ElementsAre(std::pair("config/model/quill", 9U)));
  store.Merge({MakeRecord({.name = "quill"}, 10)});
  EXPECT_TRUE(store.snapshot().models.contains("quill"));
}

TEST(StoreTest, CallsObserversOncePerMergeThatChangesARecord) {
  Store store;
  int calls = 0;
  store.AddChangeObserver([&] { ++calls; });
  const std::vector<ConfigRecord> records = {MakeRecord({.name = "quill"}, 5),
                                             MakeRecord({.name = "scribe"}, 6)};
  store.Merge(records);
  store.Merge(records);
  store.Merge({{.key = "claims/7", .version = 8, .value = "{}"}});
  EXPECT_EQ(calls, 1);
  EXPECT_EQ(store.revision(), 6);
}

}  // namespace
}  // namespace jackdawshunt::configuration
