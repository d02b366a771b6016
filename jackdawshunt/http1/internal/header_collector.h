// Assembles header fields from the pieces that http_parser hands out.
#ifndef JACKDAWSHUNT_HTTP1_INTERNAL_HEADER_COLLECTOR_H_
#define JACKDAWSHUNT_HTTP1_INTERNAL_HEADER_COLLECTOR_H_

#include <string>
#include <string_view>

#include "jackdawshunt/http/http.h"

namespace jackdawshunt::http1::internal {

class HeaderCollector {
 public:
  void AppendName(std::string_view piece);
  void AppendValue(std::string_view piece);
  void Clear();
  // Returns the fields with surrounding blanks removed from the values.
  http::Headers Take();

 private:
  http::Headers headers_;
  bool in_value_ = false;
};

// Whether names are tokens, values hold no control characters, and the end of
// the body is marked in one way only.
bool HasPlainFraming(const http::Headers& headers);

}  // namespace jackdawshunt::http1::internal

#endif  // JACKDAWSHUNT_HTTP1_INTERNAL_HEADER_COLLECTOR_H_
