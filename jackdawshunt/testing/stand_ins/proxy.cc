#include "jackdawshunt/testing/stand_ins/proxy.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <deque>
#include <string>
#include <utility>

#include "jackdawshunt/http/socket_address.h"

namespace jackdawshunt::testing {
namespace {

using nlohmann::json;

void DisableNagle(bufferevent* socket) {
  const int on = 1;
  setsockopt(bufferevent_getfd(socket), IPPROTO_TCP, TCP_NODELAY, &on,
             sizeof(on));
}

}  // namespace

// Two sockets and the data on the way between them.
class Proxy::Connection {
 public:
  Connection(Proxy& proxy, evutil_socket_t client)
      : proxy_(proxy),
        to_target_(*this),
        to_client_(*this),
        client_(bufferevent_socket_new(proxy.loop_.base(),
                                       client,
                                       BEV_OPT_CLOSE_ON_FREE)),
        target_(bufferevent_socket_new(proxy.loop_.base(),
                                       -1,
                                       BEV_OPT_CLOSE_ON_FREE)) {
    to_target_.Bind(client_, target_);
    to_client_.Bind(target_, client_);
    const sockaddr_in address =
        http::ToSocketAddress(proxy.target_).value_or(sockaddr_in{});
    bufferevent_socket_connect(
        target_, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    DisableNagle(client_);
    DisableNagle(target_);
  }

  ~Connection() {
    bufferevent_free(client_);
    bufferevent_free(target_);
  }

  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void Apply(const Faults& faults) {
    to_target_.Apply(faults.blackhole_to_target, faults.delay_ms);
    to_client_.Apply(faults.blackhole_to_client, faults.delay_ms);
  }

 private:
  class Direction {
   public:
    explicit Direction(Connection& connection) : connection_(connection) {}

    void Bind(bufferevent* from, bufferevent* to) {
      from_ = from;
      to_ = to;
      bufferevent_setcb(
          from,
          [](bufferevent*, void* self) {
            static_cast<Direction*>(self)->OnData();
          },
          nullptr,
          [](bufferevent*, short events, void* self) {
            static_cast<Direction*>(self)->OnEvent(events);
          },
          this);
      bufferevent_enable(from, EV_READ | EV_WRITE);
    }

    void Apply(bool is_silent, int64_t delay_ms) {
      delay_ = std::chrono::milliseconds(delay_ms);
      is_silent_ = is_silent;
      if (is_silent) {
        bufferevent_disable(from_, EV_READ);
      } else {
        bufferevent_enable(from_, EV_READ);
        OnData();
        Deliver();
      }
    }

   private:
    struct Part {
      kernel::TimePoint due;
      std::string data;
    };

    void OnData() {
      if (is_silent_) {
        return;
      }
      evbuffer* input = bufferevent_get_input(from_);
      const size_t size = evbuffer_get_length(input);
      if (size == 0) {
        return;
      }
      if (delay_.count() == 0 && parts_.empty()) {
        evbuffer_add_buffer(bufferevent_get_output(to_), input);
        return;
      }
      std::string data(size, '\0');
      evbuffer_remove(input, data.data(), size);
      parts_.push_back(
          {connection_.proxy_.loop_.clock().Now() + delay_, std::move(data)});
      Deliver();
    }

    void Deliver() {
      const kernel::TimePoint now = connection_.proxy_.loop_.clock().Now();
      while (!is_silent_ && !parts_.empty() && parts_.front().due <= now) {
        const std::string& data = parts_.front().data;
        bufferevent_write(to_, data.data(), data.size());
        parts_.pop_front();
      }
      if (!is_silent_ && !parts_.empty()) {
        timer_ = connection_.proxy_.loop_.After(parts_.front().due - now,
                                                [this] { Deliver(); });
      } else if (has_ended_) {
        CloseWhenFlushed();
      }
    }

    void OnEvent(short events) {
      if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
        return;
      }
      if ((events & BEV_EVENT_ERROR) != 0) {
        connection_.Reset();  // A reset must not look like an orderly close.
        return;
      }
      has_ended_ = true;
      if (parts_.empty()) {
        CloseWhenFlushed();
      }
    }

    // Closes both sockets after the last data has left.
    void CloseWhenFlushed() {
      if (evbuffer_get_length(bufferevent_get_output(to_)) == 0) {
        connection_.Close();
        return;
      }
      bufferevent_setcb(
          to_, nullptr,
          [](bufferevent*, void* self) {
            static_cast<Direction*>(self)->connection_.Close();
          },
          [](bufferevent*, short, void* self) {
            static_cast<Direction*>(self)->connection_.Close();
          },
          this);
    }

    Connection& connection_;
    bufferevent* from_ = nullptr;
    bufferevent* to_ = nullptr;
    bool is_silent_ = false;
    bool has_ended_ = false;
    kernel::Duration delay_{0};
    std::deque<Part> parts_;
    kernel::Timer timer_;
  };

