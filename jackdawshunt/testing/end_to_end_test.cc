// The path from a caller over real entries and sides to real stand-ins.
#include <gtest/gtest.h>

#include <memory>
#include <set>
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

std::unique_ptr<Fleet> StartFleet(FleetBuilder builder) {
  auto fleet = builder.Workspace("lodge", 1).Start();
  EXPECT_TRUE(fleet.ok()) << fleet.status();
  return fleet.ok() ? *std::move(fleet) : nullptr;
}

// The answer of an engine that is asked without the fleet.
std::string DirectAnswer(const Fleet& fleet, const http::Request& request) {
  json body = json::parse(request.body);
  body["stream"] = false;
  http::Request direct = request;
  direct.body = body.dump();
  const auto reply = FetchJson(fleet.UpstreamAddress(0), direct);
  EXPECT_TRUE(reply.ok()) << reply.status();
  return reply.ok()
             ? (*reply)["choices"][0]["message"]["content"].get<std::string>()
             : "";
}

bool HasTokens(const std::string& body) {
  return body.find("\"content\"") != std::string::npos;
}

bool IsComplete(const StreamReader& reader) {
  return reader.end().has_value() && reader.end()->ok() &&
         reader.body().find("data: [DONE]") != std::string::npos;
}

// Status and error kind of an answer, as "404 not_found".
std::string Outcome(const absl::StatusOr<http::Response>& response) {
  if (!response.ok()) {
    return std::string(response.status().ToString());
  }
  const json body = json::parse(response->body, nullptr, false);
  const std::string kind = body.is_object() && body.contains("error")
                               ? body["error"].value("kind", "")
                               : "";
  return absl::StrCat(response->status, " ", kind);
}

// Guards against tokens that are lost, repeated or altered on the way.
TEST(EndToEndTest, StreamedAnswerEqualsTheEnginesOwnAnswer) {
  const auto fleet = StartFleet(FleetBuilder().Engines(2));
  ASSERT_NE(fleet, nullptr);
  const http::Request request = fleet->ChatRequest(
      "lodge", "draft the proposal [[tokens=200]]", {{"stream", true}});
  StreamReader reader(fleet->EntryAddress(0), request);
  ASSERT_TRUE(reader.ReadToEnd());
  EXPECT_EQ(reader.head().status, 200) << reader.body();
  EXPECT_TRUE(IsComplete(reader)) << reader.body();
  const auto events = ParseEvents(reader.body());
  EXPECT_EQ(JoinContent(events), DirectAnswer(*fleet, request));
  EXPECT_FALSE(http::FindHeader(reader.head().headers, "X-Request-Id").empty());
  EXPECT_FALSE(http::FindHeader(reader.head().headers, "X-Stream-Id").empty());
  std::string last_id;
  for (const ServerSentEvent& event : events) {
    last_id = event.id.empty() ? last_id : event.id;
  }
  EXPECT_EQ(last_id, "199");
}

// Guards against a whole answer that differs from the streamed one.
TEST(EndToEndTest, WholeAnswerEqualsTheEnginesOwnAnswer) {
  const auto fleet = StartFleet(FleetBuilder());
  ASSERT_NE(fleet, nullptr);
  const http::Request request =
      fleet->ChatRequest("lodge", "quick question [[tokens=40]]",
                         {{"max_tokens", 30}, {"stream", false}});
  const auto reply = FetchJson(fleet->EntryAddress(0), request);
  ASSERT_TRUE(reply.ok()) << reply.status();
  const json& choice = (*reply)["choices"][0];
  EXPECT_EQ(choice["message"]["content"], DirectAnswer(*fleet, request));
  EXPECT_EQ(choice["finish_reason"], "length");
  EXPECT_EQ((*reply)["usage"]["completion_tokens"], 30);
}

// Guards against answers that reach another caller when many run at once.
TEST(EndToEndTest, ConcurrentCallersReceiveTheirOwnAnswers) {
  const auto fleet = StartFleet(FleetBuilder().Entries(2).Engines(3).Slots(2));
  ASSERT_NE(fleet, nullptr);
  constexpr size_t kCallers = 24;
  std::vector<std::unique_ptr<StreamReader>> readers;
  std::vector<http::Request> requests;
  for (size_t i = 0; i < kCallers; ++i) {
    requests.push_back(fleet->ChatRequest(
        "lodge", absl::StrCat("caller ", i, " [[tokens=", 10 + i, "]]"),
        {{"stream", true}}));
    readers.push_back(std::make_unique<StreamReader>(fleet->EntryAddress(i % 2),
                                                     requests.back()));
    readers.back()->Poll();
  }
  for (size_t i = 0; i < kCallers; ++i) {
    ASSERT_TRUE(readers[i]->ReadToEnd());
    EXPECT_EQ(JoinContent(ParseEvents(readers[i]->body())),
              DirectAnswer(*fleet, requests[i]));
  }
}

