#include "jackdawshunt/platform/record_source.h"

#include <optional>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "jackdawshunt/http1/listener.h"
#include "jackdawshunt/http1/server.h"

namespace jackdawshunt::platform {
namespace {

// A store that answers calls when the test says so.
class RecordSourceTest : public ::testing::Test,
                         public http1::ServerConnection::Handler {
 protected:
  RecordSourceTest() : connections_(loop_, *this) {
    listener_ = *http1::Listener::Bind(
        loop_, {"127.0.0.1", 0}, [this](int fd) { connections_.Add(fd); });
    source_ = std::make_unique<RecordSource>(
        loop_, http::Address{"127.0.0.1", listener_->port()},
        RecordKind::kUpstream);
  }

  void OnRequest(http1::ServerConnection& connection,
                 const http1::RequestHead& head,
                 std::string& /*body*/) override {
    calls_.push_back(&connection);
    targets_.push_back(head.target);
  }
  void OnRequestError(http1::ServerConnection&, http1::RequestError) override {}
  void OnDrained(http1::ServerConnection&) override {}
  // Connections are kept, so that the test may answer on those that have ended.
  void OnClosed(http1::ServerConnection&) override {}

  void Answer(size_t call, uint64_t revision) {
    calls_.at(call)->Reply(
        {.status = 200, .headers = {}},
        absl::StrCat(R"({"events":[],"storeRevision":)", revision, "}"));
  }
  void Watch(uint64_t revision) {
    result_.reset();
    source_->Watch({.revision = revision}, std::chrono::milliseconds(0),
                   [this](absl::StatusOr<RecordList> answer) {
                     result_ = std::move(answer);
                   });
  }
  void List() {
    result_.reset();
    source_->List([this](absl::StatusOr<RecordList> answer) {
      result_ = std::move(answer);
    });
  }
  void AnswerPage(size_t call, std::string_view items, bool has_more) {
    calls_.at(call)->Reply(
        {.status = 200, .headers = {}},
        absl::StrCat(R"({"items":[)", std::string(items), R"(],"hasMore":)",
                     has_more ? "true" : "false", R"(,"storeRevision":5})"));
  }
  void AwaitCalls(size_t count) {
    ASSERT_TRUE(loop_.RunUntil([&] { return calls_.size() >= count; },
                               std::chrono::seconds(20)));
  }
  void AwaitResult() {
    ASSERT_TRUE(loop_.RunUntil([&] { return result_.has_value(); },
                               std::chrono::seconds(20)));
  }

  kernel::EventLoop loop_;
  http1::ConnectionSet connections_;
  std::unique_ptr<http1::Listener> listener_;
  std::unique_ptr<RecordSource> source_;
  std::vector<http1::ServerConnection*> calls_;
  std::vector<std::string> targets_;
  std::optional<absl::StatusOr<RecordList>> result_;
};

// Guards against a late answer to a call that timed out, taken for the answer
// to the next one: answers of the store name no request.
TEST_F(RecordSourceTest, LateAnswerOfATimedOutCallIsNotThatOfTheNext) {
  Watch(5);
  AwaitCalls(1);
  AwaitResult();
  EXPECT_TRUE(absl::IsDeadlineExceeded(result_->status()));
  Watch(9);
  AwaitCalls(2);
  ASSERT_NE(calls_[0], calls_[1]);
  Answer(0, 5);
  loop_.RunUntil([] { return false; }, std::chrono::milliseconds(50));
  EXPECT_FALSE(result_.has_value());
  Answer(1, 9);
  AwaitResult();
  ASSERT_TRUE(result_->ok());
  EXPECT_EQ((*result_)->revision.revision, 9u);
}

// Guards against a second answer to an earlier call on a kept connection.
TEST_F(RecordSourceTest, SecondAnswerEndsTheConnection) {
  Watch(5);
  AwaitCalls(1);
  Answer(0, 5);
  AwaitResult();
  calls_[0]->WriteRaw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
  loop_.RunUntil([] { return false; }, std::chrono::milliseconds(50));
  Watch(9);
  AwaitCalls(2);
  EXPECT_NE(calls_[0], calls_[1]);
  Answer(1, 9);
  AwaitResult();
  ASSERT_TRUE(result_->ok());
  EXPECT_EQ((*result_)->revision.revision, 9u);
}

// Guards against a list that ends early, or that is another one, because of the
// name of the last entry of a page.
TEST_F(RecordSourceTest, NextPageFollowsTheLastNameOfThePage) {
  List();
  AwaitCalls(1);
  AnswerPage(0, R"({"metadata":{"name":"a b&watch=1#%"}},{"metadata":{}})",
             /*has_more=*/true);
  AwaitCalls(2);
  EXPECT_TRUE(targets_[1].ends_with("?after=a%20b%26watch%3D1%23%25"))
      << targets_[1];
  AnswerPage(1, R"({"metadata":{"name":"c"}})", /*has_more=*/false);
  AwaitResult();
  ASSERT_TRUE(result_->ok());
  EXPECT_EQ((*result_)->records.size(), 2u);
}

// Guards against a configuration that is never found behind other objects of
// its kind.
TEST_F(RecordSourceTest, PageWithoutUsableRecordsIsFollowedByTheNext) {
  source_ = std::make_unique<RecordSource>(
      loop_, http::Address{"127.0.0.1", listener_->port()},
      RecordKind::kDesiredState);
  List();
  AwaitCalls(1);
  AnswerPage(0, R"({"metadata":{"name":"backup"}})", /*has_more=*/true);
  AwaitCalls(2);
  EXPECT_TRUE(targets_[1].ends_with("?after=backup")) << targets_[1];
  AnswerPage(1,
             R"({"metadata":{"name":"main"},)"
             R"("specification":{"version":3,"routes":[]}})",
             /*has_more=*/false);
  AwaitResult();
  ASSERT_TRUE(result_->ok());
  ASSERT_EQ((*result_)->records.size(), 1u);
}

// Guards against a list whose middle is missing, since it exceeds what a source
// keeps.
TEST_F(RecordSourceTest, AnswerBeyondTheLimitIsReadWithAGap) {
  constexpr size_t kTooMuch = size_t{8} * 1024 * 1024;
  List();
  AwaitCalls(1);
  calls_[0]->StartResponse({.status = 200, .headers = {}},
                           http1::BodyFraming::Chunked());
  calls_[0]->WriteBody(R"({"items":[{"metadata":{"name":"a"},"more":")");
  calls_[0]->WriteBody(std::string(kTooMuch, 'x'));
  // So that the end arrives in a piece of its own.
  loop_.RunUntil([&] { return result_.has_value(); },
                 std::chrono::milliseconds(300));
  calls_[0]->WriteBody(R"("}],"hasMore":false,"storeRevision":5})");
  calls_[0]->FinishResponse();
  AwaitResult();
  EXPECT_TRUE(absl::IsUnavailable(result_->status())) << result_->status();
}

