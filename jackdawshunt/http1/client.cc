#include "jackdawshunt/http1/client.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <charconv>
#include <cstring>
#include <utility>

#include "event2/buffer.h"
#include "event2/bufferevent.h"
#include "event2/event.h"
#include "event2/util.h"
#include "jackdawshunt/http/socket_address.h"
#include "jackdawshunt/http1/internal/socket_options.h"

namespace jackdawshunt::http1 {
namespace {

constexpr std::array<std::string_view, 4> kLossNames = {
    "not_connected", "closed", "reset", "malformed"};

// Reads "timeout=N" of a Keep-Alive header.
kernel::Duration ParseKeepAlive(std::string_view value) {
  constexpr std::string_view kTimeout = "timeout=";
  const size_t start = value.find(kTimeout);
  if (start == std::string_view::npos) {
    return kernel::Duration::max();
  }
  const std::string_view digits = value.substr(start + kTimeout.size());
  int seconds = 0;
  const auto result =
      std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  return result.ec == std::errc()
             ? kernel::Duration(std::chrono::seconds(seconds))
             : kernel::Duration::max();
}

}  // namespace

std::string_view LossName(Loss loss) {
  return kLossNames.at(static_cast<size_t>(loss));
}

struct ClientConnection::Impl final : ResponseSink {
  Impl(kernel::EventLoop& on_loop,
       const http::Address& to_address,
       ClientConnectionOptions with_options)
      : loop(on_loop), address(to_address), options(with_options) {}

  ~Impl() override { Close(); }

  void Close() {
    connect_timer.Cancel();
    if (connection != nullptr) {
      bufferevent_free(std::exchange(connection, nullptr));
    }
  }

  void Open() {
    connection = bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(
        connection,
        [](bufferevent*, void* context) {
          static_cast<Impl*>(context)->OnReadable();
        },
        nullptr,
        [](bufferevent*, short events, void* context) {
          static_cast<Impl*>(context)->OnEvent(events);
        },
        this);
    auto to = http::ToSocketAddress(address);
    bufferevent_enable(connection, EV_READ | EV_WRITE);
    connect_timer = loop.After(options.connect_timeout,
                               [this] { Lose(Loss::kNotConnected); });
    if (!to.has_value() ||
        bufferevent_socket_connect(
            connection, reinterpret_cast<sockaddr*>(&*to), sizeof(*to)) != 0) {
      // Reported in a later turn, so that Send() never calls back.
      connect_timer = loop.After(kernel::Duration::zero(),
                                 [this] { Lose(Loss::kNotConnected); });
    }
  }

  void OnEvent(short events) {
    if ((events & BEV_EVENT_CONNECTED) != 0) {
      is_connected = true;
      connect_timer.Cancel();
      internal::SetUpstreamSocketOptions(bufferevent_getfd(connection),
                                         options.silence_timeout);
      // Nothing is written before the connection stands, so that a failed
      // connect certainly sent nothing.
      bufferevent_write(connection, unsent.data(), unsent.size());
      unsent.clear();
      unsent.shrink_to_fit();
      return;
    }
    if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
      return;
    }
    if (!is_connected) {
      Lose(Loss::kNotConnected);
      return;
    }
    OnReadable();
    if (connection == nullptr) {
      return;
    }
    if ((events & BEV_EVENT_EOF) != 0 && receiver != nullptr) {
      parser.FeedEnd(*this);
      if (parser.state() == ParseState::kComplete) {
        CompleteMessage();
        return;
      }
    }
    Lose((events & BEV_EVENT_EOF) != 0 ? Loss::kClosed : Loss::kReset);
  }

  void OnReadable() {
    while (connection != nullptr) {
      evbuffer* input = bufferevent_get_input(connection);
      const size_t available = evbuffer_get_contiguous_space(input);
      if (available == 0) {
        return;
      }
      if (receiver == nullptr) {
        Lose(Loss::kMalformed);  // Bytes that nobody asked for.
        return;
      }
      const auto* bytes = reinterpret_cast<const char*>(
          evbuffer_pullup(input, static_cast<ev_ssize_t>(available)));
      const size_t consumed = parser.Feed({bytes, available}, *this);
      if (connection == nullptr) {
        return;  // Forgotten by a callback.
      }
      evbuffer_drain(input, consumed);
      if (parser.state() == ParseState::kInvalid) {
        Lose(Loss::kMalformed);
        return;
      }
      if (parser.state() == ParseState::kComplete) {
        CompleteMessage();
      }
    }
  }

