// A gateway as a real process beside many clients that keep no limits. Its
// memory and its descriptors must stay within those of its machine, and an
// ordinary request must be answered meanwhile and afterwards.
#include <map>
#include <memory>
#include <ostream>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "jackdawshunt/testing/fleet.h"
#include "jackdawshunt/testing/http_helper.h"
#include "jackdawshunt/testing/platform/client_crowd.h"
#include "jackdawshunt/testing/platform/platform_fleet.h"
#include "jackdawshunt/testing/platform/process_watch.h"

namespace jackdawshunt::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kMemoryMb = 64;
constexpr uint32_t kFileDescriptors = 400;
constexpr size_t kBodyLimit = 1048576;    // As in the fleet's configuration.
constexpr size_t kHeaderLimit = 16384;    // As there.
constexpr size_t kAnswerBytes = 4194304;  // Of plain upstreams.
constexpr size_t kCrowd = 160;
// More than the descriptors of the process.
constexpr size_t kLargeCrowd = 700;
constexpr kernel::Duration kCrowdTime = seconds(3);

enum class Port { kCallers, kReadiness, kOperator };

std::string RequestHead(size_t client,
                        const std::string& more,
                        const std::string& key = "key-lodge",
                        const std::string& route = kHold,
                        const std::string& method = "POST") {
  return absl::StrCat(method, " /", route,
                      "/x HTTP/1.1\r\nHost: site.example\r\nRequest-Id: crowd",
                      client, "\r\nDeadline-Milliseconds: 8000\r\n",
                      "Authorization: Token ", key, "\r\n", more);
}

std::string ChunkedHead(size_t client) {
  return RequestHead(client, "Transfer-Encoding: chunked\r\n\r\n");
}

std::string HeadWithLength(size_t client, size_t length) {
  return RequestHead(client,
                     absl::StrCat("Content-Length: ", length, "\r\n\r\n"));
}

std::string Chunk(size_t bytes) {
  return absl::StrCat(absl::Hex(bytes), "\r\n", std::string(bytes, 'b'),
                      "\r\n");
}

// Returns `bytes` in chunks of 1 to 7 bytes.
std::string SmallChunks(size_t bytes) {
  std::string text;
  for (size_t size = 1; bytes > 0; size = size % 7 + 1) {
    const size_t count = std::min(size, bytes);
    text += Chunk(count);
    bytes -= count;
  }
  return text;
}

std::string TinyFields(size_t bytes) {
  std::string text;
  while (text.size() < bytes) {
    text += "a:\r\n";
  }
  return text;
}

struct CrowdCase {
  std::string name;
  Port port = Port::kCallers;
  CrowdOptions crowd;
};

void PrintTo(const CrowdCase& value, std::ostream* out) {
  *out << value.name;
}

