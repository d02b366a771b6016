// What log.cc and log_line.cc share.
#ifndef JACKDAWSHUNT_BASE_INTERNAL_LOG_WRITER_H_
#define JACKDAWSHUNT_BASE_INTERNAL_LOG_WRITER_H_

#include <string>
#include <string_view>

#include "jackdawshunt/base/log.h"

namespace jackdawshunt::base::internal {

// Appends an opened JSON object with time, level, event and context.
void BeginLine(LogLevel level, std::string_view event, std::string& out);
// Writes a closed JSON object as one line.
void WriteLine(LogLevel level, std::string_view line);

}  // namespace jackdawshunt::base::internal

#endif  // JACKDAWSHUNT_BASE_INTERNAL_LOG_WRITER_H_
