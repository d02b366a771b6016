#include "jackdawshunt/configuration/task.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/random/random.h"
#include "absl/strings/str_cat.h"
#include "jackdawshunt/base/log.h"

namespace jackdawshunt::configuration {
namespace {

using protocol::ConfigPull;
using protocol::ConfigPush;
using protocol::ConfigRecord;

constexpr char kPrefix[] = "config/";
// Concurrent pulls. A ready process pulls from one peer at a time, because a
// pull lists every stored version and all peers usually show the same change at
// the same time. A starting process does not know which of its peers are ready.
constexpr size_t kMaxPullsWhenReady = 1;
constexpr size_t kMaxPullsWhenStarting = 3;

std::vector<ConfigRecord> ToConfigRecords(
    std::vector<object_api::Object> objects) {
  std::vector<ConfigRecord> records;
  records.reserve(objects.size());
  for (object_api::Object& object : objects) {
    records.push_back({.key = std::move(object.key),
                       .version = object.version,
                       .deleted = object.deleted,
                       .value = std::move(object.value)});
  }
  return records;
}

std::vector<ConfigPush> SplitIntoPushes(std::vector<ConfigRecord> records) {
  std::vector<ConfigPush> pushes;
  size_t bytes = 0;
  for (ConfigRecord& record : records) {
    const size_t size = record.key.size() + record.value.size();
    if (pushes.empty() || bytes + size > kMaxPushBytes) {
      pushes.emplace_back();
      bytes = 0;
    }
    bytes += size;
    pushes.back().records.push_back(std::move(record));
  }
  pushes.emplace_back();
  return pushes;
}

}  // namespace

struct Task::Impl : std::enable_shared_from_this<Task::Impl> {
  struct Pull {
    std::weak_ptr<protocol::Connection> connection;
    kernel::TimePoint deadline;
    uint64_t peer_digest = 0;
  };
  // The digests of the peer and of this process after a complete pull.
  struct CompletedPull {
    uint64_t peer_digest = 0;
    uint64_t own_digest = 0;
  };

  Impl(kernel::EventLoop& event_loop,
       object_api::Client& platform_client,
       Store& record_store,
       const membership::View& membership_view,
       protocol::PeerInfo self_info,
       TaskTimes task_times)
      : loop(event_loop),
        client(platform_client),
        store(record_store),
        view(membership_view),
        self(std::move(self_info)),
        times(task_times) {}

  kernel::TimePoint Now() const { return loop.clock().Now(); }

  void Start() {
    started_at = Now();
    tick = loop.Every(times.tick, [this] { Tick(); });
    initial_read_timer = loop.After(times.peer_wait, [this] {
      needs_initial_read = !is_ready;
      CallPlatform();
    });
    Tick();
  }

  void Tick() {
    const kernel::TimePoint now = Now();
    std::erase_if(pulls, [now](const auto& entry) {
      const auto connection = entry.second.connection.lock();
      return entry.second.deadline <= now || connection == nullptr ||
             !connection->is_open();
    });
    std::erase_if(last_heartbeats, [&](const auto& entry) {
      return entry.second + times.heartbeat_timeout < now;
    });
    std::erase_if(completed_pulls, [this](const auto& entry) {
      return !last_heartbeats.contains(entry.first);
    });
    CallPlatform();
  }

  // Excludes entries without recent heartbeats. An entry that is down for good
  // would otherwise be chosen until the instance list drops it.
  bool IsWatcher() const {
    if (self.role != protocol::Role::kEntry) {
      return false;
    }
    std::vector<std::string> entries = view.LiveEntries(self.data_centre);
    if (Now() >= started_at + times.heartbeat_timeout) {
      std::erase_if(entries, [this](const std::string& entry) {
        return entry != self.instance && !last_heartbeats.contains(entry);
      });
    }
    const auto watchers =
        membership::View::Choose(absl::StrCat("watch/", self.data_centre),
                                 entries, kWatchersPerDataCentre);
    return std::find(watchers.begin(), watchers.end(), self.instance) !=
           watchers.end();
  }

