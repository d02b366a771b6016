#include "jackdawshunt/configuration/store.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>
// After the two above, which it needs.
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

// One write at the platform; its version is its position, from 1.
struct Written {
  std::string name;
  bool is_workspace = false;
  Content content = Content::kValid;
  std::string token;  // Workspaces only.
};

std::string KeyOf(const Written& written) {
  return absl::StrCat(
      written.is_workspace ? "config/workspace/" : "config/model/",
      written.name);
}

std::string ValueOf(const Written& written, uint64_t version) {
  if (written.content == Content::kDeleted) {
    return "";
  }
  if (written.content == Content::kInvalid) {
    return R"({"kind": "workspace"})";
  }
  // The share and the model version tell which version is in force.
  const std::string spec =
      written.is_workspace
          ? absl::StrCat(R"({"share": )", version, R"(, "token_sha256": ")",
                         base::Sha256Hex(written.token), R"(", "models": []})")
          : absl::StrCat(R"({"versions": ["v)", version, R"("]})");
  return absl::StrCat(R"({"kind": ")",
                      written.is_workspace ? "workspace" : "model",
                      R"(", "schema": 1, "name": ")", written.name,
                      R"(", "spec": )", spec, "}");
}

ConfigRecord RecordOf(const Written& written, uint64_t version) {
  return {.key = KeyOf(written),
          .version = version,
          .deleted = written.content == Content::kDeleted,
          .value = ValueOf(written, version)};
}

// The platform's history, and the part of it that the store has been given.
struct Model {
  std::vector<Written> history;
  // By key and version; a tombstone that a list implies counts as given.
  std::map<std::string, std::map<uint64_t, Written>> given;
  uint64_t listed = 0;

  void Give(uint64_t version) {
    const Written& written = history[version - 1];
    const std::string key = KeyOf(written);
    if (!given.contains(key) && written.content != Content::kDeleted &&
        version <= listed) {
      Written deleted = written;
      deleted.content = Content::kDeleted;
      given[key][listed] = deleted;
      return;
    }
    given[key].emplace(version, written);
  }

  std::map<std::string, uint64_t> Live() const {
    std::map<std::string, uint64_t> live;
    for (uint64_t version = 1; version <= history.size(); ++version) {
      live[KeyOf(history[version - 1])] = version;
    }
    std::erase_if(live, [this](const auto& entry) {
      return history[entry.second - 1].content == Content::kDeleted;
    });
    return live;
  }

  void GiveListing() {
    const auto live = Live();
    for (auto& [key, versions] : given) {
      Written last = versions.rbegin()->second;
      if (!live.contains(key) && last.content != Content::kDeleted) {
        last.content = Content::kDeleted;
        versions[history.size()] = last;
      }
    }
    for (const auto& [key, version] : live) {
      given[key].emplace(version, history[version - 1]);
    }
    listed = history.size();
  }

  // Valid versions of a key, newest first, up to the first tombstone.
  std::vector<std::pair<uint64_t, Written>> Candidates(
      const std::string& key) const {
    constexpr size_t kHistory = 4;
    std::vector<std::pair<uint64_t, Written>> candidates;
    const auto& versions = given.at(key);
    for (auto it = versions.rbegin(); it != versions.rend(); ++it) {
      if (it->second.content != Content::kInvalid) {
        candidates.emplace_back(*it);
        if (it->second.content == Content::kDeleted ||
            candidates.size() == kHistory) {
          break;
        }
      }
    }
    return candidates;
  }

  // Version in force by key, for records that are not deleted.
  std::map<std::string, uint64_t> InForce() const {
    std::map<std::string, uint64_t> in_force;
    std::map<uint64_t, std::string> workspaces;  // By newest valid version.
    for (const auto& [key, versions] : given) {
      const auto candidates = Candidates(key);
      if (candidates.empty() ||
          candidates.front().second.content == Content::kDeleted) {
        continue;
      }
      if (candidates.front().second.is_workspace) {
        workspaces[candidates.front().first] = key;
      } else {
        in_force[key] = candidates.front().first;
      }
    }
    std::set<std::string> tokens;
    std::vector<std::string> rejected;
    for (const auto& [version, key] : workspaces) {
      if (tokens.insert(history[version - 1].token).second) {
        in_force[key] = version;
      } else {
        rejected.push_back(key);
      }
    }
    for (const std::string& key : rejected) {
      for (const auto& [version, written] : Candidates(key)) {
        if (written.content == Content::kDeleted) {
          break;
        }
        if (tokens.insert(written.token).second) {
          in_force[key] = version;
          break;
        }
      }
    }
    return in_force;
  }
};

