// Builds one log line field by field, without a JSON document tree, for lines
// that are written for every request.
//
// Example:
//   base::LogLine(base::LogLevel::kInfo, "request_done")
//       .Add("request", id)
//       .Add("status", 200)
//       .Add("parts", [&] { return PartsText(request); });
//
// The last value is computed only if the line is written. The line is written
// when the object is destroyed. Separate objects may be used by separate
// threads.
#ifndef JACKDAWSHUNT_BASE_LOG_LINE_H_
#define JACKDAWSHUNT_BASE_LOG_LINE_H_

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

#include "jackdawshunt/base/log.h"

namespace jackdawshunt::base {

// Append `,"name":value` to `out`. Replace bytes that are not UTF-8.
void AppendJsonField(std::string_view name,
                     std::string_view value,
                     std::string& out);
void AppendJsonField(std::string_view name, double value, std::string& out);
void AppendJsonField(std::string_view name, int64_t value, std::string& out);
void AppendJsonField(std::string_view name, uint64_t value, std::string& out);
void AppendJsonField(std::string_view name, bool value, std::string& out);

class LogLine {
 public:
  LogLine(LogLevel level, std::string_view event);
  ~LogLine();
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;

  LogLine& Add(std::string_view name, std::string_view value);
  LogLine& Add(std::string_view name, const char* value) {
    return Add(name, std::string_view(value));
  }
  LogLine& Add(std::string_view name, double value);
  LogLine& Add(std::string_view name, bool value);
  template <std::integral T>
  LogLine& Add(std::string_view name, T value) {
    if (is_logged_) {
      if constexpr (std::signed_integral<T>) {
        AppendJsonField(name, static_cast<int64_t>(value), text_);
      } else {
        AppendJsonField(name, static_cast<uint64_t>(value), text_);
      }
    }
    return *this;
  }
  // Adds what `value` returns; it is not called if the line is dropped.
  template <std::invocable F>
  LogLine& Add(std::string_view name, F value) {
    if (is_logged_) {
      Add(name, value());
    }
    return *this;
  }

 private:
  const LogLevel level_;
  const bool is_logged_;
  std::string text_;
};

}  // namespace jackdawshunt::base

#endif  // JACKDAWSHUNT_BASE_LOG_LINE_H_
