#include "jackdawshunt/platform/wire.h"

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "jackdawshunt/base/testing/bytes_near.h"
#include "jackdawshunt/platform/settings.h"
#include "rapidcheck/gtest.h"

namespace jackdawshunt::platform {
namespace {

http1::RequestHead GenerationRequest() {
  return {.method = "POST",
          .target = "/lohu930/2f",
          .headers = {{"Host", "ficu95.example"},
                      {"Request-Id", "9c41"},
                      {"Model", "m"},
                      {"Token-Counts", "1460,80"},
                      {"Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4:250"},
                      {"Deadline-Milliseconds", "12000"},
                      {"Authorization", "Token secret"}}};
}

size_t Count(const http1::RequestHead& head, std::string_view name) {
  return http1::CountHeader(head.headers, name);
}

TEST(WireTest, DecodesGenerationRequest) {
  const auto request = DecodeRequest(GenerationRequest());
  ASSERT_TRUE(request.ok());
  EXPECT_EQ(request->id, "9c41");
  EXPECT_EQ(request->api_key, "secret");
  EXPECT_EQ(request->deadline, kernel::Duration(std::chrono::seconds(12)));
  ASSERT_TRUE(request->prompt.has_value());
  EXPECT_EQ(request->prompt->prompt_tokens, 1460u);
  EXPECT_EQ(request->prompt->max_output_tokens, 80u);
  ASSERT_EQ(request->prompt->parts.size(), 3u);
  EXPECT_EQ(request->prompt->parts[0].id, 0x5c1e07a2u);
  EXPECT_EQ(request->prompt->own_tokens(), 250u);
}

TEST(WireTest, DecodesResumptionOfStream) {
  http1::RequestHead head = GenerationRequest();
  EXPECT_FALSE(DecodeRequest(head)->resumes_stream());
  head.headers.emplace_back("Last-Event-Id", "7");
  head.headers.emplace_back("Resumes", "b8e2");
  const auto request = DecodeRequest(head);
  ASSERT_TRUE(request.ok());
  EXPECT_TRUE(request->resumes_stream());
  EXPECT_EQ(request->last_event_id, "7");
  EXPECT_EQ(request->resumed_request, "b8e2");
  head.headers.emplace_back("resumes", "other");
  EXPECT_FALSE(DecodeRequest(head).ok());
}

TEST(WireTest, DecodesLeavingAndRetryAfterOfUpstream) {
  const auto decode = [](int status, const char* name, const char* value) {
    return DecodeAnswer({.status = status, .headers = {{name, value}}});
  };
  EXPECT_TRUE(decode(200, "server-leaving", "1").is_leaving);
  EXPECT_TRUE(decode(503, "Server-Leaving", "1").is_leaving);
  EXPECT_FALSE(decode(200, "Server-Leaving", "0").is_leaving);
  EXPECT_FALSE(decode(200, "Other", "1").is_leaving);
  using std::chrono::seconds;
  EXPECT_EQ(decode(503, "Retry-After", "7").retry_after,
            kernel::Duration(seconds(7)));
  EXPECT_EQ(decode(503, "Retry-After", "0").retry_after,
            kernel::Duration::zero());
  EXPECT_EQ(decode(503, "Retry-After", "1e300").retry_after,
            kMaxUpstreamRetryAfter);
  for (const char* const bad :
       {"-3", "soon", "nan", "7 s", "Fri, 04 Dec 2026 09:00:00 GMT", ""}) {
    EXPECT_EQ(decode(503, "Retry-After", bad).retry_after, std::nullopt) << bad;
  }
  EXPECT_EQ(decode(429, "Retry-After", "7").retry_after, std::nullopt);
}

TEST(WireTest, RejectsMissingIdTwoHostsAndBadTokenCounts) {
  http1::RequestHead no_id = GenerationRequest();
  no_id.headers.erase(no_id.headers.begin() + 1);
  EXPECT_FALSE(DecodeRequest(no_id).ok());
  http1::RequestHead two_hosts = GenerationRequest();
  two_hosts.headers.emplace_back("host", "other.example");
  EXPECT_FALSE(DecodeRequest(two_hosts).ok());
  http1::RequestHead bad_counts = GenerationRequest();
  bad_counts.headers[3].second = "many";
  EXPECT_FALSE(DecodeRequest(bad_counts).ok());
}

TEST(WireTest, DropsSystemHeadersOfCallers) {
  http1::RequestHead head = GenerationRequest();
  for (const char* const name :
       {"Tenant", "Expected-Instance", "Hold", "Pin-Milliseconds",
        "Cache-Backup", "Kv-From", "Kv-Fetch", "Expected-Version"}) {
    head.headers.emplace_back(name, "forged");
  }
  const http1::RequestHead sent = EncodeUpstreamRequest(
      head, {.remaining_deadline = std::chrono::seconds(2),
             .upstream_id = "i-1",
             .workspace = "lodge",
             .last_event_id = std::nullopt});
  EXPECT_EQ(sent.target, head.target);
  EXPECT_EQ(Count(sent, "Authorization"), 0u);
  EXPECT_EQ(Count(sent, "Hold"), 0u);
  EXPECT_EQ(Count(sent, "Kv-From"), 0u);
  EXPECT_EQ(Count(sent, "Expected-Version"), 0u);
  EXPECT_EQ(Count(sent, "Tenant"), 1u);
  EXPECT_EQ(http::FindHeader(sent.headers, "Tenant"), "lodge");
  EXPECT_EQ(http::FindHeader(sent.headers, "Expected-Instance"), "i-1");
  EXPECT_EQ(http::FindHeader(sent.headers, "Deadline-Milliseconds"), "2000");
  EXPECT_EQ(http::FindHeader(sent.headers, "Prompt-Prefix"),
            http::FindHeader(head.headers, "Prompt-Prefix"));
}

TEST(WireTest, ResumedStreamReplacesLastEventId) {
  http1::RequestHead head = GenerationRequest();
  head.headers.emplace_back("Last-Event-Id", "3");
  const http1::RequestHead sent = EncodeUpstreamRequest(
      head, {.remaining_deadline = std::chrono::seconds(1),
             .upstream_id = "i-2",
             .workspace = {},
             .last_event_id = 9});
  EXPECT_EQ(Count(sent, "Last-Event-Id"), 1u);
  EXPECT_EQ(http::FindHeader(sent.headers, "Last-Event-Id"), "9");
  EXPECT_EQ(Count(sent, "Tenant"), 0u);
}

TEST(WireTest, DecodesLimitOfUpstream) {
  const auto decode = [](const char* value) {
    return DecodeAnswer({.status = 200, .headers = {{"Server-Limit", value}}});
  };
  EXPECT_EQ(decode("2.5").limit_per_second, 2.5);
  EXPECT_EQ(decode("0").limit_per_second, kMinUpstreamLimit);
  EXPECT_EQ(decode("0.02").limit_per_second, kMinUpstreamLimit);
  EXPECT_EQ(decode("1e300").limit_per_second, 1e300);
  for (const char* const bad : {"", "-1", "soon", "nan", "inf", "1e999"}) {
    EXPECT_EQ(decode(bad).limit_per_second, std::nullopt) << bad;
    EXPECT_TRUE(decode(bad).is_limit_unreadable) << bad;
  }
  const UpstreamAnswer none = DecodeAnswer({.status = 503, .headers = {}});
  EXPECT_EQ(none.limit_per_second, std::nullopt);
  EXPECT_FALSE(none.is_limit_unreadable);
}

TEST(WireTest, DecodesAnswers) {
  const UpstreamAnswer refused = DecodeAnswer(
      {.status = 503, .headers = {{"Not-Executed", "1"}, {"Request-Id", "a"}}});
  EXPECT_TRUE(refused.is_not_executed);
  EXPECT_FALSE(refused.is_wrong_instance);
  EXPECT_TRUE(DecodeAnswer({.status = 421, .headers = {}}).is_not_executed);
  EXPECT_FALSE(DecodeAnswer({.status = 503, .headers = {}}).is_not_executed);
  const UpstreamAnswer good =
      DecodeAnswer({.status = 200, .headers = {{"Response-Seal", "x"}}});
  EXPECT_TRUE(good.is_sealed);
  EXPECT_TRUE(good.is_success());
}

constexpr char kSettings[] =
    "node=front-1\nip=10.1.0.33\nzone=z\nlisten.front=10.1.0.33:8783\n"
    "internalPorts=7400,7415\nseeds=10.1.0.33:8785,10.2.0.18:8785\n"
    "platform.address=10.200.1.7:8781\nbounds.drainMs=3000\n"
    "bounds.strictRevocation=true\nnew.field=x\nlimits.memoryMb=260\n";

TEST(SettingsTest, DecodesLines) {
  const auto settings = ParseSettings(kSettings, "file");
  ASSERT_TRUE(settings.ok()) << settings.status();
  EXPECT_EQ(settings->instance, "front-1");
  EXPECT_EQ(settings->callers, (http::Address{"10.1.0.33", 8783}));
  EXPECT_FALSE(settings->readiness.has_value());
  EXPECT_EQ(settings->seeds.size(), 2u);
  EXPECT_EQ(settings->promises.drain,
            kernel::Duration(std::chrono::seconds(3)));
  EXPECT_EQ(settings->last_internal_port, 7415);
}

// Guards against evacuations that are followed where nobody promises them.
TEST(SettingsTest, EvacuationIsAbsentUnlessPromised) {
  EXPECT_FALSE(
      ParseSettings(kSettings, "file")->promises.evacuation.has_value());
  const auto settings = ParseSettings(
      absl::StrCat(kSettings,
                   "bounds.evacuateMs=5000\nbounds.coldOverage=1.5\n"
                   "bounds.coldSlack=5\n"),
      "file");
  EXPECT_EQ(settings->promises.evacuation,
            kernel::Duration(std::chrono::seconds(5)));
  EXPECT_EQ(settings->promises.cold_overage, 1.5);
  EXPECT_EQ(settings->promises.cold_slack, 5);
}

TEST(SettingsTest, ErrorNamesFileFieldAndAllowedValues) {
  const auto settings = ParseSettings(
      absl::StrCat(kSettings, "bounds.graceS=soon\n"), "the/file");
  ASSERT_FALSE(settings.ok());
  EXPECT_EQ(std::string(settings.status().message()),
            "the/file: bounds.graceS is \"soon\", allowed is a number of at "
            "least 0");
  EXPECT_FALSE(ParseSettings("node=a\n", "f").ok());
}

// Guards against a settings file that stops the process.
RC_GTEST_PROP(SettingsTest, BytesNearSettingsStopTheReader, ()) {
  const auto settings =
      ParseSettings(*base::testing::BytesNear(kSettings), "file");
  RC_ASSERT(settings.ok() || !settings.status().message().empty());
}

// Guards against a header of a caller or an upstream that ends or stops the
// process.
RC_GTEST_PROP(WireTest, BytesNearAHeaderStopTheReader, ()) {
  http1::RequestHead request = GenerationRequest();
  request.headers.emplace_back("Last-Event-Id", "7");
  for (auto& [name, value] : request.headers) {
    value = *base::testing::BytesNear(value);
  }
  const auto decoded = DecodeRequest(request);
  RC_ASSERT(decoded.ok() || !decoded.status().message().empty());
  http1::ResponseHead response{.status = 503};
  for (const char* const name :
       {"Request-Id", "Response-Seal", "Retry-After", "Server-Limit",
        "Not-Executed", "Server-Leaving"}) {
    response.headers.emplace_back(name, *base::testing::BytesNear("1.5"));
  }
  const UpstreamAnswer answer = DecodeAnswer(response);
  RC_ASSERT(answer.retry_after.value_or(kMaxUpstreamRetryAfter) <=
            kMaxUpstreamRetryAfter);
  RC_ASSERT(answer.retry_after.value_or(kernel::Duration::zero()) >=
            kernel::Duration::zero());
  RC_ASSERT(answer.limit_per_second.value_or(kMinUpstreamLimit) >=
            kMinUpstreamLimit);
}

}  // namespace
}  // namespace jackdawshunt::platform
