// Streams finish whole, once and in order, when connections, sides, engines,
// entries and callers fail in the middle.
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "jackdawshunt/testing/fleet.h"
#include "jackdawshunt/testing/stream_check.h"

namespace jackdawshunt::testing {
namespace {

using nlohmann::json;

class StreamFailureTest : public ::testing::Test {
 protected:
  void StartFleet(FleetBuilder builder) {
    auto fleet = builder.Workspace("school", 1)
                     .Workspace("works", 1)
                     .EntrySettings({{"drain_lag_ms", 0}})
                     .Start();
    ASSERT_TRUE(fleet.ok()) << fleet.status();
    fleet_ = *std::move(fleet);
  }

  http::Request Stream(int tokens, const std::string& prompt = "exam paper") {
    return fleet_->ChatRequest("school",
                               absl::StrCat(prompt, " [[tokens=", tokens, "]]"),
                               {{"stream", true}, {"max_tokens", tokens}});
  }

  // Index of the engine that runs a request now.
  size_t BusyEngine() {
    size_t busy = 0;
    EXPECT_TRUE(PollUntil([&] {
      for (size_t i = 0; i < fleet_->sides().size(); ++i) {
        const auto stats =
            Fleet::Admin(*fleet_->side(i).upstream, "/admin/stats");
        if (stats.ok() && (*stats)["running"].get<int>() > 0) {
          busy = i;
          return true;
        }
      }
      return false;
    }));
    return busy;
  }

  void ExpectWhole(StreamReader& reader,
                   const http::Request& request,
                   size_t engine = 0) {
    ASSERT_TRUE(reader.ReadToEnd());
    EXPECT_TRUE(IsComplete(reader)) << reader.body().substr(
        reader.body().size() - std::min<size_t>(500, reader.body().size()));
    EXPECT_EQ(JoinContent(ParseEvents(reader.body())),
              DirectAnswer(*fleet_, request, engine));
  }