std::map<std::string, uint64_t> InForce(const Store& store) {
  std::map<std::string, uint64_t> in_force;
  for (const auto& [name, workspace] : store.snapshot().workspaces) {
    in_force[absl::StrCat("config/workspace/", name)] =
        static_cast<uint64_t>(workspace.share);
  }
  for (const auto& [name, model] : store.snapshot().models) {
    in_force[absl::StrCat("config/model/", name)] =
        std::stoull(model.versions.front().substr(1));
  }
  return in_force;
}

void CheckAgainst(const Model& model, const Store& store) {
  RC_ASSERT(InForce(store) == model.InForce());
  uint64_t revision = 0;
  for (const auto& [key, versions] : model.given) {
    revision = std::max(revision, versions.rbegin()->first);
  }
  RC_ASSERT(store.revision() == revision);
}

struct System {
  Store store;
};

using Command = rc::state::Command<Model, System>;

// An operator writes; the store hears nothing yet.
struct Write : Command {
  Written written;

  Write() {
    written.name = *rc::gen::element<std::string>("a", "b", "c");
    written.is_workspace = *rc::gen::arbitrary<bool>();
    written.content = *rc::gen::weightedElement<Content>(
        {{4, Content::kValid}, {1, Content::kInvalid}, {1, Content::kDeleted}});
    written.token = *rc::gen::element<std::string>("s", "t");
  }
  void apply(Model& model) const override { model.history.push_back(written); }
  void run(const Model&, System&) const override {}
  void show(std::ostream& os) const override {
    os << "Write " << KeyOf(written) << " " << static_cast<int>(written.content)
       << " " << written.token;
  }
};

// Part of the history arrives, in any order and with repetitions.
struct Deliver : Command {
  std::vector<uint64_t> versions;

  explicit Deliver(const Model& model)
      : versions(*rc::gen::container<std::vector<uint64_t>>(
            rc::gen::inRange<uint64_t>(1, model.history.size() + 2))) {}
  void checkPreconditions(const Model& model) const override {
    RC_PRE(std::all_of(versions.begin(), versions.end(),
                       [&](uint64_t v) { return v <= model.history.size(); }));
  }
  void apply(Model& model) const override {
    for (const uint64_t version : versions) {
      model.Give(version);
    }
  }
  void run(const Model& model, System& system) const override {
    std::vector<ConfigRecord> records;
    records.reserve(versions.size());
    for (const uint64_t version : versions) {
      records.push_back(RecordOf(model.history[version - 1], version));
    }
    const uint64_t revision = system.store.revision();
    const auto models = system.store.snapshot().models;
    system.store.Merge(records);
    CheckAgainst(nextState(model), system.store);
    RC_ASSERT(system.store.revision() >= revision);
    const uint64_t digest = system.store.digest();
    RC_ASSERT(system.store.Merge(records).empty());
    RC_ASSERT(system.store.digest() == digest);
  }
  void show(std::ostream& os) const override {
    os << "Deliver " << ::testing::PrintToString(versions);
  }
};

// A complete list of the platform arrives.
struct DeliverListing : Command {
  void apply(Model& model) const override { model.GiveListing(); }
  void run(const Model& model, System& system) const override {
    std::vector<ConfigRecord> records;
    for (const auto& [key, version] : model.Live()) {
      records.push_back(RecordOf(model.history[version - 1], version));
    }
    system.store.MergeListing(model.history.size(), records);
    CheckAgainst(nextState(model), system.store);
  }
};

// Guards against a store that reverts, resurrects a deleted record, or depends
// on the order of arrival.
RC_GTEST_PROP(StoreTest, AgreesWithTheOracle, ()) {
  System system;
  rc::state::check(Model(), system,
                   rc::state::gen::execOneOfWithArgs<Write, Write, Deliver,
                                                     DeliverListing>());
}

