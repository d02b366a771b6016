// An upstream that is leaving gets no new work after a few seconds, a graceful
// shutdown cuts no request, and of two sides of one upstream only the holder of
// the lease gives orders: real processes under load.
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "jackdawshunt/testing/fleet.h"
#include "jackdawshunt/testing/http_helper.h"
#include "jackdawshunt/testing/member.h"
#include "jackdawshunt/testing/stand_ins/engine.h"
#include "jackdawshunt/testing/stream_check.h"

namespace jackdawshunt::testing {
namespace {

using nlohmann::json;

// An upstream that is leaving gets nothing new after this time.
constexpr int64_t kLeavingLimitMs = 3000;

int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Callers that stream one answer after the other through the entries, each
// checked against the engine's own answer.
class Callers {
 public:
  Callers(Fleet& fleet, std::vector<size_t> entries, int count, int tokens)
      : fleet_(fleet), entries_(std::move(entries)), tokens_(tokens) {
    for (int i = 0; i < count; ++i) {
      threads_.emplace_back([this, i] { Run(i); });
    }
  }
  ~Callers() { Stop(); }

  void Stop() {
    stop_ = true;
    for (std::thread& thread : threads_) {
      if (thread.joinable()) {
        thread.join();
      }
    }
  }

  int whole() const { return whole_; }
  int turned_away() const { return turned_away_; }
  std::vector<std::string> Faults() {
    const std::scoped_lock lock(mutex_);
    return faults_;
  }

 private:
  void Run(int caller) {
    for (int i = 0; !stop_; ++i) {
      const http::Request request =
          fleet_.ChatRequest("lodge",
                             absl::StrCat("caller ", caller, " call ", i,
                                          " [[tokens=", tokens_, "]]"),
                             {{"stream", true}, {"max_tokens", tokens_}});
      const size_t entry = entries_[(caller + i) % entries_.size()];
      StreamReader reader(fleet_.EntryAddress(entry), request);
      const bool has_ended = reader.ReadToEnd();
      if (has_ended && IsComplete(reader)) {
        if (JoinContent(ParseEvents(reader.body())) == Expected(request)) {
          ++whole_;
          continue;
        }
      }
      if (has_ended && IsTurnedAway(reader)) {
        // A caller goes on at another entry.
        ++turned_away_;
        PollUntil([&] { return stop_.load(); }, std::chrono::milliseconds(20));
        continue;
      }
      const std::scoped_lock lock(mutex_);
      faults_.push_back(absl::StrCat(
          "entry ", entry, ", HTTP ", reader.head().status, ", ",
          reader.end().has_value() ? reader.end()->ToString() : "no end", ": ",
          reader.body().substr(reader.body().size() -
                               std::min<size_t>(300, reader.body().size()))));
    }
  }

  // The engine's answer, computed without asking it: its own start history then
  // holds only what the fleet sent.
  static std::string Expected(const http::Request& request) {
    const json body = json::parse(request.body);
    const AnswerText answer(kModel, body["messages"]);
    std::string text;
    for (int64_t i = 0; i < answer.Length(body["max_tokens"]); ++i) {
      text += answer.Token(i);
    }
    return text;
  }

  // Nothing was taken: no connection, or an answer that says so.
  static bool IsTurnedAway(const StreamReader& reader) {
    const bool is_refused =
        reader.body().empty() && absl::IsUnavailable(*reader.end());
    return is_refused || (reader.head().status == 503 &&
                          absl::StrContains(reader.body(), "\"draining\""));
  }

  Fleet& fleet_;
  const std::vector<size_t> entries_;
  const int tokens_;
  std::atomic<bool> stop_ = false;
  std::atomic<int> whole_ = 0;
  std::atomic<int> turned_away_ = 0;
  std::mutex mutex_;
  std::vector<std::string> faults_;
  std::vector<std::thread> threads_;
};

class LeavingTest : public ::testing::Test {
 protected:
  void StartFleet(FleetBuilder builder) {
    auto fleet = builder.Workspace("lodge", 1).Start();
    ASSERT_TRUE(fleet.ok()) << fleet.status();
    fleet_ = *std::move(fleet);
  }

  // Starts that the engine itself noted; absent once it has exited.
  std::optional<json> HistoryOf(size_t engine) {
    const auto stats =
        Fleet::Admin(*fleet_->side(engine).upstream, "/admin/stats");
    return stats.ok() ? std::optional((*stats)["history"]) : std::nullopt;
  }

  size_t StartsOf(size_t engine) {
    const auto history = HistoryOf(engine);
    return history.has_value() ? history->size() : 0;
  }

