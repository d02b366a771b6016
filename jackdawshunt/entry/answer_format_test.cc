#include "jackdawshunt/entry/answer_format.h"

#include <string>

#include "gtest/gtest.h"
#include "nlohmann/json.hpp"

namespace jackdawshunt::entry {
namespace {

using nlohmann::json;

// Returns the JSON after the first "data: ".
json DataOf(const std::string& event) {
  constexpr std::string_view kData = "data: ";
  const size_t start = event.find(kData) + kData.size();
  return json::parse(event.substr(start, event.find('\n', start) - start));
}

// Guards against event ids that make a resumed stream repeat or skip tokens.
TEST(AnswerFormatTest, EventIdIsTheIndexOfTheLastToken) {
  const std::string event = TokensEvent(
      "r", "m", {.request = "r", .offset = 4, .tokens = {"a", "\n", "c"}});
  EXPECT_TRUE(event.starts_with("id: 6\ndata: ")) << event;
  EXPECT_TRUE(event.ends_with("\n\n"));
  EXPECT_EQ(DataOf(event)["choices"][0]["delta"]["content"], "a\nc");
}

// Guards against a stream without usage or the final [DONE].
TEST(AnswerFormatTest, FinalEventsHaveUsageAndDone) {
  const protocol::Done done{
      .input_tokens = 3, .output_tokens = 7, .finish_reason = "stop"};
  const std::string events = FinalEvents("r", "m", done);
  const json chunk = DataOf(events);
  EXPECT_EQ(chunk["choices"][0]["finish_reason"], "stop");
  EXPECT_EQ(chunk["usage"]["total_tokens"], 10);
  EXPECT_TRUE(events.ends_with("\n\ndata: [DONE]\n\n"));
}

// Guards against text that breaks the JSON of a chunk, which is written without
// an object tree.
TEST(AnswerFormatTest, StreamedTextIsEscaped) {
  const std::string text = "\"}\\\n\t\x01\xc3\xa9";
  const json chunk =
      DataOf(TokensEvent("r", "m\"", {.request = "r", .tokens = {text}}));
  EXPECT_EQ(chunk["choices"][0]["delta"]["content"], text);
  EXPECT_EQ(chunk["choices"][0]["finish_reason"], nullptr);
  EXPECT_EQ(chunk["object"], "chat.completion.chunk");
  EXPECT_EQ(chunk["id"], "r");
  EXPECT_EQ(chunk["model"], "m\"");
}

// Guards against tokens that break the JSON of an answer.
TEST(AnswerFormatTest, InvalidUtf8IsReplaced) {
  const json body = json::parse(CompletionBody("r", "m", "a\xff", {}));
  EXPECT_EQ(body["choices"][0]["message"]["content"], "a\xef\xbf\xbd");
}

// Guards against error answers without the headers and fields that a caller
// needs for a retry.
TEST(AnswerFormatTest, ErrorAnswerHasRequestAndRetryAfter) {
  const http::Response response =
      ErrorResponse({.request = "r",
                     .kind = base::ErrorKind::kQueueFull,
                     .executed = base::Executed::kNo,
                     .retry_after = std::chrono::seconds(17)});
  EXPECT_EQ(http::FindHeader(response.headers, "Retry-After"), "17");
  EXPECT_EQ(http::FindHeader(response.headers, "X-Request-Id"), "r");
  EXPECT_EQ(json::parse(response.body)["error"]["ran"], "no");
}

}  // namespace
}  // namespace jackdawshunt::entry
