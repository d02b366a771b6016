#include "jackdawshunt/entry/request_parser.h"

#include <string>

#include "gtest/gtest.h"
#include "jackdawshunt/base/crypto.h"
#include "jackdawshunt/base/json_depth.h"

namespace jackdawshunt::entry {
namespace {

using base::ErrorKind;

class RequestParserTest : public testing::Test {
 protected:
  RequestParserTest() {
    store_.Merge({Record("workspace", "lodge",
                         R"("schema":2,"spec":{"share":1,"token_sha256":[")" +
                             base::Sha256Hex("secret") +
                             R"("],"models":{"quote":["1","2"],"holds":[]}})"),
                  Record("model", "quote",
                         R"("schema":1,"spec":{"versions":["1","2","3"]})"),
                  Record("model", "holds",
                         R"("schema":1,"spec":{"routes":[
                  {"method":"GET","path_prefix":"/","repeatable":true},
                  {"method":"GET","path_prefix":"/take","repeatable":false},
                  {"method":"POST","path_prefix":"/check","repeatable":true}]})")});
  }

  protocol::ConfigRecord Record(const std::string& kind,
                                const std::string& name,
                                const std::string& rest) {
    return {.key = "config/" + kind + "/" + name,
            .version = ++version_,
            .value = R"({"kind":")" + kind + R"(","name":")" + name + R"(",)" +
                     rest + "}"};
  }

  absl::StatusOr<Submit> Completion(const std::string& body,
                                    const std::string& last_event_id = "") {
    http::Request request{.method = "POST",
                          .path = "/v1/chat/completions",
                          .headers = {{"Authorization", "Bearer secret"}},
                          .body = body};
    if (!last_event_id.empty()) {
      request.headers.emplace_back("Last-Event-ID", last_event_id);
    }
    return ParseCompletion(request, store_.snapshot());
  }

  absl::StatusOr<Submit> Service(const std::string& method,
                                 const std::string& path) {
    return ParseServiceCall({.method = method,
                             .path = path,
                             .headers = {{"Authorization", "Bearer secret"},
                                         {"Idempotency-Key", "k"}}},
                            store_.snapshot());
  }

  configuration::Store store_;
  uint64_t version_ = 0;
};

// Guards against requests that are accepted without a workspace.
TEST_F(RequestParserTest, WrongTokenIsNotAuthenticated) {
  for (const char* header : {"Bearer other", "secret", "Basic secret"}) {
    const auto submit = ParseCompletion(
        {.method = "POST", .headers = {{"Authorization", header}}},
        store_.snapshot());
    EXPECT_EQ(base::KindOf(submit.status()), ErrorKind::kUnauthenticated);
  }
}

// Guards against models and versions that the workspace may not use.
TEST_F(RequestParserTest, ModelsAndVersionsAreEnforced) {
  const auto kind_of = [this](const std::string& model) {
    return base::KindOf(
        Completion(R"({"messages":[{}],"model":")" + model + R"("})").status());
  };
  EXPECT_EQ(kind_of("other"), ErrorKind::kModelNotAllowed);
  EXPECT_EQ(kind_of("quote@3"), ErrorKind::kModelNotAllowed);
  EXPECT_EQ(kind_of("quote@9"), ErrorKind::kNotFound);
  EXPECT_EQ(kind_of("holds"), ErrorKind::kNotFound);  // A service.
  const auto other = Completion(R"({"messages":[{}],"model":"quote@2"})");
  ASSERT_TRUE(other.ok()) << other.status();
  EXPECT_EQ(other->model, "quote@2");
  const auto by_default = Completion(R"({"messages":[{}],"model":"quote@1"})");
  ASSERT_TRUE(by_default.ok());
  EXPECT_EQ(by_default->model, "quote");
}

