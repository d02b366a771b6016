#include "jackdawshunt/object_api/client.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "jackdawshunt/http/server.h"
#include "jackdawshunt/object_api/address.h"

namespace jackdawshunt::object_api {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using ::testing::Eq;
using ::testing::Optional;
using ::testing::SizeIs;

// Far longer than any step takes.
constexpr seconds kTimeout{20};

// Runs a server that records requests and sends `response` to each. Without a
// response the server keeps the request open.
class ClientTest : public ::testing::Test {
 protected:
  ClientTest() : server(loop, {}) {
    server.SetHandler([this](std::shared_ptr<http::Exchange> exchange) {
      requests.push_back(exchange->request());
      if (aborts_responses) {
        exchange->StartStream(200, {});
        exchange->Abort();
      } else if (response.has_value()) {
        exchange->Reply(*response);
      } else {
        open_exchanges.push_back(std::move(exchange));
      }
    });
    const auto port = server.Listen({"127.0.0.1", 0});
    EXPECT_TRUE(port.ok()) << port.status();
    address = {"127.0.0.1", port.value_or(0)};
  }

  template <typename T>
  absl::StatusOr<T> Wait(const std::function<void(Callback<T>)>& start) {
    std::optional<absl::StatusOr<T>> result;
    start([&](absl::StatusOr<T> reply) { result = std::move(reply); });
    EXPECT_FALSE(result.has_value()) << "called back within the call";
    EXPECT_TRUE(loop.RunUntil([&] { return result.has_value(); }, kTimeout));
    return *result;
  }
  absl::StatusOr<uint64_t> Put(Client& client) {
    return Wait<uint64_t>([&](auto done) {
      client.Put("config/model/a b", "{}", 7, std::move(done));
    });
  }
  absl::StatusOr<Object> Get(Client& client) {
    return Wait<Object>(
        [&](auto done) { client.Get("claims/1", std::move(done)); });
  }

  kernel::EventLoop loop;
  http::Server server;
  http::Address address;
  std::optional<http::Response> response;
  bool aborts_responses = false;
  std::vector<http::Request> requests;
  std::vector<std::shared_ptr<http::Exchange>> open_exchanges;
};

TEST_F(ClientTest, WritesSendTheExpectedVersion) {
  Client client(loop, address);
  response = {.status = 200, .body = R"({"version": 9})"};
  const auto version = Put(client);
  ASSERT_TRUE(version.ok()) << version.status();
  EXPECT_EQ(*version, 9);
  ASSERT_THAT(requests, SizeIs(1));
  EXPECT_EQ(requests[0].method, "PUT");
  EXPECT_EQ(requests[0].path, "/objects/config/model/a%20b");
  EXPECT_EQ(http::FindHeader(requests[0].headers, "If-Match"), "7");
  EXPECT_EQ(requests[0].body, "{}");
  EXPECT_EQ(client.calls(), 1);
}

TEST_F(ClientTest, ParsesObjectsChangesAndInstances) {
  Client client(loop, address);
  response = {.body = R"({"key": "claims/1", "version": 3, "value": "[1]"})"};
  EXPECT_EQ(Get(client)->value, "[1]");
  response = {.body = R"({"revision": 5, "changes":
      [{"key": "k", "version": 4, "deleted": true}]})"};
  const auto changes = Wait<Listing>([&](auto done) {
    client.Watch("config/", 2, milliseconds(700), std::move(done));
  });
  ASSERT_TRUE(changes.ok()) << changes.status();
  EXPECT_EQ(changes->revision, 5);
  EXPECT_TRUE(changes->objects.at(0).deleted);
  EXPECT_EQ(requests.back().query, "prefix=config/&from=2&wait_ms=700");
  // A malformed element must not hide the others.
  response = {.body = R"({"instances": [{"instance": "broken"}, {
      "instance": "e1", "role": "entry", "region": "r", "data_centre": "d",
      "process": "127.0.0.1:1", "operator": "127.0.0.1:2",
      "state": "leaving"}]})"};
  const auto instances = Wait<std::vector<Instance>>(
      [&](auto done) { client.Instances(std::move(done)); });
  ASSERT_TRUE(instances.ok()) << instances.status();
  ASSERT_THAT(*instances, SizeIs(1));
  EXPECT_EQ(instances->front().operator_address.port, 2);
  EXPECT_EQ(instances->front().state, InstanceState::kLeaving);
}

