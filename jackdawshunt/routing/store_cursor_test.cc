// Tests of a follower's state over restorations of the store from older copies:
// the cursor, the directory and the freshness of keys.
#include "jackdawshunt/routing/store_cursor.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "rapidcheck.h"
// rapidcheck/gtest.h needs the two headers before it.
#include "jackdawshunt/routing/directory.h"
#include "jackdawshunt/routing/key_freshness.h"
#include "rapidcheck/gtest.h"

namespace jackdawshunt::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(StoreCursorTest, ListsAgainInLaterEraAndDropsEarlierOnes) {
  StoreCursor cursor;
  EXPECT_EQ(cursor.OnList({.era = 3, .revision = 500}), AnswerUse::kApply);
  EXPECT_FALSE(cursor.is_restored());
  EXPECT_EQ(cursor.OnWatch({.era = 3, .revision = 510}), AnswerUse::kApply);
  // The revision is higher, but the store gave it out a second time.
  EXPECT_EQ(cursor.OnWatch({.era = 4, .revision = 520}), AnswerUse::kListAgain);
  EXPECT_FALSE(cursor.has_list());
  EXPECT_EQ(cursor.OnList({.era = 4, .revision = 490}), AnswerUse::kApply);
  EXPECT_TRUE(cursor.is_restored());
  const StoreRevision expected{.era = 4, .revision = 490};
  EXPECT_EQ(cursor.position(), expected);
  EXPECT_EQ(cursor.OnWatch({.era = 3, .revision = 900}), AnswerUse::kDrop);
  EXPECT_EQ(cursor.OnList({.era = 3, .revision = 900}), AnswerUse::kDrop);
  EXPECT_EQ(cursor.position(), expected);
}

TEST(StoreCursorTest, StoreWithoutErasIsFollowedByRevision) {
  StoreCursor cursor;
  cursor.OnList({.era = 0, .revision = 5});
  EXPECT_EQ(cursor.OnWatch({.era = 0, .revision = 9}), AnswerUse::kApply);
  // Its changes are those of before, and some of them are overridden.
  EXPECT_EQ(cursor.OnWatch({.era = 0, .revision = 8}), AnswerUse::kKnown);
  EXPECT_EQ(cursor.OnWatch({.era = 0, .revision = 9}), AnswerUse::kApply);
  EXPECT_EQ(cursor.position().revision, 9u);
  cursor.RequireList();
  EXPECT_EQ(cursor.OnList({.era = 0, .revision = 9}), AnswerUse::kApply);
  EXPECT_FALSE(cursor.is_restored());
}

// Guards against a revoked key that works again: the store acknowledged the
// revocation, lost it, and a read of the older copy looks current.
TEST(KeyFreshnessRestoreTest, ReadsCountOnlyAfterConfigurationIsWrittenAgain) {
  kernel::ManualClock clock;
  KeyFreshness freshness({.max_revocation_delay = seconds(5)});
  freshness.RecordReadAt(clock.Now());
  clock.Advance(seconds(1));
  freshness.OnStoreRestored(clock.Now());
  const auto read_for = [&](kernel::Duration time) {
    for (kernel::Duration t{}; t < time; t += milliseconds(100)) {
      clock.Advance(milliseconds(100));
      freshness.RecordReadAt(clock.Now());
    }
  };
  read_for(milliseconds(3500));
  EXPECT_TRUE(freshness.MayAccept(clock.Now()));  // By the first read.
  read_for(milliseconds(400));
  EXPECT_FALSE(freshness.MayAccept(clock.Now()));
  freshness.OnConfigurationWritten();
  read_for(milliseconds(100));
  EXPECT_TRUE(freshness.MayAccept(clock.Now()));
}

// Guards against keys that are refused for ever when the copy lacked no change
// of the configuration, so that writing it again makes no event.
TEST(KeyFreshnessRestoreTest, ReadsCountAgainAfterRevocationTime) {
  kernel::ManualClock clock;
  KeyFreshness freshness({.max_revocation_delay = seconds(5)});
  freshness.OnStoreRestored(clock.Now());
  clock.Advance(seconds(5));
  freshness.RecordReadAt(clock.Now());
  EXPECT_TRUE(freshness.MayAccept(clock.Now()));
}

Upstream MakeUpstream(std::string id, bool is_draining = false) {
  Upstream upstream;
  upstream.id = std::move(id);
  upstream.service = "desk";
  upstream.address = {"127.0.0.1", 1};
  upstream.is_draining = is_draining;
  return upstream;
}

