#include "jackdawshunt/configuration/task.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"

namespace jackdawshunt::configuration {
namespace {

using protocol::ConfigPull;
using protocol::ConfigPush;
using protocol::Heartbeat;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;
using ::testing::IsEmpty;
using ::testing::SizeIs;

// Far above what any step needs.
constexpr seconds kLimit{20};

std::string ModelValue(const std::string& name, size_t padding = 0) {
  return absl::StrCat(R"({"kind": "model", "schema": 1, "name": ")", name,
                      R"(", "spec": {"versions": ["1"]}})",
                      std::string(padding, ' '));
}

// An object store in memory with its history, and failures on demand.
class FakeClient final : public object_api::Client {
 public:
  explicit FakeClient(kernel::EventLoop& loop)
      : object_api::Client(loop, {}), loop_(loop) {}

  void Write(const std::string& name, size_t padding = 0) {
    objects_["config/model/" + name] = {.key = "config/model/" + name,
                                        .version = ++revision,
                                        .value = ModelValue(name, padding)};
    const auto watches = std::exchange(watches_, {});
    for (const auto& [from, done] : watches) {
      done(Changes(from));
    }
  }

  void List(const std::string&,
            object_api::Callback<object_api::Listing> done) override {
    ++lists;
    Answer(std::move(done), Changes(0));
  }
  void Watch(const std::string&,
             uint64_t from,
             kernel::Duration,
             object_api::Callback<object_api::Listing> done) override {
    watched_from.push_back(from);
    if (!failures.empty() || revision > from) {
      Answer(std::move(done), Changes(from));
    } else {
      watches_.emplace_back(from, std::move(done));
    }
  }

  // Ends all pending watches without changes, as their time limit does.
  void EndWatches() {
    const auto watches = std::exchange(watches_, {});
    for (const auto& [from, done] : watches) {
      done(Changes(from));
    }
  }
  size_t pending_watches() const { return watches_.size(); }

  uint64_t revision = 0;
  int lists = 0;
  std::vector<uint64_t> watched_from;
  std::deque<absl::Status> failures;  // Of the next calls.

 private:
  object_api::Listing Changes(uint64_t from) const {
    object_api::Listing listing{.revision = revision};
    for (const auto& [key, object] : objects_) {
      if (object.version > from) {
        listing.objects.push_back(object);
      }
    }
    return listing;
  }
  void Answer(object_api::Callback<object_api::Listing> done,
              absl::StatusOr<object_api::Listing> answer) {
    if (!failures.empty()) {
      answer = failures.front();
      failures.pop_front();
    }
    loop_.Post([done = std::move(done), answer] { done(answer); });
  }

  kernel::EventLoop& loop_;
  std::map<std::string, object_api::Object> objects_;
  std::list<std::pair<uint64_t, object_api::Callback<object_api::Listing>>>
      watches_;
};

// One end of a connection; keeps what is sent and passes it to `deliver`.
class FakeConnection final : public protocol::Connection {
 public:
  explicit FakeConnection(protocol::PeerInfo peer) : peer_(std::move(peer)) {}

  const protocol::PeerInfo& peer() const override { return peer_; }
  bool is_open() const override { return open; }
  void Send(const protocol::Message& message) override {
    sent.push_back(message);
    if (deliver) {
      deliver(message);
    }
  }
  size_t buffered_bytes() const override { return 0; }
  void Close(std::string_view) override { open = false; }
  void OnMessage(std::function<void(protocol::Message)>) override {}
  void OnClosed(std::function<void(std::string_view)>) override {}

  template <typename T>
  std::vector<T> Sent() const {
    std::vector<T> messages;
    for (const protocol::Message& message : sent) {
      if (const T* typed = std::get_if<T>(&message)) {
        messages.push_back(*typed);
      }
    }
    return messages;
  }

  bool open = true;
  std::vector<protocol::Message> sent;
  std::function<void(const protocol::Message&)> deliver;

 private:
  protocol::PeerInfo peer_;
};

