#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "jackdawshunt/cli/admin.h"
#include "jackdawshunt/cli/files.h"
#include "jackdawshunt/http/server.h"
#include "nlohmann/json.hpp"

namespace jackdawshunt::cli {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using ::testing::ElementsAre;
using ::testing::HasSubstr;
using ::testing::IsEmpty;
using ::testing::SizeIs;
using ::testing::StartsWith;

constexpr char kKey[] = "config/workspace/lodge";

// Outcome of one write at the platform.
enum class WriteOutcome { kDone, kLostBefore, kLostAfter, kDown };

// An object store in memory with outcomes of writes set by the test.
class FakeClient final : public object_api::Client {
 public:
  explicit FakeClient(kernel::EventLoop& loop)
      : object_api::Client(loop, {}), loop_(loop) {}

  void Get(const std::string& key,
           object_api::Callback<object_api::Object> done) override {
    const auto found = objects.find(key);
    Answer<object_api::Object>(std::move(done),
                               found == objects.end()
                                   ? absl::StatusOr<object_api::Object>(
                                         absl::NotFoundError("no object"))
                                   : found->second);
  }
  void List(const std::string& prefix,
            object_api::Callback<object_api::Listing> done) override {
    object_api::Listing listing{.revision = revision};
    for (const auto& [key, object] : objects) {
      if (key.starts_with(prefix)) {
        listing.objects.push_back(object);
      }
    }
    Answer<object_api::Listing>(std::move(done), listing);
  }
  void Put(const std::string& key,
           const std::string& value,
           std::optional<uint64_t> expected,
           object_api::Callback<uint64_t> done) override {
    Write(key, expected, std::move(done), [&](uint64_t version) {
      objects[key] = {.key = key, .version = version, .value = value};
    });
  }
  void Delete(const std::string& key,
              std::optional<uint64_t> expected,
              object_api::Callback<uint64_t> done) override {
    Write(key, expected, std::move(done),
          [&](uint64_t) { objects.erase(key); });
  }
  void Instances(
      object_api::Callback<std::vector<object_api::Instance>> done) override {
    Answer<std::vector<object_api::Instance>>(std::move(done), instances);
  }

  std::map<std::string, object_api::Object> objects;
  std::vector<object_api::Instance> instances;
  std::deque<WriteOutcome> outcomes;   // Outcomes of the next writes.
  std::function<void()> before_write;  // Called once, before the next write.
  uint64_t revision = 0;
  int writes = 0;

 private:
  template <typename T>
  void Answer(object_api::Callback<T> done, absl::StatusOr<T> answer) {
    loop_.Post(
        [done = std::move(done), answer = std::move(answer)] { done(answer); });
  }
  void Write(const std::string& key,
             std::optional<uint64_t> expected,
             object_api::Callback<uint64_t> done,
             const std::function<void(uint64_t)>& effect) {
    ++writes;
    if (const auto concurrent_write = std::exchange(before_write, nullptr)) {
      concurrent_write();
    }
    WriteOutcome outcome = WriteOutcome::kDone;
    if (!outcomes.empty()) {
      outcome = outcomes.front();
      outcomes.pop_front();
    }
    const auto found = objects.find(key);
    const uint64_t version = found == objects.end() ? 0 : found->second.version;
    absl::StatusOr<uint64_t> answer = absl::UnknownError("lost");
    if (outcome == WriteOutcome::kDown) {
      answer = absl::UnavailableError("refused");
    } else if (outcome != WriteOutcome::kLostBefore) {
      if (expected.value_or(version) != version) {
        answer = absl::AbortedError("409");
      } else {
        effect(++revision);
        answer = revision;
      }
      if (outcome == WriteOutcome::kLostAfter) {
        answer = absl::UnknownError("lost");
      }
    }
    Answer<uint64_t>(std::move(done), answer);
  }

