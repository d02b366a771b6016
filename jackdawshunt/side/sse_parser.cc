#include "jackdawshunt/side/sse_parser.h"

#include <utility>

namespace jackdawshunt::side {

std::vector<std::string> SseParser::Append(std::string_view part) {
  std::vector<std::string> events;
  while (!part.empty()) {
    const size_t newline = part.find('\n');
    if (newline == std::string_view::npos) {
      partial_line_ += part;
      break;
    }
    partial_line_ += part.substr(0, newline);
    part.remove_prefix(newline + 1);
    std::string line = std::exchange(partial_line_, {});
    if (line.ends_with('\r')) {
      line.pop_back();
    }
    HandleLine(line, events);
  }
  return events;
}

void SseParser::HandleLine(std::string_view line,
                           std::vector<std::string>& events) {
  constexpr std::string_view kField = "data:";
  if (line.empty()) {
    if (has_data_) {
      events.push_back(std::exchange(data_, {}));
      has_data_ = false;
    }
    return;
  }
  if (!line.starts_with(kField)) {
    return;
  }
  line.remove_prefix(kField.size());
  if (line.starts_with(' ')) {
    line.remove_prefix(1);
  }
  if (has_data_) {
    data_ += '\n';
  }
  data_ += line;
  has_data_ = true;
}

}  // namespace jackdawshunt::side
