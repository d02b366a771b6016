#include "jackdawshunt/testing/stream_check.h"

namespace jackdawshunt::testing {

std::string DirectAnswer(const Fleet& fleet,
                         const http::Request& request,
                         size_t engine) {
  nlohmann::json body = nlohmann::json::parse(request.body);
  body["stream"] = false;
  http::Request direct = request;
  direct.body = body.dump();
  const auto reply = FetchJson(fleet.UpstreamAddress(engine), direct);
  return reply.ok()
             ? (*reply)["choices"][0]["message"]["content"].get<std::string>()
             : "";
}

bool HasTokens(const std::string& body, size_t count) {
  size_t found = 0;
  for (size_t at = body.find("\"content\""); at != std::string::npos;
       at = body.find("\"content\"", at + 1)) {
    ++found;
  }
  return found >= count;
}

bool IsComplete(const StreamReader& reader) {
  return reader.end().has_value() && reader.end()->ok() &&
         reader.body().find("data: [DONE]") != std::string::npos;
}

std::string LastEventId(const std::string& body) {
  std::string last;
  for (const ServerSentEvent& event : ParseEvents(body)) {
    last = event.id.empty() ? last : event.id;
  }
  return last;
}

}  // namespace jackdawshunt::testing