  kernel::EventLoop& loop_;
};

std::string Workspace(const std::string& name, double share, char token) {
  return json{{"kind", "workspace"},
              {"schema", 1},
              {"name", name},
              {"spec",
               {{"share", share},
                {"token_sha256", std::string(64, token)},
                {"models", json::array()}}}}
      .dump();
}

RecordText Text(const std::string& value) {
  auto record = records::Parse(value);
  EXPECT_TRUE(record.ok()) << record.status();
  return {records::KeyOf(*record), value, *record};
}

class AdminTest : public ::testing::Test {
 protected:
  // Stores a value as another operator would.
  void Store(const std::string& key, const std::string& value) {
    client.objects[key] = {
        .key = key, .version = ++client.revision, .value = value};
  }
  ExitCode Apply(double share, const WriteOptions& options = {}) {
    return admin.Apply({Text(Workspace("lodge", share, 'a'))}, options);
  }
  // Adds a live instance whose operator port answers /status with `status`.
  void AddInstance(const std::string& name,
                   const std::function<json()>& status) {
    auto server = std::make_unique<http::Server>(loop, http::ServerLimits{});
    server->SetHandler([status](const std::shared_ptr<http::Exchange>& e) {
      const bool is_allowed = http::FindHeader(e->request().headers,
                                               "Authorization") == "Bearer tok";
      e->Reply({.status = is_allowed ? 200 : 401, .body = status().dump()});
    });
    const auto port = server->Listen({"127.0.0.1", 0});
    ASSERT_TRUE(port.ok()) << port.status();
    client.instances.push_back({.instance = name,
                                .role = "entry",
                                .operator_address = {"127.0.0.1", *port}});
    servers.push_back(std::move(server));
  }

  kernel::EventLoop loop;
  FakeClient client{loop};
  std::ostringstream out;
  std::ostringstream err;
  Admin admin{loop, client, out, err};
  std::vector<std::unique_ptr<http::Server>> servers;
};

TEST_F(AdminTest, DoesNotWriteUnchangedValue) {
  EXPECT_EQ(Apply(1), ExitCode::kDone);
  EXPECT_EQ(Apply(1), ExitCode::kDone);
  EXPECT_EQ(client.writes, 1);
  EXPECT_EQ(Apply(2), ExitCode::kDone);
  EXPECT_EQ(client.objects[kKey].version, 2);
  EXPECT_EQ(admin.Delete(kKey, {}), ExitCode::kDone);
  EXPECT_THAT(client.objects, IsEmpty());
  EXPECT_EQ(admin.Delete(kKey, {}), ExitCode::kFailed);
}

// Guards against overwriting a change that the operator has not seen.
TEST_F(AdminTest, LostRaceReportsBothVersionsAndValues) {
  Store(kKey, Workspace("lodge", 1, 'a'));
  client.before_write = [&] { Store(kKey, Workspace("lodge", 7, 'a')); };
  EXPECT_EQ(Apply(2), ExitCode::kLostRace);
  EXPECT_THAT(err.str(), HasSubstr("expected version 1"));
  EXPECT_THAT(err.str(), HasSubstr("version 2: " + Workspace("lodge", 7, 'a')));
  EXPECT_THAT(err.str(), HasSubstr(Workspace("lodge", 2, 'a')));
  EXPECT_EQ(client.objects[kKey].version, 2);
  EXPECT_EQ(Apply(2, {.expect = 1}), ExitCode::kLostRace);
  EXPECT_EQ(Apply(2, {.expect = 0}), ExitCode::kLostRace);
  EXPECT_EQ(Apply(2, {.expect = 2}), ExitCode::kDone);
}

// Guards against writing twice, or reporting failure, when only the answer to a
// write is lost.
TEST_F(AdminTest, LostAnswerIsResolvedByReadingBack) {
  client.outcomes = {WriteOutcome::kLostAfter};
  EXPECT_EQ(Apply(1), ExitCode::kDone);
  EXPECT_EQ(client.writes, 1);
  EXPECT_THAT(out.str(), HasSubstr("written, version 1"));
  client.outcomes = {WriteOutcome::kLostBefore, WriteOutcome::kLostAfter};
  EXPECT_EQ(Apply(2), ExitCode::kDone);
  EXPECT_EQ(client.objects[kKey].version, 2);
  client.outcomes = {WriteOutcome::kLostAfter};
  EXPECT_EQ(admin.Delete(kKey, {}), ExitCode::kDone);
  client.outcomes = {WriteOutcome::kDown};
  EXPECT_EQ(Apply(3), ExitCode::kFailed);
  EXPECT_THAT(err.str(), HasSubstr("was not written"));
}

// Guards against callers of one workspace being served as those of another.
TEST_F(AdminTest, RejectsTokenOfAnotherWorkspace) {
  Store("config/workspace/hall", Workspace("hall", 1, 'a'));
  EXPECT_EQ(Apply(1), ExitCode::kInvalid);
  EXPECT_EQ(client.writes, 0);
  EXPECT_THAT(err.str(), HasSubstr("workspace \"hall\""));
}

// Guards against --wait ending before every live instance has the change.
TEST_F(AdminTest, WaitsForEveryLiveInstance) {
  int polls = 0;
  AddInstance("e1", [&] {
    return json{{"revision", 1}, {"versions", {{kKey, 1}}}};
  });
  AddInstance("e2", [&] {
    // Other changes raise the revision before the record arrives.
    const int version = ++polls < 3 ? 0 : 1;
    return json{{"revision", 5}, {"versions", {{kKey, version}}}};
  });
  client.instances.push_back(
      {.instance = "leaving", .state = object_api::InstanceState::kLeaving});
  EXPECT_EQ(Apply(1, {.wait = seconds(60), .operator_token = "tok"}),
            ExitCode::kDone);
  EXPECT_EQ(polls, 3);
  EXPECT_THAT(out.str(), HasSubstr("in force at 2 instances"));
}

TEST_F(AdminTest, WaitReportsInstancesWithoutChange) {
  EXPECT_EQ(Apply(1, {.wait = milliseconds(1), .operator_token = "tok"}),
            ExitCode::kNotInEffect);
  EXPECT_THAT(err.str(), HasSubstr("no live instance"));
  AddInstance("e1", [] { return json{{"revision", 0}}; });
  EXPECT_EQ(Apply(1, {.wait = milliseconds(1), .operator_token = "wrong"}),
            ExitCode::kNotInEffect);
  EXPECT_THAT(err.str(), HasSubstr("e1 PERMISSION_DENIED"));
  // A rejected record ends the wait at once.
  AddInstance("e2", [] {
    return json{{"revision", 1},
                {"versions", {{kKey, 1}}},
                {"rejected",
                 {{{"key", kKey},
                   {"version", 1},
                   {"version_in_force", 0},
                   {"fault", "token taken"}}}}};
  });
  EXPECT_EQ(Apply(1, {.wait = seconds(3600), .operator_token = "tok"}),
            ExitCode::kNotInEffect);
  EXPECT_THAT(err.str(), HasSubstr("e2 rejects version 1"));
  EXPECT_THAT(err.str(), HasSubstr("token taken"));
}

TEST_F(AdminTest, StatusShowsRejectedRecordsAndUnreadableInstances) {
  AddInstance("e1", [] {
    return json{{"revision", 9},
                {"rejected",
                 {{{"key", kKey},
                   {"version", 9},
                   {"version_in_force", 4},
                   {"fault", "wrong"}}}}};
  });
  EXPECT_EQ(admin.Status("tok", false), ExitCode::kDone);
  EXPECT_THAT(out.str(), HasSubstr("rejected config/workspace/lodge version 9, "
                                   "in force 4: wrong"));
  EXPECT_EQ(admin.Status("", true), ExitCode::kFailed);
}

class FilesTest : public ::testing::Test {
 protected:
  FilesTest()
      : path_((std::filesystem::temp_directory_path() /
               absl::StrCat("cli_test.", getpid(), ".json"))
                  .string()) {}
  ~FilesTest() override { std::filesystem::remove(path_); }

