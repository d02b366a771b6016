// Keeps a Store current from the platform and from peers.
//
// Watches the platform when this process is one of the watchers of its data
// centre, pulls from a peer whose heartbeat shows other versions, answers the
// peers' pulls.
//
// Example:
//   configuration::Task task(loop, client, store, membership, self);
//   task.Start();
//   task.AddPeer(connection);   // For every authenticated connection.
//   task.OnPeerMessage(connection, message);
#ifndef JACKDAWSHUNT_CONFIGURATION_TASK_H_
#define JACKDAWSHUNT_CONFIGURATION_TASK_H_

#include <memory>

#include "jackdawshunt/configuration/store.h"
#include "jackdawshunt/kernel/event_loop.h"
#include "jackdawshunt/membership/view.h"
#include "jackdawshunt/platform/client.h"
#include "jackdawshunt/protocol/connection.h"

namespace jackdawshunt::configuration {

class Task {
 public:
  Task(kernel::EventLoop& loop,
       platform::Client& client,
       Store& store,
       const membership::View& view,
       protocol::PeerInfo self);
  ~Task();

  void Start();
  // True once the platform or a ready peer has been read.
  bool is_ready() const;

  // Handles Heartbeat, ConfigPull and ConfigPush from a peer; ignores others.
  void OnPeerMessage(const std::shared_ptr<protocol::Connection>& connection,
                     const protocol::Message& message);
  // Fills the revision and the digest.
  void FillHeartbeat(protocol::Heartbeat& heartbeat) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace jackdawshunt::configuration

#endif  // JACKDAWSHUNT_CONFIGURATION_TASK_H_