// Guards against malformed bodies that reach an engine.
TEST_F(RequestParserTest, MalformedBodiesAreRejected) {
  for (
      const char* body :
      {"", "[]", R"({"model":"quote"})", R"({"model":1,"messages":[{}]})",
       R"({"model":"quote","messages":[]})",
       R"({"model":"quote","messages":[{}],"max_tokens":0})",
       R"({"model":"quote","messages":[{}],"max_tokens":"9"})",
       R"({"model":"quote","messages":[{}],"max_tokens":18446744073709551615})",
       R"({"model":"quote","messages":[{}],"stream":1})"}) {
    EXPECT_EQ(base::KindOf(Completion(body).status()), ErrorKind::kBadRequest)
        << body;
  }
}

// Guards against a body whose nesting exhausts the stack of whatever reads it
// after the entry.
TEST_F(RequestParserTest, BodyOfAnyDepthIsAccepted) {
  const auto nested = [](size_t depth) {
    return R"({"model":"quote","messages":)" + std::string(depth, '[') +
           std::string(depth, ']') + "}";
  };
  // The object around the arrays counts too.
  EXPECT_TRUE(Completion(nested(base::kMaxJsonDepth - 1)).ok());
  for (const size_t depth : {base::kMaxJsonDepth, size_t{300'000}}) {
    EXPECT_EQ(base::KindOf(Completion(nested(depth)).status()),
              ErrorKind::kBadRequest);
  }
}

// Guards against requests without max_tokens that are estimated at no cost.
TEST_F(RequestParserTest, MissingMaxTokensTakesTheDefault) {
  EXPECT_EQ(Completion(R"({"model":"quote","messages":[{}]})")->max_tokens,
            512);
}

// Guards against a resumed stream that repeats or skips a token.
TEST_F(RequestParserTest, LastEventIdIsTheLastTokenReceived) {
  const std::string body = R"({"model":"quote","messages":[{}]})";
  EXPECT_EQ(Completion(body)->resume_tokens, 0);
  EXPECT_EQ(Completion(body, "0")->resume_tokens, 1);
  EXPECT_EQ(Completion(body, "41")->resume_tokens, 42);
  for (const char* id : {"-1", "x", "1x", "9223372036854775807"}) {
    EXPECT_EQ(base::KindOf(Completion(body, id).status()),
              ErrorKind::kBadRequest)
        << id;
  }
}

// Guards against repeating a call that no route declares repeatable.
TEST_F(RequestParserTest, LongestRouteDecidesRepeatability) {
  EXPECT_TRUE(Service("GET", "/services/holds/rooms")->repeatable);
  EXPECT_FALSE(Service("GET", "/services/holds/take/1")->repeatable);
  EXPECT_TRUE(Service("POST", "/services/holds/check")->repeatable);
  EXPECT_FALSE(Service("POST", "/services/holds/rooms")->repeatable);
  EXPECT_EQ(Service("POST", "/services/holds/rooms")->path, "/rooms");
  EXPECT_EQ(Service("POST", "/services/holds/rooms")->idempotency_key, "k");
  EXPECT_EQ(Service("GET", "/services/holds")->path, "/");
  EXPECT_EQ(base::KindOf(Service("GET", "/services/x/y").status()),
            ErrorKind::kModelNotAllowed);
}

// Guards against stream ids without a request or a side.
TEST_F(RequestParserTest, StreamIdNamesRequestAndSide) {
  const auto parse_stream_id = [this](const std::string& id) {
    return ParseResumeStream({.path = "/v1/streams/" + id,
                              .headers = {{"Authorization", "Bearer secret"},
                                          {"Last-Event-ID", "6"}}},
                             store_.snapshot());
  };
  const auto good = parse_stream_id("abc.side-1.b");
  ASSERT_TRUE(good.ok());
  EXPECT_EQ(good->request, "abc");
  EXPECT_EQ(good->side, "side-1.b");
  EXPECT_EQ(good->offset, 7);
  for (const char* id : {"", "abc", ".side", "abc."}) {
    EXPECT_EQ(base::KindOf(parse_stream_id(id).status()), ErrorKind::kNotFound)
        << id;
  }
}

}  // namespace
}  // namespace jackdawshunt::entry