protocol::PeerInfo Entry(const std::string& name) {
  return {.instance = name, .data_centre = "tacoma-a"};
}

object_api::Instance Row(const std::string& name) {
  return {.instance = name, .role = "entry", .data_centre = "tacoma-a"};
}

// One process; by default it asks no one by itself.
struct Process {
  Process(kernel::EventLoop& loop,
          FakeClient& client,
          const std::string& name,
          TaskTimes times)
      : self(Entry(name)), task(loop, client, store, view, self, times) {}

  bool Has(const std::string& model) const {
    return store.snapshot().models.contains(model);
  }

  protocol::PeerInfo self;
  Store store;
  membership::View view;
  Task task;
};

class TaskTest : public ::testing::Test {
 protected:
  TaskTest() {
    times.tick = milliseconds(5);
    times.peer_wait = hours(1);
    times.pull_limit = hours(1);
    times.silence_limit = hours(1);
    times.min_backoff = milliseconds(1);
    times.max_backoff = milliseconds(4);
  }

  Process& Add(const std::string& name) {
    processes.push_back(std::make_unique<Process>(loop, client, name, times));
    return *processes.back();
  }
  void Connect(Process& a, Process& b) {
    auto to_b = std::make_shared<FakeConnection>(b.self);
    auto to_a = std::make_shared<FakeConnection>(a.self);
    const auto forward = [this](Process& to, auto back) {
      return [this, &to, back](const protocol::Message& message) {
        loop.Post([&to, back, message] {
          if (const auto connection = back.lock()) {
            to.task.OnPeerMessage(connection, message);
          }
        });
      };
    };
    to_b->deliver = forward(b, std::weak_ptr(to_a));
    to_a->deliver = forward(a, std::weak_ptr(to_b));
    connections.push_back(to_b);
    connections.push_back(to_a);
  }
  // Every process sends a heartbeat to each peer.
  void Beat() {
    for (size_t i = 0; i < connections.size(); ++i) {
      const auto& peer = connections[i ^ 1]->peer().instance;
      for (const auto& process : processes) {
        if (process->self.instance == peer) {
          Heartbeat heartbeat;
          process->task.FillHeartbeat(heartbeat);
          connections[i]->Send(heartbeat);
        }
      }
    }
  }
  bool Until(const std::function<bool()>& done) {
    return loop.RunUntil(done, kLimit);
  }

  kernel::EventLoop loop;
  FakeClient client{loop};
  TaskTimes times;
  std::vector<std::unique_ptr<Process>> processes;
  std::vector<std::shared_ptr<FakeConnection>> connections;
};

TEST_F(TaskTest, WatcherListsAndThenFollowsChanges) {
  client.Write("quill");
  Process& process = Add("e1");
  process.view.Update({Row("e1")});
  process.task.Start();
  EXPECT_FALSE(process.task.is_ready());
  ASSERT_TRUE(Until([&] { return client.pending_watches() == 1; }));
  EXPECT_TRUE(process.task.is_ready());
  EXPECT_TRUE(process.Has("quill"));
  client.Write("scribe");
  EXPECT_TRUE(Until([&] { return process.Has("scribe"); }));
  EXPECT_EQ(client.lists, 1);
}

// Guards against a watch per process: the platform bills each.
TEST_F(TaskTest, TwoOfManyWatchAndTheOthersLearnFromThem) {
  // Pulls from peers that are still starting are not answered.
  times.pull_limit = milliseconds(20);
  client.Write("quill");
  std::vector<object_api::Instance> rows;
  for (const char* name : {"e1", "e2", "e3", "e4", "e5"}) {
    rows.push_back(Row(name));
    Add(name);
  }
  for (size_t i = 0; i < processes.size(); ++i) {
    processes[i]->view.Update(rows);
    processes[i]->task.Start();
    for (size_t j = 0; j < i; ++j) {
      Connect(*processes[j], *processes[i]);
    }
  }
  const auto all_have = [&](const std::string& model) {
    Beat();
    return std::all_of(processes.begin(), processes.end(),
                       [&](const auto& process) {
                         return process->task.is_ready() && process->Has(model);
                       });
  };
  EXPECT_TRUE(Until([&] { return all_have("quill"); }));
  client.Write("scribe");
  EXPECT_TRUE(Until([&] { return all_have("scribe"); }));
  EXPECT_EQ(client.lists, 2);
  EXPECT_TRUE(Until([&] { return client.pending_watches() == 2; }));
}

