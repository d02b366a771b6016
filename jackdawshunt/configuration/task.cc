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
// A ready process pulls from one peer at a time: a pull lists every version
// held, and all peers usually show the same change at the same time. A starting
// process does not know which of its peers are ready.
constexpr size_t kPullsWhenReady = 1;
constexpr size_t kPullsWhenStarting = 3;

std::vector<ConfigRecord> ToRecords(std::vector<object_api::Object> objects) {
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

std::vector<ConfigPush> Split(std::vector<ConfigRecord> records) {
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
  // Digests after a complete pull.
  struct Compared {
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
    started = Now();
    tick = loop.Every(times.tick, [this] { Tick(); });
    first_read = loop.After(times.peer_wait, [this] {
      wants_first_read = !is_ready;
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
    std::erase_if(heard, [&](const auto& entry) {
      return entry.second + times.silence_limit < now;
    });
    std::erase_if(compared, [this](const auto& entry) {
      return !heard.contains(entry.first);
    });
    CallPlatform();
  }

  // Listed entries that are down for good would otherwise keep the watch until
  // the instance list drops them.
  bool IsWatcher() const {
    if (self.role != protocol::Role::kEntry) {
      return false;
    }
    std::vector<std::string> entries = view.LiveEntries(self.data_centre);
    if (Now() >= started + times.silence_limit) {
      std::erase_if(entries, [this](const std::string& entry) {
        return entry != self.instance && !heard.contains(entry);
      });
    }
    const auto watchers = membership::View::Choose(
        absl::StrCat("watch/", self.data_centre), entries, kWatchers);
    return std::find(watchers.begin(), watchers.end(), self.instance) !=
           watchers.end();
  }

  // Starts the next call to the platform, if one is due and none is in flight.
  void CallPlatform() {
    const bool is_watcher = IsWatcher();
    if (is_calling || Now() < next_call || (!is_watcher && !wants_first_read)) {
      return;
    }
    is_calling = true;
    // Without a complete list the changes before the watch would be missed. The
    // revision is that of the platform's own answers: the store may hold newer
    // records from peers and still lack older ones.
    if (platform_revision == 0) {
      client.List(kPrefix, Guarded([this](object_api::Listing listing) {
                    OnListing(std::move(listing));
                  }));
    } else {
      client.Watch(kPrefix, platform_revision, times.watch_wait,
                   Guarded([this](object_api::Listing changes) {
                     OnChanges(std::move(changes));
                   }));
    }
  }

  // Wraps a handler of a successful answer; drops answers after destruction.
  object_api::Callback<object_api::Listing> Guarded(
      std::function<void(object_api::Listing)> handler) {
    return [weak = weak_from_this(), handler = std::move(handler)](
               absl::StatusOr<object_api::Listing> answer) {
      const auto impl = weak.lock();
      if (impl == nullptr) {
        return;
      }
      impl->is_calling = false;
      if (answer.ok()) {
        impl->failures = 0;
        handler(*std::move(answer));
      } else {
        impl->OnFailure(answer.status());
      }
    };
  }

  void OnListing(object_api::Listing listing) {
    platform_revision = listing.revision;
    store.MergeListing(listing.revision, ToRecords(std::move(listing.objects)));
    BecomeReady("platform");
    CallPlatform();
  }

  void OnChanges(object_api::Listing changes) {
    if (changes.revision < platform_revision) {
      // The platform lost writes; its complete list shows what it holds now.
      platform_revision = 0;
    } else {
      platform_revision = changes.revision;
      store.Merge(ToRecords(std::move(changes.objects)));
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
      // The platform refuses the revision, for instance because it keeps no
      // changes that old.
      platform_revision = 0;
    }
    base::Log(base::LogLevel::kWarning, "platform_call_failed",
              {{"error", status.ToString()}, {"failures", failures}});
    // Jitter keeps the fleet from calling a recovered platform all at once.
    const auto delay = kernel::Duration(
        absl::Uniform(random, pause.count() / 2, pause.count() + 1));
    next_call = Now() + delay;
    retry = loop.After(delay, [this] { CallPlatform(); });
  }

  void BecomeReady(std::string_view source) {
    wants_first_read = false;
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
    heard[peer] = Now();
    // The peer with the lower revision pulls first; when it has caught up, the
    // digests tell whether it also held something that this process lacks.
    const bool is_behind = heartbeat.config_revision > store.revision() ||
                           (heartbeat.config_revision == store.revision() &&
                            heartbeat.config_digest != store.digest());
    const size_t limit = is_ready ? kPullsWhenReady : kPullsWhenStarting;
    if ((is_ready && (!is_behind || IsCompared(peer, heartbeat))) ||
        pulls.contains(peer) || pulls.size() >= limit) {
      return;
    }
    pulls[peer] = {connection, Now() + times.pull_limit,
                   heartbeat.config_digest};
    connection->Send(ConfigPull{store.Versions()});
  }

  // Processes of different releases may disagree on which records are valid.
  // Their digests then differ for long, and a further pull brings nothing.
  bool IsCompared(const std::string& peer,
                  const protocol::Heartbeat& heartbeat) const {
    const auto found = compared.find(peer);
    return found != compared.end() &&
           found->second.peer_digest == heartbeat.config_digest &&
           found->second.own_digest == store.digest();
  }

  void OnPull(const ConnectionPtr& connection, const ConfigPull& pull) const {
    // A starting process does not answer, so that an answer proves that the
    // sender was ready.
    if (!is_ready) {
      return;
    }
    for (const ConfigPush& push : Split(store.NewerThan(pull.known))) {
      connection->Send(push);
    }
  }

  void OnPush(const ConnectionPtr& connection, const ConfigPush& push) {
    const std::string& peer = connection->peer().instance;
    const auto pull = pulls.find(peer);
    const bool is_answer =
        pull != pulls.end() && pull->second.connection.lock() == connection;
    if (!push.records.empty()) {
      if (is_answer) {
        pull->second.deadline = Now() + times.pull_limit;
      }
      store.Merge(push.records);
      return;
    }
    if (is_answer) {
      compared[peer] = {pull->second.peer_digest, store.digest()};
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
  bool wants_first_read = false;
  bool is_calling = false;
  int failures = 0;
  // Revision up to which the platform's changes are known; 0: none.
  uint64_t platform_revision = 0;
  kernel::TimePoint started;
  kernel::TimePoint next_call;
  std::map<std::string, Pull, std::less<>> pulls;               // By peer.
  std::map<std::string, kernel::TimePoint, std::less<>> heard;  // By peer.
  std::map<std::string, Compared, std::less<>> compared;        // By peer.
  absl::BitGen random;
  kernel::Timer tick;
  kernel::Timer first_read;
  kernel::Timer retry;
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
