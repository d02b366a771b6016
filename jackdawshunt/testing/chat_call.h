// One streamed chat completion of a load generator.
//
// Example:
//   ChatCall call(client, address, request,
//                 {.on_tokens = [](int64_t count) { ... },
//                  .on_end = [](const std::string& error) { ... }});
//
// Not thread-safe; runs on the client's loop.
#ifndef JACKDAWSHUNT_TESTING_CHAT_CALL_H_
#define JACKDAWSHUNT_TESTING_CHAT_CALL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "jackdawshunt/http/client.h"
#include "jackdawshunt/testing/http_helper.h"

namespace jackdawshunt::testing {

class ChatCall {
 public:
  struct Events {
    // Tokens that arrived together, in each part of the answer.
    std::function<void(int64_t count)> on_tokens;
    // Empty for a complete answer, else the kind of the error. The call may not
    // be destroyed inside this callback.
    std::function<void(const std::string& error)> on_end;
  };

  ChatCall(http::Client& client,
           const http::Address& address,
           const http::Request& request,
           kernel::Duration timeout,
           Events events);

  // As reported by the answer's usage.
  int64_t completion_tokens() const { return completion_tokens_; }

 private:
  void TakePart(const http::Response& head, std::string_view part);
  int64_t TakeEvent(const ServerSentEvent& event);
  std::string ErrorOf(const absl::StatusOr<http::Response>& response) const;

  const Events events_;
  std::string unparsed_;
  std::string error_;
  bool is_complete_ = false;
  int64_t completion_tokens_ = 0;
  std::unique_ptr<http::Call> call_;
};

}  // namespace jackdawshunt::testing

#endif  // JACKDAWSHUNT_TESTING_CHAT_CALL_H_
