#include "jackdawshunt/protocol/internal/link.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "jackdawshunt/base/log.h"
#include "jackdawshunt/kernel/loop_work.h"
#include "jackdawshunt/protocol/internal/split.h"
#include "jackdawshunt/protocol/internal/traffic.h"

namespace jackdawshunt::protocol::internal {
namespace {

constexpr std::string_view kHandshakeName = "handshake";
// Number of messages queued while no handler is set at which the link stops
// reading from the network.
constexpr size_t kMaxPendingMessages = 1024;
// Checks of the silence limit in the time of one limit. A silent peer is
// detected at most a quarter of the limit late.
constexpr int kChecksPerSilenceLimit = 4;

void SetNoDelay(evutil_socket_t fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

}  // namespace

bool ParseAddress(const http::Address& address,
                  sockaddr_storage& storage,
                  int& size) {
  storage = {};
  auto* const v4 = reinterpret_cast<sockaddr_in*>(&storage);
  if (inet_pton(AF_INET, address.ip.c_str(), &v4->sin_addr) == 1) {
    v4->sin_family = AF_INET;
    v4->sin_port = htons(address.port);
    size = sizeof(sockaddr_in);
    return true;
  }
  auto* const v6 = reinterpret_cast<sockaddr_in6*>(&storage);
  if (inet_pton(AF_INET6, address.ip.c_str(), &v6->sin6_addr) == 1) {
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(address.port);
    size = sizeof(sockaddr_in6);
    return true;
  }
  return false;
}

Link::Link(kernel::EventLoop& loop,
           const Identity& identity,
           Endpoint endpoint,
           ConnectionLimits limits,
           OwnerCallbacks owner_callbacks)
    : loop_(loop),
      limits_(limits),
      owner_callbacks_(std::move(owner_callbacks)),
      handshake_(identity, endpoint),
      started_at_(loop.clock().Now()),
      last_received_(started_at_),
      last_send_progress_(started_at_),
      last_check_(started_at_) {}

Link::~Link() {
  if (transport_ != nullptr) {
    bufferevent_free(transport_);
  }
}

void Link::Attach(evutil_socket_t fd) {
  transport_ = bufferevent_socket_new(loop_.base(), fd, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(
      transport_,
      [](bufferevent*, void* self) {
        static_cast<Link*>(self)->HandleReadable();
      },
      nullptr,
      [](bufferevent*, short events, void* self) {
        static_cast<Link*>(self)->HandleEvent(events);
      },
      this);
  evbuffer_add_cb(
      bufferevent_get_output(transport_),
      [](evbuffer*, const evbuffer_cb_info* info, void* self) {
        static_cast<Link*>(self)->HandleOutputChange(*info);
      },
      this);
  silence_timer_ = loop_.Every(limits_.silence_limit / kChecksPerSilenceLimit,
                               [this] { CheckSilence(); });
}

void Link::Accept(evutil_socket_t fd) {
  Attach(fd);
  HandleConnected();
}

void Link::Connect(const http::Address& address) {
  sockaddr_storage storage;
  int size = 0;
  Attach(-1);
  if (!ParseAddress(address, storage, size)) {
    Close(absl::StrCat("\"", address.ip, "\" is not an IP address"));
    return;
  }
  if (bufferevent_socket_connect(
          transport_, reinterpret_cast<sockaddr*>(&storage), size) != 0) {
    Close("cannot connect");
  }
}

void Link::HandleConnected() {
  SetNoDelay(bufferevent_getfd(transport_));
  peer_address_ = kernel::PeerOf(bufferevent_getfd(transport_));
  bufferevent_enable(transport_, EV_READ | EV_WRITE);
  SendHandshake(handshake_.hello());
}

void Link::HandleEvent(short events) {
  const auto self = shared_from_this();
  if ((events & BEV_EVENT_CONNECTED) != 0) {
    HandleConnected();
  } else if ((events & BEV_EVENT_EOF) != 0) {
    Close("closed by the peer");
  } else {
    Close(evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
  }
}

void Link::HandleReadable() {
  const auto self = shared_from_this();
  const kernel::LoopWork work(kernel::LoopWorkKind::kConnection, peer_address_);
  last_received_ = loop_.clock().Now();
  evbuffer* const input = bufferevent_get_input(transport_);
  const size_t size = evbuffer_get_length(input);
  frames_.Append(std::string_view(
      reinterpret_cast<const char*>(evbuffer_pullup(input, -1)), size));
  evbuffer_drain(input, size);
  while (transport_ != nullptr) {
    const auto frame =
        frames_.Next(is_ready() ? kMaxFrameBytes : kMaxHandshakeBytes);
    if (!frame.ok()) {
      Close(std::string(frame.status().message()));
    } else if (!frame->has_value()) {
      return;
    } else if (is_ready()) {
      HandleMessage(**frame);
    } else {
      HandleHandshake(**frame);
    }
  }
}

void Link::HandleHandshake(const Frame& frame) {
  CountReceived(kHandshakeName, /*is_data=*/false, frame.frame_bytes);
  if (frame.kind != FrameKind::kHandshake) {
    Close("message before the handshake");
    return;
  }
  const auto reply = handshake_.Receive(frame.body);
  if (!reply.ok()) {
    base::Log(base::LogLevel::kWarning, "handshake_refused",
              {{"claimed_instance", peer().instance},
               {"why", std::string(reply.status().message())}});
    Close(std::string(reply.status().message()));
    return;
  }
  if (reply->has_value()) {
    SendHandshake(**reply);
  }
  if (is_ready()) {
    base::Log(base::LogLevel::kInfo, "connection_open",
              {{"peer", peer().instance},
               {"peer_role", RoleName(peer().role)},
               {"peer_incarnation", peer().incarnation.ToString()}});
    loop_.Post([self = shared_from_this()] {
      if (self->owner_callbacks_.on_ready) {
        self->owner_callbacks_.on_ready(self);
      }
    });
  }
}

void Link::HandleMessage(const Frame& frame) {
  auto message = bodies_.Decode(frame);
  if (!message.ok()) {
    base::Log(base::LogLevel::kError, "malformed_message",
              {{"peer", peer().instance},
               {"why", std::string(message.status().message())}});
    Close(std::string(message.status().message()));
    return;
  }
  CountReceived(MessageName(*message), CarriesCallerData(*message),
                frame.frame_bytes);
  Deliver(*std::move(message));
}

void Link::Deliver(Message message) {
  if (on_message_ && pending_.empty()) {
    // Copied, since the handler may replace itself.
    const auto handler = on_message_;
    handler(std::move(message));
    return;
  }
  pending_.push_back(std::move(message));
  if (pending_.size() >= kMaxPendingMessages && !reading_stopped_) {
    reading_stopped_ = true;
    bufferevent_disable(transport_, EV_READ);
  }
}

void Link::SchedulePendingDelivery() {
  if (pending_.empty() || std::exchange(pending_delivery_scheduled_, true)) {
    return;
  }
  loop_.Post([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->pending_delivery_scheduled_ = false;
      self->DeliverPending();
    }
  });
}

void Link::DeliverPending() {
  while (!pending_.empty() && on_message_ && transport_ != nullptr) {
    Message message = std::move(pending_.front());
    pending_.pop_front();
    const auto handler = on_message_;
    handler(std::move(message));
  }
  if (pending_.empty() && transport_ != nullptr &&
      std::exchange(reading_stopped_, false)) {
    last_received_ = loop_.clock().Now();
    bufferevent_enable(transport_, EV_READ);
  }
}

void Link::HandleOutputChange(const evbuffer_cb_info& info) {
  if (info.n_deleted > 0 || info.orig_size == 0) {
    last_send_progress_ = loop_.clock().Now();
  }
}

void Link::CheckSilence() {
  const auto self = shared_from_this();
  const kernel::TimePoint now = loop_.clock().Now();
  const kernel::Duration since_check = now - std::exchange(last_check_, now);
  if (since_check > limits_.silence_limit / 2) {
    // This process was busy or paused, so received bytes of the peer may be
    // unread.
    return;
  }
  if (!is_ready() && now - started_at_ > limits_.silence_limit) {
    Close("no handshake within the silence limit");
  } else if (!reading_stopped_ &&
             now - last_received_ > limits_.silence_limit) {
    Close("nothing received within the silence limit");
  } else if (buffered_bytes() > 0 &&
             now - last_send_progress_ > limits_.silence_limit) {
    Close("nothing sent within the silence limit");
  }
}

void Link::SendHandshake(std::string_view body) {
  const std::string frame = BuildFrame(FrameKind::kHandshake, body);
  CountSent(kHandshakeName, /*is_data=*/false, frame.size());
  WriteFrame(frame);
}

void Link::Send(const Message& message) {
  if (!is_open()) {
    return;
  }
  const auto frames = EncodeParts(message, kMaxFrameBytes);
  if (!frames.ok()) {
    base::Log(base::LogLevel::kError, "message_too_long",
              {{"peer", peer().instance}, {"message", MessageName(message)}});
    Close("message too long for a frame");
    return;
  }
  for (const std::string& frame : *frames) {
    CountSent(MessageName(message), CarriesCallerData(message), frame.size());
    WriteFrame(frame);
  }
  if (buffered_bytes() > limits_.max_buffered_bytes) {
    Close("the peer reads too slowly");
  }
}

void Link::WriteFrame(std::string_view frame) {
  evbuffer_add(bufferevent_get_output(transport_), frame.data(), frame.size());
}

size_t Link::buffered_bytes() const {
  return transport_ == nullptr
             ? 0
             : evbuffer_get_length(bufferevent_get_output(transport_));
}

void Link::Close(std::string_view reason) {
  if (closed_) {
    return;
  }
  closed_ = true;
  close_reason_ = reason;
  silence_timer_.Cancel();
  if (transport_ != nullptr) {
    bufferevent_free(std::exchange(transport_, nullptr));
  }
  base::Log(is_ready() ? base::LogLevel::kInfo : base::LogLevel::kDebug,
            "connection_closed",
            {{"peer", peer().instance}, {"why", close_reason_}});
  loop_.Post([self = shared_from_this()] {
    if (const auto on_closed =
            std::exchange(self->owner_callbacks_.on_closed, nullptr)) {
      on_closed(self);
    }
    if (const auto handler = std::exchange(self->on_closed_, nullptr)) {
      handler(self->close_reason_);
    }
  });
}

void Link::DetachAndClose(std::string_view reason) {
  owner_callbacks_ = {};
  Close(reason);
}

void Link::OnMessage(std::function<void(Message)> handler) {
  on_message_ = std::move(handler);
  SchedulePendingDelivery();
}

void Link::OnClosed(std::function<void(std::string_view)> handler) {
  on_closed_ = std::move(handler);
  if (closed_) {
    loop_.Post([self = shared_from_this()] {
      if (const auto callback = std::exchange(self->on_closed_, nullptr)) {
        callback(self->close_reason_);
      }
    });
  }
}

}  // namespace jackdawshunt::protocol::internal
