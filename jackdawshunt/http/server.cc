#include "jackdawshunt/http/server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <unordered_map>
#include <utility>

#include "absl/strings/str_cat.h"
#include "jackdawshunt/base/log.h"
#include "jackdawshunt/http/internal/error_pages.h"
#include "jackdawshunt/http/internal/evhttp_util.h"
#include "jackdawshunt/kernel/loop_work.h"

namespace jackdawshunt::http {
namespace {

// A kept-alive connection is closed after this time without a request.
constexpr timeval kIdleTimeout = {60, 0};
// Limit for bytes of pipelined requests that are read while a reply is open.
// Reading continues only to detect that the caller disconnects.
constexpr size_t kMaxPipelinedBytes = size_t{64} * 1024;

// The caller's connection during one request. `request_` is valid until the
// reply has been sent or the connection was closed.
class Stream : public std::enable_shared_from_this<Stream> {
 public:
  using Remove = std::function<void(Stream*)>;

  Stream(kernel::EventLoop& loop,
         internal::ErrorPages& error_pages,
         evhttp_request* request,
         Remove remove);

  const Request& request() const { return request_copy_; }
  bool is_open() const { return request_ != nullptr; }
  bool is_answered() const { return has_started_; }
  void Reply(const Response& response);
  void StartStream(int status, const Headers& headers);
  void Write(std::string_view data);
  void EndStream();
  void Abort();
  void HandleDropped();
  size_t buffered_bytes() const;
  void OnDrained(std::function<void()> callback) {
    on_drained_ = std::move(callback);
  }
  void OnClosed(std::function<void()> callback);
  // The stream must be open.
  int fd() const { return bufferevent_getfd(transport()); }
  // Removes all references to the request, which the server's destructor or
  // Abort() frees with its connection.
  void Detach();

 private:
  evhttp_connection* connection() const {
    return evhttp_request_get_connection(request_);
  }
  bufferevent* transport() const {
    return evhttp_connection_get_bufferevent(connection());
  }
  void WatchForClose();
  void HandleComplete();
  void HandleClosed(evhttp_connection* closed);
  void HandleWritten();
  void RemoveFromServer();