// Guards against a plain service call that is altered or run more than once.
TEST(EndToEndTest, PlainServiceCallRunsOnceAndEchoesItsBody) {
  const auto fleet = StartFleet(FleetBuilder().Service("holds"));
  ASSERT_NE(fleet, nullptr);
  const std::string body = R"({"room":"ballroom","guests":200})";
  http::Request request =
      fleet->ServiceRequest("lodge", "holds", "/rooms/1", body);
  request.headers.emplace_back("Idempotency-Key", "hold-1");
  const auto first = FetchJson(fleet->EntryAddress(0), request);
  ASSERT_TRUE(first.ok()) << first.status();
  EXPECT_EQ((*first)["count"], 1);
  EXPECT_EQ((*first)["path"], "/rooms/1");
  EXPECT_EQ((*first)["body"], body);
  // The same key again receives the recorded answer of the one run; until it
  // is recorded, the call is answered as a duplicate.
  ASSERT_TRUE(PollUntil([&] {
    const auto again = Fetch(fleet->EntryAddress(0), request);
    return again.ok() && again->status == 200 &&
           json::parse(again->body) == *first;
  }));
  const auto calls = Fleet::Admin(*fleet->side(1).upstream, "/admin/calls");
  ASSERT_TRUE(calls.ok());
  EXPECT_EQ((*calls)["by_body"][body], 1);
  // A side also asks its upstream for its load; these calls have no request id.
  json by_request_id = (*calls)["by_request_id"];
  by_request_id.erase("");
  EXPECT_EQ(by_request_id.size(), 1) << *calls;
  EXPECT_EQ(*by_request_id.begin(), 1) << *calls;
}

// Guards against configuration that needs a restart, or that reverts.
TEST(EndToEndTest, RecordsChangedAtRunTimeTakeEffect) {
  const auto fleet = StartFleet(FleetBuilder().Entries(2));
  ASSERT_NE(fleet, nullptr);
  const auto outcome = [&](size_t entry) {
    return Outcome(Fetch(fleet->EntryAddress(entry),
                         fleet->ChatRequest("hall", "hello", {})));
  };
  EXPECT_EQ(outcome(0), "401 unauthenticated");
  ASSERT_TRUE(fleet->PutWorkspace("hall", 2).ok());
  for (const size_t entry : {0, 1}) {
    EXPECT_TRUE(PollUntil([&] { return outcome(entry) == "200 "; }));
  }
  ASSERT_TRUE(fleet->DeleteRecord("workspace", "hall").ok());
  for (const size_t entry : {0, 1}) {
    EXPECT_TRUE(
        PollUntil([&] { return outcome(entry) == "401 unauthenticated"; }));
  }
}

// Guards against malformed or unauthorised requests that reach an engine.
TEST(EndToEndTest, InvalidRequestsAreRejectedBeforeTheyReachAnEngine) {
  const auto fleet = StartFleet(FleetBuilder());
  ASSERT_NE(fleet, nullptr);
  const http::Address entry = fleet->EntryAddress(0);
  EXPECT_EQ(Outcome(Fetch(entry, fleet->ChatRequest("stranger", "hello", {}))),
            "401 unauthenticated");
  EXPECT_EQ(Outcome(Fetch(entry, fleet->ChatRequest("lodge", "hello",
                                                    {{"model", "other"}}))),
            "403 model_not_allowed");
  http::Request bad = fleet->ChatRequest("lodge", "hello", {});
  bad.body = "{\"model\":";
  EXPECT_EQ(Outcome(Fetch(entry, bad)), "400 bad_request");
  http::Request large = fleet->ChatRequest("lodge", "hello", {});
  large.body = std::string(size_t{1024} * 1024 + 1, ' ');
  EXPECT_EQ(Outcome(Fetch(entry, large)), "413 body_too_large");
  http::Request headers = fleet->ChatRequest("lodge", "hello", {});
  headers.headers.emplace_back("X-Large", std::string(size_t{32} * 1024, 'x'));
  EXPECT_EQ(Outcome(Fetch(entry, headers)), "431 headers_too_large");
  EXPECT_EQ(Outcome(Fetch(entry, {.path = "/nothing"})), "404 not_found");
  const auto stats = Fleet::Admin(*fleet->side(0).upstream, "/admin/stats");
  ASSERT_TRUE(stats.ok());
  EXPECT_EQ((*stats)["started"], 0);
}

