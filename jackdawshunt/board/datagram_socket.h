// Sends and receives UDP datagrams on an event loop.
//
// Example:
//   auto socket = board::DatagramSocket::Bind(loop, {"10.1.0.35", 7400},
//       [&](const http::Address& from, std::string_view bytes) {
//         Handle(from, bytes);
//       });
//   (*socket)->Send(from, reply);
//
// Not thread-safe.
#ifndef JACKDAWSHUNT_BOARD_DATAGRAM_SOCKET_H_
#define JACKDAWSHUNT_BOARD_DATAGRAM_SOCKET_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "absl/status/statusor.h"
#include "jackdawshunt/http/http.h"
#include "jackdawshunt/kernel/event_loop.h"

namespace jackdawshunt::board {

class DatagramSocket {
 public:
  using Receiver =
      std::function<void(const http::Address& from, std::string_view bytes)>;

  // Returns a socket bound to `address`; port 0 binds any free port. `receiver`
  // runs on the loop's thread, and its `bytes` are valid until it returns.
  // Error: Unavailable when the address cannot be bound.
  static absl::StatusOr<std::unique_ptr<DatagramSocket>> Bind(
      kernel::EventLoop& loop,
      const http::Address& address,
      Receiver receiver);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  // Sends one datagram. Delivery is not guaranteed: it is dropped, for example,
  // when the socket's send buffer is full.
  void Send(const http::Address& to, std::string_view bytes);

  // Returns the bound port; 0 when it cannot be determined.
  uint16_t port() const;
  // Returns the number of datagrams that the operating system did not accept.
  uint64_t dropped() const;

 private:
  struct Impl;
  explicit DatagramSocket(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace jackdawshunt::board

#endif  // JACKDAWSHUNT_BOARD_DATAGRAM_SOCKET_H_