std::vector<CrowdCase> Cases() {
  constexpr size_t kChunk = 65536;
  const auto with_length = [](size_t length) {
    return [length](size_t client) { return HeadWithLength(client, length); };
  };
  return {
      {"ChunkedBodiesThatStopShort",
       Port::kCallers,
       {.clients = kCrowd,
        .head = ChunkedHead,
        .piece = Chunk(kChunk),
        .pieces = 14}},
      {"BodiesInSmallChunksThatStopShort",
       Port::kCallers,
       {.clients = kCrowd,
        .head = ChunkedHead,
        .piece = SmallChunks(kChunk),
        .pieces = 8}},
      {"BodiesThatLackOneByte",
       Port::kCallers,
       {.clients = kCrowd,
        .head = with_length(kBodyLimit),
        .piece = std::string(kBodyLimit - 1, 'b'),
        .pieces = 1}},
      {"BodiesThatGoOnByteByByte",
       Port::kCallers,
       {.clients = kCrowd,
        .head = with_length(kBodyLimit),
        .piece = std::string(kBodyLimit - 100, 'b'),
        .pieces = 1,
        .drip = "b"}},
      {"WholeChunkedBodies",
       Port::kCallers,
       {.clients = kCrowd,
        .head = ChunkedHead,
        .piece = Chunk(kChunk),
        .pieces = 15,
        .tail = "0\r\n\r\n"}},
      {"WholeBodiesWithLength",
       Port::kCallers,
       {.clients = kCrowd,
        .head = with_length(kBodyLimit),
        .piece = std::string(kBodyLimit, 'b'),
        .pieces = 1}},
      {"ChunkedBodiesBeyondTheLimit",
       Port::kCallers,
       {.clients = kCrowd,
        .head = ChunkedHead,
        .piece = Chunk(kChunk),
        .pieces = 64}},
      {"AnnouncedBodiesBeyondTheLimit",
       Port::kCallers,
       {.clients = kCrowd,
        .head = with_length(kBodyLimit * 1000),
        .piece = std::string(kBodyLimit, 'b'),
        .pieces = 4}},
      {"BodiesWithUnknownKeysThatStopShort",
       Port::kCallers,
       {.clients = kCrowd,
        .head =
            [](size_t client) {
              return RequestHead(client, "Transfer-Encoding: chunked\r\n\r\n",
                                 "key-of-nobody");
            },
        .piece = Chunk(kChunk),
        .pieces = 14}},
      {"HeadsOfTinyFieldsThatStopShort",
       Port::kCallers,
       {.clients = kLargeCrowd,
        .head =
            [](size_t client) {
              const std::string begin = RequestHead(client, "");
              return begin + TinyFields(kHeaderLimit - begin.size() - 100);
            }}},
      {"HeadsWithoutEnd",
       Port::kCallers,
       {.clients = kCrowd,
        .head = [](size_t client) { return RequestHead(client, ""); },
        .piece = TinyFields(kChunk),
        .pieces = 16}},
      {"TrailersWithoutEnd",
       Port::kCallers,
       {.clients = kCrowd,
        .head =
            [](size_t client) {
              return ChunkedHead(client) + "1\r\nb\r\n0\r\n";
            },
        .piece = TinyFields(kChunk),
        .pieces = 16}},
      {"ChunkExtensionsWithoutEnd",
       Port::kCallers,
       {.clients = kCrowd,
        .head = [](size_t client) { return ChunkedHead(client) + "1;e="; },
        .piece = std::string(kChunk, 'e'),
        .pieces = 16}},
      {"RequestsBehindEachOtherWithoutReading",
       Port::kCallers,
       {.clients = kCrowd,
        .head = [](size_t) { return std::string(); },
        .piece = HeadWithLength(0, 200000) + std::string(200000, 'b'),
        .pieces = 64,
        .reads_answers = false}},
      {"AnswersThatNobodyReads",
       Port::kCallers,
       {.clients = kCrowd,
        .head =
            [](size_t client) {
              return RequestHead(client, "\r\n", "key-lodge", kFetch, "GET");
            },
        .reads_answers = false}},
      {"BodiesToTheReadinessPort",
       Port::kReadiness,
       {.clients = kCrowd,
        .head = with_length(kBodyLimit * 2),
        .piece = std::string(kBodyLimit, 'b'),
        .pieces = 1}},
      {"BodiesToTheOperatorPort",
       Port::kOperator,
       {.clients = kCrowd,
        .head = with_length(kBodyLimit * 2),
        .piece = std::string(kBodyLimit, 'b'),
        .pieces = 1}},
      {"ReadinessChecksThatNobodyReads",
       Port::kReadiness,
       {.clients = kCrowd,
        .piece = "GET /jackdawshunt/readiness HTTP/1.1\r\nHost: x\r\n\r\n",
        .pieces = 20000,
        .reads_answers = false}},
      {"MetricsThatNobodyReads",
       Port::kOperator,
       {.clients = kCrowd,
        .piece = "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n",
        .pieces = 20000,
        .reads_answers = false}},
      {"SilentConnections", Port::kCallers, {.clients = kLargeCrowd}},
      {"ConnectionsWithHalfAHead",
       Port::kCallers,
       {.clients = kLargeCrowd,
        .head = [](size_t client) { return RequestHead(client, ""); }}},
      {"SilentConnectionsToTheReadinessPort",
       Port::kReadiness,
       {.clients = kLargeCrowd}},
      {"SilentConnectionsToTheOperatorPort",
       Port::kOperator,
       {.clients = kLargeCrowd}},
  };
}

class SmallMachineTest : public ::testing::Test {
 protected:
  void Start(const PlatformFleetOptions& options = {
                 .file_descriptors = kFileDescriptors,
                 .memory_mb = kMemoryMb,
                 .plain_answer_bytes = kAnswerBytes}) {
    fleet_ = std::make_unique<PlatformFleet>(options);
    fleet_->Start();
  }
  http::Address AddressOf(Port port) const {
    switch (port) {
      case Port::kCallers:
        return fleet_->gateway_address(0);
      case Port::kReadiness:
        return fleet_->readiness_address(0);
      case Port::kOperator:
        break;
    }
    return fleet_->operator_address(0);
  }
  // Sends an ordinary request again until it is answered with success, as
  // callers do that were refused.
  bool IsOrdinaryCallerServed() {
    for (int i = 0; i < 30; ++i) {
      const auto call = fleet_->Call(0, {.route = kRevise});
      if (!fleet_->Await([&] { return call->is_done(); })) {
        return false;
      }
      if (call->is_complete() && call->status() == 200) {
        return true;
      }
      fleet_->RunFor(milliseconds(200));
    }
    return false;
  }