// Guards against processes that hold the same records and never agree.
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
    store.Merge({RecordOf(model.history[i], i + 1)});
  }
  first.Merge(second.NewerThan(first.Versions()));
  second.Merge(first.NewerThan(second.Versions()));
  RC_ASSERT(first.digest() == second.digest());
  RC_ASSERT(first.revision() == second.revision());
}

Written Workspace(std::string name, std::string token) {
  return {
      .name = std::move(name), .is_workspace = true, .token = std::move(token)};
}

// Guards against a caller of one workspace that is served as another.
TEST(StoreTest, OfTwoWorkspacesWithOneTokenTheLaterIsRejected) {
  Store store;
  store.Merge({RecordOf(Workspace("hall", "hall-token"), 1),
               RecordOf(Workspace("lodge", "lodge-token"), 2),
               RecordOf(Workspace("hall", "lodge-token"), 3)});
  const auto* owner = store.snapshot().FindWorkspaceByToken("lodge-token");
  ASSERT_NE(owner, nullptr);
  EXPECT_EQ(owner->name, "lodge");
  // The rejected workspace keeps its version without the conflict.
  owner = store.snapshot().FindWorkspaceByToken("hall-token");
  ASSERT_NE(owner, nullptr);
  EXPECT_EQ(owner->name, "hall");
  ASSERT_EQ(store.rejected().size(), 1);
  EXPECT_EQ(store.rejected().front().version, 3);
  EXPECT_EQ(store.rejected().front().version_in_force, 1);
  EXPECT_THAT(store.rejected().front().fault, HasSubstr("\"lodge\""));
  // The conflict ends when the other workspace gives the token up.
  store.Merge({RecordOf(Workspace("lodge", "new-token"), 4)});
  EXPECT_THAT(store.rejected(), IsEmpty());
  EXPECT_EQ(store.snapshot().FindWorkspaceByToken("lodge-token")->name, "hall");
  EXPECT_EQ(store.snapshot().FindWorkspaceByToken("hall-token"), nullptr);
}

// Guards against a fault that operators cannot see, and against a record under
// the key of another.
TEST(StoreTest, InvalidRecordsLeaveTheLastValidInForce) {
  Store store;
  ConfigRecord good = RecordOf({.name = "quill"}, 5);
  store.Merge({good});
  ConfigRecord misplaced = good;
  misplaced.version = 6;
  misplaced.value = RecordOf({.name = "other"}, 6).value;
  EXPECT_THAT(store.Merge({misplaced}), ElementsAre("config/model/quill"));
  EXPECT_TRUE(store.snapshot().models.contains("quill"));
  ASSERT_EQ(store.rejected().size(), 1);
  EXPECT_EQ(store.rejected().front().version, 6);
  EXPECT_EQ(store.rejected().front().version_in_force, 5);
  EXPECT_THAT(store.rejected().front().fault, HasSubstr("must match the key"));
  // A restarted process receives the valid version and the rejected one.
  Store restarted;
  restarted.Merge(store.NewerThan({}));
  EXPECT_TRUE(restarted.snapshot().models.contains("quill"));
  EXPECT_EQ(restarted.digest(), store.digest());
}

// Guards against a deletion that is undone by a peer that missed it, after a
// restart that lost the tombstone.
TEST(StoreTest, ListingKeepsDeletedRecordsDeleted) {
  Store store;
  store.MergeListing(9, {});
  store.Merge({RecordOf({.name = "quill"}, 5)});
  EXPECT_THAT(store.snapshot().models, IsEmpty());
  EXPECT_THAT(store.Versions(),
              ElementsAre(std::pair("config/model/quill", 9U)));
  store.Merge({RecordOf({.name = "quill"}, 10)});
  EXPECT_TRUE(store.snapshot().models.contains("quill"));
}

TEST(StoreTest, CallsBackOnceForAMergeThatChangesSomething) {
  Store store;
  int calls = 0;
  store.AddChangeObserver([&] { ++calls; });
  const std::vector<ConfigRecord> records = {RecordOf({.name = "quill"}, 5),
                                             RecordOf({.name = "scribe"}, 6)};
  store.Merge(records);
  store.Merge(records);
  store.Merge({{.key = "claims/7", .version = 8, .value = "{}"}});
  EXPECT_EQ(calls, 1);
  EXPECT_EQ(store.revision(), 6);
}

}  // namespace
}  // namespace jackdawshunt::configuration
