#include "jackdawshunt/http1/client.h"

#include <array>
#include <charconv>
#include <cstring>
#include <utility>

#include "absl/container/flat_hash_set.h"
#include "jackdawshunt/http1/internal/embedded_head_scanner.h"
#include "jackdawshunt/http1/internal/release.h"
#include "jackdawshunt/http1/internal/socket_options.h"
#include "jackdawshunt/http1/internal/socket_stream.h"

namespace jackdawshunt::http1 {
namespace {

constexpr std::array<std::string_view, 5> kLossNames = {
    "not_connected", "closed", "reset", "malformed", "withdrawn"};

// More bytes of responses to other requests end the connection.
constexpr size_t kMaxForeignBodyBytes = size_t{256} * 1024;

// After so many requests a connection is not reused, which bounds the memory
// for their keys.
constexpr size_t kMaxRequestKeys = 4096;

// Parses "timeout=N" in a Keep-Alive header, N in seconds. Returns max() if it
// is absent or malformed.
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

struct ClientConnection::Impl final : ResponseSink,
                                      internal::SocketStream::Owner,
                                      internal::EmbeddedHeadScanner::Owner {
  Impl(kernel::EventLoop& on_loop,
       const http::Address& to_address,
       ClientConnectionOptions with_options)
      : loop(on_loop),
        address(to_address),
        options(with_options),
        stream(on_loop, *this) {}

  void Close() {
    connect_timer.Cancel();
    stream.Close();
    internal::Release(unsent_request);
    unsent_body.reset();
    is_closed = true;
  }

  void Open() {
    // A failure is reported in a later turn, so that Send() never calls back.
    const bool connect_started = stream.Connect(address);
    connect_timer = loop.After(
        connect_started ? options.connect_timeout : kernel::Duration::zero(),
        [this] { CloseAsLost(Loss::kNotConnected); });
  }

  // internal::SocketStream::Owner:
  void OnConnected() override {
    is_connected = true;
    connect_timer.Cancel();
    internal::SetUpstreamSocketOptions(stream.fd(),
                                       options.unacknowledged_timeout);
    if (receiver != nullptr && !receiver->IsStillWanted()) {
      CloseAsLost(Loss::kWithdrawn);
      return;
    }
    // The request is written only after the connection is established, so that
    // a failed connect is known to have sent nothing.
    Write(std::exchange(unsent_request, {}), std::move(unsent_body));
  }
  void Write(std::string_view request,
             std::shared_ptr<const std::string> body) {
    if (body == nullptr) {
      stream.Write(request);
    } else {
      stream.Write(request, std::move(body));
    }
  }
  void OnDrained() override {}
  void OnEnd(internal::SocketStream::End end) override {
    if (!is_connected) {
      CloseAsLost(Loss::kNotConnected);
      return;
    }
    // The reset that answers the rest of the request may come later than the
    // end, or be hidden by it.
    const bool is_orderly = end == internal::SocketStream::End::kClosed &&
                            !stream.has_undelivered_output();
    if (is_orderly && receiver != nullptr) {
      parser.FeedEnd(*this);
      if (parser.state() == ParseState::kComplete) {
        CompleteUnframed();
        return;
      }
    }
    CloseAsLost(is_orderly ? Loss::kClosed : Loss::kReset);
  }
  void OnData(std::string_view data) override {
    while (!data.empty() && stream.is_open()) {
      if (receiver == nullptr) {
        CloseAsLost(Loss::kMalformed);  // Bytes without a request.
        return;
      }
      data.remove_prefix(parser.Feed(data, *this));
      if (!stream.is_open()) {
        return;  // Cancelled by a callback.
      }
      if (parser.state() == ParseState::kInvalid || has_unknown_framing ||
          has_embedded_response || foreign_body_bytes > kMaxForeignBodyBytes) {
        CloseAsLost(Loss::kMalformed);
        return;
      }
      if (parser.state() == ParseState::kComplete) {
        CompleteMessage(!data.empty());
      }
    }
  }

  void OnHead(const ResponseHead& head) override {
    if (receiver == nullptr) {
      return;
    }
    matches_request = receiver->MatchesRequest(head);
    if (!matches_request) {
      has_foreign_response = true;
      has_unknown_framing = has_sent_head_request;
      return;
    }
    const std::string_view keep_alive_header =
        http::FindHeader(head.headers, "Keep-Alive");
    if (!keep_alive_header.empty()) {
      keep_alive = ParseKeepAlive(keep_alive_header);
    }
    receiver->OnHead(head);
  }

  void OnBody(std::string_view data) override {
    if (!matches_request) {
      foreign_body_bytes += data.size();
    } else if (parser.is_unframed()) {
      has_embedded_response = has_embedded_response || !scanner.Feed(data);
    } else if (receiver != nullptr) {
      receiver->OnBody(data);
    }
  }

  // internal::EmbeddedHeadScanner::Owner; the receiver may have cancelled the
  // request meanwhile.
  void OnScannedBody(std::string_view data) override {
    if (receiver != nullptr) {
      receiver->OnBody(data);
    }
  }
  bool MayContinueWithStatusLine() override {
    return receiver != nullptr && receiver->MayContinueWithStatusLine();
  }
  bool IsOtherResponse(const ResponseHead& head) override {
    return receiver != nullptr && receiver->IsOtherResponse(head);
  }

  // Completes a message whose end the end of the connection marked.
  void CompleteUnframed() {
    if (matches_request && !scanner.FeedEnd()) {
      CloseAsLost(Loss::kMalformed);
    } else if (receiver != nullptr) {
      CompleteMessage(/*has_unread=*/false);
    }
  }

  void CompleteMessage(bool has_unread) {
    const bool keeps_open = parser.keep_alive();
    if (!matches_request) {
      parser.Reset(is_head_request);
      if (!keeps_open) {
        CloseAsLost(Loss::kClosed);
      }
      return;
    }
    const bool reusable = keeps_open && !has_foreign_response && !has_unread &&
                          stream.unwritten() == 0 &&
                          request_keys.size() < kMaxRequestKeys;
    ResponseReceiver* const finished_receiver =
        std::exchange(receiver, nullptr);
    if (reusable) {
      idle_since = loop.clock().Now();
      stream.SetReading(true);  // The receiver may have paused it.
    } else {
      Close();
    }
    finished_receiver->OnEnd();
  }

  void CloseAsLost(Loss loss) {
    Close();
    if (ResponseReceiver* const lost_receiver =
            std::exchange(receiver, nullptr)) {
      lost_receiver->OnLost(loss);
    }
  }

  kernel::EventLoop& loop;
  const http::Address address;
  const ClientConnectionOptions options;
  internal::SocketStream stream;
  kernel::Timer connect_timer;
  std::string unsent_request;
  std::shared_ptr<const std::string> unsent_body;
  ResponseParser parser;
  internal::EmbeddedHeadScanner scanner{*this};
  bool has_embedded_response = false;
  ResponseReceiver* receiver = nullptr;
  kernel::Duration keep_alive = kernel::Duration::max();
  kernel::TimePoint idle_since{};
  uint64_t request_count = 0;
  absl::flat_hash_set<uint64_t> request_keys;
  bool is_connected = false;
  bool is_closed = false;
  // The response being parsed belongs to the current request.
  bool matches_request = false;
  // A response to another request was received.
  bool has_foreign_response = false;
  bool has_sent_head_request = false;
  // The end of a response to another request is not known, since the method of
  // that request is not: a response to HEAD has no body.
  bool has_unknown_framing = false;
  size_t foreign_body_bytes = 0;  // Of all such responses.
  bool is_head_request = false;
};

ClientConnection::ClientConnection(kernel::EventLoop& loop,
                                   const http::Address& address,
                                   ClientConnectionOptions options)
    : impl_(std::make_unique<Impl>(loop, address, options)) {}
ClientConnection::~ClientConnection() = default;

void ClientConnection::Send(std::string_view request,
                            bool is_head_request,
                            ResponseReceiver& receiver,
                            uint64_t request_key,
                            std::shared_ptr<const std::string> body) {
  Impl& self = *impl_;
  self.receiver = &receiver;
  self.is_head_request = is_head_request;
  self.has_sent_head_request |= is_head_request;
  self.matches_request = false;
  self.parser.Reset(is_head_request);
  self.scanner.Reset();
  ++self.request_count;
  if (request_key != 0) {
    self.request_keys.insert(request_key);
  }
  if (self.is_connected) {
    self.Write(request, std::move(body));
    return;
  }
  self.unsent_request.assign(request);
  self.unsent_body = std::move(body);
  self.Open();
}

void ClientConnection::CancelRequest() {
  impl_->receiver = nullptr;
  impl_->Close();
}

void ClientConnection::PauseReading() {
  impl_->stream.SetReading(false);
}

void ClientConnection::ResumeReading() {
  impl_->stream.SetReading(true);
}

bool ClientConnection::is_usable() const {
  return !impl_->is_closed;
}
bool ClientConnection::has_sent(uint64_t request_key) const {
  return impl_->request_keys.contains(request_key);
}
bool ClientConnection::is_busy() const {
  return impl_->receiver != nullptr;
}
bool ClientConnection::is_unframed() const {
  return impl_->parser.is_unframed();
}
bool ClientConnection::was_ended_by_close() const {
  return impl_->parser.was_ended_by_close();
}
bool ClientConnection::was_refused() const {
  return impl_->stream.was_refused();
}
bool ClientConnection::was_accepted() const {
  return impl_->stream.was_accepted();
}
bool ClientConnection::was_reused() const {
  return impl_->request_count > 1;
}
kernel::Duration ClientConnection::keep_alive() const {
  return impl_->keep_alive;
}
kernel::TimePoint ClientConnection::idle_since() const {
  return impl_->idle_since;
}

}  // namespace jackdawshunt::http1