class RestoredDirectoryTest : public ::testing::Test {
 protected:
  std::set<std::string> Ready() {
    std::set<std::string> ids;
    for (const Upstream* upstream : directory_.Ready("desk", clock_.Now())) {
      ids.insert(upstream->id);
    }
    return ids;
  }

  kernel::ManualClock clock_;
  Directory directory_{milliseconds(1500)};
};

// Guards against requests to upstreams that are leaving or gone, when an older
// copy shows them as ready.
TEST_F(RestoredDirectoryTest, OlderCopyBringsNoUpstreamBack) {
  directory_.Replace({MakeUpstream("a"), MakeUpstream("b"), MakeUpstream("c")},
                     clock_.Now());
  directory_.Put(MakeUpstream("a", /*is_draining=*/true), clock_.Now());
  directory_.Remove("b", clock_.Now());
  const std::vector<Upstream> copy = {MakeUpstream("a"), MakeUpstream("b"),
                                      MakeUpstream("c")};
  directory_.Replace(copy, clock_.Now(), /*is_restored=*/true);
  EXPECT_EQ(Ready(), (std::set<std::string>{"c"}));
  // Another list of the same copy.
  directory_.Replace(copy, clock_.Now());
  EXPECT_EQ(Ready(), (std::set<std::string>{"c"}));
  directory_.Remove("b", clock_.Now());
  clock_.Advance(seconds(10));
  EXPECT_EQ(Ready(), (std::set<std::string>{"c"}));
}

// Guards against an upstream that is alive and never used again, because it was
// known as removed and its entry did not change since.
TEST_F(RestoredDirectoryTest, EntryThatStaysInRestoredStoreIsUsedAgain) {
  directory_.Replace({MakeUpstream("a"), MakeUpstream("b")}, clock_.Now());
  directory_.Remove("a", clock_.Now());
  directory_.Remove("b", clock_.Now());
  directory_.Replace({MakeUpstream("a"), MakeUpstream("b")}, clock_.Now(),
                     /*is_restored=*/true);
  EXPECT_TRUE(Ready().empty());
  directory_.Put(MakeUpstream("b"), clock_.Now());  // Written again.
  EXPECT_EQ(Ready(), (std::set<std::string>{"b"}));
  clock_.Advance(Directory::kMaxStaleTime);
  EXPECT_EQ(Ready(), (std::set<std::string>{"a", "b"}));
}

TEST_F(RestoredDirectoryTest, KeepsEntriesThatOlderCopyLacks) {
  directory_.Replace({MakeUpstream("a"), MakeUpstream("b")}, clock_.Now());
  directory_.Replace({MakeUpstream("a")}, clock_.Now(), /*is_restored=*/true);
  EXPECT_EQ(Ready(), (std::set<std::string>{"a", "b"}));
  clock_.Advance(seconds(2));
  EXPECT_EQ(Ready(), (std::set<std::string>{"a"}));
}

// A model of the store: entries of upstreams, a history, and restorations.
class ModelStore {
 public:
  struct Answer {
    bool is_list = false;
    StoreRevision revision;
    std::map<std::string, Upstream> items;         // Of a list.
    std::vector<std::optional<Upstream>> changes;  // Of a watch.
    std::vector<std::string> changed_ids;
  };

  void Write(const std::string& id, std::optional<Upstream> entry) {
    const auto found = entries_.find(id);
    if (entry.has_value() ? found != entries_.end() && found->second == *entry
                          : found == entries_.end()) {
      return;
    }
    if (entry.has_value()) {
      entries_[id] = *entry;
    } else {
      entries_.erase(id);
    }
    ++revision_;
    history_.push_back({revision_, id, entry});
    copies_.push_back({revision_, entries_});
  }
  // Loses the last `changes` changes.
  void Restore(size_t changes) {
    ++era_;
    while (changes-- > 0 && copies_.size() > 1) {
      copies_.pop_back();
    }
    revision_ = copies_.back().first;
    entries_ = copies_.back().second;
    std::erase_if(history_, [this](const Change& change) {
      return change.revision > revision_;
    });
  }
  Answer List() const {
    return {.is_list = true, .revision = revision(), .items = entries_};
  }
  // nullopt for 410.
  std::optional<Answer> Watch(uint64_t from) const {
    if (from > revision_) {
      return std::nullopt;
    }
    Answer answer{.revision = revision()};
    for (const Change& change : history_) {
      if (change.revision > from) {
        answer.changes.push_back(change.entry);
        answer.changed_ids.push_back(change.id);
      }
    }
    return answer;
  }
  StoreRevision revision() const { return {era_, revision_}; }
  const std::map<std::string, Upstream>& entries() const { return entries_; }

