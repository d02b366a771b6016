#include "jackdawshunt/testing/http_helper.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace jackdawshunt::testing {

absl::StatusOr<http::Response> Fetch(const http::Address& address,
                                     const http::Request& request,
                                     std::chrono::milliseconds deadline) {
  kernel::EventLoop loop;
  http::Client client(loop);
  std::optional<absl::StatusOr<http::Response>> result;
  const auto call = client.Send(
      address, request,
      {.timeout = deadline, .on_done = [&](absl::StatusOr<http::Response> r) {
         result = std::move(r);
       }});
  loop.RunUntil([&] { return result.has_value(); },
                deadline + std::chrono::seconds(5));
  if (!result.has_value()) {
    return absl::DeadlineExceededError("the HTTP client did not call back");
  }
  return *std::move(result);
}

absl::StatusOr<nlohmann::json> FetchJson(const http::Address& address,
                                         const http::Request& request) {
  const auto response = Fetch(address, request);
  if (!response.ok()) {
    return response.status();
  }
  nlohmann::json body = nlohmann::json::parse(response->body, nullptr,
                                              /*allow_exceptions=*/false);
  if (response->status != 200 || body.is_discarded()) {
    return absl::InternalError(absl::StrCat(
        request.path, ": status ", response->status, ": ", response->body));
  }
  return body;
}

StreamReader::StreamReader(const http::Address& address,
                           const http::Request& request) {
  call_ = client_.Send(
      address, request,
      {.on_chunk =
           [this](const http::Response& head, std::string_view part) {
             head_ = head;
             body_ += part;
           },
       .on_done =
           [this](absl::StatusOr<http::Response> response) {
             end_ = response.status();
             if (response.ok()) {
               head_ = *std::move(response);
             }
           }});
}

bool StreamReader::ReadUntil(
    const std::function<bool(const std::string& body)>& enough,
    std::chrono::milliseconds deadline) {
  return loop_.RunUntil([&] { return end_.has_value() || enough(body_); },
                        deadline);
}

bool StreamReader::ReadToEnd(std::chrono::milliseconds deadline) {
  return ReadUntil([](const std::string&) { return false; }, deadline);
}

void StreamReader::Poll() {
  ReadUntil([](const std::string&) { return false; },
            std::chrono::milliseconds(5));
}

void StreamReader::Leave() {
  call_.reset();
  // libevent closes the socket in a later turn of the loop.
  loop_.RunUntil([] { return false; }, std::chrono::milliseconds(5));
}

std::vector<ServerSentEvent> ParseEvents(std::string_view body) {
  std::vector<ServerSentEvent> events;
  size_t end = 0;
  while ((end = body.find("\n\n")) != std::string_view::npos) {
    ServerSentEvent event;
    const std::string block(body.substr(0, end));
    const std::vector<std::string> lines = absl::StrSplit(block, '\n');
    for (const std::string& line : lines) {
      const std::pair<std::string, std::string> field =
          absl::StrSplit(line, absl::MaxSplits(": ", 1));
      if (field.first == "id") {
        event.id = field.second;
      } else if (field.first == "event") {
        event.event = field.second;
      } else if (field.first == "data") {
        event.data += field.second;
      }
    }
    events.push_back(std::move(event));
    body.remove_prefix(end + 2);
  }
  return events;
}

std::string JoinContent(const std::vector<ServerSentEvent>& events) {
  std::string text;
  for (const ServerSentEvent& event : events) {
    const auto chunk = nlohmann::json::parse(event.data, nullptr,
                                             /*allow_exceptions=*/false);
    if (chunk.is_object() && chunk.contains("choices")) {
      const auto& delta = chunk["choices"][0]["delta"];
      text += delta.value("content", "");
    }
  }
  return text;
}

}  // namespace jackdawshunt::testing
