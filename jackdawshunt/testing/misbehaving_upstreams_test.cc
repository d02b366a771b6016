// A gateway as a real process before upstreams that send bytes which are no
// answer. Its memory must stay within that of its machine, and ordinary
// requests must be answered meanwhile and afterwards.
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "jackdawshunt/testing/platform/platform_fleet.h"
#include "jackdawshunt/testing/platform/process_watch.h"

namespace jackdawshunt::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using CallPtr = std::shared_ptr<PlatformCall>;

constexpr uint32_t kMemoryMb = 40;
// An engine that does not answer gets some 10 requests.
constexpr size_t kEngines = 16;
constexpr size_t kCalls = 260;
constexpr size_t kMinRuns = 100;
constexpr kernel::Duration kFaultTime = seconds(3);

class MisbehavingUpstreamsTest : public ::testing::Test {
 protected:
  MisbehavingUpstreamsTest()
      : fleet_({.engines = kEngines, .plain = 1, .memory_mb = kMemoryMb}) {
    fleet_.Start();
  }

  // Of all engines.
  void SetFault(UpstreamFault fault) {
    for (size_t i = 0; i < kEngines; ++i) {
      fleet_.upstream(i).SetFault(fault);
    }
  }
  bool IsOrdinaryCallServed() {
    const CallPtr call = fleet_.Call(0, {.route = kHold});
    return fleet_.Await([&] { return call->is_done(); }) &&
           call->status() == 200;
  }

  // Sends calls whose engines send a part of an answer and then nothing more.
  // Expects that the gateway does not exceed its memory.
  void ExpectBoundedMemory(UpstreamFault fault) {
    ASSERT_TRUE(IsOrdinaryCallServed());
    ProcessWatch watch(fleet_.gateway(0).pid(), fleet_.gateway_address(0).ip);
    SetFault(fault);
    std::vector<CallPtr> calls;
    for (size_t i = 0; i < kCalls; ++i) {
      calls.push_back(fleet_.Call(
          0, {.route = kGenerate, .shared_part = std::to_string(i)}));
      fleet_.RunFor(milliseconds(2));
    }
    fleet_.RunFor(kFaultTime);
    EXPECT_TRUE(IsOrdinaryCallServed()) << "beside the fault";
    size_t ran = 0;
    for (const CallPtr& call : calls) {
      ran += fleet_.runs().contains(call->id()) ? 1 : 0;
      call->Leave();
    }
    EXPECT_GE(ran, kMinRuns);
    EXPECT_TRUE(fleet_.gateway(0).is_running());
    EXPECT_TRUE(IsOrdinaryCallServed()) << "after the fault";
    const ProcessPeaks peaks = watch.Stop();
    EXPECT_LE(peaks.memory_bytes, uint64_t{kMemoryMb} << 20);
    std::printf("peak %zu MB, %zu runs\n",
                static_cast<size_t>(peaks.memory_bytes >> 20), ran);
  }

  PlatformFleet fleet_;
};

// Guards against a gateway that serves nothing else for seconds, since it
// searches the event that it has received so far for each further piece.
TEST_F(MisbehavingUpstreamsTest, EventInSmallPiecesStopsTheGateway) {
  ASSERT_TRUE(IsOrdinaryCallServed());
  SetFault(UpstreamFault::kUnendedLines);
  const CallPtr stream = fleet_.Call(0, {.route = kGenerate});
  ASSERT_TRUE(
      fleet_.Await([&] { return fleet_.runs().contains(stream->id()); }));
  constexpr kernel::Duration kWatched = seconds(2);
  constexpr kernel::Duration kPeriod = milliseconds(100);
  const kernel::TimePoint from = fleet_.now();
  std::vector<CallPtr> calls;
  while (fleet_.now() - from < kWatched) {
    calls.push_back(fleet_.Call(0, {.route = kHold}));
    fleet_.RunFor(kPeriod);
  }
  for (const CallPtr& call : calls) {
    ASSERT_TRUE(fleet_.Await([&] { return call->is_done(); }));
    EXPECT_EQ(call->status(), 200);
    EXPECT_LT(call->total(), seconds(1));
  }
  stream->Leave();
}

TEST_F(MisbehavingUpstreamsTest, HeadsWithoutEndExhaustTheMachine) {
  ExpectBoundedMemory(UpstreamFault::kUnendedHead);
}

TEST_F(MisbehavingUpstreamsTest, EventsWithoutEndExhaustTheMachine) {
  ExpectBoundedMemory(UpstreamFault::kUnendedEvent);
}

}  // namespace
}  // namespace jackdawshunt::testing
