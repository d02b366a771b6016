#include "jackdawshunt/http1/server.h"

#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <optional>
#include <utility>
#include <vector>

#include "jackdawshunt/http1/internal/release.h"
#include "jackdawshunt/http1/internal/socket_options.h"
#include "jackdawshunt/http1/internal/socket_stream.h"
#include "jackdawshunt/kernel/loop_work.h"

namespace jackdawshunt::http1 {
namespace {

// Input beyond the current request that is buffered before reading stops.
constexpr size_t kReadAheadBytes = size_t{16} * 1024;
// The rest of a refused request is read off if it is no longer than this, so
// that the connection can be kept.
constexpr uint64_t kMaxDroppedBytes = uint64_t{64} * 1024;
// After a response that closes the connection, the caller's remaining bytes are
// read for this long: closing with unread bytes would send a reset, which can
// discard the response.
constexpr kernel::Duration kLingerTime = std::chrono::seconds(1);

}  // namespace

struct ServerConnection::Impl final : internal::SocketStream::Owner,
                                      ClientBudget::Client::Owner {
  Impl(ServerConnection& owner,
       kernel::EventLoop& on_loop,
       int fd,
       ServerConnectionLimits with_limits,
       Handler& to_handler,
       ClientBudget* of_budget)
      : self(owner),
        loop(on_loop),
        initial_limits(with_limits),
        limits(with_limits),
        handler(to_handler),
        budget(of_budget),
        parser(
            with_limits.parse,
            of_budget == nullptr
                ? RequestParser::MayHold()
                : [this](size_t bytes) { return HoldInput(bytes); }),
        stream(on_loop, *this) {
    if (budget != nullptr) {
      client.emplace(*budget, *this, Now());
    }
    stream.Adopt(fd);
    StartIdleTimer();
  }

  // Closes the connection and notifies the handler, which may destroy it later.
  void CloseAndNotify() {
    if (!stream.is_open()) {
      return;
    }
    timer.Cancel();
    stream.Close();
    parser.Abandon();
    internal::Release(unparsed);
    if (client.has_value()) {
      client->Clear();
    }
    handler.OnClosed(self);
  }

  void StartIdleTimer() {
    state_since = Now();
    timer = loop.After(limits.idle_timeout, [this] { CloseAndNotify(); });
  }

  kernel::TimePoint Now() const { return loop.clock().Now(); }

  // Returns whether a part of a request has arrived that may still be served.
  bool is_receiving() const {
    return !is_busy && !is_dropping && !closes_after_response &&
           (parser.state() == ParseState::kHead ||
            parser.state() == ParseState::kBody);
  }

  // Takes room for `bytes` of the message that is parsed, beside the
  // read-ahead.
  bool HoldInput(size_t bytes) {
    return client->Resize(ClientMemory::kInput, bytes + read_ahead_bytes(),
                          Now());
  }

  // Accounts for what was received and what waits to be read by the caller.
  void AccountInput() {
    AdaptReceiveBuffer();
    if (client.has_value()) {
      client->Account(ClientMemory::kInput,
                      parser.held_bytes() + read_ahead_bytes());
    }
  }
  // Returns the bytes that are read ahead, also by the kernel.
  size_t read_ahead_bytes() const {
    return (unparsed.empty() ? 0 : unparsed.capacity()) +
           (has_large_buffer ? internal::kLargeReceiveBufferBytes : 0);
  }

  // Gives a large request that is being received a larger buffer of the kernel,
  // if there is room.
  void AdaptReceiveBuffer() {
    const bool wants_large =
        stream.is_open() && is_receiving() &&
        parser.held_bytes() > internal::kLargeReceiveBufferBytes;
    if (budget == nullptr || wants_large == has_large_buffer ||
        (wants_large && budget->is_under_pressure())) {
      return;
    }
    has_large_buffer = wants_large;
    if (stream.is_open()) {
      internal::SetReceiveBuffer(
          stream.fd(), wants_large ? internal::kLargeReceiveBufferBytes
                                   : internal::kReceiveBufferBytes);
    }
  }
  void AccountOutput() {
    if (!client.has_value()) {
      return;
    }
    const size_t unread = stream.unwritten();
    const uint64_t before = client->held_bytes(ClientMemory::kOutput);
    if (unread != before) {
      if (before == 0 || unread < before) {
        client->OnRead(Now());
      }
      client->Account(ClientMemory::kOutput, unread);
    }
  }

  // Records the progress of a request of which `count` bytes were parsed.
  void AccountProgress(ParseState before, size_t count) {
    if (!client.has_value()) {
      return;
    }
    if (!is_receiving()) {
      client->EndRequest();
    } else if (before == ParseState::kStart) {
      client->BeginRequest(Now());
    } else {
      client->OnReceived(count, Now());
    }
  }

  // ClientBudget::Client::Owner:
  void OnReclaimed() override {
    if (is_receiving()) {
      parser.Abandon();
      internal::Release(unparsed);
      AccountInput();
      Fail(RequestError::kNoMemory);
    } else {
      self.Abort();
    }
  }

  bool HasUnreadInput() {
    // What follows a response that was not read waits for its caller.
    int unread = 0;
    has_unread_input = stream.is_open() && !is_lingering && MayParse() &&
                       ioctl(stream.fd(), FIONREAD, &unread) == 0 && unread > 0;
    return has_unread_input;
  }

  ConnectionState connection_state() const {
    if (is_lingering) {
      return ConnectionState::kClosing;
    }
    if (has_unread_input) {
      return ConnectionState::kBusy;
    }
    if (is_receiving()) {
      return parser.state() == ParseState::kHead ||
                     (client.has_value() && client->IsRequestStalled(Now()))
                 ? ConnectionState::kSilent
                 : ConnectionState::kBusy;
    }
    if (is_busy) {
      return ConnectionState::kBusy;
    }
    if (stream.unwritten() > 0) {
      // A caller that sends more requests meanwhile does not read.
      return !unparsed.empty() ||
                     (client.has_value() && client->IsResponseStalled(Now()))
                 ? ConnectionState::kSilent
                 : ConnectionState::kBusy;
    }
    return has_answered ? ConnectionState::kIdle : ConnectionState::kSilent;
  }

  // internal::SocketStream::Owner:
  void OnConnected() override {}
  void OnEnd(internal::SocketStream::End /*end*/) override { CloseAndNotify(); }
  void OnDrained() override {
    AccountOutput();
    if (!is_busy && closes_after_response) {
      ShutDownAndLinger();
    } else if (is_busy) {
      handler.OnDrained(self);
    } else {
      ConsumeUnparsed();
    }
  }
  void OnPartlySent() override { AccountOutput(); }
  void OnData(std::string_view data) override {
    has_unread_input = false;
    if (closes_after_response && !is_busy) {
      return;  // No request is served any more.
    }
    if (!MayParse() || !unparsed.empty()) {
      unparsed.append(data);
      PauseReadingAhead();
    } else {
      data.remove_prefix(Consume(data));
      if (!closes_after_response || is_busy) {
        unparsed.append(data);
      }
    }
    AccountInput();
  }

  // A request is parsed once the response to the one before it has been read.
  bool MayParse() const { return !is_busy && stream.unwritten() == 0; }

  void PauseReadingAhead() {
    if (!MayParse() && (unparsed.size() > kReadAheadBytes ||
                        (!unparsed.empty() && self.is_under_pressure()))) {
      stream.SetReading(false);
    }
  }

  // Parses requests until one is delivered to the handler and not yet answered.
  // Returns the number of bytes consumed.
  size_t Consume(std::string_view data) {
    size_t consumed = 0;
    while (stream.is_open() && MayParse() && !closes_after_response &&
           consumed < data.size()) {
      const ParseState before = parser.state();
      if (before == ParseState::kStart) {
        limits = handler.CurrentLimits(initial_limits);
        parser.set_limits(limits.parse);
      }
      const size_t count = parser.Feed(data.substr(consumed));
      consumed += count;
      if (parser.state() != ParseState::kStart &&
          before == ParseState::kStart) {
        state_since = Now();
        timer = loop.After(limits.request_timeout,
                           [this] { Fail(RequestError::kTimeout); });
      }
      AccountProgress(before, count);
      if (parser.state() == ParseState::kInvalid) {
        FailInvalid();
        return data.size();
      }
      if (before != ParseState::kBody && parser.state() == ParseState::kBody) {
        OfferHead();
      }
      if (parser.state() == ParseState::kComplete) {
        OnComplete();
      }
    }
    return consumed;
  }

  // Lets the handler refuse a request whose body has not arrived.
  void OfferHead() {
    is_busy = true;
    handler.OnHead(self, parser.head());
    if (is_dropping || !stream.is_open() || closes_after_response) {
      return;  // Refused.
    }
    is_busy = false;
    if (parser.expects_continue()) {
      Write("HTTP/1.1 100 Continue\r\n\r\n");
    }
  }

  void OnComplete() {
    timer.Cancel();
    if (is_dropping) {
      is_dropping = false;
      parser.Reset();
      StartIdleTimer();
      return;
    }
    is_busy = true;
    handler.OnRequest(self, parser.head(), parser.body());
  }

  void FailInvalid() {
    if (is_dropping) {
      CloseAndNotify();  // It was answered.
      return;
    }
    struct Row {
      ParseError error;
      RequestError reported;
    };
    static constexpr std::array kRows = {
        Row{ParseError::kHeadTooLarge, RequestError::kHeadTooLarge},
        Row{ParseError::kBodyTooLarge, RequestError::kBodyTooLarge},
        Row{ParseError::kNoMemory, RequestError::kNoMemory},
    };
    for (const Row& row : kRows) {
      if (row.error == parser.error()) {
        Fail(row.reported);
        return;
      }
    }
    Fail(RequestError::kMalformed);
  }

  void Fail(RequestError error) {
    is_busy = true;
    closes_after_response = true;
    timer.Cancel();
    parser.Abandon();
    if (client.has_value()) {
      client->EndRequest();
    }
    handler.OnRequestError(self, error);
  }

  // Shuts down the sending side and closes the socket after kLingerTime, so
  // that the response reaches the caller.
  void ShutDownAndLinger() {
    if (is_lingering || !stream.is_open()) {
      return;
    }
    is_lingering = true;
    shutdown(stream.fd(), SHUT_WR);
    stream.SetReading(true);
    timer = loop.After(kLingerTime, [this] { CloseAndNotify(); });
  }

  void Write(std::string_view data) {
    stream.Write(data);
    AccountOutput();
  }

  // Drops the rest of a request that was answered.
  void DropRest() {
    is_dropping = true;
    parser.DropBody();
    AccountInput();
    timer = loop.After(limits.request_timeout, [this] { CloseAndNotify(); });
  }

  // Appends part of the current response's body in its framing.
  void AppendBody(std::string_view data, std::string& out) const {
    if (drops_body) {
      return;
    }
    if (framing.length.has_value()) {
      out.append(data);
    } else if (!data.empty()) {
      AppendChunk(data, out);
    }
  }

  void Finish() {
    is_busy = false;
    has_answered = true;
    const bool has_rest = parser.state() == ParseState::kBody;
    if (!has_rest) {
      parser.Reset();
    }
    if (client.has_value()) {
      client->EndRequest();
      client->Account(ClientMemory::kRequest, 0);
      client->Account(ClientMemory::kAnswer, 0);
    }
    if (!stream.is_open()) {
      return;
    }
    if (closes_after_response) {
      parser.Abandon();
      internal::Release(unparsed);
      AccountInput();
      if (stream.unwritten() == 0) {
        ShutDownAndLinger();
      }
      return;
    }
    if (has_rest) {
      DropRest();
      return;
    }
    StartIdleTimer();
    if (!unparsed.empty()) {
      // Parses in a later turn, since this may run inside OnRequest().
      next_request =
          loop.After(kernel::Duration::zero(), [this] { ConsumeUnparsed(); });
    }
  }

  void ConsumeUnparsed() {
    if (!MayParse()) {
      return;
    }
    const kernel::LoopWork work(kernel::LoopWorkKind::kConnection,
                                stream.peer());
    const std::string data = std::exchange(unparsed, {});
    const size_t consumed = Consume(data);
    if (!closes_after_response || is_busy) {
      unparsed = data.substr(consumed);
    }
    AccountInput();
    stream.SetReading(true);
    PauseReadingAhead();
  }

  ServerConnection& self;
  kernel::EventLoop& loop;
  const ServerConnectionLimits initial_limits;
  ServerConnectionLimits limits;  // Of the current request.
  Handler& handler;
  ClientBudget* const budget;
  std::optional<ClientBudget::Client> client;  // Present with a budget.
  RequestParser parser;
  internal::SocketStream stream;
  std::string unparsed;  // Input after the current request, not parsed yet.
  kernel::Timer timer;
  kernel::Timer next_request;
  BodyFraming framing;
  bool drops_body = false;  // The current response has none.
  bool is_busy = false;
  // The request was answered, and the rest of its body is dropped.
  bool is_dropping = false;
  bool closes_after_response = false;
  bool is_lingering = false;
  bool has_large_buffer = false;
  bool has_answered = false;      // A request so far.
  bool has_unread_input = false;  // Input was seen that is not read yet.
  // The connection is idle, or receives a request, since then.
  kernel::TimePoint state_since{};
};

ServerConnection::ServerConnection(kernel::EventLoop& loop,
                                   int fd,
                                   ServerConnectionLimits limits,
                                   Handler& handler,
                                   ClientBudget* budget)
    : impl_(std::make_unique<Impl>(*this, loop, fd, limits, handler, budget)) {}
ServerConnection::~ServerConnection() = default;

void ServerConnection::StartResponse(const ResponseHead& head,
                                     BodyFraming framing,
                                     bool close_after,
                                     std::string_view first_part) {
  impl_->framing = framing;
  impl_->drops_body =
      IsBodiless(head.status) || impl_->parser.head().method == "HEAD";
  const bool has_long_rest = impl_->parser.state() == ParseState::kBody &&
                             impl_->parser.remaining_bytes().value_or(
                                 kMaxDroppedBytes + 1) > kMaxDroppedBytes;
  impl_->closes_after_response = impl_->closes_after_response || close_after ||
                                 has_long_rest || !impl_->parser.keep_alive();
  std::string out = Serialize(head, framing, impl_->closes_after_response);
  impl_->AppendBody(first_part, out);
  impl_->Write(out);
}

void ServerConnection::WriteBody(std::string_view data) {
  if (data.empty() || impl_->drops_body) {
    return;
  }
  if (impl_->framing.length.has_value()) {
    impl_->Write(data);
    return;
  }
  std::string chunk;
  chunk.reserve(data.size() + 16);
  impl_->AppendBody(data, chunk);
  impl_->Write(chunk);
}

void ServerConnection::FinishResponse() {
  if (!impl_->drops_body && !impl_->framing.length.has_value()) {
    impl_->Write(kLastChunk);
  }
  impl_->Finish();
}

void ServerConnection::Reply(const ResponseHead& head,
                             std::string_view body,
                             bool close_after) {
  StartResponse(head, BodyFraming::Length(body.size()), close_after, body);
  FinishResponse();
}

void ServerConnection::StartUnframedResponse(const ResponseHead& head) {
  impl_->framing = BodyFraming::Length(0);
  impl_->drops_body = false;
  impl_->closes_after_response = true;
  std::string text = Serialize(head, BodyFraming::Length(0), true);
  constexpr std::string_view kLength = "Content-Length: 0\r\n";
  text.erase(text.find(kLength), kLength.size());
  impl_->Write(text);
}

void ServerConnection::WriteRaw(std::string_view bytes) {
  impl_->Write(bytes);
}

void ServerConnection::Abort() {
  if (impl_->stream.is_open()) {
    internal::ResetOnClose(impl_->stream.fd());
  }
  impl_->CloseAndNotify();
}

void ServerConnection::SetWorkspace(std::string_view workspace) {
  if (impl_->client.has_value()) {
    impl_->client->SetWorkspace(workspace);
  }
}

bool ServerConnection::HoldRequest(size_t bytes) {
  if (!impl_->client.has_value()) {
    return true;
  }
  // What was received is now part of the request.
  impl_->client->Account(ClientMemory::kInput, impl_->read_ahead_bytes());
  return impl_->client->Resize(ClientMemory::kRequest, bytes, impl_->Now());
}

bool ServerConnection::HoldAnswer(size_t bytes) {
  return !impl_->client.has_value() ||
         impl_->client->Resize(ClientMemory::kAnswer, bytes, impl_->Now());
}

bool ServerConnection::is_under_pressure() const {
  return impl_->budget != nullptr && impl_->budget->is_under_pressure();
}

bool ServerConnection::has_arriving_request() const {
  int unread = 0;
  return impl_->stream.is_open() && !impl_->is_busy &&
         (has_partial_request() ||
          (!impl_->unparsed.empty() && !impl_->closes_after_response) ||
          (ioctl(impl_->stream.fd(), FIONREAD, &unread) == 0 && unread > 0));
}

ConnectionUse ServerConnection::use() const {
  return {impl_->connection_state(), impl_->state_since};
}

bool ServerConnection::HasUnreadInput() {
  return impl_->HasUnreadInput();
}

void ServerConnection::Yield() {
  impl_->CloseAndNotify();
}

bool ServerConnection::has_caller_left() const {
  if (!impl_->stream.is_open()) {
    return true;
  }
  char next = 0;
  const ssize_t count =
      recv(impl_->stream.fd(), &next, sizeof(next), MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK &&
                        errno != EINTR);
}

void ServerConnection::CloseWhenIdle() {
  if (!impl_->stream.is_open()) {
    return;
  }
  if (impl_->is_busy || has_arriving_request()) {
    impl_->closes_after_response =
        impl_->is_busy || impl_->closes_after_response;
    return;
  }
  impl_->closes_after_response = true;
  impl_->ShutDownAndLinger();
}

bool ServerConnection::is_open() const {
  return impl_->stream.is_open();
}
bool ServerConnection::is_busy() const {
  return impl_->is_busy;
}
bool ServerConnection::has_partial_request() const {
  return !impl_->is_dropping && (impl_->parser.state() == ParseState::kHead ||
                                 impl_->parser.state() == ParseState::kBody);
}
size_t ServerConnection::buffered_bytes() const {
  return impl_->stream.unwritten();
}

void ConnectionSet::Add(int fd) {
  if (connections_.size() >= options_.max_connections) {
    const auto yielding = ChooseYielding(
        connections_, loop_.clock().Now(),
        [](const auto& row) -> ServerConnection& { return *row.second; });
    if (yielding == connections_.end()) {
      close(fd);
      return;
    }
    yielding->second->Yield();  // The handler removes it.
  }
  auto connection = std::make_unique<ServerConnection>(
      loop_, fd, options_.limits, handler_, options_.budget);
  ServerConnection* const key = connection.get();
  connections_.emplace(key, std::move(connection));
}

void ConnectionSet::Remove(ServerConnection& connection) {
  const auto found = connections_.find(&connection);
  if (found == connections_.end()) {
    return;
  }
  loop_.Post([removed = std::shared_ptr<ServerConnection>(
                  std::move(found->second))] {});
  connections_.erase(found);
}

void ConnectionSet::AbortAll() {
  std::vector<ServerConnection*> open;
  open.reserve(connections_.size());
  for (const auto& [connection, owned] : connections_) {
    open.push_back(connection);
  }
  for (ServerConnection* const connection : open) {
    connection->Abort();
  }
}

}  // namespace jackdawshunt::http1