// Guards against a shutdown of a side that cuts its streams or takes new work.
TEST(EndToEndTest, TerminatedSideFinishesItsStreams) {
  const auto fleet = StartFleet(FleetBuilder().Engines(2));
  ASSERT_NE(fleet, nullptr);
  const http::Request request = fleet->ChatRequest(
      "lodge", "long draft [[tokens=700]]", {{"stream", true}});
  std::vector<std::unique_ptr<StreamReader>> readers;
  for (int i = 0; i < 6; ++i) {
    readers.push_back(
        std::make_unique<StreamReader>(fleet->EntryAddress(0), request));
    ASSERT_TRUE(readers.back()->ReadUntil(HasTokens));
  }
  fleet->side(0).side->Terminate();
  const auto later = FetchJson(fleet->EntryAddress(0),
                               fleet->ChatRequest("lodge", "later", {}));
  EXPECT_TRUE(later.ok()) << later.status();
  const std::string answer = DirectAnswer(*fleet, request);
  for (const auto& reader : readers) {
    ASSERT_TRUE(reader->ReadToEnd());
    EXPECT_TRUE(IsComplete(*reader));
    EXPECT_EQ(JoinContent(ParseEvents(reader->body())), answer);
  }
  EXPECT_EQ(fleet->side(0).side->WaitForExit(), 0)
      << fleet->side(0).side->Log();
  // Nothing was cut and continued: each stream is one start at one engine, and
  // so are the later request and the direct one.
  uint64_t started = 0;
  for (const SideMember& member : fleet->sides()) {
    const auto stats = Fleet::Admin(*member.upstream, "/admin/stats");
    ASSERT_TRUE(stats.ok());
    EXPECT_EQ((*stats)["cancelled"], 0);
    started += (*stats)["started"].get<uint64_t>();
  }
  EXPECT_EQ(started, readers.size() + 2);
}

// Guards against a shutdown of an entry that cuts its callers.
TEST(EndToEndTest, TerminatedEntryFinishesItsStreams) {
  const auto fleet = StartFleet(FleetBuilder().Entries(2));
  ASSERT_NE(fleet, nullptr);
  const http::Request request = fleet->ChatRequest(
      "lodge", "long draft [[tokens=700]]", {{"stream", true}});
  StreamReader reader(fleet->EntryAddress(0), request);
  ASSERT_TRUE(reader.ReadUntil(HasTokens));
  fleet->entry(0).Terminate();
  EXPECT_TRUE(PollUntil(
      [&] { return !fleet->IsReady(fleet->EntryOperatorAddress(0)); }));
  ASSERT_TRUE(reader.ReadToEnd());
  EXPECT_TRUE(IsComplete(reader));
  EXPECT_EQ(JoinContent(ParseEvents(reader.body())),
            DirectAnswer(*fleet, request));
  EXPECT_EQ(fleet->entry(0).WaitForExit(), 0) << fleet->entry(0).Log();
  const auto other = FetchJson(fleet->EntryAddress(1),
                               fleet->ChatRequest("lodge", "other", {}));
  EXPECT_TRUE(other.ok()) << other.status();
}

// Guards against a resumed stream that repeats or loses tokens.
TEST(EndToEndTest, CallerResumesItsStreamAtAnotherEntry) {
  const auto fleet = StartFleet(FleetBuilder().Entries(2));
  ASSERT_NE(fleet, nullptr);
  const http::Request request = fleet->ChatRequest(
      "lodge", "long draft [[tokens=700]]", {{"stream", true}});
  StreamReader first(fleet->EntryAddress(0), request);
  ASSERT_TRUE(first.ReadUntil(
      [](const std::string& body) { return body.size() > 5000; }));
  const auto events = ParseEvents(first.body());
  std::string last_id;
  for (const ServerSentEvent& event : events) {
    last_id = event.id.empty() ? last_id : event.id;
  }
  fleet->entry(0).Kill();
  StreamReader second(
      fleet->EntryAddress(1),
      {.path = absl::StrCat(
           "/v1/streams/",
           std::string(http::FindHeader(first.head().headers, "X-Stream-Id"))),
       .headers = {
           {"Authorization", absl::StrCat("Bearer ", Fleet::Token("lodge"))},
           {"Last-Event-ID", last_id}}});
  ASSERT_TRUE(second.ReadToEnd());
  EXPECT_TRUE(IsComplete(second)) << second.body();
  EXPECT_EQ(JoinContent(events) + JoinContent(ParseEvents(second.body())),
            DirectAnswer(*fleet, request));
}

}  // namespace
}  // namespace jackdawshunt::testing