// Guards against a busy loop, and against changes lost during an outage.
TEST_F(TaskTest, OutageDelaysChangesButLosesNone) {
  Process& process = Add("e1");
  client.Write("quill");
  process.view.Update({Row("e1")});
  process.task.Start();
  ASSERT_TRUE(Until([&] { return client.pending_watches() == 1; }));
  client.failures.assign(3, absl::UnavailableError("down"));
  client.EndWatches();
  EXPECT_TRUE(Until([&] { return client.failures.empty(); }));
  client.Write("scribe");
  EXPECT_TRUE(Until([&] { return process.Has("scribe"); }));
  EXPECT_EQ(client.lists, 1);
  // The platform no longer knows the revision: only a list is complete.
  client.failures.push_back(absl::InvalidArgumentError("compacted"));
  client.EndWatches();
  EXPECT_TRUE(Until([&] { return client.lists == 2; }));
  EXPECT_TRUE(Until([&] { return client.pending_watches() == 1; }));
}

// Guards against a watch that resumes from the store's revision: a record from
// a peer may be newer than one that the watch has not delivered yet.
TEST_F(TaskTest, ResumedWatchContinuesFromThePlatformsRevision) {
  Process& process = Add("e1");
  client.Write("quill");
  process.view.Update({Row("e1")});
  process.task.Start();
  ASSERT_TRUE(Until([&] { return client.pending_watches() == 1; }));
  process.view.Update({});
  client.EndWatches();
  client.Write("scribe");
  client.Write("clerk");
  process.store.Merge({{.key = "config/model/clerk",
                        .version = 3,
                        .value = ModelValue("clerk")}});
  EXPECT_FALSE(process.Has("scribe"));
  process.view.Update({Row("e1")});
  EXPECT_TRUE(Until([&] { return process.Has("scribe"); }));
  EXPECT_EQ(client.lists, 1);
}

// Guards against a process without peers that never becomes ready.
TEST_F(TaskTest, StartingProcessWithoutPeersReadsThePlatformOnce) {
  times.peer_wait = milliseconds(1);
  client.Write("quill");
  client.failures.push_back(absl::DeadlineExceededError("slow"));
  Process& process = Add("e1");
  process.task.Start();
  EXPECT_TRUE(Until([&] { return process.task.is_ready(); }));
  EXPECT_TRUE(process.Has("quill"));
  EXPECT_EQ(client.lists, 2);
  EXPECT_THAT(client.watched_from, IsEmpty());
}

// Guards against a starting process that is ready with the records of a peer
// that has none yet, and against the empty revision of one that is starting.
TEST_F(TaskTest, StartingProcessDoesNotAnswerPulls) {
  Process& process = Add("e1");
  process.task.Start();
  process.store.Merge({{.key = "config/model/quill",
                        .version = 3,
                        .value = ModelValue("quill")}});
  const auto peer = std::make_shared<FakeConnection>(Entry("e2"));
  process.task.OnPeerMessage(peer, ConfigPull{});
  EXPECT_THAT(peer->sent, IsEmpty());
  Heartbeat heartbeat;
  process.task.FillHeartbeat(heartbeat);
  EXPECT_EQ(heartbeat.config_revision, 0);
  process.task.OnPeerMessage(peer, Heartbeat{});
  EXPECT_THAT(peer->Sent<ConfigPull>(), SizeIs(1));
  process.task.OnPeerMessage(peer, ConfigPush{});
  EXPECT_TRUE(process.task.is_ready());
  process.task.OnPeerMessage(peer, ConfigPull{});
  EXPECT_THAT(peer->Sent<ConfigPush>(), SizeIs(2));
}