  // Milliseconds from `since` to the last start; negative: before it.
  static int64_t LastStart(const json& history, int64_t since) {
    int64_t last = INT64_MIN;
    for (const json& row : history) {
      last = std::max(last, row["unix_ms"].get<int64_t>() - since);
    }
    return last;
  }

  void ExpectNoFaults(Callers& callers) {
    for (const std::string& fault : callers.Faults()) {
      ADD_FAILURE() << fault;
    }
    EXPECT_GT(callers.whole(), 0);
  }

  int RunsOf(size_t service, const std::string& body) {
    const auto calls =
        Fleet::Admin(*fleet_->side(service).upstream, "/admin/calls");
    return calls.ok() ? (*calls)["by_body"].value(body, 0) : -1;
  }

  TemporaryFolder folder_;
  std::unique_ptr<Fleet> fleet_;
};

// Guards against work that reaches a leaving engine because the instance list
// shows late that it leaves.
TEST_F(LeavingTest, DrainingEngineGetsNothingNewWhileTheListLags) {
  StartFleet(FleetBuilder()
                 .Entries(2)
                 .Engines(2, {"--load-lag-ms", "1000"})
                 .PlatformArguments({"--list-lag-ms", "10000"}));
  Callers callers(*fleet_, {0, 1}, 12, 40);
  ASSERT_TRUE(PollUntil([&] { return StartsOf(0) > 20 && StartsOf(1) > 20; }));
  const int64_t left_at = UnixMs();
  fleet_->side(0).upstream->Terminate();
  ASSERT_TRUE(fleet_->RemoveInstance(fleet_->side(0).instance).ok());
  // The engine exits after three seconds without work; what it last said of
  // itself counts.
  json history = json::array();
  ASSERT_TRUE(PollUntil([&] {
    auto current = HistoryOf(0);
    if (current.has_value()) {
      history = *std::move(current);
    }
    return !fleet_->side(0).upstream->is_running();
  }));
  const int whole = callers.whole();
  ASSERT_TRUE(PollUntil([&] { return callers.whole() > whole + 50; }));
  callers.Stop();
  ExpectNoFaults(callers);
  const int64_t last = LastStart(history, left_at);
  std::printf("last start %lld ms after SIGTERM, %zu starts, %d whole\n",
              static_cast<long long>(last), history.size(), callers.whole());
  EXPECT_LE(last, kLeavingLimitMs);
}

// Guards against a draining engine that goes unnoticed because its load reports
// take longer than the period at which they are asked for.
TEST_F(LeavingTest, DrainingEngineBehindASlowPathGetsNothingNew) {
  StartFleet(FleetBuilder().Entries(1).Engines(1, {"--model", "writer"}));
  auto proxy =
      Process::Start({.command = {StandInsBinary(), "proxy", "--target",
                                  fleet_->UpstreamAddress(0).ToString()},
                      .folder = folder_.path(),
                      .name = "proxy-engine"});
  ASSERT_TRUE(proxy.ok()) << proxy.status();
  ASSERT_TRUE(Fleet::SetFaults(**proxy, {{"delay_ms", 200}}).ok());
  fleet_->side(0).side->Kill();
  auto side =
      StartMember(*fleet_, folder_.path(),
                  {.instance = fleet_->side(0).instance,
                   .upstream = fleet_->side(0).name,
                   .upstream_address = {"127.0.0.1", (*proxy)->Port("port")}});
  ASSERT_TRUE(side.ok()) << side.status();
  Callers callers(*fleet_, {0}, 4, 10);
  ASSERT_TRUE(PollUntil([&] { return StartsOf(0) > 10; }));
  const int64_t left_at = UnixMs();
  fleet_->side(0).upstream->Terminate();
  ASSERT_TRUE(PollUntil(
      [&] {
        const auto status = ReadStatus(OperatorAddress(**side));
        return status.has_value() && (*status)["draining"] == true;
      },
      std::chrono::seconds(10)));
  EXPECT_LE(UnixMs() - left_at, kLeavingLimitMs);
  callers.Stop();
}

// Guards against work that reaches an upstream whose record says that it is
// leaving.
TEST_F(LeavingTest, UpstreamWhoseRecordIsLeavingGetsNothingNew) {
  StartFleet(FleetBuilder().Entries(2).Engines(2));
  Callers callers(*fleet_, {0, 1}, 12, 40);
  ASSERT_TRUE(PollUntil([&] { return StartsOf(0) > 20 && StartsOf(1) > 20; }));
  const int64_t left_at = UnixMs();
  ASSERT_TRUE(fleet_
                  ->PutRecord("upstream", fleet_->side(0).name,
                              {{"driver", "engine"},
                               {"models", json::array({kModel})},
                               {"slots", 4},
                               {"state", "leaving"}})
                  .ok());
  // Load goes on past the limit.
  ASSERT_TRUE(
      PollUntil([&] { return UnixMs() > left_at + 2 * kLeavingLimitMs; }));
  callers.Stop();
  ExpectNoFaults(callers);
  const auto history = HistoryOf(0);
  ASSERT_TRUE(history.has_value());
  const int64_t last = LastStart(*history, left_at);
  std::printf("last start %lld ms after the write, %zu starts, %d whole\n",
              static_cast<long long>(last), history->size(), callers.whole());
  EXPECT_LE(last, kLeavingLimitMs);
}

// Guards against a restart of an entry that cuts streams or calls.
TEST_F(LeavingTest, EntryTerminatedUnderLoadCutsNoRequest) {
  StartFleet(FleetBuilder().Entries(2).Engines(2).Service(
      "holds", {"--delay-ms", "3000"}));
  Callers callers(*fleet_, {0, 1}, 12, 300);
  ASSERT_TRUE(PollUntil([&] { return StartsOf(0) + StartsOf(1) > 20; }));
  const http::Request hold =
      fleet_->ServiceRequest("lodge", "holds", "/hold", "room");
  absl::StatusOr<http::Response> answer;
  std::thread holder([&] { answer = Fetch(fleet_->EntryAddress(0), hold); });
  ASSERT_TRUE(PollUntil([&] { return RunsOf(2, "room") == 1; }));
  fleet_->entry(0).Terminate();
  const std::optional<int> code = fleet_->entry(0).WaitForExit();
  holder.join();
  callers.Stop();
  EXPECT_EQ(code, 0) << fleet_->entry(0).Log();
  ASSERT_TRUE(answer.ok()) << answer.status();
  EXPECT_EQ(answer->status, 200) << answer->body;
  EXPECT_EQ(RunsOf(2, "room"), 1);
  ExpectNoFaults(callers);
  std::printf("%d whole, %d turned away\n", callers.whole(),
              callers.turned_away());
}

// Guards against a restart of a side that cuts streams or calls.
TEST_F(LeavingTest, SideTerminatedUnderLoadCutsNoRequest) {
  StartFleet(FleetBuilder().Entries(2).Engines(2).Service(
      "holds", {"--delay-ms", "3000"}));
  Callers callers(*fleet_, {0, 1}, 12, 300);
  ASSERT_TRUE(PollUntil([&] { return StartsOf(0) > 5 && StartsOf(1) > 5; }));
  const http::Request hold =
      fleet_->ServiceRequest("lodge", "holds", "/hold", "room");
  absl::StatusOr<http::Response> answer;
  std::thread holder([&] { answer = Fetch(fleet_->EntryAddress(1), hold); });
  ASSERT_TRUE(PollUntil([&] { return RunsOf(2, "room") == 1; }));
  fleet_->side(0).side->Terminate();
  fleet_->side(2).side->Terminate();
  const std::optional<int> engine_side = fleet_->side(0).side->WaitForExit();
  const std::optional<int> service_side = fleet_->side(2).side->WaitForExit();
  holder.join();
  const int whole = callers.whole();
  ASSERT_TRUE(PollUntil([&] { return callers.whole() > whole + 5; }));
  callers.Stop();
  EXPECT_EQ(engine_side, 0) << fleet_->side(0).side->Log();
  EXPECT_EQ(service_side, 0) << fleet_->side(2).side->Log();
  ASSERT_TRUE(answer.ok()) << answer.status();
  EXPECT_EQ(answer->status, 200) << answer->body;
  EXPECT_EQ(RunsOf(2, "room"), 1);
  ExpectNoFaults(callers);
  // A stream that was moved to the other engine would show as resumed.
  for (size_t engine = 0; engine < 2; ++engine) {
    for (const json& row : HistoryOf(engine).value_or(json::array())) {
      EXPECT_EQ(row["resume_tokens"], 0) << row;
    }
  }
  std::printf("%d whole, %d turned away\n", callers.whole(),
              callers.turned_away());
}

// Orders to an engine, as it noted them itself.
class OrderingTest : public LeavingTest {
 protected:
  json OrdersTaken() {
    const auto stats = Fleet::Admin(*fleet_->side(0).upstream, "/admin/stats");
    return stats.ok() ? (*stats)["orders"] : json::array();
  }
};

// Guards against orders for models that are loaded, which would go on for ever,
// and against none for those that are not.
TEST_F(OrderingTest, OnlyModelsThatAreNotLoadedAreOrdered) {
  StartFleet(FleetBuilder().Engines(1));
  // The engine starts without models.
  ASSERT_TRUE(PollUntil([&] { return !OrdersTaken().empty(); }));
  const json orders = OrdersTaken();
  EXPECT_EQ(orders[0]["model"], kModel);
  EXPECT_EQ(orders[0]["version"], "v1");
  // A further order would follow within a few load reports and the pause of two
  // seconds between orders; the lease is given up once nothing is due.
  const auto lease = [&]() -> std::string {
    const auto object = FetchJson(
        fleet_->PlatformAddress(),
        {.path = absl::StrCat("/objects/leases/", fleet_->side(0).name)});
    return object.ok() ? (*object)["value"].get<std::string>() : "";
  };
  EXPECT_TRUE(
      PollUntil([&] { return absl::StrContains(lease(), R"("holder":"")"); },
                std::chrono::seconds(20)))
      << lease();
  EXPECT_EQ(OrdersTaken().size(), 1U);

  // An engine that has its model gets no order.
  StartFleet(FleetBuilder().Engines(1, {"--model", "writer@v1"}));
  const auto reply = Fetch(fleet_->EntryAddress(0),
                           fleet_->ChatRequest("lodge", "hello [[tokens=500]]",
                                               {{"max_tokens", 500}}));
  ASSERT_TRUE(reply.ok()) << reply.status();
  EXPECT_EQ(reply->status, 200) << reply->body;
  EXPECT_EQ(OrdersTaken().size(), 0U);
  EXPECT_EQ(lease(), "");
}

// Guards against orders of a paused holder after its successor's. The first
// side is paused while its order runs; the second takes over when the lease has
// lapsed, 60 s later.
TEST_F(OrderingTest, PausedHolderGivesNoOrderAfterItsSuccessor) {
  StartFleet(FleetBuilder().Engines(
      1, {"--check-fencing", "--model", "writer@v1", "--order-ms", "5000"}));
  ASSERT_TRUE(fleet_
                  ->PutRecord("upstream", fleet_->side(0).name,
                              {{"driver", "engine"},
                               {"models", json::array({kModel})},
                               {"slots", 4},
                               {"checks_fencing", true}})
                  .ok());
  const auto put_default = [&](const std::string& version) {
    EXPECT_TRUE(fleet_
                    ->PutRecord("model", kModel,
                                {{"versions", json::array({"v1", "v2", "v3"})},
                                 {"default_version", version}})
                    .ok());
  };
  put_default("v2");
  Process& old_side = *fleet_->side(0).side;
  ASSERT_TRUE(PollUntil([&] {
    return absl::StrContains(old_side.Log(), "placement_decision");
  })) << old_side.Log();
  old_side.Pause();
  auto new_side = StartMember(*fleet_, folder_.path(),
                              {.instance = "side-new",
                               .upstream = fleet_->side(0).name,
                               .upstream_address = fleet_->UpstreamAddress(0)});
  ASSERT_TRUE(new_side.ok()) << new_side.status();
  put_default("v3");
  // The successor's order is under way, so the model is still due when the
  // paused side goes on.
  ASSERT_TRUE(PollUntil(
      [&] {
        return absl::StrContains((*new_side)->Log(), "placement_decision");
      },
      std::chrono::seconds(150)))
      << (*new_side)->Log();
  old_side.Continue();
  ASSERT_TRUE(PollUntil([&] { return OrdersTaken().size() == 2; }));
  // The paused side has seen that its lease is lost.
  ASSERT_TRUE(PollUntil([&] {
    return absl::StrContains(old_side.Log(), "lease_lost");
  })) << old_side.Log();
  const json orders = OrdersTaken();
  ASSERT_EQ(orders.size(), 2U) << orders;
  EXPECT_EQ(orders[0]["version"], "v2");
  EXPECT_EQ(orders[1]["version"], "v3");
  EXPECT_GT(orders[1]["fencing"], orders[0]["fencing"]);
  // A copy of the old holder's order that was late in the network is refused.
  const auto late = Fetch(fleet_->UpstreamAddress(0),
                          {.method = "POST",
                           .path = "/orders",
                           .headers = {{"Content-Type", "application/json"}},
                           .body = orders[0].dump()});
  ASSERT_TRUE(late.ok()) << late.status();
  EXPECT_EQ(late->status, 409) << late->body;
}

}  // namespace
}  // namespace jackdawshunt::testing
