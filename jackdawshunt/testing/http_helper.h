// Blocking HTTP calls for tests, each on its own event loop.
//
// Example:
//   auto reply = testing::Fetch(address, {.path = "/admin/stats"});
//   testing::StreamReader reader(address, request);
//   reader.ReadUntil([](const std::string& body) { return body.size() > 100;
//   }); reader.Leave();
#ifndef JACKDAWSHUNT_TESTING_HTTP_HELPER_H_
#define JACKDAWSHUNT_TESTING_HTTP_HELPER_H_

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "jackdawshunt/http/client.h"
#include "jackdawshunt/http/http.h"
#include "jackdawshunt/kernel/event_loop.h"
#include "jackdawshunt/testing/process.h"
#include "nlohmann/json.hpp"

namespace jackdawshunt::testing {

// Waits for the whole response. Errors as in http::CallOptions.
absl::StatusOr<http::Response> Fetch(
    const http::Address& address,
    const http::Request& request,
    std::chrono::milliseconds deadline = kDeadline);

// As Fetch, and parses a response of status 200 as JSON. Errors: as Fetch;
// Internal for another status or a body that is not JSON.
absl::StatusOr<nlohmann::json> FetchJson(const http::Address& address,
                                         const http::Request& request);

// One streamed response. Runs only within the blocking calls.
class StreamReader {
 public:
  StreamReader(const http::Address& address, const http::Request& request);

  // Reads until `enough` holds for the body so far or the response has ended.
  // Returns false when the deadline passed before either.
  bool ReadUntil(const std::function<bool(const std::string& body)>& enough,
                 std::chrono::milliseconds deadline = kDeadline);
  bool ReadToEnd(std::chrono::milliseconds deadline = kDeadline);
  // Lets the connection progress for a few milliseconds.
  void Poll();
  // Closes the connection in the middle of the response.
  void Leave();

  const std::string& body() const { return body_; }
  const http::Response& head() const { return head_; }
  // Present after the end; carries the error of a broken stream.
  const std::optional<absl::Status>& end() const { return end_; }

 private:
  kernel::EventLoop loop_;
  http::Client client_{loop_};
  http::Response head_;
  std::string body_;
  std::optional<absl::Status> end_;
  std::unique_ptr<http::Call> call_;
};

// One server-sent event.
struct ServerSentEvent {
  std::string id;
  std::string event;
  std::string data;
};

// Splits a body into its complete events; an incomplete last one is left out.
std::vector<ServerSentEvent> ParseEvents(std::string_view body);

// Joins the contents of all "choices[0].delta" of a chat completion stream.
std::string JoinContent(const std::vector<ServerSentEvent>& events);

}  // namespace jackdawshunt::testing

#endif  // JACKDAWSHUNT_TESTING_HTTP_HELPER_H_
