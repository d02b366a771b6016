// Callers that resume their streams after all gateways were killed at once,
// against engines of several software versions.
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "jackdawshunt/testing/platform/caller_stream.h"
#include "jackdawshunt/testing/platform/platform_fleet.h"

namespace jackdawshunt::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using CallPtr = std::shared_ptr<PlatformCall>;

constexpr size_t kGateways = 2;
constexpr uint64_t kEvents = 60;
constexpr kernel::Duration kRouteTimeout = seconds(3);

// One stream and the requests of its caller.
struct CallersStream {
  CallPtr last;  // The latest request.
  CallerStream text;
};

class TakeUpTest : public ::testing::Test {
 protected:
  void Start(const std::vector<std::string>& versions) {
    fleet_ = std::make_unique<PlatformFleet>(
        PlatformFleetOptions{.gateways = kGateways,
                             .engines = 4,
                             .engine_versions = versions,
                             .route_timeout = kRouteTimeout,
                             .stream_events = kEvents});
    fleet_->Start();
  }
  // Begins streams at the first `gateways` and awaits the first events of each.
  std::vector<CallersStream> Begin(size_t count, size_t gateways = kGateways) {
    std::vector<CallersStream> streams(count);
    for (size_t i = 0; i < count; ++i) {
      streams[i].last =
          fleet_->Call(i % gateways, {.route = kRevise,
                                      .deadline = kRouteTimeout,
                                      .shared_part = std::to_string(i)});
    }
    for (const CallersStream& stream : streams) {
      EXPECT_TRUE(fleet_->Await([&] {
        return stream.last->body().find("id: 2\n") != std::string::npos;
      }));
    }
    return streams;
  }
  void KillGateways(std::vector<CallersStream>& streams) {
    for (size_t i = 0; i < kGateways; ++i) {
      fleet_->gateway(i).Kill();
    }
    for (CallersStream& stream : streams) {
      EXPECT_TRUE(fleet_->Await([&] { return stream.last->is_done(); }));
      stream.text.Append(*stream.last);
    }
  }
  std::vector<Process*> Boards() {
    std::vector<Process*> boards;
    for (size_t i = 0; i < 4; ++i) {
      boards.push_back(&fleet_->board(i));
    }
    return boards;
  }
  void KillBoards() {
    for (size_t i = 0; i < 4; ++i) {
      fleet_->board(i).Kill();
      fleet_->StartBoard(i);
    }
  }
  void StartGateways() {
    for (size_t i = 0; i < kGateways; ++i) {
      fleet_->StartGateway(i);
    }
    for (size_t i = 0; i < kGateways; ++i) {
      ASSERT_TRUE(fleet_->Await([&] { return fleet_->IsReady(i); }));
    }
  }
  // Lets the callers of all incomplete streams resume them. Returns the number
  // of requests that were answered; the others were refused as not run.
  size_t Resume(std::vector<CallersStream>& streams, bool names_request) {
    for (size_t i = 0; i < streams.size(); ++i) {
      CallOptions options = streams[i].text.Resume(streams[i].last->options());
      if (!names_request) {
        options.resumed_request.clear();
      }
      streams[i].last = fleet_->Call((i + 1) % kGateways, options);
    }
    size_t answered = 0;
    for (CallersStream& stream : streams) {
      EXPECT_TRUE(fleet_->Await([&] { return stream.last->is_done(); }));
      if (stream.last->status() == 200) {
        ++answered;
        stream.text.Append(*stream.last);
      } else {
        EXPECT_EQ(stream.last->status(), 503);
        EXPECT_FALSE(fleet_->runs().contains(stream.last->id()));
        EXPECT_LT(stream.last->total(), kernel::Duration(milliseconds(500)));
      }
      EXPECT_EQ(stream.text.Fault(), "");
    }
    return answered;
  }

  std::unique_ptr<PlatformFleet> fleet_;
};

// Guards against a stream that goes on at another version, or not at all, when
// no gateway is left that saw it begin.
TEST_F(TakeUpTest, StreamsGoOnAtTheirVersionAfterAllGatewaysWereKilled) {
  Start({"v1", "v2"});
  std::vector<CallersStream> streams = Begin(12);
  KillGateways(streams);
  StartGateways();
  EXPECT_EQ(Resume(streams, /*names_request=*/true), streams.size());
  for (const CallersStream& stream : streams) {
    EXPECT_EQ(stream.text.last_event_id(), kEvents);
  }
}

// Guards against a stream that goes on at the new version because the restarted
// gateways know no other one.
TEST_F(TakeUpTest, NoStreamGoesOnWhenItsVersionLeftBesideTheKill) {
  for (const bool names_request : {true, false}) {
    Start({"v1"});
    std::vector<CallersStream> streams = Begin(8);
    KillGateways(streams);
    for (size_t i = 0; i < 4; ++i) {
      fleet_->ReplaceUpstream(i, "v2");
    }
    StartGateways();
    EXPECT_EQ(Resume(streams, names_request), 0u) << names_request;
  }
}