  // Starts the next call to the platform if one is due and none is in flight.
  void CallPlatform() {
    const bool is_watcher = IsWatcher();
    if (is_calling || Now() < next_call ||
        (!is_watcher && !needs_initial_read)) {
      return;
    }
    is_calling = true;
    // Without a complete list, the changes before the watch would be missed.
    // The watch resumes from the revision of the platform's own replies,
    // because the store may have newer records from peers and still lack older
    // ones.
    if (platform_revision == 0) {
      client.List(kPrefix, MakeCallback([this](object_api::Listing listing) {
                    OnListing(std::move(listing));
                  }));
    } else {
      client.Watch(kPrefix, platform_revision, times.watch_wait,
                   MakeCallback([this](object_api::Listing changes) {
                     OnChanges(std::move(changes));
                   }));
    }
  }

  // Wraps a handler of successful replies. Drops replies that arrive after
  // destruction.
  object_api::Callback<object_api::Listing> MakeCallback(
      std::function<void(object_api::Listing)> handler) {
    return [weak = weak_from_this(), handler = std::move(handler)](
               absl::StatusOr<object_api::Listing> reply) {
      const auto impl = weak.lock();
      if (impl == nullptr) {
        return;
      }
      impl->is_calling = false;
      if (reply.ok()) {
        impl->failures = 0;
        handler(*std::move(reply));
      } else {
        impl->OnFailure(reply.status());
      }
    };
  }

  void OnListing(object_api::Listing listing) {
    platform_revision = listing.revision;
    store.MergeListing(listing.revision,
                       ToConfigRecords(std::move(listing.objects)));
    BecomeReady("platform");
    CallPlatform();
  }

  void OnChanges(object_api::Listing changes) {
    if (changes.revision < platform_revision) {
      // The platform lost writes. A complete list shows its current objects.
      platform_revision = 0;
    } else {
      platform_revision = changes.revision;
      store.Merge(ToConfigRecords(std::move(changes.objects)));
    }
    CallPlatform();
  }

  void OnFailure(const absl::Status& status) {
    constexpr int kMaxDoublings = 16;
    const auto pause =
        std::min(times.max_backoff,
                 times.min_backoff * (1 << std::min(failures, kMaxDoublings)));
    ++failures;
    if (!absl::IsUnavailable(status) && !absl::IsDeadlineExceeded(status)) {
      // The platform rejected the revision, for instance because it no longer
      // has changes that old.
      platform_revision = 0;
    }
    base::Log(base::LogLevel::kWarning, "platform_call_failed",
              {{"error", status.ToString()}, {"failures", failures}});
    // Jitter prevents that the whole fleet calls a recovered platform at once.
    const auto delay = kernel::Duration(
        absl::Uniform(random, pause.count() / 2, pause.count() + 1));
    next_call = Now() + delay;
    retry_timer = loop.After(delay, [this] { CallPlatform(); });
  }

  void BecomeReady(std::string_view source) {
    needs_initial_read = false;
    if (is_ready) {
      return;
    }
    is_ready = true;
    base::Log(base::LogLevel::kInfo, "configuration_ready",
              {{"source", source}, {"revision", store.revision()}});
  }

  using ConnectionPtr = std::shared_ptr<protocol::Connection>;

  void OnHeartbeat(const ConnectionPtr& connection,
                   const protocol::Heartbeat& heartbeat) {
    const std::string& peer = connection->peer().instance;
    last_heartbeats[peer] = Now();
    // The process with the lower revision pulls first. At equal revisions, the
    // digests show whether one of the two lacks records of the other.
    const bool is_behind = heartbeat.config_revision > store.revision() ||
                           (heartbeat.config_revision == store.revision() &&
                            heartbeat.config_digest != store.digest());
    const size_t limit = is_ready ? kMaxPullsWhenReady : kMaxPullsWhenStarting;
    if ((is_ready && (!is_behind || IsPullRedundant(peer, heartbeat))) ||
        pulls.contains(peer) || pulls.size() >= limit) {
      return;
    }
    pulls[peer] = {connection, Now() + times.pull_timeout,
                   heartbeat.config_digest};
    connection->Send(ConfigPull{store.Versions()});
  }

