#include "jackdawshunt/http1/server.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cstring>
#include <utility>

#include "absl/strings/str_cat.h"
#include "event2/buffer.h"
#include "event2/bufferevent.h"
#include "event2/event.h"
#include "event2/listener.h"
#include "event2/util.h"
#include "jackdawshunt/base/log.h"
#include "jackdawshunt/http/socket_address.h"
#include "jackdawshunt/http1/internal/socket_options.h"

namespace jackdawshunt::http1 {
namespace {

// Bytes read ahead of the current request; more stays in the socket.
constexpr size_t kReadAheadBytes = size_t{64} * 1024;
// After an answer that closes the connection, the caller's remaining bytes are
// read for this long: closing with unread bytes would reset the answer.
constexpr kernel::Duration kLinger = std::chrono::seconds(1);
constexpr int kBacklog = 1024;

}  // namespace

struct Listener::Impl {
  evconnlistener* listener = nullptr;
  AcceptCallback accept;
};

Listener::Listener(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

Listener::~Listener() {
  evconnlistener_free(impl_->listener);
}

absl::StatusOr<std::unique_ptr<Listener>> Listener::Bind(
    kernel::EventLoop& loop,
    const http::Address& address,
    AcceptCallback accept) {
  auto bound = http::ToSocketAddress(address);
  if (!bound.has_value()) {
    return absl::UnavailableError(
        absl::StrCat(address.ToString(), " is not an address"));
  }
  auto impl = std::make_unique<Impl>();
  impl->accept = std::move(accept);
  impl->listener = evconnlistener_new_bind(
      loop.base(),
      [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* context) {
        static_cast<Impl*>(context)->accept(fd);
      },
      impl.get(),
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
      kBacklog, reinterpret_cast<sockaddr*>(&*bound), sizeof(*bound));
  if (impl->listener == nullptr) {
    return absl::UnavailableError(absl::StrCat(
        "cannot listen at ", address.ToString(), ": ", strerror(errno)));
  }
  evconnlistener_set_error_cb(impl->listener, [](evconnlistener*, void*) {
    base::Log(base::LogLevel::kError, "accept_failed",
              {{"error", strerror(errno)}});
  });
  return std::unique_ptr<Listener>(new Listener(std::move(impl)));
}

uint16_t Listener::port() const {
  sockaddr_in bound{};
  socklen_t length = sizeof(bound);
  if (getsockname(evconnlistener_get_fd(impl_->listener),
                  reinterpret_cast<sockaddr*>(&bound), &length) != 0) {
    return 0;
  }
  return ntohs(bound.sin_port);
}

struct ServerConnection::Impl {
  Impl(ServerConnection& owner,
       kernel::EventLoop& on_loop,
       int fd,
       ServerConnectionLimits with_limits,
       Handler& to_handler)
      : self(owner),
        loop(on_loop),
        limits(with_limits),
        handler(to_handler),
        parser(with_limits.parse) {
    internal::SetCallerSocketOptions(fd);
    connection = bufferevent_socket_new(loop.base(), fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(
        connection,
        [](bufferevent*, void* context) {
          static_cast<Impl*>(context)->OnReadable();
        },
        [](bufferevent*, void* context) {
          static_cast<Impl*>(context)->OnWritten();
        },
        [](bufferevent*, short events, void* context) {
          static_cast<Impl*>(context)->OnEvent(events);
        },
        this);
    bufferevent_setwatermark(connection, EV_READ, 0, kReadAheadBytes);
    bufferevent_enable(connection, EV_READ | EV_WRITE);
    StartIdleTimer();
  }

  ~Impl() { Close(); }

  void Close() {
    timer.Cancel();
    if (connection != nullptr) {
      bufferevent_free(std::exchange(connection, nullptr));
    }
  }

  // Ends the connection and tells the handler, which may destroy it later.
  void End() {
    if (connection == nullptr) {
      return;
    }
    Close();
    handler.OnGone(self);
  }

  void StartIdleTimer() {
    timer = loop.After(limits.idle_timeout, [this] { End(); });
  }

  void OnReadable() {
    if (is_lingering) {
      evbuffer* input = bufferevent_get_input(connection);
      evbuffer_drain(input, evbuffer_get_length(input));
      return;
    }
    while (connection != nullptr && !is_busy && !closes) {
      evbuffer* input = bufferevent_get_input(connection);
      const size_t available = evbuffer_get_contiguous_space(input);
      if (available == 0) {
        return;
      }
      const auto* bytes = reinterpret_cast<const char*>(
          evbuffer_pullup(input, static_cast<ev_ssize_t>(available)));
      const ParseState before = parser.state();
      const size_t consumed = parser.Feed({bytes, available});
      evbuffer_drain(input, consumed);
      if (parser.state() != ParseState::kStart &&
          before == ParseState::kStart) {
        timer = loop.After(limits.request_timeout,
                           [this] { Fail(RequestFault::kTimeout); });
      }
      if (before != ParseState::kBody && parser.state() == ParseState::kBody &&
          parser.expects_continue()) {
        Write("HTTP/1.1 100 Continue\r\n\r\n");
      }
      if (parser.state() == ParseState::kInvalid) {
        Fail(parser.fault() == ParseFault::kHeadTooLarge
                 ? RequestFault::kHeadTooLarge
             : parser.fault() == ParseFault::kBodyTooLarge
                 ? RequestFault::kBodyTooLarge
                 : RequestFault::kMalformed);
        return;
      }
      if (parser.state() == ParseState::kComplete) {
        timer.Cancel();
        is_busy = true;
        handler.OnRequest(self, parser.head(), parser.body());
      }
    }
  }

  void Fail(RequestFault fault) {
    is_busy = true;
    closes = true;
    timer.Cancel();
    handler.OnFault(self, fault);
  }

  void OnWritten() {
    if (!is_busy && closes) {
      Linger();
      return;
    }
    if (is_busy) {
      handler.OnDrained(self);
    }
  }

  // Lets the answer reach the caller before the socket closes.
  void Linger() {
    if (is_lingering || connection == nullptr) {
      return;
    }
    is_lingering = true;
    shutdown(bufferevent_getfd(connection), SHUT_WR);
    timer = loop.After(kLinger, [this] { End(); });
    OnReadable();
  }

  void OnEvent(short events) {
    if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
      End();
    }
  }

  void Write(std::string_view data) {
    if (connection != nullptr) {
      bufferevent_write(connection, data.data(), data.size());
    }
  }

  void Finish() {
    is_busy = false;
    parser.Reset();
    if (connection == nullptr) {
      return;
    }
    if (closes) {
      if (evbuffer_get_length(bufferevent_get_output(connection)) == 0) {
        Linger();
      }
      return;
    }
    StartIdleTimer();
    if (evbuffer_get_length(bufferevent_get_input(connection)) > 0) {
      // A later turn, since this may run inside OnRequest().
      next_request =
          loop.After(kernel::Duration::zero(), [this] { OnReadable(); });
    }
  }

  ServerConnection& self;
  kernel::EventLoop& loop;
  const ServerConnectionLimits limits;
  Handler& handler;
  RequestParser parser;
  bufferevent* connection = nullptr;
  kernel::Timer timer;
  kernel::Timer next_request;
  BodyFraming framing;
  bool is_busy = false;
  bool closes = false;  // After the current answer.
  bool is_lingering = false;
};

ServerConnection::ServerConnection(kernel::EventLoop& loop,
                                   int fd,
                                   ServerConnectionLimits limits,
                                   Handler& handler)
    : impl_(std::make_unique<Impl>(*this, loop, fd, limits, handler)) {}
ServerConnection::~ServerConnection() = default;

void ServerConnection::StartResponse(const ResponseHead& head,
                                     BodyFraming framing,
                                     bool close_after) {
  impl_->framing = framing;
  impl_->closes = impl_->closes || close_after || !impl_->parser.keep_alive();
  impl_->Write(Serialize(head, framing, impl_->closes));
}

void ServerConnection::WriteBody(std::string_view data) {
  if (data.empty()) {
    return;
  }
  if (impl_->framing.length.has_value()) {
    impl_->Write(data);
    return;
  }
  std::string chunk;
  chunk.reserve(data.size() + 16);
  AppendChunk(data, chunk);
  impl_->Write(chunk);
}

void ServerConnection::FinishResponse() {
  if (!impl_->framing.length.has_value()) {
    impl_->Write(kLastChunk);
  }
  impl_->Finish();
}

void ServerConnection::Reply(const ResponseHead& head,
                             std::string_view body,
                             bool close_after) {
  StartResponse(head, BodyFraming::Length(body.size()), close_after);
  WriteBody(body);
  FinishResponse();
}

void ServerConnection::StartUnframedResponse(const ResponseHead& head) {
  impl_->framing = BodyFraming::Length(0);
  impl_->closes = true;
  std::string text = Serialize(head, BodyFraming::Length(0), true);
  constexpr std::string_view kLength = "Content-Length: 0\r\n";
  text.erase(text.find(kLength), kLength.size());
  impl_->Write(text);
}

void ServerConnection::WriteRaw(std::string_view bytes) {
  impl_->Write(bytes);
}

void ServerConnection::Abort() {
  if (impl_->connection != nullptr) {
    internal::ResetOnClose(bufferevent_getfd(impl_->connection));
  }
  impl_->End();
}

void ServerConnection::CloseWhenIdle() {
  if (impl_->connection == nullptr) {
    return;
  }
  if (impl_->is_busy || has_partial_request()) {
    impl_->closes = impl_->is_busy || impl_->closes;
    return;
  }
  impl_->closes = true;
  impl_->Linger();
}

bool ServerConnection::is_open() const {
  return impl_->connection != nullptr;
}
bool ServerConnection::is_busy() const {
  return impl_->is_busy;
}
bool ServerConnection::has_partial_request() const {
  return impl_->parser.state() == ParseState::kHead ||
         impl_->parser.state() == ParseState::kBody;
}
size_t ServerConnection::buffered_bytes() const {
  return impl_->connection == nullptr
             ? 0
             : evbuffer_get_length(bufferevent_get_output(impl_->connection));
}

}  // namespace jackdawshunt::http1