  std::unique_ptr<Fleet> fleet_;
};

// Guards against a stream that hangs or is cut when its connection goes silent
// while new ones work.
class SilentConnectionTest : public StreamFailureTest,
                             public ::testing::WithParamInterface<const char*> {
};

TEST_P(SilentConnectionTest, FreshConnectionTakesOver) {
  // The answer is longer than the buffer, so that it also needs the direction
  // that carries the credit.
  StartFleet(FleetBuilder().ProxySides().SideSettings(
      {{"stream_buffer_bytes", 4096}}));
  const http::Request request = Stream(1500);
  StreamReader reader(fleet_->EntryAddress(0), request);
  ASSERT_TRUE(reader.ReadUntil(
      [](const std::string& body) { return HasTokens(body, 5); }));
  ASSERT_TRUE(Fleet::SetFaults(*fleet_->side(0).proxy,
                               {{GetParam(), true}, {"only_existing", true}})
                  .ok());
  ExpectWhole(reader, request);
}

INSTANTIATE_TEST_SUITE_P(Directions,
                         SilentConnectionTest,
                         ::testing::Values("blackhole_to_target",
                                           "blackhole_to_client"),
                         [](const auto& info) {
                           return std::string(info.param);
                         });

TEST_F(StreamFailureTest, SideKilledInMidStream) {
  StartFleet(FleetBuilder().Engines(2));
  const http::Request request = Stream(400);
  StreamReader reader(fleet_->EntryAddress(0), request);
  ASSERT_TRUE(reader.ReadUntil(
      [](const std::string& body) { return HasTokens(body, 5); }));
  fleet_->side(BusyEngine()).side->Kill();
  ExpectWhole(reader, request);
}

TEST_F(StreamFailureTest, EngineKilledInMidStream) {
  StartFleet(FleetBuilder().Engines(2));
  const http::Request request = Stream(400);
  StreamReader reader(fleet_->EntryAddress(0), request);
  ASSERT_TRUE(reader.ReadUntil(
      [](const std::string& body) { return HasTokens(body, 5); }));
  const size_t busy = BusyEngine();
  fleet_->side(busy).upstream->Kill();
  ExpectWhole(reader, request, 1 - busy);
}

// Guards against a stream that waits for ever on an engine that went silent.
TEST_F(StreamFailureTest, EngineGoesSilentInMidStream) {
  StartFleet(FleetBuilder().Engines(2).Policy({{"progress_limit_ms", 1000}}));
  const http::Request request = Stream(400);
  StreamReader reader(fleet_->EntryAddress(0), request);
  ASSERT_TRUE(reader.ReadUntil(
      [](const std::string& body) { return HasTokens(body, 5); }));
  const size_t busy = BusyEngine();
  ASSERT_TRUE(
      Fleet::SetFaults(*fleet_->side(busy).upstream, {{"stall", true}}).ok());
  ExpectWhole(reader, request, 1 - busy);
}

// Guards against an exam paper that vanishes with the caller's connection.
TEST_F(StreamFailureTest, CallerResumesAtAnotherEntry) {
  StartFleet(FleetBuilder().Entries(2));
  const http::Request request = Stream(600);
  StreamReader first(fleet_->EntryAddress(0), request);
  ASSERT_TRUE(first.ReadUntil(
      [](const std::string& body) { return HasTokens(body, 20); }));
  const auto events = ParseEvents(first.body());
  const std::string last_id = LastEventId(first.body());
  const std::string stream(
      http::FindHeader(first.head().headers, "X-Stream-Id"));
  first.Leave();
  fleet_->entry(0).Kill();

  http::Request resume{
      .path = "/v1/streams/" + stream,
      .headers = {{"Authorization", "Bearer " + Fleet::Token("school")},
                  {"Last-Event-ID", last_id}}};
  StreamReader second(fleet_->EntryAddress(1), resume);
  ASSERT_TRUE(second.ReadToEnd());
  EXPECT_TRUE(IsComplete(second)) << second.body();
  EXPECT_EQ(JoinContent(events) + JoinContent(ParseEvents(second.body())),
            DirectAnswer(*fleet_, request));

  // Guards against a workspace that reads the stream of another one.
  resume.headers[0].second = "Bearer " + Fleet::Token("works");
  const auto other = Fetch(fleet_->EntryAddress(1), resume);
  ASSERT_TRUE(other.ok());
  EXPECT_EQ(other->status, 404);
}

// Guards against output that is lost when a caller reads slower than the
// engine writes, and against a process that holds all of it in memory.
TEST_F(StreamFailureTest, SlowReaderGetsEverything) {
  StartFleet(FleetBuilder()
                 .Engines(1, {"--step-ms", "1"})
                 .SideSettings({{"stream_buffer_bytes", 4096}})
                 .EntrySettings({{"stream_buffer_bytes", 4096}})
                 .Policy({{"progress_limit_ms", 60000}}));
  const http::Request request = Stream(3000);
  StreamReader reader(fleet_->EntryAddress(0), request);
  for (int pause = 0; pause < 20; ++pause) {
    reader.Poll();
    PollUntil([] { return false; }, std::chrono::milliseconds(50));
  }
  ExpectWhole(reader, request);
}

// Kills sides and cuts connections at random under eight streams; each answer
// must be whole, once and its own.
TEST_F(StreamFailureTest, RandomFaultsTwoAtATime) {
  StartFleet(FleetBuilder().Entries(2).Engines(3).ProxySides().Policy(
      {{"max_attempts", 20}}));
  std::vector<http::Request> requests;
  std::vector<std::unique_ptr<StreamReader>> readers;
  for (size_t i = 0; i < 8; ++i) {
    requests.push_back(Stream(800, absl::StrCat("chapter ", i)));
    readers.push_back(std::make_unique<StreamReader>(
        fleet_->EntryAddress(i % 2), requests.back()));
    readers.back()->Poll();
  }
  std::mt19937 random(20261203);
  for (int round = 0; round < 3; ++round) {
    for (const auto& reader : readers) {
      reader->Poll();
    }
    const size_t killed = random() % 3;
    fleet_->side(killed).side->Kill();
    const size_t cut = (killed + 1) % 3;
    ASSERT_TRUE(
        Fleet::SetFaults(*fleet_->side(cut).proxy, {{"cut", true}}).ok());
    ASSERT_TRUE(fleet_->RestartSide(killed).ok());
  }
  for (size_t i = 0; i < readers.size(); ++i) {
    SCOPED_TRACE(i);
    ExpectWhole(*readers[i], requests[i]);
  }
}

}  // namespace
}  // namespace jackdawshunt::testing
