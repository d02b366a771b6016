#include <memory>
#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "jackdawshunt/http/server.h"
#include "jackdawshunt/kernel/registry.h"
#include "jackdawshunt/side/upstream_driver.h"

namespace jackdawshunt::side {
namespace {

constexpr kernel::Duration kLimit = std::chrono::seconds(10);

class RecordingSink final : public UpstreamCallSink {
 public:
  void OnOutput(const std::vector<std::string>& units) override {
    output.insert(output.end(), units.begin(), units.end());
  }
  void OnDone(const UpstreamCallResult& with) override { result = with; }
  void OnFailed(const UpstreamCallFailure& with) override { failure = with; }

  bool is_over() const { return result.has_value() || failure.has_value(); }

  std::vector<std::string> output;
  std::optional<UpstreamCallResult> result;
  std::optional<UpstreamCallFailure> failure;
};

// Calls an engine that answers each request with `events_`.
class EngineDriverTest : public testing::Test {
 protected:
  EngineDriverTest() {
    engine_.SetHandler([this](const std::shared_ptr<http::Exchange>& exchange) {
      received_.push_back(exchange->request().body);
      exchange->Reply({.status = 200, .body = events_});
    });
    driver_->Initialize(loop_,
                        {"127.0.0.1", *engine_.Listen({"127.0.0.1", 0})});
  }

  RecordingSink Call(const std::string& body) {
    RecordingSink sink;
    const auto call = driver_->Start({.body = body}, sink);
    EXPECT_TRUE(loop_.RunUntil([&sink] { return sink.is_over(); }, kLimit));
    return sink;
  }

  kernel::EventLoop loop_;
  http::Server engine_{loop_, {}};
  std::unique_ptr<UpstreamDriver> driver_ =
      kernel::Registry<UpstreamDriver>::Create("engine");
  std::string events_ = "data: [DONE]\n\n";
  std::vector<std::string> received_;
};

// Guards against a request that ends the process by its nesting.
TEST_F(EngineDriverTest, DeeplyNestedRequestOverflowsTheStack) {
  constexpr size_t kDepth = 300'000;
  const std::string nested =
      std::string(kDepth, '[') + std::string(kDepth, ']');
  Call(R"({"messages":)" + nested + "}");
  ASSERT_EQ(received_.size(), 1);
  EXPECT_EQ(received_.front(), R"({"stream":true})");
}

// Guards against a number of another type that ends the process.
TEST_F(EngineDriverTest, UsageOfUnexpectedTypeStopsTheProcess) {
  for (const char* usage :
       {R"({"prompt_tokens":null})", R"({"prompt_tokens":"12"})",
        R"({"prompt_tokens":[]})", R"({"prompt_tokens":-1})",
        R"({"prompt_tokens":18446744073709551615})", "[]", "7"}) {
    events_ = R"(data: {"choices":[{"delta":{"content":"a"}}],"usage":)" +
              std::string(usage) + "}\n\ndata: [DONE]\n\n";
    const RecordingSink sink = Call(R"({"messages":[{}]})");
    EXPECT_EQ(sink.output, std::vector<std::string>{"a"}) << usage;
    ASSERT_TRUE(sink.result.has_value()) << usage;
    EXPECT_EQ(sink.result->input_tokens, 0) << usage;
  }
}

}  // namespace
}  // namespace jackdawshunt::side
