// Functions shared by log.cc, log_line.cc and crash_line.cc.
#ifndef JACKDAWSHUNT_BASE_INTERNAL_LOG_WRITER_H_
#define JACKDAWSHUNT_BASE_INTERNAL_LOG_WRITER_H_

#include <string>
#include <string_view>

#include "jackdawshunt/base/log.h"

namespace jackdawshunt::base::internal {

// Returns whether a line of `level` will be written. If only the rate limit
// prevents it, the line counts as dropped and must not be built.
bool WritesLine(LogLevel level);
// Appends a JSON object with time, level, event and context, without the
// closing brace.
void BeginLine(LogLevel level, std::string_view event, std::string& out);
// Returns the fields of the context, each as `,"name":value`.
std::string_view Context();
// Writes a complete JSON object as one line.
void WriteLine(LogLevel level, std::string_view line);

}  // namespace jackdawshunt::base::internal

#endif  // JACKDAWSHUNT_BASE_INTERNAL_LOG_WRITER_H_
