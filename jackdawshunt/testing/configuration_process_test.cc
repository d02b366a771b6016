// An accepted configuration change is in force everywhere within seconds and
// never reverts: real processes under outages, pauses, restarts and conflicting
// operators.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <chrono>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "jackdawshunt/testing/fleet.h"
#include "jackdawshunt/testing/http_helper.h"
#include "jackdawshunt/testing/member.h"

namespace jackdawshunt::testing {
namespace {

using nlohmann::json;
using ::testing::HasSubstr;

constexpr char kKey[] = "config/workspace/lodge";
// The design's limit for a change to be in force everywhere.
constexpr std::chrono::seconds kPropagationLimit{14};

class ConfigurationProcessTest : public ::testing::Test {
 protected:
  void StartFleet(int entries) {
    auto fleet = FleetBuilder()
                     .Entries(entries)
                     .Workspace("lodge", 1)
                     .Workspace("works", 1)
                     .Start();
    ASSERT_TRUE(fleet.ok()) << fleet.status();
    fleet_ = *std::move(fleet);
  }

  uint64_t StoredVersion(const std::string& key = kKey) {
    const auto object = FetchJson(fleet_->PlatformAddress(),
                                  {.path = absl::StrCat("/objects/", key)});
    EXPECT_TRUE(object.ok()) << object.status();
    return object.ok() ? (*object)["version"].get<uint64_t>() : 0;
  }

  // Writes a new share and returns the version.
  uint64_t Change(double share) {
    EXPECT_TRUE(fleet_->PutWorkspace("lodge", share).ok());
    return StoredVersion();
  }

  static bool Holds(const http::Address& address, uint64_t version) {
    return VersionAt(address, kKey) >= version;
  }

  // Returns once entry `i` has, or has not, a connection to the instance.
  bool WaitForPeer(size_t i, const std::string& instance, bool is_up) {
    return PollUntil([&] {
      const auto status = ReadStatus(fleet_->EntryOperatorAddress(i));
      if (!status.has_value()) {
        return false;
      }
      for (const json& peer : (*status)["peers"]) {
        if (peer["instance"] == instance) {
          return is_up;
        }
      }
      return !is_up;
    });
  }

  int CallStatus(size_t entry, const std::string& workspace) {
    const auto response =
        Fetch(fleet_->EntryAddress(entry),
              fleet_->ChatRequest(workspace, "hello", {{"max_tokens", 2}}));
    return response.ok() ? response->status : 0;
  }

  std::string WriteRecordFile(const std::string& name, const json& spec) {
    std::string path = absl::StrCat(folder_.path(), "/", name);
    std::ofstream(path) << json{
        {"kind", "policy"},
        {"schema", 1},
        {"name", "fleet"},
        {"spec", spec}}.dump();
    return path;
  }

  CommandResult Apply(const std::string& name,
                      const std::string& file,
                      std::vector<std::string> arguments) {
    std::vector<std::string> command = {"apply",
                                        "--platform",
                                        fleet_->PlatformAddress().ToString(),
                                        "--operator-token",
                                        std::string(kOperatorToken),
                                        file};
    command.insert(command.end(), arguments.begin(), arguments.end());
    return RunMain(folder_.path(), name, command);
  }

