#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "jackdawshunt/testing/fleet.h"
#include "jackdawshunt/testing/http_helper.h"
#include "jackdawshunt/testing/process.h"

namespace jackdawshunt::testing {
namespace {

using nlohmann::json;

// Starts stand-ins in an own folder.
class StandInsTest : public ::testing::Test {
 protected:
  std::unique_ptr<Process> Start(const std::string& name,
                                 std::vector<std::string> arguments) {
    arguments.insert(arguments.begin(), StandInsBinary());
    auto process = Process::Start({.command = std::move(arguments),
                                   .folder = folder_.path(),
                                   .name = name});
    EXPECT_TRUE(process.ok()) << process.status();
    return process.ok() ? *std::move(process) : nullptr;
  }

  static http::Address Main(const Process& process) {
    return {"127.0.0.1", process.Port("port")};
  }

  TemporaryFolder folder_;
};

http::Request Chat(const std::string& content, const json& fields) {
  json body = {
      {"model", "writer"},
      {"stream", true},
      {"messages", json::array({{{"role", "user"}, {"content", content}}})}};
  if (fields.is_object()) {
    body.merge_patch(fields);
  }
  return {.method = "POST",
          .path = "/v1/chat/completions",
          .headers = {{"X-Request-Id", content}},
          .body = body.dump()};
}

std::string ReadContent(const http::Address& engine,
                        const http::Request& request) {
  StreamReader reader(engine, request);
  EXPECT_TRUE(reader.ReadToEnd());
  EXPECT_TRUE(reader.end().has_value() && reader.end()->ok())
      << reader.end().value_or(absl::OkStatus());
  EXPECT_EQ(reader.head().status, 200);
  EXPECT_NE(reader.body().find("data: [DONE]"), std::string::npos);
  return JoinContent(ParseEvents(reader.body()));
}

http::Request Put(const std::string& key,
                  const std::string& value,
                  const std::string& expected) {
  http::Request request{
      .method = "PUT", .path = absl::StrCat("/objects/", key), .body = value};
  if (!expected.empty()) {
    request.headers = {{"If-Match", expected}};
  }
  return request;
}

// Guards against two writers both winning a conditional update.
TEST_F(StandInsTest, PlatformRejectsConditionalUpdateOfAnOldVersion) {
  const auto platform = Start("platform", {"platform"});
  const http::Address address = Main(*platform);
  const auto first = FetchJson(address, Put("a/b", "1", "0"));
  ASSERT_TRUE(first.ok()) << first.status();
  const auto second = Fetch(address, Put("a/b", "2", "0"));
  ASSERT_TRUE(second.ok());
  EXPECT_EQ(second->status, 409);
  EXPECT_EQ(json::parse(second->body)["version"], (*first)["version"]);
  const auto third =
      FetchJson(address, Put("a/b", "2", (*first)["version"].dump()));
  ASSERT_TRUE(third.ok()) << third.status();
  const auto read = FetchJson(address, {.path = "/objects/a/b"});
  ASSERT_TRUE(read.ok());
  EXPECT_EQ((*read)["value"], "2");
}

// Guards against a watch that misses a change or a deletion.
TEST_F(StandInsTest, PlatformWatchReportsChangesAndTombstones) {
  const auto platform = Start("platform", {"platform"});
  const http::Address address = Main(*platform);
  StreamReader watch(
      address, {.path = "/watch", .query = "prefix=a%2F&from=0&wait_ms=60000"});
  ASSERT_TRUE(PollUntil([&] {
    watch.Poll();
    const auto calls = Fleet::Admin(*platform, "/admin/calls");
    return calls.ok() && (*calls)["pending_watches"] == 1;
  }));
  ASSERT_TRUE(FetchJson(address, Put("other", "1", "")).ok());
  const auto put = FetchJson(address, Put("a/b", "1", ""));
  ASSERT_TRUE(put.ok());
  ASSERT_TRUE(watch.ReadToEnd());
  const json change = json::parse(watch.body());
  ASSERT_EQ(change["changes"].size(), 1);
  EXPECT_EQ(change["changes"][0]["key"], "a/b");
  ASSERT_TRUE(
      FetchJson(address, {.method = "DELETE", .path = "/objects/a/b"}).ok());
  const auto after = FetchJson(
      address, {.path = "/watch",
                .query = absl::StrCat("prefix=a%2F&wait_ms=60000&from=",
                                      change["revision"].dump())});
  ASSERT_TRUE(after.ok()) << after.status();
  EXPECT_EQ((*after)["changes"][0]["deleted"], true);
}

// Guards against faults that do not do what tests of the fleet rely on.
TEST_F(StandInsTest, PlatformFaultsLoseAnswersAndSimulateOutages) {
  const auto platform = Start("platform", {"platform"});
  const http::Address address = Main(*platform);
  ASSERT_TRUE(Fleet::SetFaults(*platform, {{"lose_answers", 1}}).ok());
  EXPECT_FALSE(Fetch(address, Put("k", "1", "0")).ok());
  const auto read = FetchJson(address, {.path = "/objects/k"});
  ASSERT_TRUE(read.ok()) << read.status();
  EXPECT_EQ((*read)["value"], "1");
  ASSERT_TRUE(Fleet::SetFaults(*platform, {{"outage", true}}).ok());
  EXPECT_EQ(Fetch(address, {.path = "/objects/k"})->status, 503);
  ASSERT_TRUE(
      Fleet::SetFaults(*platform, {{"outage", false}, {"refuse", true}}).ok());
  EXPECT_TRUE(
      absl::IsUnavailable(Fetch(address, {.path = "/objects/k"}).status()));
  ASSERT_TRUE(Fleet::SetFaults(*platform, {{"refuse", false}}).ok());
  EXPECT_EQ(Fetch(address, {.path = "/objects/k"})->status, 200);
  const std::string large(1024 * 1024 + 1, 'x');
  EXPECT_EQ(Fetch(address, Put("large", large, ""))->status, 413);
}

// Guards against a continuation that differs from the interrupted answer.
TEST_F(StandInsTest, EngineContinuesTheSameAnswerOnAnotherEngine) {
  const auto first = Start("first", {"engine", "--step-ms", "1"});
  const auto second = Start("second", {"engine", "--step-ms", "1"});
  const std::string prompt = "draft the rider [[tokens=40]]";
  const std::string whole = ReadContent(Main(*first), Chat(prompt, {}));
  const std::string head =
      ReadContent(Main(*first), Chat(prompt, {{"max_tokens", 15}}));
  const std::string tail =
      ReadContent(Main(*second), Chat(prompt, {{"resume_tokens", 15}}));
  EXPECT_FALSE(head.empty());
  EXPECT_EQ(head + tail, whole);
  const auto reply =
      FetchJson(Main(*second), Chat(prompt, {{"stream", false}}));
  ASSERT_TRUE(reply.ok()) << reply.status();
  EXPECT_EQ((*reply)["choices"][0]["message"]["content"], whole);
  EXPECT_EQ((*reply)["usage"]["completion_tokens"], 40);
}

// Guards against an engine that goes on for a caller who has left, or that runs
// more than its batch.
TEST_F(StandInsTest, EngineKeepsToItsBatchAndCancelsWhenTheCallerLeaves) {
  const auto engine = Start("engine", {"engine", "--max-batch", "1"});
  const http::Address address = Main(*engine);
  StreamReader running(address, Chat("a [[tokens=1000000]]", {}));
  ASSERT_TRUE(running.ReadUntil(
      [](const std::string& body) { return body.size() > 100; }));
  StreamReader waiting(address, Chat("b [[tokens=5]]", {}));
  ASSERT_TRUE(PollUntil([&] {
    waiting.Poll();
    const auto load = FetchJson(address, {.path = "/load"});
    return load.ok() && (*load)["running"] == 1 && (*load)["waiting"] == 1;
  }));
  running.Leave();
  ASSERT_TRUE(waiting.ReadToEnd());
  const auto stats = Fleet::Admin(*engine, "/admin/stats");
  ASSERT_TRUE(stats.ok());
  EXPECT_EQ((*stats)["cancelled"], 1);
  EXPECT_EQ((*stats)["highest_concurrency"], 1);
  EXPECT_EQ((*stats)["history"][1]["request"], "b [[tokens=5]]");
}

// Guards against a drain that cuts running requests or never ends.
TEST_F(StandInsTest, EngineFinishesItsRequestsAfterTermination) {
  const auto engine = Start("engine", {"engine"});
  StreamReader reader(Main(*engine), Chat("a [[tokens=100]]", {}));
  ASSERT_TRUE(
      reader.ReadUntil([](const std::string& body) { return !body.empty(); }));
  engine->Terminate();
  ASSERT_TRUE(PollUntil([&] {
    const auto load = FetchJson(Main(*engine), {.path = "/load"});
    return load.ok() && (*load)["draining"] == true;
  }));
  ASSERT_TRUE(reader.ReadToEnd());
  EXPECT_NE(reader.body().find("[DONE]"), std::string::npos);
  EXPECT_EQ(engine->WaitForExit(), 0);
}

TEST_F(StandInsTest, EngineRejectsOrdersWithAStaleFencingNumber) {
  const auto engine =
      Start("engine", {"engine", "--check-fencing", "--order-ms", "1"});
  const auto order = [&](int fencing) {
    const json body = {{"order", "load_model"},
                       {"model", "writer"},
                       {"version", "v2"},
                       {"fencing", fencing}};
    return Fetch(Main(*engine),
                 {.method = "POST", .path = "/orders", .body = body.dump()})
        ->status;
  };
  EXPECT_EQ(order(7), 200);
  EXPECT_EQ(order(6), 409);
  EXPECT_EQ(order(7), 200);
}

// Guards against a service that miscounts the calls that it ran.
TEST_F(StandInsTest, ServiceCountsCallsThatLostTheirAnswer) {
  const auto service = Start("service", {"service"});
  const http::Request hold{.method = "POST",
                           .path = "/holds",
                           .headers = {{"X-Request-Id", "r1"}},
                           .body = "ballroom"};
  ASSERT_TRUE(Fleet::SetFaults(*service, {{"close_before_answer", 1}}).ok());
  EXPECT_TRUE(absl::IsAborted(Fetch(Main(*service), hold).status()));
  const auto reply = FetchJson(Main(*service), hold);
  ASSERT_TRUE(reply.ok()) << reply.status();
  EXPECT_EQ((*reply)["count"], 2);
  EXPECT_EQ((*reply)["body"], "ballroom");
  const auto calls = Fleet::Admin(*service, "/admin/calls");
  ASSERT_TRUE(calls.ok());
  EXPECT_EQ((*calls)["by_request_id"]["r1"], 2);
}

// Guards against a proxy that breaks connections where it must silence them.
TEST_F(StandInsTest, ProxySilencesOnlyExistingConnections) {
  const auto engine = Start("engine", {"engine"});
  const auto proxy =
      Start("proxy", {"proxy", "--target", Main(*engine).ToString()});
  StreamReader silent(Main(*proxy), Chat("a [[tokens=2000]]", {}));
  ASSERT_TRUE(
      silent.ReadUntil([](const std::string& body) { return !body.empty(); }));
  ASSERT_TRUE(Fleet::SetFaults(*proxy, {{"blackhole_to_client", true},
                                        {"only_existing", true}})
                  .ok());
  // The later and longer answer ends after the engine has sent all of the
  // first.
  EXPECT_FALSE(
      ReadContent(Main(*proxy), Chat("b [[tokens=2100]]", {})).empty());
  silent.ReadUntil([](const std::string&) { return false; },
                   std::chrono::milliseconds(50));
  EXPECT_FALSE(silent.end().has_value());
  EXPECT_EQ(silent.body().find("[DONE]"), std::string::npos);
  ASSERT_TRUE(Fleet::SetFaults(*proxy, json::object()).ok());
  ASSERT_TRUE(silent.ReadToEnd());
  EXPECT_NE(silent.body().find("[DONE]"), std::string::npos);
}

// Guards against processes that outlive their test or a pause that ends them.
TEST_F(StandInsTest, HarnessPausesKillsAndReportsExits) {
  const auto service = Start("service", {"service"});
  service->Pause();
  EXPECT_TRUE(absl::IsDeadlineExceeded(
      Fetch(Main(*service), {.path = "/"}, std::chrono::milliseconds(100))
          .status()));
  service->Continue();
  EXPECT_TRUE(Fetch(Main(*service), {.path = "/"}).ok());
  service->Kill();
  EXPECT_FALSE(service->is_running());
  EXPECT_EQ(service->WaitForExit(), -SIGKILL);
  const auto failed = Process::Start({.command = {StandInsBinary(), "nothing"},
                                      .folder = folder_.path(),
                                      .name = "nothing"});
  EXPECT_TRUE(absl::IsAborted(failed.status())) << failed.status();
}

}  // namespace
}  // namespace jackdawshunt::testing
