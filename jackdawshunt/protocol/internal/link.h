// Implements Connection over a socket: handshake, frames and silence limit.
#ifndef JACKDAWSHUNT_PROTOCOL_INTERNAL_LINK_H_
#define JACKDAWSHUNT_PROTOCOL_INTERNAL_LINK_H_

#include <event2/util.h>
#include <netinet/in.h>

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "jackdawshunt/protocol/connection.h"
#include "jackdawshunt/protocol/internal/frame.h"
#include "jackdawshunt/protocol/internal/handshake.h"

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;

namespace jackdawshunt::protocol::internal {

// Sets `storage` and `size` to the socket address of `address`. Returns false
// when the IP address is malformed.
bool ParseAddress(const http::Address& address,
                  sockaddr_storage& storage,
                  int& size);

// A connection over a socket, dialed or accepted. Must be owned by a
// std::shared_ptr.
class Link final : public Connection,
                   public std::enable_shared_from_this<Link> {
 public:
  // Callbacks to the listener or dialer, each called in a later turn of the
  // loop.
  struct OwnerCallbacks {
    std::function<void(const std::shared_ptr<Link>&)> on_ready;
    std::function<void(const std::shared_ptr<Link>&)> on_closed;
  };

  Link(kernel::EventLoop& loop,
       const Identity& identity,
       Endpoint endpoint,
       ConnectionLimits limits,
       OwnerCallbacks owner_callbacks);
  ~Link() override;
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  // Takes ownership of an accepted socket and starts the handshake.
  void Accept(evutil_socket_t fd);
  // Dials `address` and then starts the handshake.
  void Connect(const http::Address& address);
  // Closes the connection without a further call of the owner's callbacks.
  void DetachAndClose(std::string_view reason);
  // Returns true once the peer is authenticated, also after the close.
  bool is_ready() const { return handshake_.is_done(); }

  const PeerInfo& peer() const override { return handshake_.peer(); }
  bool is_open() const override {
    return transport_ != nullptr && handshake_.is_done();
  }
  void Send(const Message& message) override;
  size_t buffered_bytes() const override;
  void Close(std::string_view reason) override;
  void OnMessage(std::function<void(Message)> handler) override;
  void OnClosed(std::function<void(std::string_view reason)> handler) override;

 private:
  void Attach(evutil_socket_t fd);
  void HandleConnected();
  void HandleReadable();
  void HandleEvent(short events);
  void HandleOutputChange(const evbuffer_cb_info& info);
  void HandleHandshake(const Frame& frame);
  void HandleMessage(const Frame& frame);
  void Deliver(Message message);
  void DeliverPending();
  void SchedulePendingDelivery();
  void CheckSilence();
  void SendHandshake(std::string_view body);
  void WriteFrame(std::string_view frame);

  kernel::EventLoop& loop_;
  ConnectionLimits limits_;
  OwnerCallbacks owner_callbacks_;
  Handshake handshake_;
  FrameReader frames_;
  BodyDecoder bodies_;
  bufferevent* transport_ = nullptr;
  sockaddr_in peer_address_{};
  kernel::Timer silence_timer_;
  kernel::TimePoint started_at_;
  kernel::TimePoint last_received_;
  kernel::TimePoint last_send_progress_;
  kernel::TimePoint last_check_;
  bool reading_stopped_ = false;
  bool pending_delivery_scheduled_ = false;
  std::deque<Message> pending_;
  std::function<void(Message)> on_message_;
  std::function<void(std::string_view)> on_closed_;
  bool closed_ = false;
  std::string close_reason_;
};

}  // namespace jackdawshunt::protocol::internal

#endif  // JACKDAWSHUNT_PROTOCOL_INTERNAL_LINK_H_