  TemporaryFolder folder_;
  std::unique_ptr<Fleet> fleet_;
};

// Guards against a data centre that keeps old records because both of its
// watchers lost the platform, silently and for good.
TEST_F(ConfigurationProcessTest, DataCentreWithoutPlatformLearnsFromPeers) {
  StartFleet(2);
  auto proxy =
      Process::Start({.command = {StandInsBinary(), "proxy", "--target",
                                  fleet_->PlatformAddress().ToString()},
                      .folder = folder_.path(),
                      .name = "proxy-platform"});
  ASSERT_TRUE(proxy.ok()) << proxy.status();
  std::vector<std::unique_ptr<Process>> others;
  for (const char* name : {"north-0", "north-1", "north-2"}) {
    auto entry =
        StartMember(*fleet_, folder_.path(),
                    {.instance = name,
                     .data_centre = "test-b",
                     .platform = {"127.0.0.1", (*proxy)->Port("port")}});
    ASSERT_TRUE(entry.ok()) << entry.status();
    others.push_back(*std::move(entry));
    ASSERT_TRUE(PollUntil(
        [&] { return fleet_->IsReady(OperatorAddress(*others.back())); }));
    ASSERT_TRUE(WaitForPeer(0, name, true));
  }
  ASSERT_TRUE(Fleet::SetFaults(**proxy, {{"blackhole_to_target", true},
                                         {"blackhole_to_client", true}})
                  .ok());
  for (int change = 0; change < 3; ++change) {
    const uint64_t version = Change(2 + change);
    for (const auto& entry : others) {
      EXPECT_TRUE(
          PollUntil([&] { return Holds(OperatorAddress(*entry), version); },
                    kPropagationLimit))
          << entry->name() << ": " << entry->Log();
    }
  }
}

// Guards against a process that starts to serve with records older than those
// that the fleet already had in force.
TEST_F(ConfigurationProcessTest,
       EntryRestartedInAnOutageIsReadyOnlyWithNewest) {
  StartFleet(1);
  const MemberOptions options{.instance = "entry-9"};
  auto entry = StartMember(*fleet_, folder_.path(), options);
  ASSERT_TRUE(entry.ok()) << entry.status();
  ASSERT_TRUE(
      PollUntil([&] { return fleet_->IsReady(OperatorAddress(**entry)); }));
  ASSERT_TRUE(WaitForPeer(0, "entry-9", true));
  const uint64_t version = Change(5);
  ASSERT_TRUE(PollUntil(
      [&] { return Holds(fleet_->EntryOperatorAddress(0), version); }));
  ASSERT_TRUE(Fleet::SetFaults(fleet_->platform(), {{"outage", true}}).ok());
  fleet_->entry(0).Pause();
  const http::Address process_address{"127.0.0.1", (*entry)->Port("process")};
  entry->reset();

  // The replacement has the address that the list had for it.
  MemberOptions again = options;
  again.settings = {{"process", process_address.ToString()}};
  entry = StartMember(*fleet_, folder_.path(), again);
  ASSERT_TRUE(entry.ok()) << entry.status();
  const http::Address operator_address = OperatorAddress(**entry);
  // The log is that of both processes; the first never failed at the platform
  // for long.
  ASSERT_TRUE(PollUntil([&] {
    return absl::StrContains((*entry)->Log(), "\"failures\":2");
  })) << (*entry)->Log();
  EXPECT_FALSE(fleet_->IsReady(operator_address));

  fleet_->entry(0).Continue();
  ASSERT_TRUE(PollUntil([&] { return fleet_->IsReady(operator_address); }))
      << (*entry)->Log();
  EXPECT_EQ(VersionAt(operator_address, kKey), version);
  // It reaches the sides with its peer's copy of the instance list.
  const auto reply = Fetch({"127.0.0.1", (*entry)->Port("caller")},
                           fleet_->ChatRequest("lodge", "hello", {}));
  ASSERT_TRUE(reply.ok()) << reply.status();
  EXPECT_EQ(reply->status, 200) << reply->body;
}

// Guards against a deleted record that comes back from a process which missed
// its deletion.
TEST_F(ConfigurationProcessTest, DeletedRecordStaysDeleted) {
  StartFleet(3);
  ASSERT_EQ(CallStatus(1, "works"), 200);
  fleet_->entry(1).Pause();
  ASSERT_TRUE(WaitForPeer(0, "entry-1", false));
  ASSERT_TRUE(fleet_->DeleteRecord("workspace", "works").ok());
  ASSERT_TRUE(PollUntil([&] {
    return CallStatus(0, "works") == 401 && CallStatus(2, "works") == 401;
  }));
  // With the platform down, the stale process has only its peers to learn from,
  // and they could learn from it.
  ASSERT_TRUE(Fleet::SetFaults(fleet_->platform(), {{"outage", true}}).ok());
  fleet_->entry(1).Continue();
  EXPECT_TRUE(PollUntil([&] { return CallStatus(1, "works") == 401; },
                        kPropagationLimit));
  ASSERT_TRUE(Fleet::SetFaults(fleet_->platform(), {{"outage", false}}).ok());
  const uint64_t version = Change(3);
  for (const http::Address& address : AllOperatorAddresses(*fleet_)) {
    ASSERT_TRUE(PollUntil([&] { return Holds(address, version); }));
  }
  for (size_t i = 0; i < 3; ++i) {
    EXPECT_EQ(CallStatus(i, "works"), 401) << i;
    EXPECT_EQ(CallStatus(i, "lodge"), 200) << i;
  }
}

// Guards against two operators who each believe that their change is in force.
TEST_F(ConfigurationProcessTest, OneOfTwoRacingOperatorsWins) {
  StartFleet(1);
  uint64_t base = 0;
  for (int round = 0; round < 5; ++round) {
    std::array<CommandResult, 2> results;
    std::vector<std::thread> operators;
    for (size_t i = 0; i < results.size(); ++i) {
      const std::string file =
          WriteRecordFile(absl::StrCat("policy-", i, ".json"),
                          {{"max_waiting", 100 + 10 * round + i}});
      operators.emplace_back([this, i, file, base, &results] {
        results[i] = Apply(absl::StrCat("apply-", i), file,
                           {"--expect", std::to_string(base)});
      });
    }
    for (std::thread& thread : operators) {
      thread.join();
    }
    const size_t winner = results[0].exit_code == 0 ? 0 : 1;
    EXPECT_EQ(results[winner].exit_code, 0) << results[winner].output;
    const CommandResult& loser = results[1 - winner];
    EXPECT_EQ(loser.exit_code, 3) << loser.output;
    const uint64_t stored = StoredVersion("config/policy/fleet");
    EXPECT_THAT(loser.output, HasSubstr(absl::StrCat(100 + 10 * round)));
    EXPECT_THAT(loser.output, HasSubstr(absl::StrCat(101 + 10 * round)));
    EXPECT_THAT(loser.output, HasSubstr(absl::StrCat("version ", stored)));
    EXPECT_THAT(results[winner].output,
                HasSubstr(absl::StrCat("version ", stored)));
    base = stored;
  }
}

// Guards against an invalid record that takes a workspace out of service, also
// at processes that start after it was written.
TEST_F(ConfigurationProcessTest, InvalidRecordLeavesTheLastValidOneInForce) {
  StartFleet(2);
  const uint64_t valid = StoredVersion();
  ASSERT_TRUE(fleet_->PutWorkspace("lodge", -1).ok());
  const uint64_t invalid = StoredVersion();
  const auto is_reported = [&](const http::Address& address) {
    const auto status = ReadStatus(address);
    for (const json& row :
         status.has_value() ? (*status)["rejected"] : json::array()) {
      if (row["key"] == kKey && row["version"] == invalid) {
        return row["version_in_force"] == valid &&
               absl::StrContains(row["fault"].get<std::string>(),
                                 "/spec/share");
      }
    }
    return false;
  };
  const auto expect_reported_everywhere = [&] {
    for (const http::Address& address : AllOperatorAddresses(*fleet_)) {
      EXPECT_TRUE(PollUntil([&] { return is_reported(address); }))
          << ReadStatus(address).value_or(json()).dump();
    }
    EXPECT_EQ(CallStatus(0, "lodge"), 200);
    EXPECT_EQ(CallStatus(1, "lodge"), 200);
  };
  expect_reported_everywhere();
  ASSERT_TRUE(fleet_->RestartEntry(1).ok());
  ASSERT_TRUE(fleet_->RestartSide(0).ok());
  expect_reported_everywhere();
}

// Guards against `apply --wait` that returns while a process has old records.
TEST_F(ConfigurationProcessTest, ApplyWaitsForEveryProcess) {
  StartFleet(2);
  const std::string first = WriteRecordFile("first.json", {{"max_waiting", 7}});
  const std::string second =
      WriteRecordFile("second.json", {{"max_waiting", 8}});
  Process& side = *fleet_->side(0).side;
  side.Pause();
  const CommandResult late = Apply("late", first, {"--wait", "3"});
  EXPECT_EQ(late.exit_code, 4) << late.output;
  EXPECT_THAT(late.output, HasSubstr("side-engine-0"));

  std::atomic<bool> is_done = false;
  CommandResult result;
  std::thread apply([&] {
    result = Apply("waiting", second, {"--wait", "60"});
    is_done = true;
  });
  const uint64_t old = StoredVersion("config/policy/fleet");
  EXPECT_TRUE(PollUntil([&] {
    return VersionAt(fleet_->EntryOperatorAddress(0), "config/policy/fleet") >
               old &&
           VersionAt(fleet_->EntryOperatorAddress(1), "config/policy/fleet") >
               old;
  }));
  EXPECT_FALSE(is_done);
  side.Continue();
  apply.join();
  EXPECT_EQ(result.exit_code, 0) << result.output;
  EXPECT_THAT(result.output, HasSubstr("in force at 3 instances"));
  const uint64_t stored = StoredVersion("config/policy/fleet");
  for (const http::Address& address : AllOperatorAddresses(*fleet_)) {
    EXPECT_EQ(VersionAt(address, "config/policy/fleet"), stored);
  }
}

}  // namespace
}  // namespace jackdawshunt::testing