// Guards against a guess once the records of the boards are gone too.
TEST_F(TakeUpTest, NoStreamGoesOnWhenNoProcessKnowsItsVersion) {
  for (const bool names_request : {true, false}) {
    Start({"v1", "v2"});
    std::vector<CallersStream> streams = Begin(8);
    KillGateways(streams);
    KillBoards();
    StartGateways();
    EXPECT_EQ(Resume(streams, names_request), 0u) << names_request;
  }
}

// Guards against the refusal of a caller that resumes again after another kill,
// and names the request that it resumed with.
TEST_F(TakeUpTest, AStreamGoesOnAfterThreeKillsWhicheverRequestIsNamed) {
  for (const bool names_latest : {false, true}) {
    Start({"v1", "v2"});
    std::vector<CallersStream> streams = Begin(6);
    KillGateways(streams);
    for (int kill = 0; kill < 3; ++kill) {
      StartGateways();
      for (size_t i = 0; i < streams.size(); ++i) {
        CallersStream& stream = streams[i];
        CallOptions options = stream.text.Resume(stream.last->options());
        options.deadline = kRouteTimeout;
        if (names_latest) {
          options.resumed_request = stream.last->id();
        }
        const std::string next =
            "id: " + std::to_string(stream.text.last_event_id() + 2) + "\n";
        stream.last = fleet_->Call(i % kGateways, options);
        EXPECT_TRUE(fleet_->Await([&] {
          return stream.last->body().find(next) != std::string::npos ||
                 stream.last->is_done();
        }));
        EXPECT_EQ(stream.last->status(), 200) << kill << " " << names_latest;
      }
      if (kill < 2) {
        KillGateways(streams);
      }
    }
    for (CallersStream& stream : streams) {
      EXPECT_TRUE(fleet_->Await([&] { return stream.last->is_done(); }));
      stream.text.Append(*stream.last);
      EXPECT_EQ(stream.text.Fault(), "");
      EXPECT_EQ(stream.text.last_event_id(), kEvents);
    }
  }
}

// Guards against a version that came and went while a gateway had lost the
// history of the list: the gateway that did not see it must not guess.
TEST_F(TakeUpTest, NoUnnamedStreamGoesOnAfterAGapInTheList) {
  Start({"v1"});
  fleet_->RunFor(kRouteTimeout + milliseconds(200));
  std::vector<CallersStream> streams = Begin(4);
  fleet_->store().SetFault(StoreFault::kBusy);  // Ends the watches.
  fleet_->DeleteUpstream(4);
  fleet_->store().SetFault(StoreFault::kNone);
  fleet_->store().DropHistory();
  fleet_->RunFor(milliseconds(800));
  for (CallersStream& stream : streams) {
    stream.last->Leave();
    stream.text.Append(*stream.last);
  }
  EXPECT_EQ(Resume(streams, /*names_request=*/false), 0u);
}

// Guards against a stream that goes on at another version because its caller
// resumes it at a gateway that was out of step, either standing still or cut
// off from all boards, while upstreams of a new version joined and streams
// began there.
TEST_F(TakeUpTest, NoStreamGoesOnAtAnotherVersionAtAGatewayOutOfStep) {
  constexpr size_t kOutOfStep = 1;
  for (const bool stands_still : {true, false}) {
    for (const bool names_request : {true, false}) {
      Start({"v1"});
      fleet_->RunFor(kRouteTimeout + milliseconds(200));
      const std::vector<Process*> paused =
          stands_still ? std::vector{&fleet_->gateway(kOutOfStep)} : Boards();
      for (Process* const process : paused) {
        process->Pause();
      }
      fleet_->ReplaceUpstream(0, "v2");
      fleet_->ReplaceUpstream(1, "v2");
      fleet_->RunFor(milliseconds(1300));
      std::vector<CallersStream> streams = Begin(12, /*gateways=*/1);
      fleet_->gateway(0).Kill();
      size_t of_new_version = 0;
      for (CallersStream& stream : streams) {
        ASSERT_TRUE(fleet_->Await([&] { return stream.last->is_done(); }));
        stream.text.Append(*stream.last);
        of_new_version += stream.text.versions().contains("v2") ? 1 : 0;
        CallOptions options = stream.text.Resume(stream.last->options());
        if (!names_request) {
          options.resumed_request.clear();
        }
        stream.last = fleet_->Call(kOutOfStep, options);
      }
      EXPECT_GT(of_new_version, 0u);
      EXPECT_LT(of_new_version, streams.size());
      if (stands_still) {
        fleet_->gateway(kOutOfStep).Continue();
      }
      for (CallersStream& stream : streams) {
        ASSERT_TRUE(fleet_->Await([&] { return stream.last->is_done(); }));
        if (stream.last->status() == 200) {
          stream.text.Append(*stream.last);
        }
        EXPECT_EQ(stream.text.Fault(), "") << stands_still << names_request;
      }
      if (!stands_still) {
        for (Process* const process : paused) {
          process->Continue();
        }
      }
    }
  }
}

}  // namespace
}  // namespace jackdawshunt::testing
