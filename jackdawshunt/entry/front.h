// The caller port: HTTP requests in, answers and event streams out.
//
// Example:
//   entry::Front front(loop, store, options, [&](entry::CallerEvent event) {
//     dispatcher_mailbox.Post(std::move(event));
//   });
//   absl::StatusOr<uint16_t> port = front.Listen({"127.0.0.1", 0});
//   front.Post(entry::Failure{...});
//
// Not thread-safe; runs on the loop's thread.
#ifndef JACKDAWSHUNT_ENTRY_FRONT_H_
#define JACKDAWSHUNT_ENTRY_FRONT_H_

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

struct FrontOptions {
  http::ServerLimits limits;
  // Output that a slow caller may leave unread before credit stops.
  size_t stream_buffer_bytes = 0;
  // Nullopt when requests are accepted; otherwise the error to answer.
  std::function<std::optional<base::ErrorKind>()> refusal;
  // Called for each request that is answered without the dispatcher.
  std::function<void(base::ErrorKind)> on_rejected;
};

class Front {
 public:
  Front(kernel::EventLoop& loop,
        const configuration::Store& store,
        FrontOptions options,
        std::function<void(CallerEvent)> post);

  // Error: Unavailable.
  absl::StatusOr<uint16_t> Listen(const http::Address& address);
  void StopListening() { server_.StopListening(); }
  size_t open_exchanges() const { return server_.open_exchanges(); }

  // Delivers an answer in a later turn of the loop.
  void Post(Answer answer) { mailbox_.Post(std::move(answer)); }

 private:
  using ExchangePtr = std::shared_ptr<http::Exchange>;

  // One caller who waits for an answer.
  struct Caller {
    ExchangePtr exchange;
    std::string workspace;
    std::string model;
    bool is_stream = false;
    bool has_headers = false;
    std::string side;
    std::string content;  // Whole answers: the tokens so far.
    int64_t written = 0;  // Offset after the last token written.
    bool is_waiting_drain = false;
  };

  void OnRequest(const ExchangePtr& exchange);
  void OnCompletion(const ExchangePtr& exchange);
  void OnServiceCall(const ExchangePtr& exchange);
  void OnJoin(const ExchangePtr& exchange);
  void AcceptSubmit(const ExchangePtr& exchange, Submit submit);
  void Add(const std::string& request, Caller caller);
  void Reject(http::Exchange& exchange, const absl::Status& status);

  void Handle(const Opened& answer);
  void Handle(const Tokens& answer);
  void Handle(const Completed& answer);
  void Handle(const ServiceReply& answer);
  void Handle(const Failure& answer);
  void WriteTokens(Caller& caller, const Tokens& tokens);
  void OpenStream(const std::string& request, Caller& caller);
  void OnDrained(const std::string& request);
  Caller* Find(std::string_view request);
  void Remove(const std::string& request);

  const configuration::Store& store_;
  const FrontOptions options_;
  const std::function<void(CallerEvent)> post_;
  http::Server server_;
  kernel::Mailbox<Answer> mailbox_;
  std::map<std::string, Caller, std::less<>> callers_;  // By request.
};

}  // namespace jackdawshunt::entry

#endif  // JACKDAWSHUNT_ENTRY_FRONT_H_
