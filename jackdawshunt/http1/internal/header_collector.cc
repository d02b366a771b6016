#include "jackdawshunt/http1/internal/header_collector.h"

#include <algorithm>
#include <utility>

#include "absl/strings/ascii.h"
#include "jackdawshunt/http1/internal/release.h"
#include "jackdawshunt/http1/message.h"

namespace jackdawshunt::http1::internal {
namespace {

bool IsTokenCharacter(char c) {
  constexpr std::string_view kTokenMarks = "!#$%&'*+-.^_`|~";
  return absl::ascii_isalnum(static_cast<unsigned char>(c)) ||
         kTokenMarks.find(c) != std::string_view::npos;
}

bool IsValueCharacter(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return c == '\t' || (byte >= 0x20 && byte != 0x7f);
}

}  // namespace

void HeaderCollector::AppendName(std::string_view piece) {
  if (headers_.empty() || in_value_) {
    headers_.emplace_back();
    in_value_ = false;
  }
  headers_.back().first.append(piece);
  text_bytes_ += piece.size();
}

void HeaderCollector::AppendValue(std::string_view piece) {
  if (headers_.empty()) {
    return;
  }
  in_value_ = true;
  headers_.back().second.append(piece);
  text_bytes_ += piece.size();
}

void HeaderCollector::Clear() {
  Release(headers_);
  text_bytes_ = 0;
  in_value_ = false;
}

http::Headers HeaderCollector::Take() {
  for (auto& [name, value] : headers_) {
    absl::StripAsciiWhitespace(&value);
  }
  in_value_ = false;
  text_bytes_ = 0;
  return std::exchange(headers_, {});
}

bool AreValidHeaders(const http::Headers& headers) {
  for (const auto& [name, value] : headers) {
    if (name.empty() ||
        !std::all_of(name.begin(), name.end(), IsTokenCharacter) ||
        !std::all_of(value.begin(), value.end(), IsValueCharacter)) {
      return false;
    }
  }
  const size_t lengths = CountHeader(headers, "Content-Length");
  const size_t codings = CountHeader(headers, "Transfer-Encoding");
  if (codings == 0) {
    return lengths <= 1;
  }
  return codings == 1 && lengths == 0 &&
         EqualsIgnoreCase(http::FindHeader(headers, "Transfer-Encoding"),
                          "chunked");
}

}  // namespace jackdawshunt::http1::internal
