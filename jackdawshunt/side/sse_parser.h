// Parses a byte stream of server-sent events into the data of each event.
//
// Example:
//   side::SseParser parser;
//   for (const std::string& data : parser.Append(part)) {
//     Handle(data);
//   }
//
// Not thread-safe.
#ifndef JACKDAWSHUNT_SIDE_SSE_PARSER_H_
#define JACKDAWSHUNT_SIDE_SSE_PARSER_H_

#include <string>
#include <string_view>
#include <vector>

namespace jackdawshunt::side {

class SseParser {
 public:
  // Returns the data of the events that this part completes. The data fields of
  // an event are joined by newlines. Other fields are ignored.
  std::vector<std::string> Append(std::string_view part);

 private:
  void HandleLine(std::string_view line, std::vector<std::string>& events);

  std::string partial_line_;
  std::string data_;  // Data of the incomplete event.
  bool has_data_ = false;
};

}  // namespace jackdawshunt::side

#endif  // JACKDAWSHUNT_SIDE_SSE_PARSER_H_
