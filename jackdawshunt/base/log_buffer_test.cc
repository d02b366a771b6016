#include "jackdawshunt/base/log_buffer.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <string>

#include "gtest/gtest.h"
#include "jackdawshunt/base/log_line.h"
#include "nlohmann/json.hpp"

namespace jackdawshunt::base {
namespace {

class Pipe {
 public:
  Pipe() { EXPECT_EQ(pipe2(fds_.data(), O_CLOEXEC), 0); }
  ~Pipe() {
    close(fds_[0]);
    close(fds_[1]);
  }
  int writer() const { return fds_[1]; }
  std::string Read() {
    std::array<char, 65536> buffer;
    const ssize_t count = read(fds_[0], buffer.data(), buffer.size());
    return {buffer.data(), static_cast<size_t>(std::max<ssize_t>(count, 0))};
  }

 private:
  std::array<int, 2> fds_{};
};

TEST(LogBufferTest, WritesLinesInOrder) {
  Pipe pipe;
  LogBuffer buffer({});
  buffer.Append("a\n", false, 0);
  buffer.Append("b\n", false, 0);
  buffer.Flush(pipe.writer());
  EXPECT_EQ(pipe.Read(), "a\nb\n");
  EXPECT_EQ(buffer.size(), 0u);
}

// Guards against lines that are formatted only to be dropped: an instance that
// refuses most requests would spend processor time on them.
TEST(LogBufferTest, KnowsThatNextLineIsDropped) {
  LogBuffer buffer({.lines_per_second = 2});
  for (int i = 0; i < 2; ++i) {
    EXPECT_FALSE(buffer.DropsNext(0));
    buffer.Append("a\n", false, 0);
  }
  EXPECT_TRUE(buffer.DropsNext(0));
  EXPECT_EQ(buffer.dropped(), 1u);
  EXPECT_FALSE(buffer.DropsNext(1000));
}

// Guards against a reader that stops reading blocking the process or growing
// its memory, and against lost lines that are not counted.
TEST(LogBufferTest, DoesNotBlockOnStoppedReader) {
  Pipe pipe;
  LogBuffer buffer({.bytes = 10000, .lines_per_second = 0});
  const std::string line(99, 'x');
  for (int i = 0; i < 5000; ++i) {
    buffer.Append(line + "\n", false, 0);
    buffer.Flush(pipe.writer());
  }
  EXPECT_LE(buffer.size(), 10000u);
  EXPECT_GT(buffer.dropped(), 1000u);
  std::string all;
  for (int i = 0; i < 20; ++i) {
    all += pipe.Read();
    buffer.Append(line + "\n", false, 0);
    buffer.Flush(pipe.writer());
  }
  EXPECT_NE(all.find("log_lines_dropped"), std::string::npos);
}

TEST(LogBufferTest, LimitsLinesPerSecondExceptUrgentOnes) {
  Pipe pipe;
  LogBuffer buffer({.bytes = 10000, .lines_per_second = 3});
  for (int i = 0; i < 10; ++i) {
    buffer.Append("x\n", false, 500);
  }
  buffer.Append("urgent\n", true, 600);
  EXPECT_EQ(buffer.dropped(), 7u);
  buffer.Append("y\n", false, 1500);
  buffer.Flush(pipe.writer());
  const std::string text = pipe.Read();
  EXPECT_NE(text.find("urgent"), std::string::npos);
  EXPECT_NE(text.find(R"("lines":7)"), std::string::npos);
  EXPECT_NE(text.find("y\n"), std::string::npos);
}

TEST(LogLineTest, WritesJson) {
  std::string text;
  AppendJsonField("text", std::string_view("a \"quoted\"\nline \xff"), text);
  AppendJsonField("number", 1.5, text);
  AppendJsonField("count", uint64_t{7}, text);
  AppendJsonField("flag", true, text);
  const auto parsed = nlohmann::json::parse("{\"first\":0" + text + "}");
  EXPECT_EQ(parsed["text"], "a \"quoted\"\nline \xEF\xBF\xBD");
  EXPECT_EQ(parsed["number"], 1.5);
  EXPECT_EQ(parsed["count"], 7);
  EXPECT_EQ(parsed["flag"], true);
}

// Guards against the cost of values that no written line holds.
TEST(LogLineTest, ValueOfDroppedLineIsNotComputed) {
  int computed = 0;
  const auto compute = [&computed] {
    ++computed;
    return std::string("x");
  };
  LogLine(LogLevel::kDebug, "dropped").Add("parts", compute);
  EXPECT_EQ(computed, 0);
  LogLine(LogLevel::kInfo, "written").Add("parts", compute);
  EXPECT_EQ(computed, 1);
}

}  // namespace
}  // namespace jackdawshunt::base
