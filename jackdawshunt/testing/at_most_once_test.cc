// Calls that may not be repeated run at most once, and "not run" is true, under
// kills, restarts, outages and lost answers. The service's own count judges.
#include <gtest/gtest.h>

#include <atomic>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "jackdawshunt/testing/fleet.h"

namespace jackdawshunt::testing {
namespace {

using nlohmann::json;
using std::chrono::seconds;

constexpr size_t kService = 0;  // Index of the side of the only upstream.

// The answer to one call as the caller saw it.
struct Answer {
  int status = 0;  // 0: the connection broke.
  std::string body;

  json Error() const {
    const json parsed = json::parse(body, nullptr, false);
    return parsed.is_object() && parsed.contains("error") ? parsed["error"]
                                                          : json::object();
  }
  std::string kind() const { return Error().value("kind", std::string()); }
  std::string ran() const { return Error().value("ran", std::string()); }
};

class AtMostOnceTest : public ::testing::Test {
 protected:
  void StartFleet(std::vector<std::string> service_arguments = {},
                  int entries = 2) {
    auto fleet = FleetBuilder()
                     .Entries(entries)
                     .Engines(0)
                     .Service("holds", std::move(service_arguments))
                     .Workspace("lodge", 1)
                     .EntrySettings({{"drain_lag_ms", 0}})
                     .Start();
    ASSERT_TRUE(fleet.ok()) << fleet.status();
    fleet_ = *std::move(fleet);
  }

  Answer Hold(size_t entry, const std::string& body, const std::string& key) {
    http::Request request =
        fleet_->ServiceRequest("lodge", "holds", "/hold", body);
    if (!key.empty()) {
      request.headers.emplace_back("Idempotency-Key", key);
    }
    const auto response = Fetch(fleet_->EntryAddress(entry), request);
    return response.ok() ? Answer{response->status, response->body} : Answer{};
  }

  // Times that the service ran a call with this body.
  int RunsOf(const std::string& body) {
    const auto calls =
        Fleet::Admin(*fleet_->side(kService).upstream, "/admin/calls");
    EXPECT_TRUE(calls.ok()) << calls.status();
    return calls.ok() ? (*calls)["by_body"].value(body, 0) : -1;
  }

