// Writes a log of JSON lines to standard output, one object per line, by
// spdlog.
//
// Example:
//   base::Log(base::LogLevel::kInfo, "grant_accepted",
//             {{"request", id}, {"upstream", name}});
//
// Every line has "time" (RFC 3339, UTC, milliseconds), "level", "event" and the
// fields set by SetLogContext(). Thread-safe.
#ifndef JACKDAWSHUNT_BASE_LOG_H_
#define JACKDAWSHUNT_BASE_LOG_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "nlohmann/json.hpp"

namespace jackdawshunt::base {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// Returns the level named "debug", "info", "warning" or "error", else nullopt.
std::optional<LogLevel> ParseLogLevel(std::string_view name);

// Sets the lowest level that is written. Default: kInfo.
void SetLogLevel(LogLevel level);
// Returns whether lines of `level` are written.
bool IsLogged(LogLevel level);

// Sets fields, such as instance and role, that are added to every later line.
void SetLogContext(const nlohmann::json& fields);

// Buffers later lines until FlushLog(), so that a process that serves requests
// never blocks on the reader of its log. Drops lines below kWarning beyond
// `lines_per_second`. Without this call each line is written at once.
void BufferLog(uint64_t lines_per_second);
// Writes the buffered lines that standard output accepts without blocking.
void FlushLog();

// Writes one line. Replaces bytes that are not UTF-8.
void Log(LogLevel level,
         std::string_view event,
         const nlohmann::json& fields = {});

}  // namespace jackdawshunt::base

#endif  // JACKDAWSHUNT_BASE_LOG_H_
