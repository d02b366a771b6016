#include "jackdawshunt/side/output_buffer.h"

#include <gtest/gtest.h>

#include <rapidcheck.h>

#include <rapidcheck/gtest.h>

#include <string>

#include "jackdawshunt/side/sse_parser.h"

namespace jackdawshunt::side {
namespace {

using protocol::StartKind;

TEST(OutputBufferTest, TokensAreAddressedFromTheResumedOne) {
  OutputBuffer buffer(StartKind::kModel, 100, 7);
  buffer.Append({"a", "b"});
  EXPECT_EQ(buffer.From(8), "[\"b\"]");
  EXPECT_EQ(buffer.From(9), "");
  EXPECT_EQ(buffer.From(6), std::nullopt);
  EXPECT_EQ(buffer.From(10), std::nullopt);
}

// Oracle: the whole text. Any kept offset gives exactly its rest, the buffer
// holds at most two windows and one part, and is full by the unread bytes only.
RC_GTEST_PROP(OutputBufferTest, KeepsExactlyTheRest, ()) {
  constexpr size_t kWindow = 40;
  OutputBuffer buffer(StartKind::kService, kWindow);
  std::string whole;
  int64_t credit = 0;
  const int steps = *rc::gen::inRange(1, 60);
  for (int step = 0; step < steps; ++step) {
    if (*rc::gen::arbitrary<bool>() && !buffer.is_full()) {
      const auto part = *rc::gen::nonEmpty(rc::gen::string<std::string>());
      buffer.Append({part});
      whole += part;
    } else {
      credit = *rc::gen::inRange<int64_t>(
          credit, static_cast<int64_t>(whole.size()) + 1);
      buffer.SetCredit(credit);
    }
    RC_ASSERT(buffer.end() == static_cast<int64_t>(whole.size()));
    RC_ASSERT(buffer.first() <= credit);
    const int64_t offset =
        *rc::gen::inRange<int64_t>(buffer.first(), buffer.end() + 1);
    RC_ASSERT(buffer.From(offset) == whole.substr(offset));
    if (whole.size() - credit < kWindow) {
      RC_ASSERT(credit > 0 || !buffer.is_full());
    }
  }
}

// Guards against events that are lost or joined when the network splits them.
RC_GTEST_PROP(SseParserTest, AnySplitGivesTheSameEvents, ()) {
  const std::string text =
      ": comment\r\ndata: {\"a\":1}\n\ndata:x\ndata: y\n\nid: 3\n\n"
      "data: [DONE]\n\n";
  SseParser parser;
  std::vector<std::string> events;
  size_t position = 0;
  while (position < text.size()) {
    const size_t length =
        *rc::gen::inRange<size_t>(1, text.size() - position + 1);
    for (auto& event :
         parser.Append(std::string_view(text).substr(position, length))) {
      events.push_back(std::move(event));
    }
    position += length;
  }
  RC_ASSERT(events ==
            (std::vector<std::string>{"{\"a\":1}", "x\ny", "[DONE]"}));
}

}  // namespace
}  // namespace jackdawshunt::side
