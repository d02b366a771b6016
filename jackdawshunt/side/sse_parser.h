// Splits a byte stream of server-sent events into the data of each event.
//
// Example:
//   side::SseParser parser;
//   for (const std::string& data : parser.Append(part)) { ... }
#ifndef JACKDAWSHUNT_SIDE_SSE_PARSER_H_
#define JACKDAWSHUNT_SIDE_SSE_PARSER_H_

#include <string>
#include <string_view>
#include <vector>

namespace jackdawshunt::side {

class SseParser {
 public:
  // Returns the data of the events that are complete with this part; the lines
  // of an event with several data fields are joined by newlines.
  std::vector<std::string> Append(std::string_view part);

 private:
  void TakeLine(std::string_view line, std::vector<std::string>& events);

  std::string partial_line_;
  std::string data_;
  bool has_data_ = false;
};

}  // namespace jackdawshunt::side

#endif  // JACKDAWSHUNT_SIDE_SSE_PARSER_H_