  void OnHead(const ResponseHead& head) override {
    if (receiver == nullptr) {
      return;
    }
    is_own = receiver->IsOwn(head);
    if (!is_own) {
      is_tainted = true;
      return;
    }
    const std::string_view said = http::FindHeader(head.headers, "Keep-Alive");
    if (!said.empty()) {
      keep_alive = ParseKeepAlive(said);
    }
    receiver->OnHead(head);
  }

  void OnBody(std::string_view data) override {
    if (is_own && receiver != nullptr) {
      receiver->OnBody(data);
    }
  }

  void CompleteMessage() {
    const bool keeps_open = parser.keep_alive();
    if (!is_own) {
      parser.Reset(is_head_request);
      if (!keeps_open) {
        Lose(Loss::kClosed);
      }
      return;
    }
    const size_t unread =
        evbuffer_get_length(bufferevent_get_input(connection));
    const size_t unwritten =
        evbuffer_get_length(bufferevent_get_output(connection));
    const bool reusable =
        keeps_open && !is_tainted && unread == 0 && unwritten == 0;
    ResponseReceiver* const done = std::exchange(receiver, nullptr);
    if (reusable) {
      idle_since = loop.clock().Now();
    } else {
      Close();
    }
    done->OnEnd();
  }

  void Lose(Loss loss) {
    Close();
    if (ResponseReceiver* const lost = std::exchange(receiver, nullptr)) {
      lost->OnLost(loss);
    }
  }

  kernel::EventLoop& loop;
  const http::Address address;
  const ClientConnectionOptions options;
  bufferevent* connection = nullptr;
  kernel::Timer connect_timer;
  std::string unsent;
  ResponseParser parser;
  ResponseReceiver* receiver = nullptr;
  kernel::Duration keep_alive = kernel::Duration::max();
  kernel::TimePoint idle_since{};
  uint64_t requests = 0;
  bool is_connected = false;
  bool is_own = false;      // The message being read answers our request.
  bool is_tainted = false;  // A foreign answer was seen.
  bool is_head_request = false;
};

ClientConnection::ClientConnection(kernel::EventLoop& loop,
                                   const http::Address& address,
                                   ClientConnectionOptions options)
    : impl_(std::make_unique<Impl>(loop, address, options)) {}
ClientConnection::~ClientConnection() = default;

void ClientConnection::Send(std::string_view request,
                            bool is_head_request,
                            ResponseReceiver& receiver) {
  Impl& self = *impl_;
  self.receiver = &receiver;
  self.is_head_request = is_head_request;
  self.is_own = false;
  self.parser.Reset(is_head_request);
  ++self.requests;
  if (self.is_connected) {
    bufferevent_write(self.connection, request.data(), request.size());
    return;
  }
  self.unsent.assign(request);
  self.Open();
}

void ClientConnection::Forget() {
  impl_->receiver = nullptr;
  impl_->Close();
}

void ClientConnection::PauseReading() {
  if (impl_->connection != nullptr) {
    bufferevent_disable(impl_->connection, EV_READ);
  }
}

void ClientConnection::ResumeReading() {
  if (impl_->connection != nullptr) {
    bufferevent_enable(impl_->connection, EV_READ);
  }
}

bool ClientConnection::is_usable() const {
  return impl_->connection != nullptr || impl_->requests == 0;
}
bool ClientConnection::is_busy() const {
  return impl_->receiver != nullptr;
}
bool ClientConnection::was_reused() const {
  return impl_->requests > 1;
}
kernel::Duration ClientConnection::keep_alive() const {
  return impl_->keep_alive;
}
kernel::TimePoint ClientConnection::idle_since() const {
  return impl_->idle_since;
}

}  // namespace jackdawshunt::http1
