// JSON-lines log on standard output, one object per line, by spdlog.
//
// Example:
//   base::Log(base::LogLevel::kInfo, "grant_accepted",
//             {{"request", id}, {"upstream", name}, {"why", "lowest
//             service"}});
//
// Every line has "time" (RFC 3339, UTC, milliseconds), "level", "event" and the
// fields given to SetLogContext(). Thread-safe.
#ifndef JACKDAWSHUNT_BASE_LOG_H_
#define JACKDAWSHUNT_BASE_LOG_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "nlohmann/json.hpp"

namespace jackdawshunt::base {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

std::optional<LogLevel> ParseLogLevel(std::string_view name);

// Lines below `level` are not written. Default: kInfo.
void SetLogLevel(LogLevel level);
bool IsLogged(LogLevel level);

// Sets fields, such as instance and role, that every later line carries.
void SetLogContext(const nlohmann::json& fields);

// From now on lines are collected until FlushLog(), at most
// `lines_per_second` of them below kWarning; a process that serves requests
// then never waits for the reader of its log. Without this call each line is
// written at once.
void BufferLog(uint64_t lines_per_second);
void FlushLog();

// Writes one line. Bytes that are not UTF-8 are replaced.
void Log(LogLevel level,
         std::string_view event,
         const nlohmann::json& fields = {});

}  // namespace jackdawshunt::base

#endif  // JACKDAWSHUNT_BASE_LOG_H_