// Guards against a list that is taken from a head or body that was cut.
TEST_F(RecordSourceTest, AnswerThatWasCutIsAList) {
  const std::string body =
      R"({"items":[{"metadata":{"name":"a"}}],"hasMore":false,)"
      R"("storeRevision":5})";
  const std::string answer =
      http1::Serialize({.status = 200, .headers = {}},
                       http1::BodyFraming::Length(body.size())) +
      body;
  for (size_t size = 0; size < answer.size(); ++size) {
    List();
    AwaitCalls(size + 1);
    calls_.back()->WriteRaw(answer.substr(0, size));
    calls_.back()->Yield();
    AwaitResult();
    EXPECT_TRUE(absl::IsUnavailable(result_->status())) << size;
  }
}

// Guards against calls without end: the store does not know a name whose bytes
// were not readable.
TEST_F(RecordSourceTest, ListThatDoesNotAdvanceIsAnError) {
  List();
  AwaitCalls(1);
  AnswerPage(0, R"({"metadata":{"name":"b"}})", /*has_more=*/true);
  AwaitCalls(2);
  AnswerPage(1, R"({"metadata":{"name":"b"}})", /*has_more=*/true);
  AwaitResult();
  EXPECT_TRUE(absl::IsInvalidArgument(result_->status()));
  EXPECT_EQ(calls_.size(), 2u);
}

}  // namespace
}  // namespace jackdawshunt::platform