  std::vector<std::string> Check(const std::string& text) {
    std::ofstream(path_) << text;
    return CheckFile(path_, std::nullopt);
  }

  const std::string path_;
};

// Guards against reporting errors of the first invalid record only.
TEST_F(FilesTest, ReportsErrorsOfEveryRecordInArray) {
  const std::string good = Workspace("lodge", 1, 'a');
  EXPECT_THAT(Check(absl::StrCat("[", good, "] // comment")), IsEmpty());
  EXPECT_THAT(
      Check(absl::StrCat("[{}, ", good, ", ", good, ", 7]")),
      ElementsAre(StartsWith(path_ + ": /0/kind: missing"),
                  StartsWith(path_ + ": /0/schema: missing"),
                  StartsWith(path_ + ": /0/name: missing"),
                  StartsWith(path_ + ": /0/spec: missing"),
                  HasSubstr(": /2: config/workspace/lodge: must not occur"),
                  StartsWith(path_ + ": /3: 7: must be an object")));
  EXPECT_THAT(Check("{"), ElementsAre(HasSubstr("must be JSON")));
  EXPECT_THAT(Check(R"({"upstream": 1})"), SizeIs(10));
  EXPECT_THAT(CheckFile("/nonexistent.json", std::nullopt),
              ElementsAre("/nonexistent.json: cannot be read"));
}

// Guards against reference examples that the parsers reject.
TEST(ExamplesTest, AllReferenceExamplesAreValid) {
  int files = 0;
  for (const auto& file : std::filesystem::directory_iterator(EXAMPLES)) {
    EXPECT_THAT(CheckFile(file.path().string(), std::nullopt), IsEmpty());
    ++files;
  }
  EXPECT_EQ(files, 8);
}

}  // namespace
}  // namespace jackdawshunt::cli
