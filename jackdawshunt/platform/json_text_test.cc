#include "jackdawshunt/platform/json_text.h"

#include <string>

#include "gtest/gtest.h"
#include "nlohmann/json.hpp"
#include "rapidcheck.h"
// rapidcheck/gtest.h needs the two headers before it.
#include "rapidcheck/gtest.h"

namespace jackdawshunt::platform {
namespace {

std::string Nested(size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

TEST(JsonTextTest, ReadableTextStaysAsItIs) {
  for (const std::string& text : {
           std::string(
               R"({"a":[1,-2.5e3,true,false,null,"x\"]\u00e9"],"b":{}})"),
           std::string(
               R"({"n":18446744073709551615,"i":-9223372036854775808})"),
           std::string("\"\xc3\xa9\xf0\x9f\x98\x80\""),
           std::string(" [ 0 , 0.5,  1234567890123456 ] "),
           Nested(kMaxJsonDepth),
       }) {
    EXPECT_EQ(RepairJson(text), text);
  }
}

TEST(JsonTextTest, UnreadableValuesAreReplaced) {
  EXPECT_EQ(RepairJson(R"({"a":1e999,"b":-1e999,"c":2})"),
            R"({"a":[],"b":[],"c":2})");
  EXPECT_EQ(RepairJson("[" + std::string(400, '9') + "]"), "[[]]");
  EXPECT_EQ(RepairJson("[NaN,Infinity,-Infinity,01,+1,.5,nul]"),
            "[[],[],[],[],[],[],[]]");
  EXPECT_EQ(RepairJson("[\"\\ud800\",\"\\udc00x\",\"\\x\"]"), "[[],[],[]]");
  EXPECT_EQ(RepairJson("{\"a\":\"z\xff\",\"b\":\"z\x01\",\"c\":2}"),
            R"({"a":[],"b":[],"c":2})");
  EXPECT_EQ(RepairJson("{\"\\ud800\":1}"), R"({"?":1})");
  EXPECT_EQ(RepairJson("{\"a\xff\x01z\" \n: 1}"), R"({"a? z"  : 1})");
  EXPECT_EQ(RepairJson("\x01[1,\x02\r\n2\x1f]"), " [1,   2 ]");
}

TEST(JsonTextTest, NestedTooDeepIsReplaced) {
  EXPECT_EQ(RepairJson(Nested(kMaxJsonDepth + 1)),
            Nested(kMaxJsonDepth - 1).insert(kMaxJsonDepth - 1, "[[]]"));
  // In front of what follows.
  const std::string deep =
      R"({"a":)" + Nested(4000000) + R"(,"b":")" + "]]" + R"(","c":3})";
  const auto parsed = nlohmann::json::parse(RepairJson(deep), nullptr, false);
  ASSERT_TRUE(parsed.is_object());
  EXPECT_EQ(parsed["b"], "]]");
  EXPECT_EQ(parsed["c"], 3);
  std::string objects;
  for (int i = 0; i < 100000; ++i) {
    objects += R"({"]":)";
  }
  objects += "1" + std::string(100000, '}');
  EXPECT_TRUE(nlohmann::json::accept(RepairJson("[" + objects + ",7]")));
}

// Text that ends early is not JSON, and must not be read beyond its end.
TEST(JsonTextTest, TextThatEndsEarlyStaysUnreadable) {
  for (const char* const text :
       {"", "{", "[\"a", "[\"a\\", "{\"a\":", "[[[", "]", "[1,"}) {
    EXPECT_FALSE(nlohmann::json::accept(RepairJson(text))) << text;
  }
  const std::string open(kMaxJsonDepth + 5, '[');
  EXPECT_FALSE(nlohmann::json::accept(RepairJson(open)));
}

// What the library reads is not changed, and repaired text is not repaired
// again.
RC_GTEST_PROP(JsonTextTest,
              KeepsWhatTheLibraryReads,
              (const std::string& text)) {
  const std::string repaired = RepairJson(text);
  RC_ASSERT(RepairJson(repaired) == repaired);
  if (nlohmann::json::accept(text)) {
    RC_ASSERT(nlohmann::json::parse(repaired) == nlohmann::json::parse(text));
  }
}

}  // namespace
}  // namespace jackdawshunt::platform
