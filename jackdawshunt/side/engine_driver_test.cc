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

}  // namespace
}  // namespace jackdawshunt::side
