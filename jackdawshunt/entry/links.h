// Maintains the connections to the sides and to the other entries, and sends
// heartbeats on them.
//
// An entry dials every side and the entries with a greater instance name; other
// entries dial this one. The newest connection of an instance replaces earlier
// ones.
//
// Example:
//   entry::Links links(loop, identity, configuration, [&](LinkEvent e) {
//     dispatcher_mailbox.Post(std::move(e));
//   });
//   links.UpdateInstances(instances);
//   links.Post({"side-1", protocol::Decline{.grant = 17}});
//
// Not thread-safe; runs on the loop's thread.
#ifndef JACKDAWSHUNT_ENTRY_LINKS_H_
#define JACKDAWSHUNT_ENTRY_LINKS_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "jackdawshunt/configuration/task.h"
#include "jackdawshunt/entry/messages.h"
#include "jackdawshunt/kernel/mailbox.h"
#include "jackdawshunt/object_api/client.h"
#include "jackdawshunt/protocol/connection.h"
#include "nlohmann/json.hpp"

namespace jackdawshunt::entry {

class Links {
 public:
  Links(kernel::EventLoop& loop,
        protocol::Identity identity,
        configuration::Task& configuration,
        std::function<void(LinkEvent)> post);

  // Listens for connections of other entries and returns the port. Error:
  // Unavailable.
  absl::StatusOr<uint16_t> Listen(const http::Address& address);
  // Sets the callback for instance lists that peers send.
  void SetPeerListCallback(
      std::function<void(std::vector<object_api::Instance>)> callback) {
    on_peer_list_ = std::move(callback);
  }
  // Dials new instances of the list. Removes an instance that is no longer
  // listed once its connection is down too, since the list may be out of date.
  void UpdateInstances(const std::vector<object_api::Instance>& instances);
  // Sends a message in a later turn of the loop. The message is dropped if
  // there is no connection to the instance.
  void Post(LinkCommand command) { mailbox_.Post(std::move(command)); }

  // Reports draining in all heartbeats from now on and sends one at once.
  void SetDraining();
  void SendHeartbeats();

  // Returns the connected peers with the configuration revision that they last
  // reported, as a JSON array.
  nlohmann::json Status() const;
  // Returns true when no connection has unsent data.
  bool is_flushed() const;

 private:
  using ConnectionPtr = std::shared_ptr<protocol::Connection>;

  struct DialTarget {
    http::Address address;
    std::unique_ptr<protocol::Dialer> dialer;
  };
  struct Link {
    ConnectionPtr connection;
    uint64_t config_revision = 0;
  };

  bool IsDialledByThisEntry(const object_api::Instance& instance) const;
  void Dial(const object_api::Instance& instance);
  void RemoveUnlisted(const std::set<std::string, std::less<>>& listed);
  void AddConnection(const ConnectionPtr& connection);
  void RemoveConnection(const protocol::Connection& connection);
  void OnMessage(const ConnectionPtr& connection, protocol::Message message);
  void SendHeartbeat(protocol::Connection& connection);
  void SendInstances(protocol::Connection& connection) const;

  kernel::EventLoop& loop_;
  const protocol::Identity identity_;
  configuration::Task& configuration_;
  const std::function<void(LinkEvent)> post_;
  protocol::Listener listener_;
  kernel::Mailbox<LinkCommand> mailbox_;
  std::map<std::string, DialTarget, std::less<>> dial_targets_;
  std::map<std::string, Link, std::less<>> links_;
  std::set<std::string, std::less<>> leaving_instances_;
  std::vector<object_api::Instance> instances_;  // Active list.
  std::function<void(std::vector<object_api::Instance>)> on_peer_list_;
  bool is_draining_ = false;
  kernel::Timer heartbeat_timer_;
};

}  // namespace jackdawshunt::entry

#endif  // JACKDAWSHUNT_ENTRY_LINKS_H_