  kernel::EventLoop& loop_;
  internal::ErrorPages& error_pages_;
  evhttp_request* request_;
  Remove remove_;
  Request request_copy_;
  bool has_started_ = false;
  bool has_ended_ = false;
  bool has_closed_early_ = false;
  std::function<void()> on_drained_;
  std::function<void()> on_closed_;
};

// Ends the connection once evhttp has received too many bytes without parsing
// them.
void LimitUnparsed(bufferevent* transport) {
  evbuffer_add_cb(
      bufferevent_get_input(transport),
      [](evbuffer* input, const evbuffer_cb_info* info, void* connection) {
        const size_t size = evbuffer_get_length(input);
        if (size > internal::kMaxUnparsedBytes &&
            info->orig_size <= internal::kMaxUnparsedBytes) {
          base::Log(base::LogLevel::kInfo, "request_refused",
                    {{"unparsed_bytes", size}});
          // evhttp closes the connection when it reads the end. The reset then
          // ends the client's sending.
          const evutil_socket_t fd =
              bufferevent_getfd(static_cast<bufferevent*>(connection));
          const linger reset{.l_onoff = 1, .l_linger = 0};
          setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
          shutdown(fd, SHUT_RDWR);
        }
      },
      transport);
}

Request CopyRequest(evhttp_request* request) {
  Request copy;
  copy.method = internal::MethodName(evhttp_request_get_command(request));
  const std::string_view uri = evhttp_request_get_uri(request);
  const size_t mark = uri.find('?');
  copy.path = uri.substr(0, mark);
  if (mark != std::string_view::npos) {
    copy.query = uri.substr(mark + 1);
  }
  copy.headers =
      internal::CopyHeaders(evhttp_request_get_input_headers(request));
  copy.body = internal::TakeAll(evhttp_request_get_input_buffer(request));
  return copy;
}

Stream::Stream(kernel::EventLoop& loop,
               internal::ErrorPages& error_pages,
               evhttp_request* request,
               Remove remove)
    : loop_(loop),
      error_pages_(error_pages),
      request_(request),
      remove_(std::move(remove)),
      request_copy_(CopyRequest(request)) {
  evhttp_request_set_on_complete_cb(
      request,
      [](evhttp_request*, void* self) {
        static_cast<Stream*>(self)->HandleComplete();
      },
      this);
  evhttp_connection_set_closecb(
      connection(),
      [](evhttp_connection* closed, void* self) {
        static_cast<Stream*>(self)->HandleClosed(closed);
      },
      this);
  error_pages_.BeginExchange(transport());
  WatchForClose();
}

// Continues to read, since evhttp stops reading when it delivers a request, and
// would then detect a disconnect only at the first write.
void Stream::WatchForClose() {
  bufferevent* const bev = transport();
  bufferevent_data_cb read_callback = nullptr;
  bufferevent_data_cb write_callback = nullptr;
  bufferevent_event_cb event_callback = nullptr;
  void* argument = nullptr;
  bufferevent_getcb(bev, &read_callback, &write_callback, &event_callback,
                    &argument);
  bufferevent_setcb(bev, nullptr, write_callback, event_callback, argument);
  // A stream may be idle for long; its owner decides when it ends.
  bufferevent_set_timeouts(bev, nullptr, nullptr);
  bufferevent_setwatermark(bev, EV_READ, 0, kMaxPipelinedBytes);
  bufferevent_enable(bev, EV_READ);
}

void Stream::HandleComplete() {
  error_pages_.EndExchange(transport(), connection());
  bufferevent_setwatermark(transport(), EV_READ, 0, 0);
  bufferevent_set_timeouts(transport(), &kIdleTimeout, &kIdleTimeout);
  request_ = nullptr;
  RemoveFromServer();
}

void Stream::HandleClosed(evhttp_connection* closed) {
  error_pages_.RemoveConnection(evhttp_connection_get_bufferevent(closed));
  // evhttp frees only requests whose reply was ended.
  if (!has_ended_) {
    evhttp_request_free(request_);
  }
  request_ = nullptr;
  has_closed_early_ = true;
  loop_.Post([weak = weak_from_this()] {
    if (const auto self = weak.lock(); self && self->on_closed_) {
      std::exchange(self->on_closed_, nullptr)();
    }
  });
  RemoveFromServer();
}

void Stream::RemoveFromServer() {
  // The posted call runs after evhttp has finished with this connection.
  loop_.Post([self = shared_from_this()] {});
  remove_(this);
}

void Stream::Detach() {
  if (request_ != nullptr) {
    evhttp_connection_set_closecb(connection(), nullptr, nullptr);
    evhttp_request_set_on_complete_cb(request_, nullptr, nullptr);
    request_ = nullptr;
  }
}

void Stream::Reply(const Response& response) {
  if (!is_open() || has_started_) {
    return;
  }
  has_started_ = true;
  has_ended_ = true;
  internal::AddHeaders(response.headers,
                       evhttp_request_get_output_headers(request_));
  evbuffer* const body = evbuffer_new();
  internal::AppendTo(body, response.body);
  evhttp_send_reply(request_, response.status, nullptr, body);
  evbuffer_free(body);
}

void Stream::StartStream(int status, const Headers& headers) {
  if (!is_open() || has_started_) {
    return;
  }
  has_started_ = true;
  internal::AddHeaders(headers, evhttp_request_get_output_headers(request_));
  evhttp_send_reply_start(request_, status, nullptr);
}

void Stream::Write(std::string_view data) {
  if (!is_open() || !has_started_ || has_ended_ || data.empty()) {
    return;
  }
  evbuffer* const part = evbuffer_new();
  internal::AppendTo(part, data);
  evhttp_send_reply_chunk_with_cb(
      request_, part,
      [](evhttp_connection*, void* self) {
        static_cast<Stream*>(self)->HandleWritten();
      },
      this);
  evbuffer_free(part);
}

void Stream::HandleWritten() {
  loop_.Post([weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self && self->is_open() && !self->has_ended_ && self->on_drained_ &&
        self->buffered_bytes() == 0) {
      const auto callback = self->on_drained_;
      callback();
    }
  });
}

void Stream::EndStream() {
  if (!is_open() || !has_started_ || has_ended_) {
    return;
  }
  has_ended_ = true;
  evhttp_send_reply_end(request_);
}

void Stream::Abort() {
  if (!is_open() || (has_started_ && has_ended_)) {
    return;
  }
  evhttp_connection* const aborted_connection = connection();
  error_pages_.RemoveConnection(transport());
  Detach();
  RemoveFromServer();
  evhttp_connection_free(aborted_connection);
}

void Stream::HandleDropped() {
  if (!is_open() || has_ended_) {
    return;
  }
  if (has_started_) {
    Abort();
    return;
  }
  base::Log(base::LogLevel::kError, "exchange_dropped_without_reply",
            {{"method", request_copy_.method}, {"path", request_copy_.path}});
  Reply({.status = 500});
}

size_t Stream::buffered_bytes() const {
  return is_open() ? evbuffer_get_length(bufferevent_get_output(transport()))
                   : 0;
}

void Stream::OnClosed(std::function<void()> callback) {
  on_closed_ = std::move(callback);
  if (has_closed_early_) {
    loop_.Post([weak = weak_from_this()] {
      if (const auto self = weak.lock(); self && self->on_closed_) {
        std::exchange(self->on_closed_, nullptr)();
      }
    });
  }
}

class ExchangeHandle final : public Exchange {
 public:
  explicit ExchangeHandle(std::shared_ptr<Stream> stream)
      : stream_(std::move(stream)) {}
  ~ExchangeHandle() override {
    stream_->OnDrained(nullptr);
    stream_->OnClosed(nullptr);
    stream_->HandleDropped();
  }
  ExchangeHandle(const ExchangeHandle&) = delete;
  ExchangeHandle& operator=(const ExchangeHandle&) = delete;