  // Closes both sockets with a reset.
  void Reset() {
    const linger reset{.l_onoff = 1, .l_linger = 0};
    for (bufferevent* const socket : {client_, target_}) {
      setsockopt(bufferevent_getfd(socket), SOL_SOCKET, SO_LINGER, &reset,
                 sizeof(reset));
    }
    Close();
  }

  // Removal in a later turn, because callbacks of the sockets are running.
  void Close() {
    if (!is_closing_) {
      is_closing_ = true;
      proxy_.loop_.Post([this] { proxy_.Remove(this); });
    }
  }

  friend class Proxy;
  Proxy& proxy_;
  Direction to_target_;
  Direction to_client_;
  bufferevent* client_;
  bufferevent* target_;
  bool is_closing_ = false;
};

Proxy::Proxy(kernel::EventLoop& loop, http::Address target)
    : loop_(loop), target_(std::move(target)), admin_server_(loop, {}) {
  admin_server_.SetHandler(
      [this](const ExchangePtr& exchange) { HandleAdmin(exchange); });
}

Proxy::~Proxy() {
  if (listener_ != nullptr) {
    evconnlistener_free(listener_);
  }
}

absl::Status Proxy::Listen(const ListenOptions& options) {
  const sockaddr_in address =
      http::ToSocketAddress({options.ip, options.port}).value_or(sockaddr_in{});
  listener_ = evconnlistener_new_bind(
      loop_.base(),
      [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
        static_cast<Proxy*>(self)->Accept(socket);
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, /*backlog=*/128,
      reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  if (listener_ == nullptr) {
    return absl::UnavailableError("cannot bind the proxy's port");
  }
  sockaddr_in bound{};
  socklen_t size = sizeof(bound);
  getsockname(evconnlistener_get_fd(listener_),
              reinterpret_cast<sockaddr*>(&bound), &size);
  const auto admin_port =
      admin_server_.Listen({"127.0.0.1", options.admin_port});
  if (!admin_port.ok()) {
    return admin_port.status();
  }
  return Announce(options, ntohs(bound.sin_port), *admin_port);
}

void Proxy::Accept(intptr_t socket) {
  const auto descriptor = static_cast<evutil_socket_t>(socket);
  if (faults_.refuse) {
    evutil_closesocket(descriptor);
    return;
  }
  connections_.push_back(std::make_unique<Connection>(*this, descriptor));
  connections_.back()->Apply(faults_);
}

void Proxy::Remove(Connection* connection) {
  connections_.remove_if([connection](const auto& candidate) {
    return candidate.get() == connection;
  });
}

void Proxy::SetFaults(const json& body) {
  Faults faults;
  faults.blackhole_to_target = body.value("blackhole_to_target", false);
  faults.blackhole_to_client = body.value("blackhole_to_client", false);
  faults.refuse = body.value("refuse", false);
  faults.delay_ms = body.value("delay_ms", int64_t{0});
  for (const auto& connection : connections_) {
    connection->Apply(faults);
    if (body.value("cut", false)) {
      connection->Reset();
    }
  }
  faults_ = faults;
  if (body.value("only_existing", false)) {
    faults_.blackhole_to_target = false;
    faults_.blackhole_to_client = false;
  }
}

void Proxy::HandleAdmin(const ExchangePtr& exchange) {
  if (exchange->request().path != "/admin/faults") {
    ReplyJson(*exchange, 404, {{"error", "no such path"}});
    return;
  }
  if (exchange->request().method == "POST") {
    const json body = ParseBody(*exchange);
    if (body.is_null()) {
      return;
    }
    SetFaults(body);
  }
  ReplyJson(*exchange, 200,
            {{"connections", connections_.size()},
             {"blackhole_to_target", faults_.blackhole_to_target},
             {"blackhole_to_client", faults_.blackhole_to_client},
             {"refuse", faults_.refuse},
             {"delay_ms", faults_.delay_ms}});
}

}  // namespace jackdawshunt::testing
