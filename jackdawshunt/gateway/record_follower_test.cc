#include "jackdawshunt/gateway/record_follower.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "jackdawshunt/http1/listener.h"
#include "jackdawshunt/http1/server.h"

namespace jackdawshunt::gateway {
namespace {

constexpr auto kTimeout = std::chrono::seconds(20);

// A store that answers calls when the test says so, and a follower of its
// upstreams.
class RecordFollowerTest : public ::testing::Test,
                           public http1::ServerConnection::Handler {
 protected:
  struct Call {
    http1::ServerConnection* connection = nullptr;
    bool is_list = false;
    bool waits = false;  // For changes.
  };

  RecordFollowerTest() : connections_(loop_, *this) {
    listener_ = *http1::Listener::Bind(
        loop_, {"127.0.0.1", 0}, [this](int fd) { connections_.Add(fd); });
    const auto apply = [this](const std::vector<platform::Record>& records) {
      for (const platform::Record& record : records) {
        const auto* upstream = std::get_if<routing::Upstream>(&record.value);
        if (upstream != nullptr) {
          is_draining_[record.name] = upstream->is_draining;
        }
      }
    };
    follower_ = std::make_unique<RecordFollower>(
        loop_, http::Address{"127.0.0.1", listener_->port()},
        platform::RecordKind::kUpstream, RecordFollowerTimes{}, probe_,
        RecordFollowerCallbacks{
            .on_list = [apply](const std::vector<platform::Record>& records,
                               bool) { apply(records); },
            .on_change = apply,
            .on_current = [](kernel::TimePoint) {},
            .on_reconnected = [](kernel::Duration) {}});
  }

  void OnRequest(http1::ServerConnection& connection,
                 const http1::RequestHead& head,
                 std::string& /*body*/) override {
    calls_.push_back(
        {.connection = &connection,
         .is_list = head.target.find("watch=") == std::string::npos,
         .waits = head.target.find("waitMs=1") == std::string::npos});
  }
  void OnRequestError(http1::ServerConnection&, http1::RequestError) override {}
  void OnDrained(http1::ServerConnection&) override {}
  // Connections are kept, so that the test may answer on those that have ended.
  void OnClosed(http1::ServerConnection&) override {}

  static std::string Object(std::string_view state) {
    return absl::StrCat(
        R"({"metadata":{"name":"a"},"specification":{"service":"s","zone":"z",)",
        R"("address":"127.0.0.1:1","slots":4,"state":")", std::string(state),
        R"("}})");
  }
  void AnswerList(size_t call, uint64_t revision, std::string_view state) {
    ASSERT_TRUE(calls_.at(call).is_list);
    calls_[call].connection->Reply(
        {.status = 200, .headers = {}},
        absl::StrCat(R"({"items":[)", Object(state), R"(],"hasMore":false,)",
                     R"("storeRevision":)", revision, "}"));
  }
  void AnswerWatch(size_t call, uint64_t revision, std::string_view state) {
    ASSERT_FALSE(calls_.at(call).is_list);
    calls_[call].connection->Reply(
        {.status = 200, .headers = {}},
        absl::StrCat(R"({"events":[{"object":)", Object(state),
                     R"(,"removed":false}],"storeRevision":)", revision, "}"));
  }
  void AwaitCalls(size_t count) {
    ASSERT_TRUE(
        loop_.RunUntil([&] { return calls_.size() >= count; }, kTimeout));
  }
  void AwaitRevision(uint64_t revision) {
    ASSERT_TRUE(loop_.RunUntil(
        [&] { return follower_->revision().revision == revision; }, kTimeout));
  }
  // Leaves the follower with a watch and, as the third call, a read beside it.
  void StartWithReadBesideWatch() {
    follower_->Start();
    AwaitCalls(1);
    AnswerList(0, 10, "ready");
    AwaitCalls(2);
    follower_->ReadNow();
    AwaitCalls(3);
  }

  kernel::EventLoop loop_;
  http1::ConnectionSet connections_;
  std::unique_ptr<http1::Listener> listener_;
  routing::StoreProbe probe_;
  std::unique_ptr<RecordFollower> follower_;
  std::vector<Call> calls_;
  std::map<std::string, bool> is_draining_;  // By name.
};

// Guards against a draining upstream that is ready again because an older
// answer of the store arrived later.
TEST_F(RecordFollowerTest, LateAnswerReplacesNoNewerRecord) {
  StartWithReadBesideWatch();
  AnswerWatch(1, 15, "draining");
  AwaitRevision(15);
  EXPECT_TRUE(is_draining_["a"]);
  AnswerWatch(2, 12, "ready");
  // The follower goes on with the next watch.
  AwaitCalls(4);
  EXPECT_TRUE(is_draining_["a"]);
  EXPECT_EQ(follower_->revision().revision, 15u);
}

// Guards against a follower that never lists again: the answer to a read that
// was sent before the history was lost took the place of the list.
TEST_F(RecordFollowerTest, AnswerFromBeforeTheHistoryWasLostStopsNoList) {
  StartWithReadBesideWatch();
  calls_[1].connection->Reply({.status = 410, .headers = {}}, "{}");
  AwaitCalls(4);
  AnswerWatch(2, 12, "draining");
  loop_.RunUntil([&] { return follower_->revision().revision == 12u; },
                 std::chrono::milliseconds(100));
  AnswerList(3, 20, "draining");
  loop_.RunUntil([&] { return follower_->is_connected(); },
                 std::chrono::seconds(2));
  EXPECT_TRUE(follower_->is_connected());
  EXPECT_TRUE(is_draining_["a"]);
}

}  // namespace
}  // namespace jackdawshunt::gateway
