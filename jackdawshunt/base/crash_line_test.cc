#include "jackdawshunt/base/crash_line.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <string>

#include "gtest/gtest.h"
#include "jackdawshunt/base/log.h"

namespace jackdawshunt::base {
namespace {

// Sends standard output to a pipe.
class CrashLineTest : public testing::Test {
 protected:
  CrashLineTest() : stdout_(dup(STDOUT_FILENO)) {
    EXPECT_EQ(pipe2(pipe_.data(), O_NONBLOCK), 0);
    dup2(pipe_[1], STDOUT_FILENO);
  }
  ~CrashLineTest() override {
    dup2(stdout_, STDOUT_FILENO);
    SetLogContext(nlohmann::json::object());
    for (const int fd : {stdout_, pipe_[0], pipe_[1]}) {
      close(fd);
    }
  }

  std::string Read() {
    std::array<char, 65536> buffer;
    const ssize_t count = read(pipe_[0], buffer.data(), buffer.size());
    return {buffer.data(), count > 0 ? static_cast<size_t>(count) : 0};
  }

  const int stdout_;
  std::array<int, 2> pipe_{};
};

// Guards against a last line that the tools for the log cannot read.
TEST_F(CrashLineTest, LineIsNotLikeThoseOfTheLog) {
  SetLogContext({{"instance", "gateway-1"}});
  const auto read = [this] {
    return nlohmann::json::parse(Read(), nullptr, false);
  };
  Log(LogLevel::kError, "before");
  const auto before = read();
  CrashLine("loop_stuck").Add("work", "connection").Add("fd", 18).Write();
  const auto json = read();
  Log(LogLevel::kError, "after");
  const auto after = read();
  ASSERT_TRUE(json.is_object());
  EXPECT_EQ(json["level"], "error");
  EXPECT_EQ(json["event"], "loop_stuck");
  EXPECT_EQ(json["instance"], "gateway-1");
  EXPECT_EQ(json["work"], "connection");
  EXPECT_EQ(json["fd"], 18);
  EXPECT_EQ(json["time"].get<std::string>().size(),
            before["time"].get<std::string>().size());
  EXPECT_GE(json["time"], before["time"]);
  EXPECT_LE(json["time"], after["time"]);
}

// Guards against a process that waits for the reader of its log instead of
// ending.
TEST_F(CrashLineTest, FullPipeBlocksTheWriter) {
  fcntl(pipe_[1], F_SETFL, 0);
  fcntl(pipe_[1], F_SETPIPE_SZ, 4096);
  const std::string fill(4096, ' ');
  ASSERT_EQ(write(pipe_[1], fill.data(), fill.size()), 4096);
  CrashLine("loop_stuck").Write();
  EXPECT_EQ(Read(), fill);
}

// Guards against a write beyond the line's memory.
TEST_F(CrashLineTest, LongFieldOverrunsTheLine) {
  CrashLine("loop_stuck")
      .Add("long", std::string(100'000, 'a'))
      .Add("short", "b")
      .Write();
  const auto json = nlohmann::json::parse(Read(), nullptr, false);
  ASSERT_TRUE(json.is_object());
  EXPECT_FALSE(json.contains("long"));
  EXPECT_EQ(json["short"], "b");
}

}  // namespace
}  // namespace jackdawshunt::base
