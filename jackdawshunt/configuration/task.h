// Keeps a Store current from the platform and from peers.
//
// Watches the platform when this process is one of the watchers of its data
// centre, pulls from a peer whose heartbeat shows other versions, answers the
// peers' pulls. An answer to a pull is a series of pushes that ends with an
// empty one. Store::AddChangeObserver() tells the role of a change, so that it
// can send its next heartbeat at once.
//
// Example:
//   configuration::Task task(loop, client, store, membership, self);
//   task.Start();
//   task.OnPeerMessage(connection, message);
//
// Not thread-safe; runs on the loop's thread.
#ifndef JACKDAWSHUNT_CONFIGURATION_TASK_H_
#define JACKDAWSHUNT_CONFIGURATION_TASK_H_

#include <chrono>
#include <cstddef>
#include <memory>

#include "jackdawshunt/configuration/store.h"
#include "jackdawshunt/kernel/event_loop.h"
#include "jackdawshunt/membership/view.h"
#include "jackdawshunt/object_api/client.h"
#include "jackdawshunt/protocol/connection.h"

namespace jackdawshunt::configuration {

// Processes per data centre that watch the platform.
inline constexpr size_t kWatchers = 2;
// Largest sum of keys and values in one push; a longer record goes alone.
inline constexpr size_t kMaxPushBytes = size_t{256} * 1024;

// Periods and limits; tests shorten them.
struct TaskTimes {
  // Interval at which the task chooses the watchers and repeats lost pulls.
  kernel::Duration tick = std::chrono::milliseconds(500);
  // Time for peers to answer before a starting process reads the platform.
  kernel::Duration peer_wait = std::chrono::seconds(2);
  // Waiting time of one watch. A connection that went silent is noticed after
  // this and the client's time limit, 8 s of the 14 s that a change may take.
  kernel::Duration watch_wait = std::chrono::seconds(5);
  // A pull that is not answered by then is given up.
  kernel::Duration pull_limit = std::chrono::seconds(1);
  // An entry that sent no heartbeat for this long is not counted as a watcher.
  kernel::Duration silence_limit = std::chrono::seconds(3);
  // Pause after failed calls to the platform, doubled each time, with jitter.
  kernel::Duration min_backoff = std::chrono::milliseconds(100);
  kernel::Duration max_backoff = std::chrono::seconds(4);
};

class Task {
 public:
  // The references must outlive the task.
  Task(kernel::EventLoop& loop,
       object_api::Client& client,
       Store& store,
       const membership::View& view,
       protocol::PeerInfo self,
       TaskTimes times = {});
  ~Task();

  void Start();
  // True once the platform or a ready peer has been read; stays true.
  bool is_ready() const;

  // Handles Heartbeat, ConfigPull and ConfigPush from a peer; ignores others.
  void OnPeerMessage(const std::shared_ptr<protocol::Connection>& connection,
                     const protocol::Message& message);
  // Fills the revision and the digest; zero until the task is ready, so that
  // no peer pulls an incomplete set of records.
  void FillHeartbeat(protocol::Heartbeat& heartbeat) const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace jackdawshunt::configuration

#endif  // JACKDAWSHUNT_CONFIGURATION_TASK_H_
