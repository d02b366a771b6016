// Connections to the sides and to the other entries, with their heartbeats.
//
// An entry dials every side and the entries with a greater instance name; the
// others dial it. Of one instance the newest connection counts.
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

  // Error: Unavailable.
  absl::StatusOr<uint16_t> Listen(const http::Address& address);
  // Takes the list that a peer sent, as long as the platform has not been read.
  void OnPeerList(
      std::function<void(std::vector<object_api::Instance>)> callback) {
    on_peer_list_ = std::move(callback);
  }
  // Dials what is new in the list and gives up what is no longer in it, once
  // its connection is down too: the list may lag behind.
  void UpdateInstances(const std::vector<object_api::Instance>& instances);
  // Sends a message in a later turn of the loop; dropped without a connection.
  void Post(LinkCommand command) { mailbox_.Post(std::move(command)); }

  // Heartbeats say so from now on, beginning at once.
  void SetDraining();
  void SendHeartbeats();

  // Connected peers with the configuration revision that they reported.
  nlohmann::json Status() const;
  // True when everything sent has been taken by the network.
  bool is_flushed() const;

 private:
  using ConnectionPtr = std::shared_ptr<protocol::Connection>;

  struct Dialled {
    http::Address address;
    std::unique_ptr<protocol::Dialer> dialer;
  };
  struct Link {
    ConnectionPtr connection;
    uint64_t config_revision = 0;
  };

  bool IsDialledByUs(const object_api::Instance& instance) const;
  void Dial(const object_api::Instance& instance);
  void GiveUpUnlisted(const std::set<std::string, std::less<>>& listed);
  void Adopt(const ConnectionPtr& connection);
  void Drop(const protocol::Connection& connection);
  void OnMessage(const ConnectionPtr& connection, protocol::Message message);
  void SendHeartbeat(protocol::Connection& connection);
  void SendInstances(protocol::Connection& connection) const;

  kernel::EventLoop& loop_;
  const protocol::Identity identity_;
  configuration::Task& configuration_;
  const std::function<void(LinkEvent)> post_;
  protocol::Listener listener_;
  kernel::Mailbox<LinkCommand> mailbox_;
  std::map<std::string, Dialled, std::less<>> dialled_;
  std::map<std::string, Link, std::less<>> links_;
  std::set<std::string, std::less<>> leaving_;
  std::vector<object_api::Instance> instances_;  // The list in use.
  std::function<void(std::vector<object_api::Instance>)> on_peer_list_;
  bool is_draining_ = false;
  kernel::Timer heartbeat_timer_;
};

}  // namespace jackdawshunt::entry

#endif  // JACKDAWSHUNT_ENTRY_LINKS_H_
