// Authenticated connections between the processes of the fleet.
//
// Both ends prove that they hold the fleet key (HMAC-SHA256 over both nonces
// and both instance names). A connection is closed when nothing arrived for
// kSilenceLimit; the owners at both ends send heartbeats.
//
// Example:
//   protocol::Listener listener(loop, identity);
//   listener.OnConnection([&](std::shared_ptr<protocol::Connection> c) { ...
//   }); auto port = listener.Listen({"127.0.0.1", 0}); protocol::Dialer
//   dialer(loop, identity, {"127.0.0.1", *port});
//   dialer.OnConnection([&](std::shared_ptr<protocol::Connection> c) { ... });
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
// Four missed heartbeats.
inline constexpr kernel::Duration kSilenceLimit = std::chrono::seconds(2);

struct Identity {
  PeerInfo self;
  std::string fleet_key;
};

// Limits of one connection; other values than the defaults are for tests.
struct ConnectionLimits {
  // Longest time without a byte from the peer, for the whole handshake, and
  // without progress while bytes wait to be sent.
  kernel::Duration silence = kSilenceLimit;
  // A connection with more bytes waiting to be sent is closed.
  size_t max_buffered_bytes = size_t{64} * 1024 * 1024;
};

// Traffic of one process, summed over its connections, for the metrics.
struct Traffic {
  uint64_t control_bytes_sent = 0;
  uint64_t control_bytes_received = 0;
  uint64_t data_bytes_sent = 0;
  uint64_t data_bytes_received = 0;
  std::map<std::string, uint64_t, std::less<>> messages_sent;      // By name.
  std::map<std::string, uint64_t, std::less<>> messages_received;  // By name.
};

// Returns the counters of this process.
const Traffic& ProcessTraffic();

class Connection {
 public:
  virtual ~Connection() = default;

  virtual const PeerInfo& peer() const = 0;
  virtual bool is_open() const = 0;
  // Queues a message; dropped when the connection is closed. A config_push or
  // counters message longer than a frame is sent in parts; any other message
  // that does not fit is an error and closes the connection.
  virtual void Send(const Message& message) = 0;
  virtual size_t buffered_bytes() const = 0;
  // Closes; the closed callback is then called in a later turn of the loop.
  virtual void Close(std::string_view reason) = 0;

  // Messages that arrive before a handler is set are kept for it.
  virtual void OnMessage(std::function<void(Message)> handler) = 0;
  // Called once, also when it is set after the connection closed.
  virtual void OnClosed(
      std::function<void(std::string_view reason)> handler) = 0;
};

class Listener {
 public:
  using Handler = std::function<void(std::shared_ptr<Connection>)>;

  Listener(kernel::EventLoop& loop,
           Identity identity,
           ConnectionLimits limits = {});
  // Closes all its connections.
  ~Listener();
  // Called for each connection whose peer has been authenticated.
  void OnConnection(Handler handler);
  // Returns the bound port. Error: Unavailable.
  absl::StatusOr<uint16_t> Listen(const http::Address& address);
  // Closes the listening socket; open connections go on.
  void StopListening();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// Keeps one connection to an address: dials, and dials again after a loss with
// exponential backoff from 50 ms to 2 s with jitter. Destruction closes it.
class Dialer {
 public:
  using Handler = std::function<void(std::shared_ptr<Connection>)>;

  Dialer(kernel::EventLoop& loop,
         Identity identity,
         http::Address address,
         ConnectionLimits limits = {});
  ~Dialer();
  // Called for each new authenticated connection.
  void OnConnection(Handler handler);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace jackdawshunt::protocol

#endif  // JACKDAWSHUNT_PROTOCOL_CONNECTION_H_