// Guards against a control-traffic storm: a pull lists every version held.
TEST_F(TaskTest, OnePullIsInFlightAndFruitlessOnesAreNotRepeated) {
  Process& process = Add("e1");
  process.task.Start();
  const auto peer = std::make_shared<FakeConnection>(Entry("e2"));
  const Heartbeat heartbeat{.config_revision = 7, .config_digest = 99};
  for (int i = 0; i < 3; ++i) {
    process.task.OnPeerMessage(peer, heartbeat);
  }
  EXPECT_THAT(peer->Sent<ConfigPull>(), SizeIs(1));
  process.task.OnPeerMessage(peer, ConfigPush{});
  ASSERT_TRUE(process.task.is_ready());
  process.task.OnPeerMessage(peer, heartbeat);
  EXPECT_THAT(peer->Sent<ConfigPull>(), SizeIs(1));
  process.task.OnPeerMessage(
      peer, Heartbeat{.config_revision = 8, .config_digest = 100});
  EXPECT_THAT(peer->Sent<ConfigPull>(), SizeIs(2));
  process.task.OnPeerMessage(peer, ConfigPush{});
  process.task.OnPeerMessage(peer, Heartbeat{});
  EXPECT_THAT(peer->Sent<ConfigPull>(), SizeIs(2));
}

// Guards against a process that waits forever for a peer that went silent.
TEST_F(TaskTest, UnansweredPullIsGivenUp) {
  times.pull_limit = milliseconds(1);
  Process& process = Add("e1");
  process.task.Start();
  const auto peer = std::make_shared<FakeConnection>(Entry("e2"));
  EXPECT_TRUE(Until([&] {
    process.task.OnPeerMessage(peer, Heartbeat{.config_revision = 7});
    return peer->Sent<ConfigPull>().size() == 2;
  }));
}

// Guards against a push that does not fit a frame or delays other messages.
TEST_F(TaskTest, PushesAreSplit) {
  constexpr size_t kPadding = size_t{100} * 1024;
  for (const char* name : {"a", "b", "c", "d", "e"}) {
    client.Write(name, kPadding);
  }
  Process& process = Add("e1");
  process.view.Update({Row("e1")});
  process.task.Start();
  ASSERT_TRUE(Until([&] { return process.task.is_ready(); }));
  const auto peer = std::make_shared<FakeConnection>(Entry("e2"));
  process.task.OnPeerMessage(peer, ConfigPull{{{"config/model/a", 1}}});
  const auto pushes = peer->Sent<ConfigPush>();
  ASSERT_THAT(pushes, SizeIs(3));
  EXPECT_THAT(pushes[0].records, SizeIs(2));
  EXPECT_THAT(pushes[1].records, SizeIs(2));
  EXPECT_THAT(pushes[2].records, IsEmpty());
}

// Guards against watchers that are down for good and still listed.
TEST_F(TaskTest, SilentWatchersAreReplaced) {
  times.silence_limit = milliseconds(1);
  client.Write("quill");
  Process& process = Add("e1");
  std::vector<object_api::Instance> rows = {Row("e1")};
  for (int i = 0; i < 50; ++i) {
    rows.push_back(Row(absl::StrCat("silent-", i)));
  }
  process.view.Update(rows);
  process.task.Start();
  EXPECT_TRUE(Until([&] { return client.pending_watches() == 1; }));
  EXPECT_TRUE(process.Has("quill"));
}

// Guards against an answer that arrives after the task was destroyed.
TEST_F(TaskTest, AnswerAfterDestructionIsDropped) {
  auto store = std::make_unique<Store>();
  membership::View view;
  view.Update({Row("e1")});
  auto task =
      std::make_unique<Task>(loop, client, *store, view, Entry("e1"), times);
  task->Start();
  task.reset();
  store.reset();
  bool is_later = false;
  loop.Post([&] { is_later = true; });
  EXPECT_TRUE(Until([&] { return is_later; }));
  EXPECT_EQ(client.lists, 1);
}

}  // namespace
}  // namespace jackdawshunt::configuration