  // Checks the readiness until it is confirmed. A busy process may say for a
  // time that it is not ready.
  bool IsBalancerServed() {
    for (int i = 0; i < 30; ++i) {
      if (fleet_->IsReady(0)) {
        return true;
      }
      fleet_->RunFor(milliseconds(200));
    }
    return false;
  }

  std::unique_ptr<PlatformFleet> fleet_;
};

class MisbehavingClientsTest : public SmallMachineTest,
                               public ::testing::WithParamInterface<CrowdCase> {
};

TEST_P(MisbehavingClientsTest, ExhaustTheMachine) {
  Start();
  ASSERT_TRUE(IsOrdinaryCallerServed());
  ProcessWatch watch(fleet_->gateway(0).pid(), fleet_->gateway_address(0).ip);
  CrowdOptions options = GetParam().crowd;
  options.address = AddressOf(GetParam().port);
  ClientCrowd crowd(options);
  fleet_->RunFor(kCrowdTime);
  EXPECT_TRUE(IsOrdinaryCallerServed()) << "beside the crowd";
  EXPECT_TRUE(IsBalancerServed()) << "beside the crowd";
  crowd.Leave();
  EXPECT_TRUE(fleet_->gateway(0).is_running());
  EXPECT_TRUE(IsOrdinaryCallerServed()) << "after the crowd";
  const ProcessPeaks peaks = watch.Stop();
  EXPECT_LE(peaks.memory_bytes, uint64_t{kMemoryMb} << 20);
  EXPECT_LE(peaks.descriptors, kFileDescriptors);
  RecordProperty("memory_mb", static_cast<int>(peaks.memory_bytes >> 20));
  RecordProperty("descriptors", static_cast<int>(peaks.descriptors));
  std::string answers;
  for (const auto& [status, count] : crowd.answers()) {
    absl::StrAppend(&answers, " ", status, ":", count);
  }
  std::printf("%s: peak %zu MB, %zu descriptors, answers%s\n",
              GetParam().name.c_str(),
              static_cast<size_t>(peaks.memory_bytes >> 20),
              static_cast<size_t>(peaks.descriptors), answers.c_str());
}

INSTANTIATE_TEST_SUITE_P(Crowds,
                         MisbehavingClientsTest,
                         ::testing::ValuesIn(Cases()),
                         [](const ::testing::TestParamInfo<CrowdCase>& info) {
                           return info.param.name;
                         });

TEST_F(SmallMachineTest, ServesBodiesAtTheLimitInCalm) {
  Start();
  const auto call =
      fleet_->Call(0, {.route = kHold, .body = std::string(kBodyLimit, 'b')});
  ASSERT_TRUE(fleet_->Await([&] { return call->is_done(); }));
  EXPECT_EQ(call->status(), 200);
  ClientCrowd chunked({.clients = 1,
                       .address = fleet_->gateway_address(0),
                       .head = ChunkedHead,
                       .piece = Chunk(kBodyLimit / 16),
                       .pieces = 16,
                       .tail = "0\r\n\r\n"});
  EXPECT_TRUE(fleet_->Await([&] { return !chunked.answers().empty(); }));
  EXPECT_EQ(chunked.answers().count(200), 1u);
}

// Guards against idle connections that keep the memory of their last request,
// which the budget of clients no longer counts. All clients keep the limits.
TEST_F(SmallMachineTest, IdleConnectionsKeepNoMemoryOfTheirRequests) {
  constexpr size_t kBatches = 60;
  constexpr size_t kBatchClients = 10;
  constexpr size_t kParts = 2150;
  Start({.memory_mb = kMemoryMb});
  std::string prompt = "Prompt-Prefix: 1000:1";
  for (size_t i = 1; i < kParts; ++i) {
    absl::StrAppend(&prompt, ",", absl::Hex(0x1000 + i), ":1");
  }
  const auto head = [&](size_t client) {
    return RequestHead(client,
                       absl::StrCat("Model: m\r\nToken-Counts: ", kParts,
                                    ",1\r\n", prompt, "\r\n\r\n"),
                       "key-lodge", kFetch, "GET");
  };
  ASSERT_LT(head(kBatchClients).size(), kHeaderLimit);
  ProcessWatch watch(fleet_->gateway(0).pid(), fleet_->gateway_address(0).ip);
  std::vector<std::unique_ptr<ClientCrowd>> batches;
  for (size_t i = 0; i < kBatches; ++i) {
    batches.push_back(std::make_unique<ClientCrowd>(
        CrowdOptions{.clients = kBatchClients,
                     .address = fleet_->gateway_address(0),
                     .head = head}));
    const std::map<int, size_t> all_served = {{200, kBatchClients}};
    ASSERT_TRUE(
        fleet_->Await([&] { return batches.back()->answers() == all_served; }));
  }
  EXPECT_LE(watch.Stop().memory_bytes, uint64_t{kMemoryMb} << 20);
}

