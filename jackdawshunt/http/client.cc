#include "jackdawshunt/http/client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <utility>

#include "absl/strings/str_cat.h"
#include "jackdawshunt/http/internal/evhttp_util.h"
#include "jackdawshunt/http/socket_address.h"
#include "jackdawshunt/kernel/loop_work.h"

namespace jackdawshunt::http {
namespace {

constexpr size_t kMaxResponseHeaderBytes = size_t{64} * 1024;
// Limit for a response that is not streamed.
constexpr size_t kMaxResponseBodyBytes = size_t{64} * 1024 * 1024;
constexpr int kMinFinalStatus = 200;
// evhttp limits the time of each read and write, and the limits cannot be
// disabled. The time limit of a call is a separate timer.
constexpr int kNoLimitSeconds = 365 * 24 * 3600;

// Returns whether the connection has ended, other than by the peer's orderly
// end of what it sends.
bool HasEnded(evutil_socket_t fd) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  return getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
         (info.tcpi_state != TCP_ESTABLISHED &&
          info.tcpi_state != TCP_CLOSE_WAIT);
}

// Returns whether only the end of the connection marks that of the body.
bool IsUnframed(const Headers& headers) {
  return FindHeader(headers, "Content-Length").empty() &&
         FindHeader(headers, "Transfer-Encoding").empty();
}

// The state of a call. User callbacks always run from a posted function, never
// within evhttp's calls, so they may destroy the call.
class CallState : public std::enable_shared_from_this<CallState> {
 public:
  CallState(kernel::EventLoop& loop, CallOptions options)
      : loop_(loop), options_(std::move(options)) {}
  ~CallState() { Disconnect(); }
  CallState(const CallState&) = delete;
  CallState& operator=(const CallState&) = delete;

  void Start(const Address& address, const Request& request);
  void Cancel();
  void Pause();
  void Resume();

 private:
  bufferevent* transport() const {
    return evhttp_connection_get_bufferevent(connection_);
  }
  void HandleChunk(evhttp_request* request);
  void HandleResponse(evhttp_request* request);
  // Records that evhttp has taken bytes from the output.
  void HandleOutputTaken();
  // Ends the call if evhttp has received too many bytes without parsing them.
  void HandleInputAdded();
  void Finish(absl::StatusOr<Response> result);
  void ScheduleDelivery();
  void Deliver();
  void Disconnect();

