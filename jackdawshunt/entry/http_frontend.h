// HTTP server for callers: parses requests, and writes answers and event
// streams.
//
// Example:
//   entry::HttpFrontend frontend(
//       loop, store, options, [&](entry::CallerEvent event) {
//         dispatcher_mailbox.Post(std::move(event));
//       });
//   absl::StatusOr<uint16_t> port = frontend.Listen({"127.0.0.1", 0});
//   frontend.Post(entry::Failure{.request = id, .message = "no capacity"});
//
// Not thread-safe; runs on the loop's thread.
#ifndef JACKDAWSHUNT_ENTRY_HTTP_FRONTEND_H_
#define JACKDAWSHUNT_ENTRY_HTTP_FRONTEND_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "jackdawshunt/configuration/store.h"
#include "jackdawshunt/entry/messages.h"
#include "jackdawshunt/http/server.h"
#include "jackdawshunt/kernel/mailbox.h"

namespace jackdawshunt::entry {

struct HttpFrontendOptions {
  http::ServerLimits limits;
  // Bytes of unsent output per caller from which on no tokens are reported
  // as consumed until the output is sent.
  size_t stream_buffer_bytes = 0;
  // Returns nullopt when requests are accepted; otherwise the error to answer.
  std::function<std::optional<base::ErrorKind>()> check_admission;
  // Called for each request that is rejected without the dispatcher.
  std::function<void(base::ErrorKind)> on_rejected;
};

class HttpFrontend {
 public:
  HttpFrontend(kernel::EventLoop& loop,
               const configuration::Store& store,
               HttpFrontendOptions options,
               std::function<void(CallerEvent)> post);

  // Listens for callers and returns the port. Error: Unavailable.
  absl::StatusOr<uint16_t> Listen(const http::Address& address);
  void StopListening() { server_.StopListening(); }
  size_t open_exchanges() const { return server_.open_exchanges(); }

  // Delivers an answer in a later turn of the loop.
  void Post(Answer answer) { mailbox_.Post(std::move(answer)); }

 private:
  using ExchangePtr = std::shared_ptr<http::Exchange>;

  // A connected caller with an unfinished answer.
  struct Caller {
    ExchangePtr exchange;
    std::string workspace;
    std::string model;
    bool is_stream = false;
    bool has_headers = false;
    std::string side;
    std::string content;      // Not a stream: the tokens received so far.
    int64_t next_offset = 0;  // Offset of the next token to write.
    bool is_write_blocked = false;
  };

  void OnRequest(const ExchangePtr& exchange);
  void OnCompletion(const ExchangePtr& exchange);
  void OnServiceCall(const ExchangePtr& exchange);
  void OnResumeStream(const ExchangePtr& exchange);
  void AcceptSubmit(const ExchangePtr& exchange, Submit submit);
  void AddCaller(const std::string& request, Caller caller);
  void Reject(http::Exchange& exchange, const absl::Status& status);

  void Handle(const AcceptedBySide& answer);
  void Handle(const Tokens& answer);
  void Handle(const Completed& answer);
  void Handle(const ServiceReply& answer);
  void Handle(const Failure& answer);
  void WriteTokens(Caller& caller, const Tokens& tokens);
  void OpenStream(const std::string& request, Caller& caller);
  void OnDrained(const std::string& request);
  Caller* FindCaller(std::string_view request);
  void RemoveCaller(const std::string& request);

  const configuration::Store& store_;
  const HttpFrontendOptions options_;
  const std::function<void(CallerEvent)> post_;
  http::Server server_;
  kernel::Mailbox<Answer> mailbox_;
  std::map<std::string, Caller, std::less<>> callers_;  // By request.
};

}  // namespace jackdawshunt::entry

#endif  // JACKDAWSHUNT_ENTRY_HTTP_FRONTEND_H_
