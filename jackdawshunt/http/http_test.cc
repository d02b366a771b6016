#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>

#include "jackdawshunt/http/client.h"
#include "jackdawshunt/http/server.h"

namespace jackdawshunt::http {
namespace {

using std::chrono::seconds;

// A server and a client in one loop.
class HttpTest : public testing::Test {
 protected:
  HttpTest() {
    server_.SetErrorPage([](int status) {
      return Response{.body = "page " + std::to_string(status)};
    });
    address_.port = server_.Listen(address_).value();
  }

  absl::StatusOr<Response> Fetch(const Request& request,
                                 CallOptions options = {}) {
    std::optional<absl::StatusOr<Response>> result;
    options.on_done = [&](absl::StatusOr<Response> r) {
      result = std::move(r);
    };
    const auto call = client_.Send(address_, request, std::move(options));
    EXPECT_TRUE(
        loop_.RunUntil([&] { return result.has_value(); }, seconds(20)));
    return result.value_or(absl::InternalError("no result"));
  }

  kernel::EventLoop loop_;
  Server server_{loop_, {.max_header_bytes = 4096, .max_body_bytes = 100000}};
  Client client_{loop_};
  Address address_;
};

TEST_F(HttpTest, RequestAndReplyKeepAllTheirParts) {
  std::optional<Request> seen;
  server_.SetHandler([&](const std::shared_ptr<Exchange>& exchange) {
    seen = exchange->request();
    exchange->Reply({.status = 201, .headers = {{"X-A", "b"}}, .body = "ok"});
  });
  const auto response = Fetch({.method = "POST",
                               .path = "/a/b",
                               .query = "c=1",
                               .headers = {{"X-In", "v"}},
                               .body = "text"});
  ASSERT_TRUE(response.ok()) << response.status();
  EXPECT_EQ(response->status, 201);
  EXPECT_EQ(response->body, "ok");
  EXPECT_EQ(FindHeader(response->headers, "x-a"), "b");
  EXPECT_EQ(seen->method + " " + seen->path + "?" + seen->query + seen->body,
            "POST /a/b?c=1text");
  EXPECT_EQ(FindHeader(seen->headers, "x-in"), "v");
  EXPECT_TRUE(loop_.RunUntil([&] { return server_.open_exchanges() == 0; },
                             seconds(20)));
}

TEST_F(HttpTest, StreamedReplyArrivesPartByPart) {
  std::shared_ptr<Exchange> exchange;
  server_.SetHandler([&](std::shared_ptr<Exchange> e) {
    exchange = std::move(e);
    exchange->StartStream(200, {});
    exchange->Write("one");
  });
  std::string body;
  CallOptions options;
  options.on_chunk = [&](const Response& head, std::string_view part) {
    EXPECT_EQ(head.status, 200);
    body += part;
    if (body == "one") {
      exchange->Write("two");
      exchange->EndStream();
    }
  };
  EXPECT_TRUE(Fetch({}, std::move(options)).ok());
  EXPECT_EQ(body, "onetwo");
}

// Guards against a broken stream being taken for a short one.
TEST_F(HttpTest, AbortedStreamIsAnError) {
  server_.SetHandler([](const std::shared_ptr<Exchange>& exchange) {
    exchange->StartStream(200, {});
    exchange->Write("part");
    exchange->Abort();
  });
  EXPECT_EQ(Fetch({}).status().code(), absl::StatusCode::kAborted);
}

TEST_F(HttpTest, DroppedExchangeAnswers500) {
  server_.SetHandler([](const std::shared_ptr<Exchange>&) {});
  const auto response = Fetch({});
  ASSERT_TRUE(response.ok());
  EXPECT_EQ(response->status, 500);
}

TEST_F(HttpTest, RefusedConnectionIsUnavailable) {
  server_.StopListening();
  EXPECT_EQ(Fetch({}).status().code(), absl::StatusCode::kUnavailable);
}

TEST_F(HttpTest, TimeLimitEndsACallWithoutAnswer) {
  std::shared_ptr<Exchange> kept;
  server_.SetHandler([&](std::shared_ptr<Exchange> e) { kept = std::move(e); });
  CallOptions options;
  options.timeout = std::chrono::milliseconds(30);
  EXPECT_EQ(Fetch({}, std::move(options)).status().code(),
            absl::StatusCode::kDeadlineExceeded);
}

}  // namespace
}  // namespace jackdawshunt::http