  kernel::EventLoop& loop_;
  CallOptions options_;
  std::string target_;
  sockaddr_in peer_{};
  evhttp_connection* connection_ = nullptr;
  kernel::Timer timeout_;
  Response head_;
  std::string undelivered_;
  std::optional<absl::StatusOr<Response>> result_;
  // The connection ended before the whole request was written.
  bool was_request_cut_ = false;
  bool is_paused_ = false;
  bool is_cancelled_ = false;
  bool is_delivery_scheduled_ = false;
};

void CallState::Start(const Address& address, const Request& request) {
  target_ = address.ToString();
  peer_ = ToSocketAddress(address).value_or(sockaddr_in{});
  const auto method = internal::ParseMethod(request.method);
  if (!method.has_value()) {
    Finish(absl::InvalidArgumentError(
        absl::StrCat("unknown HTTP method \"", request.method, "\"")));
    return;
  }
  connection_ = evhttp_connection_base_bufferevent_new(
      loop_.base(), nullptr, nullptr, address.ip.c_str(), address.port);
  evhttp_connection_set_timeout(connection_, kNoLimitSeconds);
  evhttp_connection_set_max_headers_size(connection_, kMaxResponseHeaderBytes);
  if (!options_.on_chunk) {
    evhttp_connection_set_max_body_size(connection_, kMaxResponseBodyBytes);
  }
  // Reads a response that the server sent before it read the whole request.
  evhttp_connection_set_flags(connection_, EVHTTP_CON_READ_ON_WRITE_ERROR);
  // After such an error, evhttp drops the rest of the request, and cannot tell
  // an orderly end of the response from a reset.
  evbuffer_add_cb(
      bufferevent_get_output(transport()),
      [](evbuffer*, const evbuffer_cb_info* info, void* self) {
        if (info->n_deleted > 0) {
          static_cast<CallState*>(self)->HandleOutputTaken();
        }
      },
      this);
  evbuffer_add_cb(
      bufferevent_get_input(transport()),
      [](evbuffer*, const evbuffer_cb_info* info, void* self) {
        if (info->n_added > 0) {
          static_cast<CallState*>(self)->HandleInputAdded();
        }
      },
      this);
  evhttp_request* const call = evhttp_request_new(
      [](evhttp_request* response, void* self) {
        static_cast<CallState*>(self)->HandleResponse(response);
      },
      this);
  if (options_.on_chunk) {
    evhttp_request_set_chunked_cb(
        call, [](evhttp_request* response, void* self) {
          static_cast<CallState*>(self)->HandleChunk(response);
        });
  }
  evkeyvalq* const headers = evhttp_request_get_output_headers(call);
  if (FindHeader(request.headers, "Host").empty()) {
    evhttp_add_header(headers, "Host", target_.c_str());
  }
  evhttp_add_header(headers, "Connection", "close");
  internal::AddHeaders(request.headers, headers);
  internal::AppendTo(evhttp_request_get_output_buffer(call), request.body);
  const std::string uri =
      absl::StrCat(request.path.empty() ? "/" : request.path,
                   request.query.empty() ? "" : "?", request.query);
  if (evhttp_make_request(connection_, call, *method, uri.c_str()) != 0) {
    Finish(absl::UnavailableError(absl::StrCat("cannot connect to ", target_)));
    return;
  }
  if (options_.timeout.count() > 0) {
    timeout_ = loop_.After(options_.timeout, [this] {
      Disconnect();
      Finish(absl::DeadlineExceededError(
          absl::StrCat("no complete response from ", target_, " within ",
                       options_.timeout.count() / 1000, " ms")));
    });
  }
}

void CallState::HandleChunk(evhttp_request* request) {
  if (head_.headers.empty()) {
    head_.status = evhttp_request_get_response_code(request);
    head_.headers =
        internal::CopyHeaders(evhttp_request_get_input_headers(request));
  }
  undelivered_ += internal::TakeAll(evhttp_request_get_input_buffer(request));
  if (is_paused_) {
    bufferevent_disable(transport(), EV_READ);
  }
  ScheduleDelivery();
}

void CallState::HandleOutputTaken() {
  if (connection_ == nullptr) {
    return;
  }
  if (HasEnded(bufferevent_getfd(transport()))) {
    was_request_cut_ = true;
  }
  if (evbuffer_get_length(bufferevent_get_output(transport())) == 0) {
    // No write can fail any more. With the flag, evhttp ignores an end of the
    // connection inside a line or a chunk.
    evhttp_connection_set_flags(connection_, 0);
  }
}

void CallState::HandleInputAdded() {
  if (connection_ == nullptr || result_.has_value()) {
    return;
  }
  if (evbuffer_get_length(bufferevent_get_input(transport())) >
      internal::kMaxUnparsedBytes) {
    bufferevent_disable(transport(), EV_READ);
    Finish(absl::AbortedError(
        absl::StrCat("a chunk of the response from ", target_, " exceeds ",
                     internal::kMaxUnparsedBytes, " bytes")));
  }
}

void CallState::HandleResponse(evhttp_request* request) {
  if (request == nullptr) {
    Finish(absl::AbortedError(
        absl::StrCat("the connection to ", target_, " broke")));
    return;
  }
  const int status = evhttp_request_get_response_code(request);
  if (status == 0) {
    Finish(absl::UnavailableError(absl::StrCat("cannot connect to ", target_)));
    return;
  }
  if (status < kMinFinalStatus) {
    // evhttp drops what follows.
    Finish(absl::AbortedError(
        absl::StrCat(target_, " sent the interim response ", status)));
    return;
  }
  Response response;
  response.status = status;
  response.headers =
      internal::CopyHeaders(evhttp_request_get_input_headers(request));
  if (was_request_cut_ && IsUnframed(response.headers)) {
    Finish(absl::AbortedError(absl::StrCat("the connection to ", target_,
                                           " ended during the request")));
    return;
  }
  if (!options_.on_chunk) {
    response.body = internal::TakeAll(evhttp_request_get_input_buffer(request));
  }
  Finish(std::move(response));
}

void CallState::Finish(absl::StatusOr<Response> result) {
  if (result_.has_value()) {
    return;
  }
  timeout_.Cancel();
  result_ = std::move(result);
  ScheduleDelivery();
}

void CallState::ScheduleDelivery() {
  if (is_delivery_scheduled_) {
    return;
  }
  is_delivery_scheduled_ = true;
  loop_.Post([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->is_delivery_scheduled_ = false;
      self->Deliver();
    }
  });
}

void CallState::Deliver() {
  const kernel::LoopWork work(kernel::LoopWorkKind::kMessage, peer_);
  if (is_cancelled_ ||
      (is_paused_ && (!result_.has_value() || result_->ok()))) {
    return;
  }
  if (!undelivered_.empty()) {
    const std::string part = std::exchange(undelivered_, {});
    options_.on_chunk(head_, part);
  }
  if (is_cancelled_ || is_paused_ || !undelivered_.empty() ||
      !result_.has_value()) {
    return;
  }
  Disconnect();
  if (auto on_done = std::exchange(options_.on_done, nullptr)) {
    on_done(*std::move(result_));
  }
}

void CallState::Cancel() {
  is_cancelled_ = true;
  timeout_.Cancel();
  Disconnect();
}

void CallState::Disconnect() {
  if (connection_ != nullptr) {
    evhttp_connection_free(std::exchange(connection_, nullptr));
  }
}

void CallState::Pause() {
  is_paused_ = true;
  if (connection_ != nullptr && !result_.has_value()) {
    bufferevent_disable(transport(), EV_READ);
  }
}

void CallState::Resume() {
  if (!std::exchange(is_paused_, false)) {
    return;
  }
  if (connection_ != nullptr && !result_.has_value()) {
    bufferevent_enable(transport(), EV_READ);
  }
  ScheduleDelivery();
}

class CallHandle final : public Call {
 public:
  explicit CallHandle(std::shared_ptr<CallState> state)
      : state_(std::move(state)) {}
  ~CallHandle() override { state_->Cancel(); }
  CallHandle(const CallHandle&) = delete;
  CallHandle& operator=(const CallHandle&) = delete;
  void Pause() override { state_->Pause(); }
  void Resume() override { state_->Resume(); }

 private:
  std::shared_ptr<CallState> state_;
};

}  // namespace

Client::Client(kernel::EventLoop& loop) : loop_(loop) {}

std::unique_ptr<Call> Client::Send(const Address& address,
                                   const Request& request,
                                   CallOptions options) {
  auto state = std::make_shared<CallState>(loop_, std::move(options));
  state->Start(address, request);
  return std::make_unique<CallHandle>(std::move(state));
}

}  // namespace jackdawshunt::http
