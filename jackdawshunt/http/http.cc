#include "jackdawshunt/http/http.h"

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace jackdawshunt::http {

std::string_view FindHeader(const Headers& headers, std::string_view name) {
  const auto found =
      std::find_if(headers.begin(), headers.end(), [name](const auto& header) {
        return absl::EqualsIgnoreCase(
            header.first, absl::string_view(name.data(), name.size()));
      });
  return found == headers.end() ? std::string_view() : found->second;
}

std::string Address::ToString() const {
  return absl::StrCat(ip, ":", port);
}

}  // namespace jackdawshunt::http
