#include "jackdawshunt/base/log.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"
#include "jackdawshunt/base/internal/log_writer.h"
#include "jackdawshunt/base/log_buffer.h"
#include "spdlog/sinks/base_sink.h"
#include "spdlog/spdlog.h"

namespace jackdawshunt::base {
namespace {

struct LevelRow {
  LogLevel level;
  std::string_view name;
  spdlog::level::level_enum spdlog_level;
};

constexpr std::array kLevels = {
    LevelRow{LogLevel::kDebug, "debug", spdlog::level::debug},
    LevelRow{LogLevel::kInfo, "info", spdlog::level::info},
    LevelRow{LogLevel::kWarning, "warning", spdlog::level::warn},
    LevelRow{LogLevel::kError, "error", spdlog::level::err},
};

const LevelRow& RowFor(LogLevel level) {
  return kLevels.at(static_cast<size_t>(level));
}

// Maximum size of the lines that the reader of the log has not read yet.
constexpr size_t kBufferedBytes = size_t{256} * 1024;

std::unique_ptr<LogBuffer>& Buffer() {
  static std::unique_ptr<LogBuffer> buffer;
  return buffer;
}

int64_t NowMs() {
  return absl::ToUnixMillis(absl::Now());
}

// Appends lines to the buffer, or writes them at once when there is no buffer.
class OutputSink final : public spdlog::sinks::base_sink<std::mutex> {
 public:
  bool DropsNext() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return Buffer() != nullptr && Buffer()->DropsNext(NowMs());
  }

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    const std::string_view text(message.payload.data(), message.payload.size());
    if (Buffer() == nullptr) {
      std::fwrite(text.data(), 1, text.size(), stdout);
      std::fflush(stdout);
      return;
    }
    Buffer()->Append(text, message.level >= spdlog::level::warn, NowMs());
  }
  void flush_() override {
    if (Buffer() != nullptr) {
      Buffer()->Flush(STDOUT_FILENO);
    }
  }
};

const std::shared_ptr<OutputSink>& Sink() {
  static const std::shared_ptr<OutputSink> sink =
      std::make_shared<OutputSink>();
  return sink;
}

spdlog::logger& Logger() {
  static const std::shared_ptr<spdlog::logger> logger =
      std::make_shared<spdlog::logger>("jackdawshunt", Sink());
  return *logger;
}

// Appends the current time. The part up to the seconds is formatted only once a
// second.
void AppendTime(std::string& out) {
  static thread_local int64_t second = -1;
  static thread_local std::string formatted;
  const int64_t now_ms = NowMs();
  if (now_ms / 1000 != second) {
    second = now_ms / 1000;
    formatted =
        absl::FormatTime("%Y-%m-%dT%H:%M:%S", absl::FromUnixSeconds(second),
                         absl::UTCTimeZone());
  }
  absl::StrAppend(&out, formatted, ".",
                  absl::Dec(now_ms % 1000, absl::kZeroPad3), "Z");
}

std::string& MutableContext() {
  static std::string context;
  return context;
}

void AppendFields(const nlohmann::json& fields, std::string& out) {
  for (const auto& [name, value] : fields.items()) {
    out.append(",\"").append(name).append("\":");
    out.append(
        value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
  }
}

}  // namespace

std::optional<LogLevel> ParseLogLevel(std::string_view name) {
  const auto* row =
      std::find_if(kLevels.begin(), kLevels.end(),
                   [name](const LevelRow& r) { return r.name == name; });
  if (row == kLevels.end()) {
    return std::nullopt;
  }
  return row->level;
}

void SetLogLevel(LogLevel level) {
  Logger().set_level(RowFor(level).spdlog_level);
}

bool IsLogged(LogLevel level) {
  return Logger().should_log(RowFor(level).spdlog_level);
}

void SetLogContext(const nlohmann::json& fields) {
  MutableContext().clear();
  AppendFields(fields, MutableContext());
}

void BufferLog(uint64_t lines_per_second) {
  Buffer() = std::make_unique<LogBuffer>(LogBufferLimits{
      .bytes = kBufferedBytes, .lines_per_second = lines_per_second});
}

void FlushLog() {
  Logger().flush();
}

void Log(LogLevel level, std::string_view event, const nlohmann::json& fields) {
  if (!IsLogged(level)) {
    return;
  }
  std::string line;
  internal::BeginLine(level, event, line);
  if (fields.is_object()) {
    AppendFields(fields, line);
  }
  line.append("}");
  internal::WriteLine(level, line);
}

namespace internal {

bool WritesLine(LogLevel level) {
  return IsLogged(level) &&
         (level >= LogLevel::kWarning || !Sink()->DropsNext());
}

void BeginLine(LogLevel level, std::string_view event, std::string& out) {
  out.reserve(512);
  out.append("{\"time\":\"");
  AppendTime(out);
  out.append("\",\"level\":\"").append(RowFor(level).name);
  out.append("\",\"event\":\"").append(event).append("\"");
  out.append(Context());
}

std::string_view Context() {
  return MutableContext();
}

void WriteLine(LogLevel level, std::string_view line) {
  std::string text;
  text.reserve(line.size() + 1);
  text.append(line).append("\n");
  Logger().log(RowFor(level).spdlog_level,
               spdlog::string_view_t(text.data(), text.size()));
}

}  // namespace internal
}  // namespace jackdawshunt::base