 private:
  struct Change {
    uint64_t revision = 0;
    std::string id;
    std::optional<Upstream> entry;
  };

  uint64_t era_ = 1;
  uint64_t revision_ = 1;
  std::map<std::string, Upstream> entries_;
  std::deque<Change> history_;
  std::vector<std::pair<uint64_t, std::map<std::string, Upstream>>> copies_ = {
      {1, {}}};
};

// Follows a ModelStore as RecordFollower does. Answers may arrive late.
class ModelFollower {
 public:
  ModelFollower(const ModelStore& store, kernel::ManualClock& clock)
      : store_(store), clock_(clock) {}

  // Takes an answer that the store gives now.
  void Ask() {
    pending_ = cursor_.has_list() ? store_.Watch(cursor_.position().revision)
                                  : store_.List();
    if (!pending_.has_value()) {
      cursor_.RequireList();
    }
  }
  void Receive() {
    if (!pending_.has_value()) {
      return;
    }
    const ModelStore::Answer answer = *std::exchange(pending_, std::nullopt);
    const StoreRevision before = cursor_.position();
    const AnswerUse use = answer.is_list ? cursor_.OnList(answer.revision)
                                         : cursor_.OnWatch(answer.revision);
    RC_ASSERT(cursor_.position() >= before);
    if (use != AnswerUse::kApply) {
      return;
    }
    if (answer.is_list) {
      std::vector<Upstream> all;
      for (const auto& [id, entry] : answer.items) {
        all.push_back(entry);
      }
      directory_.Replace(all, clock_.Now(), cursor_.is_restored());
    }
    for (size_t i = 0; i < answer.changes.size(); ++i) {
      if (answer.changes[i].has_value()) {
        directory_.Put(*answer.changes[i], clock_.Now());
      } else {
        directory_.Remove(answer.changed_ids[i], clock_.Now());
      }
    }
  }
  std::set<std::string> Ready() {
    std::set<std::string> ids;
    for (const Upstream* upstream : directory_.Ready("desk", clock_.Now())) {
      ids.insert(upstream->id);
    }
    return ids;
  }
  StoreRevision position() const { return cursor_.position(); }

 private:
  const ModelStore& store_;
  kernel::ManualClock& clock_;
  StoreCursor cursor_;
  Directory directory_{milliseconds(1500)};
  std::optional<ModelStore::Answer> pending_;
};

// After any sequence of writes, restorations and late answers, and once all
// upstreams have written their entries again, a follower knows what the store
// holds.
RC_GTEST_PROP(StoreRestorationProperty,
              FollowerEndsWithTheStoresEntries,
              (const std::vector<uint8_t>& operations)) {
  constexpr size_t kUpstreams = 4;
  kernel::ManualClock clock;
  ModelStore store;
  ModelFollower follower(store, clock);
  // What each upstream would write; draining and gone are final.
  std::vector<std::optional<Upstream>> truth;
  for (size_t i = 0; i < kUpstreams; ++i) {
    truth.push_back(MakeUpstream(std::to_string(i)));
    store.Write(truth[i]->id, truth[i]);
  }
  for (const uint8_t operation : operations) {
    const size_t i = operation / 8 % kUpstreams;
    const std::string id = std::to_string(i);
    switch (operation % 8) {
      case 0:
        if (truth[i].has_value()) {
          truth[i]->is_draining = true;
        }
        store.Write(id, truth[i]);
        break;
      case 1:
        truth[i].reset();
        store.Write(id, truth[i]);
        break;
      case 2:
        store.Restore(operation / 64);
        break;
      case 3:
        store.Write(id, truth[i]);
        break;
      case 4:
        clock.Advance(milliseconds(700));
        break;
      case 5:
        follower.Receive();
        break;
      default:
        follower.Ask();
        if (operation % 8 == 7) {
          follower.Receive();
        }
        break;
    }
  }
  for (size_t i = 0; i < kUpstreams; ++i) {
    store.Write(std::to_string(i), truth[i]);
  }
  for (int i = 0; i < 5; ++i) {
    follower.Receive();
    follower.Ask();
  }
  follower.Receive();
  clock.Advance(seconds(6));
  std::set<std::string> expected;
  for (const auto& [id, entry] : store.entries()) {
    if (!entry.is_draining) {
      expected.insert(id);
    }
  }
  RC_ASSERT(follower.Ready() == expected);
  RC_ASSERT(follower.position() == store.revision());
}

}  // namespace
}  // namespace jackdawshunt::routing
