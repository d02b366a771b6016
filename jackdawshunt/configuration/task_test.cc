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

// Far longer than any step takes.
constexpr seconds kTimeout{20};

std::string ModelValue(const std::string& name, size_t padding = 0) {
  return absl::StrCat(R"({"kind": "model", "schema": 1, "name": ")", name,
                      R"(", "spec": {"versions": ["1"]}})",
                      std::string(padding, ' '));
}

// An in-memory object store that can be made to fail.
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
    ++list_calls;
    Reply(std::move(done), Changes(0));
  }
  void Watch(const std::string&,
             uint64_t from,
             kernel::Duration,
             object_api::Callback<object_api::Listing> done) override {
    watched_from.push_back(from);
    if (!failures.empty() || revision > from) {
      Reply(std::move(done), Changes(from));
    } else {
      watches_.emplace_back(from, std::move(done));
    }
  }

  // Completes all pending watches without changes, as at their time limit.
  void EndWatches() {
    const auto watches = std::exchange(watches_, {});
    for (const auto& [from, done] : watches) {
      done(Changes(from));
    }
  }
  size_t pending_watches() const { return watches_.size(); }

  uint64_t revision = 0;
  int list_calls = 0;
  std::vector<uint64_t> watched_from;
  std::deque<absl::Status> failures;  // The results of the next calls.

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
  void Reply(object_api::Callback<object_api::Listing> done,
             absl::StatusOr<object_api::Listing> reply) {
    if (!failures.empty()) {
      reply = failures.front();
      failures.pop_front();
    }
    loop_.Post([done = std::move(done), reply] { done(reply); });
  }

  kernel::EventLoop& loop_;
  std::map<std::string, object_api::Object> objects_;
  std::list<std::pair<uint64_t, object_api::Callback<object_api::Listing>>>
      watches_;
};

// One end of a connection. Records sent messages and passes them to `deliver`.
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

protocol::PeerInfo EntryPeer(const std::string& name) {
  return {.instance = name, .data_centre = "tacoma-a"};
}

object_api::Instance EntryInstance(const std::string& name) {
  return {.instance = name, .role = "entry", .data_centre = "tacoma-a"};
}

// A process. With the times of the fixture it does not read the platform unless
// it is a watcher.
struct Process {
  Process(kernel::EventLoop& loop,
          FakeClient& client,
          const std::string& name,
          TaskTimes times)
      : self(EntryPeer(name)), task(loop, client, store, view, self, times) {}

