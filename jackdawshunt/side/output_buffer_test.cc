#include "jackdawshunt/side/output_buffer.h"

#include <gtest/gtest.h>

#include <rapidcheck.h>

#include <rapidcheck/gtest.h>

#include <string>

#include "jackdawshunt/side/sse_parser.h"

namespace jackdawshunt::side {
namespace {

using protocol::StartKind;

TEST(OutputBufferTest, TokenOffsetsStartAtTheResumedToken) {
  OutputBuffer buffer(StartKind::kModel, 100, 7);
  buffer.Append({"a", "b"});
  EXPECT_EQ(buffer.EncodeFrom(8), "[\"b\"]");
  EXPECT_EQ(buffer.EncodeFrom(9), "");
  EXPECT_EQ(buffer.EncodeFrom(6), std::nullopt);
  EXPECT_EQ(buffer.EncodeFrom(10), std::nullopt);
}

// Compares the buffer with the whole text: from any kept offset it returns
// exactly the rest. Data behind the credit doesn't make the buffer full. The
// buffer keeps at most two windows and one part.
RC_GTEST_PROP(OutputBufferTest, ReturnsExactlyTheRestFromAnyKeptOffset, ()) {
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
    RC_ASSERT(buffer.end_offset() == static_cast<int64_t>(whole.size()));
    RC_ASSERT(buffer.first_offset() <= credit);
    const int64_t offset = *rc::gen::inRange<int64_t>(buffer.first_offset(),
                                                      buffer.end_offset() + 1);
    RC_ASSERT(buffer.EncodeFrom(offset) == whole.substr(offset));
    if (whole.size() - credit < kWindow) {
      RC_ASSERT(credit > 0 || !buffer.is_full());
    }
  }
}

// Guards against events that are lost or merged when the network splits them.
RC_GTEST_PROP(SseParserTest, EventsDoNotDependOnHowTheStreamIsSplit, ()) {
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
