#include "jackdawshunt/base/log.h"

#include <algorithm>
#include <array>
#include <memory>
#include <string>
#include <utility>

#include "absl/time/clock.h"
#include "absl/time/time.h"
#include "spdlog/sinks/stdout_sinks.h"
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

spdlog::logger& Logger() {
  static const std::shared_ptr<spdlog::logger> logger = [] {
    auto created = std::make_shared<spdlog::logger>(
        "jackdawshunt", std::make_shared<spdlog::sinks::stderr_sink_mt>());
    created->set_pattern("%v");
    created->flush_on(spdlog::level::debug);
    return created;
  }();
  return *logger;
}

nlohmann::json& Context() {
  static nlohmann::json context = nlohmann::json::object();
  return context;
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

void SetLogContext(nlohmann::json fields) {
  Context() = std::move(fields);
}

void Log(LogLevel level, std::string_view event, const nlohmann::json& fields) {
  if (!IsLogged(level)) {
    return;
  }
  nlohmann::ordered_json line;
  line["time"] = absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", absl::Now(),
                                  absl::UTCTimeZone());
  line["level"] = RowFor(level).name;
  line["event"] = event;
  line.update(nlohmann::ordered_json(Context()));
  if (fields.is_object()) {
    line.update(nlohmann::ordered_json(fields));
  }
  Logger().log(RowFor(level).spdlog_level, "{}",
               line.dump(-1, ' ', false,
                         nlohmann::ordered_json::error_handler_t::replace));
}

}  // namespace jackdawshunt::base