  const Request& request() const override { return stream_->request(); }
  void Reply(const Response& response) override { stream_->Reply(response); }
  void StartStream(int status, const Headers& headers) override {
    stream_->StartStream(status, headers);
  }
  void Write(std::string_view data) override { stream_->Write(data); }
  void EndStream() override { stream_->EndStream(); }
  void Abort() override { stream_->Abort(); }
  size_t buffered_bytes() const override { return stream_->buffered_bytes(); }
  void OnDrained(std::function<void()> callback) override {
    stream_->OnDrained(std::move(callback));
  }
  void OnClosed(std::function<void()> callback) override {
    stream_->OnClosed(std::move(callback));
  }
  bool is_open() const override { return stream_->is_open(); }

 private:
  std::shared_ptr<Stream> stream_;
};

absl::StatusOr<uint16_t> BoundPort(evutil_socket_t fd) {
  sockaddr_storage storage = {};
  socklen_t size = sizeof(storage);
  auto* const address = reinterpret_cast<sockaddr*>(&storage);
  if (getsockname(fd, address, &size) != 0) {
    return absl::UnavailableError("the bound port cannot be read");
  }
  return ntohs(address->sa_family == AF_INET6
                   ? reinterpret_cast<sockaddr_in6*>(address)->sin6_port
                   : reinterpret_cast<sockaddr_in*>(address)->sin_port);
}

}  // namespace

struct Server::Impl {
  Impl(kernel::EventLoop& event_loop, ServerLimits server_limits);
  ~Impl();
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void HandleRequest(evhttp_request* request);
  void Dispatch(const std::shared_ptr<Stream>& stream);

