#include "jackdawshunt/platform/engine_report.h"

#include "gtest/gtest.h"
#include "jackdawshunt/base/testing/bytes_near.h"
#include "jackdawshunt/routing/prompt.h"
#include "rapidcheck/gtest.h"

namespace jackdawshunt::platform {
namespace {

constexpr char kReport[] = R"({"stage": "ready", "models": ["m"], "busy": true,
  "sequence": 7, "queueDepth": 12, "activeRequests": 2, "kvUsed": 340000,
  "kvTotal": 444000, "next": 17000,
  "runs": [["9c41", 17080, 40, 1], [8, 9200, 0, 0]], "leaves_ms": 0})";

TEST(EngineReportTest, DecodesReport) {
  const auto report = DecodeEngineReport(kReport);
  ASSERT_TRUE(report.ok()) << report.status();
  EXPECT_EQ(report->waiting, 12u);
  EXPECT_EQ(report->running, 2u);
  EXPECT_EQ(report->unevictable_tokens, 340000u);
  EXPECT_EQ(report->cache_tokens, 444000u);
  EXPECT_EQ(report->next_prompt_tokens, 17000u);
  ASSERT_EQ(report->runs.size(), 2u);
  EXPECT_EQ(report->runs[0].request, routing::HashOf("9c41"));
  EXPECT_EQ(report->runs[0].tokens, 17080u);
  EXPECT_EQ(report->runs[0].events, 40u);
  EXPECT_EQ(report->runs[1].request, 8u);
}

// Guards against a report that is read as an idle engine because a field is
// missing or has another type.
TEST(EngineReportTest, RejectsReportWithoutLoad) {
  for (const char* const body :
       {"", "[]", "{}", R"({"queueDepth": 1})",
        R"({"queueDepth": -1, "activeRequests": 2, "kvUsed": 3, "kvTotal": 4})",
        R"({"queueDepth": 1, "activeRequests": 2, "kvUsed": 3, "kvTotal": 4,
            "runs": [[1, 2]]})",
        R"({"queueDepth": 1, "activeRequests": 2, "kvUsed": 3, "kvTotal": 4,
            "runs": [["a", 2, -3, 0]]})"}) {
    EXPECT_FALSE(DecodeEngineReport(body).ok()) << body;
  }
}

// Guards against a load that is taken for another one because a number was cast
// to a smaller type, and against a report lost for a value that is not read.
TEST(EngineReportTest, OddValuesAreNotTakenForOthers) {
  const auto decode = [](const std::string& waiting, const std::string& events,
                         const std::string& other) {
    return DecodeEngineReport(
        R"({"queueDepth":)" + waiting +
        R"(,"activeRequests":1,"kvUsed":5,"kvTotal":9,"runs":[["r",4,)" +
        events + R"(,0]],"other":)" + other + "}");
  };
  const std::string nested =
      std::string(100000, '[') + std::string(100000, ']');
  for (const std::string& other : {std::string("1e999"), nested}) {
    const auto report = decode("3", "2", other);
    ASSERT_TRUE(report.ok()) << report.status();
    EXPECT_EQ(report->waiting, 3u);
  }
  for (const std::string& odd :
       {std::string("4294967297"), std::string("1e999"), std::string("-1"),
        std::string("18446744073709551616"), nested}) {
    EXPECT_FALSE(decode(odd, "2", "0").ok()) << odd.substr(0, 50);
    EXPECT_FALSE(decode("3", odd, "0").ok()) << odd.substr(0, 50);
  }
}

// Guards against a caller that hides an engine's load by the bytes of its id.
TEST(EngineReportTest, RunWhoseIdCannotBeDecodedIsCounted) {
  const auto report = DecodeEngineReport(
      "{\"queueDepth\":1,\"activeRequests\":2,\"kvUsed\":5,\"kvTotal\":9,"
      "\"runs\":[[\"r\xff\",4,1,0],[\"r\",3,2,0]]}");
  ASSERT_TRUE(report.ok()) << report.status();
  ASSERT_EQ(report->runs.size(), 2u);
  EXPECT_EQ(report->runs[0].tokens, 4u);
  EXPECT_EQ(report->runs[1].request, routing::HashOf("r"));
}

TEST(EngineReportTest, RequestNamesTheEngine) {
  EXPECT_EQ(EngineReportRequest({"127.0.0.1", 8000})
                .find("GET /jackdawshunt/report HTTP/1.1\r\n"),
            0u);
}

// Guards against a report that ends or stops the process.
RC_GTEST_PROP(EngineReportTest, BytesNearAReportStopTheReader, ()) {
  const auto report = DecodeEngineReport(*base::testing::BytesNear(kReport));
  RC_ASSERT(report.ok() || !report.status().message().empty());
}

}  // namespace
}  // namespace jackdawshunt::platform