struct StatusCase {
  int http_status;
  const char* body;
  absl::StatusCode write_code;
  absl::StatusCode read_code;
};

class ClientStatusTest : public ClientTest,
                         public ::testing::WithParamInterface<StatusCase> {};

// Guards against reporting a write as not written although it may have been.
TEST_P(ClientStatusTest, DistinguishesNotWrittenFromUnknown) {
  Client client(loop, address);
  response = {.status = GetParam().http_status, .body = GetParam().body};
  EXPECT_EQ(Put(client).status().code(), GetParam().write_code);
  EXPECT_EQ(Get(client).status().code(), GetParam().read_code);
}

INSTANTIATE_TEST_SUITE_P(
    Replies,
    ClientStatusTest,
    ::testing::Values(StatusCase{404, "", absl::StatusCode::kNotFound,
                                 absl::StatusCode::kNotFound},
                      StatusCase{409, "{}", absl::StatusCode::kAborted,
                                 absl::StatusCode::kAborted},
                      StatusCase{400, "", absl::StatusCode::kInvalidArgument,
                                 absl::StatusCode::kInvalidArgument},
                      StatusCase{503, "", absl::StatusCode::kUnavailable,
                                 absl::StatusCode::kUnavailable},
                      StatusCase{500, "", absl::StatusCode::kUnknown,
                                 absl::StatusCode::kUnavailable},
                      StatusCase{200, "{", absl::StatusCode::kUnknown,
                                 absl::StatusCode::kUnavailable},
                      StatusCase{200, "[]", absl::StatusCode::kUnknown,
                                 absl::StatusCode::kUnavailable}));

TEST_F(ClientTest, LostRepliesToWritesAreUnknown) {
  Client slow(loop, address, milliseconds(50));
  EXPECT_TRUE(absl::IsUnknown(Put(slow).status()));
  EXPECT_TRUE(absl::IsDeadlineExceeded(Get(slow).status()));
  Client client(loop, address);
  aborts_responses = true;
  EXPECT_TRUE(absl::IsUnknown(Put(client).status()));
  EXPECT_TRUE(absl::IsUnavailable(Get(client).status()));
  server.StopListening();
  EXPECT_TRUE(absl::IsUnavailable(Put(client).status()));
}

// Guards against a use after free when a callback destroys the client.
TEST_F(ClientTest, CallbackMayDestroyTheClient) {
  auto client = std::make_unique<Client>(loop, address);
  response = {.status = 404};
  client->Get("k", [&](const absl::StatusOr<Object>&) { client.reset(); });
  EXPECT_TRUE(loop.RunUntil([&] { return client == nullptr; }, kTimeout));
}

TEST(ParseAddressTest, AcceptsIpAndPortOnly) {
  EXPECT_THAT(ParseAddress("127.0.0.1:80"),
              Optional(Eq(http::Address{"127.0.0.1", 80})));
  EXPECT_THAT(ParseAddress("[::1]:0"), Optional(Eq(http::Address{"::1", 0})));
  for (const char* text :
       {"", ":80", "localhost:80", "127.0.0.1", "::1:80", "127.0.0.1:65536",
        "127.0.0.1:-1", "127.0.0.1:8 ", "[127.0.0.1]:80", "127.0.0.1:"}) {
    EXPECT_EQ(ParseAddress(text), std::nullopt) << text;
  }
}

// Guards against one stored value that exhausts the stack of every process
// that reads it.
TEST_F(ClientTest, DeeplyNestedValueOverflowsTheStack) {
  constexpr size_t kDepth = 300'000;
  Client client(loop, address);
  response = http::Response{
      .status = 200,
      .body = R"({"revision":3,"objects":[{"key":"a","version":1,"value":)" +
              std::string(kDepth, '[') + std::string(kDepth, ']') +
              R"(},{"key":"b","version":2,"value":{"c":1}}]})"};
  const auto listing = Wait<Listing>(
      [&](auto done) { client.List("config/", std::move(done)); });
  ASSERT_TRUE(listing.ok()) << listing.status();
  ASSERT_THAT(listing->objects, SizeIs(2));
  EXPECT_EQ(listing->objects[0].value, "");
  EXPECT_EQ(listing->objects[1].value, R"({"c":1})");
}

}  // namespace
}  // namespace jackdawshunt::object_api
