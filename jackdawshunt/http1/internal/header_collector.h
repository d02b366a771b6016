// Assembles header fields from the pieces that http_parser passes to callbacks.
//
// Example:
//   internal::HeaderCollector collector;
//   collector.AppendName("Ho");
//   collector.AppendName("st");
//   collector.AppendValue("x");
//   http::Headers headers = collector.Take();  // {{"Host", "x"}}
//
// Not thread-safe.
#ifndef JACKDAWSHUNT_HTTP1_INTERNAL_HEADER_COLLECTOR_H_
#define JACKDAWSHUNT_HTTP1_INTERNAL_HEADER_COLLECTOR_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "jackdawshunt/http/http.h"

namespace jackdawshunt::http1::internal {

class HeaderCollector {
 public:
  void AppendName(std::string_view piece);
  void AppendValue(std::string_view piece);
  void Clear();
  // Removes and returns all fields, with surrounding blanks stripped from the
  // values.
  http::Headers Take();
  // Returns an upper bound of the memory that the fields take.
  size_t memory_bytes() const {
    return headers_.capacity() * sizeof(http::Headers::value_type) +
           2 * text_bytes_;
  }

 private:
  http::Headers headers_;
  size_t text_bytes_ = 0;
  bool in_value_ = false;  // The last piece belonged to a value.
};

// Returns whether names are tokens, values contain no control characters except
// tabs, and at most one header marks the end of the body.
bool AreValidHeaders(const http::Headers& headers);

}  // namespace jackdawshunt::http1::internal

#endif  // JACKDAWSHUNT_HTTP1_INTERNAL_HEADER_COLLECTOR_H_
