// Provides authenticated connections between the processes of the fleet.
//
// Both endpoints prove that they know the fleet key (HMAC-SHA256 over both
// nonces and both instance names). A connection is closed after kSilenceLimit
// without a received byte; the owners at both endpoints send heartbeats.
//
// Example:
//   protocol::Listener listener(loop, identity);
//   std::shared_ptr<protocol::Connection> accepted;
//   listener.OnConnection([&](auto c) { accepted = std::move(c); });
//   auto port = listener.Listen({"127.0.0.1", 0});
//
//   protocol::Dialer dialer(loop, identity, {"127.0.0.1", *port});
//   dialer.OnConnection([](auto c) { c->Send(protocol::Heartbeat()); });
//
// Not thread-safe; runs on the loop's thread.
#ifndef JACKDAWSHUNT_PROTOCOL_CONNECTION_H_
#define JACKDAWSHUNT_PROTOCOL_CONNECTION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "jackdawshunt/http/http.h"
#include "jackdawshunt/kernel/event_loop.h"
#include "jackdawshunt/protocol/messages.h"

namespace jackdawshunt::protocol {

inline constexpr kernel::Duration kHeartbeatPeriod =
    std::chrono::milliseconds(500);
// Four heartbeat periods.
inline constexpr kernel::Duration kSilenceLimit = std::chrono::seconds(2);

// Holds what a process presents and proves in the handshake.
struct Identity {
  PeerInfo self;
  std::string fleet_key;
};

// Limits of one connection. Only tests change the defaults.
struct ConnectionLimits {
  // Longest time without a byte from the peer, longest duration of the
  // handshake, and longest time without send progress while output is buffered.
  kernel::Duration silence_limit = kSilenceLimit;
  // A connection with more buffered output is closed.
  size_t max_buffered_bytes = size_t{64} * 1024 * 1024;
};

// Counts the traffic of all connections of one process, for the metrics.
struct Traffic {
  uint64_t control_bytes_sent = 0;
  uint64_t control_bytes_received = 0;
  uint64_t data_bytes_sent = 0;
  uint64_t data_bytes_received = 0;
  std::map<std::string, uint64_t, std::less<>> messages_sent;      // By name.
  std::map<std::string, uint64_t, std::less<>> messages_received;  // By name.
};

// Returns the traffic counters of this process.
const Traffic& ProcessTraffic();

// A connection to an authenticated peer.
class Connection {
 public:
  virtual ~Connection() = default;

  virtual const PeerInfo& peer() const = 0;
  virtual bool is_open() const = 0;
  // Queues a message, or drops it when the connection is closed. A config_push
  // or counters message longer than a frame is sent in parts; any other message
  // longer than a frame is logged as an error and closes the connection.
  virtual void Send(const Message& message) = 0;
  // Returns the number of bytes that wait to be sent.
  virtual size_t buffered_bytes() const = 0;
  // Closes the connection. The OnClosed() handler is called in a later turn of
  // the loop.
  virtual void Close(std::string_view reason) = 0;

  // Sets the handler of received messages. Messages received before are queued
  // and passed to the handler in a later turn of the loop.
  virtual void OnMessage(std::function<void(Message)> handler) = 0;
  // Sets the handler of the close. The handler is called once, also when it is
  // set after the connection closed.
  virtual void OnClosed(
      std::function<void(std::string_view reason)> handler) = 0;
};

// Accepts connections and authenticates their peers.
class Listener {
 public:
  using Handler = std::function<void(std::shared_ptr<Connection>)>;

  Listener(kernel::EventLoop& loop,
           Identity identity,
           ConnectionLimits limits = {});
  // Closes all accepted connections.
  ~Listener();
  // Sets the handler that receives each connection once its peer is
  // authenticated.
  void OnConnection(Handler handler);
  // Starts to accept connections and returns the bound port. Error:
  // Unavailable.
  absl::StatusOr<uint16_t> Listen(const http::Address& address);
  // Closes the listening socket. Open connections stay open.
  void StopListening();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// Maintains one connection to an address. Dials again after a connection loss,
// with exponential backoff from 50 ms to 2 s with jitter. The destructor closes
// the connection.
class Dialer {
 public:
  using Handler = std::function<void(std::shared_ptr<Connection>)>;

  Dialer(kernel::EventLoop& loop,
         Identity identity,
         http::Address address,
         ConnectionLimits limits = {});
  ~Dialer();
  // Sets the handler that receives each new authenticated connection.
  void OnConnection(Handler handler);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace jackdawshunt::protocol

#endif  // JACKDAWSHUNT_PROTOCOL_CONNECTION_H_
