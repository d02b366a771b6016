#include <gtest/gtest.h>

#include <optional>
#include <string>

#include "jackdawshunt/base/crypto.h"
#include "jackdawshunt/http/client.h"
#include "jackdawshunt/operator_api/server.h"
#include "prometheus/counter.h"

namespace jackdawshunt::operator_api {
namespace {

class OperatorApiTest : public testing::Test {
 protected:
  OperatorApiTest() { address_.port = server_.Listen(address_).value(); }

  http::Response Get(const std::string& path, http::Headers headers = {}) {
    std::optional<absl::StatusOr<http::Response>> result;
    const auto call =
        client_.Send(address_, {.path = path, .headers = std::move(headers)},
                     {.on_done = [&](absl::StatusOr<http::Response> r) {
                       result = std::move(r);
                     }});
    EXPECT_TRUE(loop_.RunUntil([&] { return result.has_value(); },
                               std::chrono::seconds(20)));
    return result.has_value() && result->ok() ? **result : http::Response();
  }

  kernel::EventLoop loop_;
  Server server_{loop_, base::Sha256Hex("secret")};
  http::Client client_{loop_};
  http::Address address_;
};

// Guards against traffic to a process that is not ready yet.
TEST_F(OperatorApiTest, ReadinessIsFalseUntilCallbackReturnsTrue) {
  bool ready = false;
  EXPECT_EQ(Get("/readyz").status, 503);
  server_.SetReadiness([&] { return ready; });
  EXPECT_EQ(Get("/readyz").status, 503);
  ready = true;
  EXPECT_EQ(Get("/readyz").status, 200);
  EXPECT_EQ(Get("/healthz").status, 200);
  EXPECT_EQ(Get("/other").status, 404);
}

TEST_F(OperatorApiTest, MetricsAreUpdatedAndWrittenAsText) {
  auto& counter = prometheus::BuildCounter()
                      .Name("requests_total")
                      .Register(server_.registry())
                      .Add({{"kind", "a"}});
  server_.OnCollect([&] { counter.Increment(3); });
  const http::Response response = Get("/metrics");
  EXPECT_NE(response.body.find("requests_total{kind=\"a\"} 3"),
            std::string::npos)
      << response.body;
}

// Guards against the status being readable without the operator's token.
TEST_F(OperatorApiTest, StatusRequiresToken) {
  server_.SetStatus([] { return nlohmann::json{{"revision", 7}}; });
  EXPECT_EQ(Get("/status").status, 401);
  EXPECT_EQ(Get("/status", {{"Authorization", "Bearer wrong"}}).status, 401);
  EXPECT_EQ(Get("/status", {{"Authorization", "secret"}}).status, 401);
  const http::Response response =
      Get("/status", {{"Authorization", "Bearer secret"}});
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(response.body, R"({"revision":7})");
}

}  // namespace
}  // namespace jackdawshunt::operator_api