  std::unique_ptr<Fleet> fleet_;
};

TEST_F(AtMostOnceTest, SameKeyThroughTwoEntriesAtOnce) {
  StartFleet({"--delay-ms", "100"});
  for (int round = 0; round < 5; ++round) {
    const std::string body = absl::StrCat("room ", round);
    std::vector<std::thread> callers;
    std::atomic<int> answered = 0;
    for (size_t i = 0; i < 6; ++i) {
      callers.emplace_back([this, i, round, &body, &answered] {
        const Answer answer = Hold(i % 2, body, absl::StrCat("key-", round));
        answered += answer.status == 200 ? 1 : 0;
        EXPECT_TRUE(answer.status == 200 ||
                    answer.kind() == "duplicate_request")
            << answer.status << answer.body;
      });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    EXPECT_GE(answered, 1);
    EXPECT_EQ(RunsOf(body), 1);
    // A later call gets the recorded answer of the only run.
    const bool replayed = PollUntil([&] {
      return Hold(1, body, absl::StrCat("key-", round)).status == 200;
    });
    EXPECT_TRUE(replayed);
    EXPECT_EQ(RunsOf(body), 1);
  }
}

TEST_F(AtMostOnceTest, KeyWithAnotherBodyIsRejected) {
  StartFleet();
  EXPECT_EQ(Hold(0, "room 1", "key").status, 200);
  EXPECT_EQ(Hold(1, "room 2", "key").kind(), "key_reused");
  EXPECT_EQ(RunsOf("room 2"), 0);
}

// Guards against a second run after the side was replaced during the first.
TEST_F(AtMostOnceTest, SideReplacedDuringTheRun) {
  StartFleet({"--delay-ms", "1500"});
  Answer first;
  std::thread caller([&] { first = Hold(0, "room", "key"); });
  ASSERT_TRUE(PollUntil([&] { return RunsOf("room") == 1; }));
  fleet_->side(kService).side->Kill();
  ASSERT_TRUE(fleet_->RestartSide(kService).ok());
  caller.join();
  EXPECT_EQ(first.kind(), "outcome_unknown") << first.body;
  EXPECT_EQ(first.ran(), "unknown");
  const Answer second = Hold(1, "room", "key");
  EXPECT_NE(second.status, 200);
  EXPECT_NE(second.ran(), "no");
  EXPECT_EQ(RunsOf("room"), 1);
}

// Guards against a second run after the entry that held the claim has died.
TEST_F(AtMostOnceTest, EntryKilledDuringTheRun) {
  StartFleet({"--delay-ms", "500"});
  Answer first;
  std::thread caller([&] { first = Hold(0, "room", "key"); });
  ASSERT_TRUE(PollUntil([&] { return RunsOf("room") == 1; }));
  fleet_->entry(0).Kill();
  caller.join();
  EXPECT_EQ(first.status, 0);
  EXPECT_EQ(Hold(1, "room", "key").kind(), "duplicate_request");
  ASSERT_TRUE(fleet_->RestartEntry(0).ok());
  EXPECT_EQ(Hold(0, "room", "key").kind(), "duplicate_request");
  EXPECT_EQ(RunsOf("room"), 1);
}

TEST_F(AtMostOnceTest, PlatformOutageIsAnsweredNotRunWithARetryTime) {
  StartFleet();
  ASSERT_TRUE(Fleet::SetFaults(fleet_->platform(), {{"outage", true}}).ok());
  const Answer refused = Hold(0, "room", "key");
  EXPECT_EQ(refused.kind(), "platform_unavailable") << refused.body;
  EXPECT_EQ(refused.ran(), "no");
  EXPECT_EQ(RunsOf("room"), 0);
  ASSERT_TRUE(Fleet::SetFaults(fleet_->platform(), {{"outage", false}}).ok());
  EXPECT_TRUE(PollUntil([&] { return Hold(1, "room", "key").status == 200; }));
  EXPECT_EQ(RunsOf("room"), 1);
}

TEST_F(AtMostOnceTest, LostWriteAnswersAreSettled) {
  StartFleet();
  for (int round = 0; round < 5; ++round) {
    const std::string body = absl::StrCat("room ", round);
    ASSERT_TRUE(
        Fleet::SetFaults(fleet_->platform(), {{"lose_answers", 1}}).ok());
    EXPECT_EQ(Hold(0, body, body).status, 200);
    EXPECT_EQ(RunsOf(body), 1);
  }
}

// History check: random kills, pauses and lost answers while callers repeat
// their calls. Every body runs at most once per key, and a body whose answers
// all said "not run" did not run.
TEST_F(AtMostOnceTest, RandomFaults) {
  StartFleet({"--delay-ms", "20"});
  std::mutex mutex;
  std::map<std::string, std::vector<Answer>> history;
  std::atomic<bool> stop = false;
  std::vector<std::thread> callers;
  for (size_t caller = 0; caller < 4; ++caller) {
    callers.emplace_back([&, caller] {
      for (int i = 0; !stop; ++i) {
        const std::string body = absl::StrCat("room ", caller, "-", i / 2);
        // Every call is made twice, through both entries; half of the callers
        // send no key, so that each of their calls is a new one.
        const bool has_key = caller % 2 == 0;
        const std::string text = has_key ? body : absl::StrCat(body, "/", i);
        const Answer answer = Hold((caller + i) % 2, text, has_key ? body : "");
        const std::scoped_lock lock(mutex);
        history[text].push_back(answer);
      }
    });
  }
  std::mt19937 random(20261203);
  for (int fault = 0; fault < 8; ++fault) {
    std::this_thread::yield();
    Process& side = *fleet_->side(kService).side;
    switch (random() % 4) {
      case 0:
        side.Kill();
        EXPECT_TRUE(fleet_->RestartSide(kService).ok());
        break;
      case 1:
        side.Pause();
        PollUntil([] { return false; }, std::chrono::milliseconds(2500));
        side.Continue();
        break;
      case 2:
        EXPECT_TRUE(
            Fleet::SetFaults(fleet_->platform(), {{"lose_answers", 3}}).ok());
        break;
      default:
        EXPECT_TRUE(Fleet::SetFaults(*fleet_->side(kService).upstream,
                                     {{"close_before_answer", 2}})
                        .ok());
    }
    PollUntil([] { return false; }, std::chrono::milliseconds(300));
  }
  stop = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  int answered = 0;
  int not_run = 0;
  int unknown = 0;
  for (const auto& [body, answers] : history) {
    const int runs = RunsOf(body);
    EXPECT_LE(runs, 1) << body;
    bool all_not_run = true;
    for (const Answer& answer : answers) {
      answered += answer.status == 200 ? 1 : 0;
      not_run += answer.ran() == "no" ? 1 : 0;
      unknown += answer.ran() == "unknown" ? 1 : 0;
      all_not_run = all_not_run && answer.ran() == "no";
      if (answer.status == 200) {
        EXPECT_EQ(runs, 1) << body;
      }
    }
    if (all_not_run) {
      EXPECT_EQ(runs, 0) << body;
    }
  }
  RecordProperty("answered", answered);
  std::printf("calls %zu, answered %d, not run %d, unknown %d\n",
              history.size(), answered, not_run, unknown);
  EXPECT_GT(answered, 0);
}

}  // namespace
}  // namespace jackdawshunt::testing
