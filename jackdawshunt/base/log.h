// JSON-lines log on standard error, one object per line, by spdlog.
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
void SetLogContext(nlohmann::json fields);

// Writes one line. Bytes that are not UTF-8 are replaced.
void Log(LogLevel level,
         std::string_view event,
         const nlohmann::json& fields = {});

}  // namespace jackdawshunt::base

#endif  // JACKDAWSHUNT_BASE_LOG_H_