  kernel::EventLoop& loop;
  internal::ErrorPages error_pages;
  evhttp* http;
  evhttp_bound_socket* socket = nullptr;
  Handler handler;
  std::unordered_map<Stream*, std::shared_ptr<Stream>> streams;
  // Expires with the server; posted calls check it before they use the server.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

Server::Impl::Impl(kernel::EventLoop& event_loop, ServerLimits server_limits)
    : loop(event_loop),
      error_pages(server_limits.max_header_bytes),
      http(evhttp_new(event_loop.base())) {
  evhttp_set_max_headers_size(
      http, static_cast<ev_ssize_t>(server_limits.max_header_bytes));
  evhttp_set_max_body_size(
      http, static_cast<ev_ssize_t>(server_limits.max_body_bytes));
  evhttp_set_default_content_type(http, nullptr);
  evhttp_set_timeout_tv(http, &kIdleTimeout);
  evhttp_set_allowed_methods(http, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
                                       EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
                                       EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS |
                                       EVHTTP_REQ_PATCH);
  // Without this flag, the reset of a connection with unread data could reach
  // the caller before the reply 413.
  evhttp_set_flags(http, EVHTTP_SERVER_LINGERING_CLOSE);
  evhttp_set_bevcb(
      http,
      [](event_base* base, void* self) {
        bufferevent* const transport =
            static_cast<Impl*>(self)->error_pages.NewTransport(base);
        LimitUnparsed(transport);
        return transport;
      },
      this);
  evhttp_set_gencb(
      http,
      [](evhttp_request* request, void* self) {
        static_cast<Impl*>(self)->HandleRequest(request);
      },
      this);
}

Server::Impl::~Impl() {
  for (const auto& [stream, owner] : streams) {
    stream->Detach();
  }
  streams.clear();
  evhttp_free(http);
}

void Server::Impl::HandleRequest(evhttp_request* request) {
  auto stream = std::make_shared<Stream>(
      loop, error_pages, request,
      [this](Stream* removed) { streams.erase(removed); });
  streams.emplace(stream.get(), stream);
  // The handler runs outside evhttp's calls, so it may end the connection.
  loop.Post([this, stream, weak = std::weak_ptr<bool>(alive)] {
    if (!weak.expired()) {
      Dispatch(stream);
    }
  });
}

void Server::Impl::Dispatch(const std::shared_ptr<Stream>& stream) {
  if (!stream->is_open()) {
    return;
  }
  const sockaddr_in peer = kernel::PeerOf(stream->fd());
  const kernel::LoopWork work(kernel::LoopWorkKind::kConnection, peer);
  if (handler) {
    handler(std::make_shared<ExchangeHandle>(stream));
  } else {
    stream->Reply({.status = 503});
  }
}

Server::Server(kernel::EventLoop& loop, ServerLimits limits)
    : impl_(std::make_unique<Impl>(loop, limits)) {}

Server::~Server() = default;

void Server::SetHandler(Handler handler) {
  impl_->handler = std::move(handler);
}

void Server::SetErrorPage(std::function<Response(int status)> page) {
  impl_->error_pages.SetPage(std::move(page));
}

absl::StatusOr<uint16_t> Server::Listen(const Address& address) {
  impl_->socket = evhttp_bind_socket_with_handle(
      impl_->http, address.ip.c_str(), address.port);
  if (impl_->socket == nullptr) {
    return absl::UnavailableError(
        absl::StrCat("cannot listen on ", address.ToString()));
  }
  const evutil_socket_t fd = evhttp_bound_socket_get_fd(impl_->socket);
  internal::SetNoDelay(fd);  // Accepted sockets inherit the option.
  return BoundPort(fd);
}

void Server::StopListening() {
  if (impl_->socket != nullptr) {
    evhttp_del_accept_socket(impl_->http, impl_->socket);
    impl_->socket = nullptr;
  }
}

size_t Server::open_exchanges() const {
  return impl_->streams.size();
}

}  // namespace jackdawshunt::http
