#include "jackdawshunt/base/log_line.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "jackdawshunt/base/internal/log_writer.h"
#include "nlohmann/json.hpp"

namespace jackdawshunt::base {
namespace {

bool NeedsNoEscape(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return byte >= 0x20 && byte < 0x7f && c != '"' && c != '\\';
}

void AppendName(std::string_view name, std::string& out) {
  out.append(",\"").append(name).append("\":");
}

}  // namespace

void AppendJsonField(std::string_view name,
                     std::string_view value,
                     std::string& out) {
  AppendName(name, out);
  if (std::all_of(value.begin(), value.end(), NeedsNoEscape)) {
    out.append("\"").append(value).append("\"");
    return;
  }
  out.append(nlohmann::json(value).dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void AppendJsonField(std::string_view name, double value, std::string& out) {
  AppendName(name, out);
  absl::StrAppend(&out, value);
}

void AppendJsonField(std::string_view name, int64_t value, std::string& out) {
  AppendName(name, out);
  absl::StrAppend(&out, value);
}

void AppendJsonField(std::string_view name, uint64_t value, std::string& out) {
  AppendName(name, out);
  absl::StrAppend(&out, value);
}

void AppendJsonField(std::string_view name, bool value, std::string& out) {
  AppendName(name, out);
  out.append(value ? "true" : "false");
}

LogLine::LogLine(LogLevel level, std::string_view event)
    : level_(level), is_logged_(internal::WritesLine(level)) {
  if (is_logged_) {
    internal::BeginLine(level, event, text_);
  }
}

LogLine::~LogLine() {
  if (is_logged_) {
    text_.append("}");
    internal::WriteLine(level_, text_);
  }
}

LogLine& LogLine::Add(std::string_view name, std::string_view value) {
  if (is_logged_) {
    AppendJsonField(name, value, text_);
  }
  return *this;
}

LogLine& LogLine::Add(std::string_view name, double value) {
  if (is_logged_) {
    AppendJsonField(name, value, text_);
  }
  return *this;
}

LogLine& LogLine::Add(std::string_view name, bool value) {
  if (is_logged_) {
    AppendJsonField(name, value, text_);
  }
  return *this;
}

}  // namespace jackdawshunt::base
