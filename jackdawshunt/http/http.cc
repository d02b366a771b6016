#include "jackdawshunt/http/http.h"

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace jackdawshunt::http {

std::string_view FindHeader(const Headers& headers, std::string_view name) {
  const auto found =
      std::find_if(headers.begin(), headers.end(), [name](const auto& header) {
        return absl::EqualsIgnoreCase(
            header.first, absl::string_view(name.data(), name.size()));
      });
  return found == headers.end() ? std::string_view() : found->second;
}

std::string PercentEncode(std::string_view text) {
  constexpr std::string_view kUnescapedCharacters = "-._~/";
  std::string escaped;
  for (const char c : text) {
    const bool is_alphanumeric = (c >= 'a' && c <= 'z') ||
                                 (c >= 'A' && c <= 'Z') ||
                                 (c >= '0' && c <= '9');
    if (is_alphanumeric ||
        kUnescapedCharacters.find(c) != std::string_view::npos) {
      escaped.push_back(c);
    } else {
      absl::StrAppendFormat(&escaped, "%%%02X", static_cast<unsigned char>(c));
    }
  }
  return escaped;
}

std::string Address::ToString() const {
  return absl::StrCat(ip, ":", port);
}

}  // namespace jackdawshunt::http