// The smallest machine that is served, with bodies of its configuration's
// limit.
TEST_F(SmallMachineTest, LargeBodiesThatStopShortExhaustTheSmallestMachine) {
  constexpr uint32_t kSmallestMemoryMb = 120;
  constexpr uint32_t kSmallestDescriptors = 3075;
  constexpr size_t kLargeBody = size_t{4} * 1024 * 1024;
  Start({.file_descriptors = kSmallestDescriptors,
         .memory_mb = kSmallestMemoryMb,
         .body_bytes = kLargeBody});
  ProcessWatch watch(fleet_->gateway(0).pid(), fleet_->gateway_address(0).ip);
  ClientCrowd crowd(
      {.clients = kCrowd,
       .address = fleet_->gateway_address(0),
       .head = [](size_t i) { return HeadWithLength(i, kLargeBody); },
       .piece = std::string(kLargeBody - 1, 'b'),
       .pieces = 1});
  fleet_->RunFor(kCrowdTime);
  EXPECT_TRUE(IsOrdinaryCallerServed()) << "beside the crowd";
  crowd.Leave();
  const auto call =
      fleet_->Call(0, {.route = kHold, .body = std::string(kLargeBody, 'b')});
  ASSERT_TRUE(fleet_->Await([&] { return call->is_done(); }));
  EXPECT_EQ(call->status(), 200) << "at the limit, after the crowd";
  const ProcessPeaks peaks = watch.Stop();
  EXPECT_LE(peaks.memory_bytes, uint64_t{kSmallestMemoryMb} << 20);
  EXPECT_LE(peaks.descriptors, kSmallestDescriptors);
  std::printf("peak %zu MB, %zu descriptors\n",
              static_cast<size_t>(peaks.memory_bytes >> 20),
              static_cast<size_t>(peaks.descriptors));
}

// The entry role is to stay within 256 MB.
TEST(EntryTest, BodiesThatStopShortExhaustTheMachine) {
  constexpr size_t kEntryMemoryMb = 256;
  constexpr size_t kEntryCrowd = 400;
  const auto fleet = FleetBuilder().Workspace("lodge", 1).Start();
  ASSERT_TRUE(fleet.ok()) << fleet.status();
  const auto is_caller_served = [&] {
    const auto answer = Fetch((*fleet)->EntryAddress(0),
                              (*fleet)->ChatRequest("lodge", "hello", {}));
    return answer.ok() && answer->status == 200;
  };
  ASSERT_TRUE(is_caller_served());
  // No socket has this address: those of other processes are not counted.
  ProcessWatch watch((*fleet)->entry(0).pid(), "255.255.255.255");
  ClientCrowd crowd(
      {.clients = kEntryCrowd,
       .address = (*fleet)->EntryAddress(0),
       .head =
           [&](size_t) {
             return absl::StrCat(
                 "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                 "Authorization: Bearer ",
                 Fleet::Token("lodge"), "\r\nContent-Length: ", kBodyLimit,
                 "\r\n\r\n");
           },
       .piece = std::string(kBodyLimit - 1, 'b'),
       .pieces = 1});
  std::this_thread::sleep_for(kCrowdTime);
  EXPECT_TRUE(PollUntil(is_caller_served)) << "beside the crowd";
  crowd.Leave();
  EXPECT_TRUE((*fleet)->entry(0).is_running());
  EXPECT_TRUE(PollUntil(is_caller_served)) << "after the crowd";
  const ProcessPeaks peaks = watch.Stop();
  EXPECT_LE(peaks.memory_bytes, uint64_t{kEntryMemoryMb} << 20);
  std::printf("peak %zu MB\n", static_cast<size_t>(peaks.memory_bytes >> 20));
}

// Guards against callers that send a body for nothing: what the head shows is
// answered while the body is awaited.
TEST_F(SmallMachineTest, BodyIsAwaitedOfARequestThatCannotBeServed) {
  Start();
  struct Case {
    std::string head;
    int status;
  };
  const std::string expect =
      "Expect: 100-continue\r\nContent-Length: 1000\r\n\r\n";
  const std::vector<Case> cases = {
      {RequestHead(1, expect, "key-of-nobody"), 401},
      {RequestHead(2, expect, "key-lodge", "no-route"), 404},
      {RequestHead(3, "Content-Length: 2000000\r\n\r\n"), 413},
      {RequestHead(4, expect), 100}};
  for (const Case& each : cases) {
    ClientCrowd client({.clients = 1,
                        .address = fleet_->gateway_address(0),
                        .head = [&](size_t) { return each.head; }});
    EXPECT_TRUE(fleet_->Await([&] { return !client.answers().empty(); }));
    EXPECT_EQ(client.answers().begin()->first, each.status);
  }
}

}  // namespace
}  // namespace jackdawshunt::testing