  // Returns true if neither digest has changed since the last complete pull
  // from the peer. Processes of different releases may validate records
  // differently; their digests then differ permanently, and further pulls
  // return nothing new.
  bool IsPullRedundant(const std::string& peer,
                       const protocol::Heartbeat& heartbeat) const {
    const auto found = completed_pulls.find(peer);
    return found != completed_pulls.end() &&
           found->second.peer_digest == heartbeat.config_digest &&
           found->second.own_digest == store.digest();
  }

  void OnPull(const ConnectionPtr& connection, const ConfigPull& pull) const {
    // A starting process does not reply, so that a reply proves that its sender
    // was ready.
    if (!is_ready) {
      return;
    }
    for (const ConfigPush& push :
         SplitIntoPushes(store.NewerThan(pull.known))) {
      connection->Send(push);
    }
  }

  void OnPush(const ConnectionPtr& connection, const ConfigPush& push) {
    const std::string& peer = connection->peer().instance;
    const auto pull = pulls.find(peer);
    const bool is_reply =
        pull != pulls.end() && pull->second.connection.lock() == connection;
    if (!push.records.empty()) {
      if (is_reply) {
        pull->second.deadline = Now() + times.pull_timeout;
      }
      store.Merge(push.records);
      return;
    }
    if (is_reply) {
      completed_pulls[peer] = {pull->second.peer_digest, store.digest()};
      pulls.erase(pull);
      BecomeReady(peer);
    }
  }

  kernel::EventLoop& loop;
  object_api::Client& client;
  Store& store;
  const membership::View& view;
  const protocol::PeerInfo self;
  const TaskTimes times;

  bool is_ready = false;
  bool needs_initial_read = false;
  bool is_calling = false;
  int failures = 0;
  // Revision up to which the changes on the platform are known; 0: none.
  uint64_t platform_revision = 0;
  kernel::TimePoint started_at;
  kernel::TimePoint next_call;
  // By instance name of the peer.
  std::map<std::string, Pull, std::less<>> pulls;
  std::map<std::string, kernel::TimePoint, std::less<>> last_heartbeats;
  std::map<std::string, CompletedPull, std::less<>> completed_pulls;
  absl::BitGen random;
  kernel::Timer tick;
  kernel::Timer initial_read_timer;
  kernel::Timer retry_timer;
};

Task::Task(kernel::EventLoop& loop,
           object_api::Client& client,
           Store& store,
           const membership::View& view,
           protocol::PeerInfo self,
           TaskTimes times)
    : impl_(std::make_shared<Impl>(loop,
                                   client,
                                   store,
                                   view,
                                   std::move(self),
                                   times)) {}

Task::~Task() = default;

void Task::Start() {
  impl_->Start();
}

bool Task::is_ready() const {
  return impl_->is_ready;
}

void Task::OnPeerMessage(
    const std::shared_ptr<protocol::Connection>& connection,
    const protocol::Message& message) {
  if (const auto* heartbeat = std::get_if<protocol::Heartbeat>(&message)) {
    impl_->OnHeartbeat(connection, *heartbeat);
  } else if (const auto* pull = std::get_if<ConfigPull>(&message)) {
    impl_->OnPull(connection, *pull);
  } else if (const auto* push = std::get_if<ConfigPush>(&message)) {
    impl_->OnPush(connection, *push);
  }
}

void Task::FillHeartbeat(protocol::Heartbeat& heartbeat) const {
  heartbeat.config_revision = impl_->is_ready ? impl_->store.revision() : 0;
  heartbeat.config_digest = impl_->is_ready ? impl_->store.digest() : 0;
}

}  // namespace jackdawshunt::configuration
