// One connection: socket, handshake, frames, silence limit.
#ifndef JACKDAWSHUNT_PROTOCOL_INTERNAL_LINK_H_
#define JACKDAWSHUNT_PROTOCOL_INTERNAL_LINK_H_

#include <event2/util.h>

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

// Socket address of `address`; false when the IP address is malformed.
bool ParseAddress(const http::Address& address,
                  sockaddr_storage& storage,
                  int& size);

class Link final : public Connection,
                   public std::enable_shared_from_this<Link> {
 public:
  // What the listener or dialer is told. Both come in a later turn of the loop.
  struct Owner {
    std::function<void(const std::shared_ptr<Link>&)> on_ready;
    std::function<void(const std::shared_ptr<Link>&)> on_gone;
  };

  Link(kernel::EventLoop& loop,
       const Identity& identity,
       End end,
       ConnectionLimits limits,
       Owner owner);
  ~Link() override;
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  // Starts on an accepted socket, which the link then owns.
  void Accept(evutil_socket_t fd);
  void Connect(const http::Address& address);
  // Closes without a further call to the owner.
  void Abandon(std::string_view reason);
  // True when the peer is authenticated.
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
  void HandleEvent(short what);
  void HandleOutputChange(const evbuffer_cb_info& info);
  void HandleHandshake(const Frame& frame);
  void HandleMessage(const Frame& frame);
  void Deliver(Message message);
  void DeliverKept();
  void ScheduleKept();
  void CheckSilence();
  void SendHandshake(std::string_view body);
  void WriteFrame(std::string_view frame);

  kernel::EventLoop& loop_;
  ConnectionLimits limits_;
  Owner owner_;
  Handshake handshake_;
  FrameReader frames_;
  BodyDecoder bodies_;
  bufferevent* transport_ = nullptr;
  kernel::Timer silence_timer_;
  kernel::TimePoint started_;
  kernel::TimePoint last_received_;
  kernel::TimePoint last_sent_;
  kernel::TimePoint last_check_;
  bool reading_stopped_ = false;
  bool kept_scheduled_ = false;
  std::deque<Message> kept_;
  std::function<void(Message)> on_message_;
  std::function<void(std::string_view)> on_closed_;
  bool closed_ = false;
  std::string close_reason_;
};

}  // namespace jackdawshunt::protocol::internal

#endif  // JACKDAWSHUNT_PROTOCOL_INTERNAL_LINK_H_