  bool HasModel(const std::string& model) const {
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
    times.pull_timeout = hours(1);
    times.heartbeat_timeout = hours(1);
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
  // Sends a heartbeat from every process to each of its peers.
  void SendHeartbeats() {
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
  bool RunUntil(const std::function<bool()>& done) {
    return loop.RunUntil(done, kTimeout);
  }

  kernel::EventLoop loop;
  FakeClient client{loop};
  TaskTimes times;
  std::vector<std::unique_ptr<Process>> processes;
  std::vector<std::shared_ptr<FakeConnection>> connections;
};

TEST_F(TaskTest, WatcherListsOnceAndThenReceivesChanges) {
  client.Write("quill");
  Process& process = Add("e1");
  process.view.Update({EntryInstance("e1")});
  process.task.Start();
  EXPECT_FALSE(process.task.is_ready());
  ASSERT_TRUE(RunUntil([&] { return client.pending_watches() == 1; }));
  EXPECT_TRUE(process.task.is_ready());
  EXPECT_TRUE(process.HasModel("quill"));
  client.Write("scribe");
  EXPECT_TRUE(RunUntil([&] { return process.HasModel("scribe"); }));
  EXPECT_EQ(client.list_calls, 1);
}

// Guards against one watch per process, because the platform bills each watch.
TEST_F(TaskTest, OnlyTwoProcessesWatchAndTheOthersPullFromThem) {
  // Peers that are still starting do not reply to pulls.
  times.pull_timeout = milliseconds(20);
  client.Write("quill");
  std::vector<object_api::Instance> instances;
  for (const char* name : {"e1", "e2", "e3", "e4", "e5"}) {
    instances.push_back(EntryInstance(name));
    Add(name);
  }
  for (size_t i = 0; i < processes.size(); ++i) {
    processes[i]->view.Update(instances);
    processes[i]->task.Start();
    for (size_t j = 0; j < i; ++j) {
      Connect(*processes[j], *processes[i]);
    }
  }
  const auto all_have = [&](const std::string& model) {
    SendHeartbeats();
    return std::all_of(
        processes.begin(), processes.end(), [&](const auto& process) {
          return process->task.is_ready() && process->HasModel(model);
        });
  };
  EXPECT_TRUE(RunUntil([&] { return all_have("quill"); }));
  client.Write("scribe");
  EXPECT_TRUE(RunUntil([&] { return all_have("scribe"); }));
  EXPECT_EQ(client.list_calls, 2);
  EXPECT_TRUE(RunUntil([&] { return client.pending_watches() == 2; }));
}

// Guards against a busy loop and lost changes during an outage of the platform.
TEST_F(TaskTest, PlatformOutageDelaysChangesButLosesNone) {
  Process& process = Add("e1");
  client.Write("quill");
  process.view.Update({EntryInstance("e1")});
  process.task.Start();
  ASSERT_TRUE(RunUntil([&] { return client.pending_watches() == 1; }));
  client.failures.assign(3, absl::UnavailableError("down"));
  client.EndWatches();
  EXPECT_TRUE(RunUntil([&] { return client.failures.empty(); }));
  client.Write("scribe");
  EXPECT_TRUE(RunUntil([&] { return process.HasModel("scribe"); }));
  EXPECT_EQ(client.list_calls, 1);
  // The platform no longer has the changes since the revision, so that only a
  // list is complete.
  client.failures.push_back(absl::InvalidArgumentError("compacted"));
  client.EndWatches();
  EXPECT_TRUE(RunUntil([&] { return client.list_calls == 2; }));
  EXPECT_TRUE(RunUntil([&] { return client.pending_watches() == 1; }));
}

// Guards against a watch that resumes from the revision of the store. A record
// from a peer may be newer than a change that the watch has not returned yet.
TEST_F(TaskTest, WatchResumesFromTheRevisionOfThePlatform) {
  Process& process = Add("e1");
  client.Write("quill");
  process.view.Update({EntryInstance("e1")});
  process.task.Start();
  ASSERT_TRUE(RunUntil([&] { return client.pending_watches() == 1; }));
  process.view.Update({});
  client.EndWatches();
  client.Write("scribe");
  client.Write("clerk");
  process.store.Merge({{.key = "config/model/clerk",
                        .version = 3,
                        .value = ModelValue("clerk")}});
  EXPECT_FALSE(process.HasModel("scribe"));
  process.view.Update({EntryInstance("e1")});
  EXPECT_TRUE(RunUntil([&] { return process.HasModel("scribe"); }));
  EXPECT_EQ(client.list_calls, 1);
}

// Guards against a process without peers that never becomes ready.
TEST_F(TaskTest, StartingProcessWithoutPeersReadsThePlatformOnce) {
  times.peer_wait = milliseconds(1);
  client.Write("quill");
  client.failures.push_back(absl::DeadlineExceededError("slow"));
  Process& process = Add("e1");
  process.task.Start();
  EXPECT_TRUE(RunUntil([&] { return process.task.is_ready(); }));
  EXPECT_TRUE(process.HasModel("quill"));
  EXPECT_EQ(client.list_calls, 2);
  EXPECT_THAT(client.watched_from, IsEmpty());
}

// Guards against a starting process that becomes ready from a peer that is
// still starting itself, and against a heartbeat with the revision of
// incomplete records.
TEST_F(TaskTest, StartingProcessDoesNotReplyToPulls) {
  Process& process = Add("e1");
  process.task.Start();
  process.store.Merge({{.key = "config/model/quill",
                        .version = 3,
                        .value = ModelValue("quill")}});
  const auto peer = std::make_shared<FakeConnection>(EntryPeer("e2"));
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

// Guards against excessive control traffic, because a pull lists every stored
// version.
TEST_F(TaskTest, SendsOnePullAtATimeAndDoesNotRepeatRedundantPulls) {
  Process& process = Add("e1");
  process.task.Start();
  const auto peer = std::make_shared<FakeConnection>(EntryPeer("e2"));
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

// Guards against a process that waits forever for a silent peer.
TEST_F(TaskTest, PullWithoutReplyIsAbandoned) {
  times.pull_timeout = milliseconds(1);
  Process& process = Add("e1");
  process.task.Start();
  const auto peer = std::make_shared<FakeConnection>(EntryPeer("e2"));
  EXPECT_TRUE(RunUntil([&] {
    process.task.OnPeerMessage(peer, Heartbeat{.config_revision = 7});
    return peer->Sent<ConfigPull>().size() == 2;
  }));
}

// Guards against a push that does not fit a frame or delays other messages.
TEST_F(TaskTest, SplitsLargeRepliesIntoSeveralPushes) {
  constexpr size_t kPadding = size_t{100} * 1024;
  for (const char* name : {"a", "b", "c", "d", "e"}) {
    client.Write(name, kPadding);
  }
  Process& process = Add("e1");
  process.view.Update({EntryInstance("e1")});
  process.task.Start();
  ASSERT_TRUE(RunUntil([&] { return process.task.is_ready(); }));
  const auto peer = std::make_shared<FakeConnection>(EntryPeer("e2"));
  process.task.OnPeerMessage(peer, ConfigPull{{{"config/model/a", 1}}});
  const auto pushes = peer->Sent<ConfigPush>();
  ASSERT_THAT(pushes, SizeIs(3));
  EXPECT_THAT(pushes[0].records, SizeIs(2));
  EXPECT_THAT(pushes[1].records, SizeIs(2));
  EXPECT_THAT(pushes[2].records, IsEmpty());
}

// Guards against watchers that are still listed but down for good.
TEST_F(TaskTest, SilentWatchersAreReplaced) {
  times.heartbeat_timeout = milliseconds(1);
  client.Write("quill");
  Process& process = Add("e1");
  std::vector<object_api::Instance> instances = {EntryInstance("e1")};
  for (int i = 0; i < 50; ++i) {
    instances.push_back(EntryInstance(absl::StrCat("silent-", i)));
  }
  process.view.Update(instances);
  process.task.Start();
  EXPECT_TRUE(RunUntil([&] { return client.pending_watches() == 1; }));
  EXPECT_TRUE(process.HasModel("quill"));
}

// Guards against a use after free when a reply arrives after destruction of the
// task.
TEST_F(TaskTest, DropsReplyAfterDestruction) {
  auto store = std::make_unique<Store>();
  membership::View view;
  view.Update({EntryInstance("e1")});
  auto task = std::make_unique<Task>(loop, client, *store, view,
                                     EntryPeer("e1"), times);
  task->Start();
  task.reset();
  store.reset();
  bool has_run = false;
  loop.Post([&] { has_run = true; });
  EXPECT_TRUE(RunUntil([&] { return has_run; }));
  EXPECT_EQ(client.list_calls, 1);
}

}  // namespace
}  // namespace jackdawshunt::configuration
