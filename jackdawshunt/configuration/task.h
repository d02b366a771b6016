// Keeps a Store up to date from the platform and from peers.
//
// Watches the platform if this process is one of the watchers of its data
// centre. Pulls from a peer whose heartbeat shows other versions, and replies
// to the pulls of peers. The reply to a pull is a series of pushes that ends
// with an empty one. A role can observe changes by Store::AddChangeObserver(),
// to send its next heartbeat at once.
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

// Number of processes per data centre that watch the platform.
inline constexpr size_t kWatchersPerDataCentre = 2;
// Largest total length of the keys and values in one push. A longer record is
// sent in a push of its own.
inline constexpr size_t kMaxPushBytes = size_t{256} * 1024;

// Periods and time limits of a task. Tests shorten them.
struct TaskTimes {
  // Interval at which the task chooses the watchers and discards lost pulls.
  kernel::Duration tick = std::chrono::milliseconds(500);
  // Time that a starting process waits for peers before it reads the platform.
  kernel::Duration peer_wait = std::chrono::seconds(2);
  // Waiting time of one watch. A silent connection is detected after this plus
  // the client's timeout, together 8 s of the 14 s that a change may take.
  kernel::Duration watch_wait = std::chrono::seconds(5);
  // Time after which a pull without a reply is abandoned.
  kernel::Duration pull_timeout = std::chrono::seconds(1);
  // Time without a heartbeat after which an entry is not chosen as a watcher.
  kernel::Duration heartbeat_timeout = std::chrono::seconds(3);
  // Bounds of the pause after a failed call to the platform. The pause doubles
  // with each failure and has jitter.
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

  // Starts the timers and the first read. Call once.
  void Start();
  // Returns true once the records of the platform or of a ready peer have been
  // read, and from then on.
  bool is_ready() const;

  // Handles a Heartbeat, ConfigPull or ConfigPush from a peer. Ignores other
  // messages.
  void OnPeerMessage(const std::shared_ptr<protocol::Connection>& connection,
                     const protocol::Message& message);
  // Sets the configuration revision and digest. Both are zero until the task is
  // ready, so that no peer pulls an incomplete set of records.
  void FillHeartbeat(protocol::Heartbeat& heartbeat) const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace jackdawshunt::configuration

#endif  // JACKDAWSHUNT_CONFIGURATION_TASK_H_
