#include "jackdawshunt/platform/engine_report.h"

#include "gtest/gtest.h"
#include "jackdawshunt/routing/prompt.h"

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

TEST(EngineReportTest, RequestNamesTheEngine) {
  EXPECT_EQ(EngineReportRequest({"127.0.0.1", 8000})
                .find("GET /jackdawshunt/report HTTP/1.1\r\n"),
            0u);
}

}  // namespace
}  // namespace jackdawshunt::platform
