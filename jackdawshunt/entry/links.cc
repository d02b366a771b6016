#include "jackdawshunt/entry/links.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <variant>

#include "jackdawshunt/base/log.h"
#include "jackdawshunt/object_api/address.h"

namespace jackdawshunt::entry {
namespace {

// Keeps an InstanceList message far below the largest frame.
constexpr size_t kInstancesPerMessage = 1000;

protocol::ListedInstance ToListedInstance(
    const object_api::Instance& instance) {
  return {.instance = instance.instance,
          .role = instance.role,
          .region = instance.region,
          .data_centre = instance.data_centre,
          .process = instance.process.ToString(),
          .operator_address = instance.operator_address.ToString(),
          .is_leaving = instance.state == object_api::InstanceState::kLeaving};
}

// Returns nullopt when an address is malformed.
std::optional<object_api::Instance> FromListedInstance(
    const protocol::ListedInstance& row) {
  const auto process = object_api::ParseAddress(row.process);
  const auto operator_address = object_api::ParseAddress(row.operator_address);
  if (!process.has_value() || !operator_address.has_value()) {
    return std::nullopt;
  }
  return object_api::Instance{.instance = row.instance,
                              .role = row.role,
                              .region = row.region,
                              .data_centre = row.data_centre,
                              .process = *process,
                              .operator_address = *operator_address,
                              .state = row.is_leaving
                                           ? object_api::InstanceState::kLeaving
                                           : object_api::InstanceState::kLive};
}

}  // namespace

Links::Links(kernel::EventLoop& loop,
             protocol::Identity identity,
             configuration::Task& configuration,
             std::function<void(LinkEvent)> post)
    : loop_(loop),
      identity_(std::move(identity)),
      configuration_(configuration),
      post_(std::move(post)),
      listener_(loop, identity_),
      mailbox_(loop,
               [this](const LinkCommand& command) {
                 const auto link = links_.find(command.instance);
                 if (link != links_.end()) {
                   link->second.connection->Send(command.message);
                 }
               }),
      heartbeat_timer_(loop.Every(protocol::kHeartbeatPeriod,
                                  [this] { SendHeartbeats(); })) {
  listener_.OnConnection(
      [this](const ConnectionPtr& connection) { AddConnection(connection); });
}

absl::StatusOr<uint16_t> Links::Listen(const http::Address& address) {
  return listener_.Listen(address);
}

bool Links::IsDialledByThisEntry(const object_api::Instance& instance) const {
  return instance.role == protocol::RoleName(protocol::Role::kSide) ||
         (instance.role == protocol::RoleName(protocol::Role::kEntry) &&
          identity_.self.instance < instance.instance);
}

void Links::UpdateInstances(
    const std::vector<object_api::Instance>& instances) {
  instances_ = instances;
  std::set<std::string, std::less<>> listed;
  for (const object_api::Instance& instance : instances) {
    if (!IsDialledByThisEntry(instance)) {
      continue;
    }
    listed.insert(instance.instance);
    Dial(instance);
    const bool is_leaving =
        instance.state == object_api::InstanceState::kLeaving;
    const bool was_leaving = leaving_instances_.contains(instance.instance);
    if (is_leaving != was_leaving) {
      post_(InstanceLeavingChanged{instance.instance, is_leaving});
      if (is_leaving) {
        leaving_instances_.insert(instance.instance);
      } else {
        leaving_instances_.erase(instance.instance);
      }
    }
  }
  RemoveUnlisted(listed);
}

void Links::Dial(const object_api::Instance& instance) {
  DialTarget& target = dial_targets_[instance.instance];
  if (target.dialer != nullptr && target.address == instance.process) {
    return;
  }
  target.address = instance.process;
  target.dialer =
      std::make_unique<protocol::Dialer>(loop_, identity_, instance.process);
  target.dialer->OnConnection(
      [this, expected = instance.instance](const ConnectionPtr& connection) {
        // Another process may have taken over the address.
        if (connection->peer().instance == expected) {
          AddConnection(connection);
        } else {
          connection->Close("another instance answered at this address");
        }
      });
}

void Links::RemoveUnlisted(const std::set<std::string, std::less<>>& listed) {
  std::erase_if(dial_targets_, [&](const auto& entry) {
    const std::string& instance = entry.first;
    if (listed.contains(instance) || links_.contains(instance)) {
      return false;
    }
    leaving_instances_.erase(instance);
    post_(InstanceRemoved{instance});
    return true;
  });
}

void Links::AddConnection(const ConnectionPtr& connection) {
  const protocol::PeerInfo& peer = connection->peer();
  const auto existing = links_.find(peer.instance);
  if (existing != links_.end()) {
    const ConnectionPtr earlier = existing->second.connection;
    if (peer.incarnation < earlier->peer().incarnation) {
      connection->Close("an earlier incarnation of the instance");
      return;
    }
    RemoveConnection(*earlier);
    earlier->Close("replaced by a newer connection");
  }
  links_[peer.instance] = {.connection = connection};
  post_(LinkUp{peer});
  // The connection owns its handlers, so the handlers must not own the
  // connection.
  const std::weak_ptr<protocol::Connection> weak = connection;
  connection->OnClosed([this, raw = connection.get()](std::string_view reason) {
    base::Log(base::LogLevel::kInfo, "link_down",
              {{"peer", raw->peer().instance}, {"why", reason}});
    RemoveConnection(*raw);
  });
  connection->OnMessage([this, weak](protocol::Message message) {
    if (const ConnectionPtr alive = weak.lock()) {
      OnMessage(alive, std::move(message));
    }
  });
  SendHeartbeat(*connection);
  if (peer.role == protocol::Role::kEntry) {
    SendInstances(*connection);
  }
}

void Links::SendInstances(protocol::Connection& connection) const {
  for (size_t first = 0; first < instances_.size();
       first += kInstancesPerMessage) {
    const size_t last =
        std::min(first + kInstancesPerMessage, instances_.size());
    protocol::InstanceList list;
    for (size_t i = first; i < last; ++i) {
      list.instances.push_back(ToListedInstance(instances_[i]));
    }
    connection.Send(list);
  }
}

void Links::RemoveConnection(const protocol::Connection& connection) {
  const auto link = links_.find(connection.peer().instance);
  if (link != links_.end() && link->second.connection.get() == &connection) {
    post_(LinkDown{connection.peer()});
    // The closed callback of the connection may be running.
    loop_.Post([kept = std::move(link->second.connection)] {});
    links_.erase(link);
  }
}

void Links::OnMessage(const ConnectionPtr& connection,
                      protocol::Message message) {
  const std::string& instance = connection->peer().instance;
  const auto link = links_.find(instance);
  if (link == links_.end() || link->second.connection != connection) {
    return;  // A newer connection replaced this one.
  }
  if (const auto* heartbeat = std::get_if<protocol::Heartbeat>(&message)) {
    link->second.config_revision = heartbeat->config_revision;
  }
  if (const auto* list = std::get_if<protocol::InstanceList>(&message)) {
    std::vector<object_api::Instance> instances;
    for (const protocol::ListedInstance& row : list->instances) {
      if (auto read = FromListedInstance(row)) {
        instances.push_back(*std::move(read));
      }
    }
    on_peer_list_(std::move(instances));
    return;
  }
  configuration_.OnPeerMessage(connection, message);
  post_(LinkMessage{instance, std::move(message)});
}

void Links::SetDraining() {
  is_draining_ = true;
  SendHeartbeats();
}

void Links::SendHeartbeats() {
  for (const auto& [instance, link] : links_) {
    SendHeartbeat(*link.connection);
  }
}

void Links::SendHeartbeat(protocol::Connection& connection) {
  protocol::Heartbeat heartbeat;
  configuration_.FillHeartbeat(heartbeat);
  heartbeat.draining = is_draining_;
  connection.Send(heartbeat);
}

nlohmann::json Links::Status() const {
  nlohmann::json peers = nlohmann::json::array();
  for (const auto& [instance, link] : links_) {
    const protocol::PeerInfo& peer = link.connection->peer();
    peers.push_back({{"instance", instance},
                     {"role", protocol::RoleName(peer.role)},
                     {"data_centre", peer.data_centre},
                     {"upstream", peer.upstream},
                     {"incarnation", peer.incarnation.ToString()},
                     {"revision", link.config_revision}});
  }
  return peers;
}

bool Links::is_flushed() const {
  return std::all_of(links_.begin(), links_.end(), [](const auto& entry) {
    return entry.second.connection->buffered_bytes() == 0;
  });
}

}  // namespace jackdawshunt::entry
