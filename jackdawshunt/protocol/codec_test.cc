#include "jackdawshunt/protocol/codec.h"

#include <gtest/gtest.h>

namespace jackdawshunt::protocol {
namespace {

TEST(CodecTest, MessagesSurviveAStreamCutAnywhere) {
  const std::string stream =
      Encode(Start{.grant = 5, .request = "r", .body = "\"\xff\0x"}) +
      Encode(Counters{.counters = {{"a", {7, 8}, "w", 1.5}}});
  Decoder decoder;
  std::vector<Message> messages;
  for (const char byte : stream) {
    decoder.Append(std::string_view(&byte, 1));
    auto next = decoder.Next();
    ASSERT_TRUE(next.ok()) << next.status();
    if (next->has_value()) {
      messages.push_back(**next);
    }
  }
  ASSERT_EQ(messages.size(), 2);
  EXPECT_EQ(std::get<Start>(messages[0]).grant, 5);
  EXPECT_EQ(std::get<Start>(messages[0]).body, "\"\xff\0x");
  EXPECT_EQ(std::get<Counters>(messages[1]).counters.at(0).service, 1.5);
}

}  // namespace
}  // namespace jackdawshunt::protocol
