#include "jackdawshunt/base/id.h"

#include <charconv>
#include <chrono>

#include "absl/random/random.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace jackdawshunt::base {
namespace {

absl::BitGen& Generator() {
  static thread_local absl::BitGen generator;
  return generator;
}

}  // namespace

std::string NewRequestId() {
  return absl::StrFormat("%016x%016x", absl::Uniform<uint64_t>(Generator()),
                         absl::Uniform<uint64_t>(Generator()));
}

std::string Incarnation::ToString() const {
  return absl::StrFormat("%x-%x", start_us, random);
}

absl::StatusOr<Incarnation> Incarnation::Parse(std::string_view text) {
  Incarnation result;
  const char* const end = text.data() + text.size();
  const auto start = std::from_chars(text.data(), end, result.start_us, 16);
  if (start.ec != std::errc() || start.ptr == end || *start.ptr != '-') {
    return absl::InvalidArgumentError(
        absl::StrCat("\"", std::string(text), "\" is not an incarnation"));
  }
  const auto random = std::from_chars(start.ptr + 1, end, result.random, 16);
  if (random.ec != std::errc() || random.ptr != end) {
    return absl::InvalidArgumentError(
        absl::StrCat("\"", std::string(text), "\" is not an incarnation"));
  }
  return result;
}

Incarnation NewIncarnation() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return {std::chrono::duration_cast<std::chrono::microseconds>(now).count(),
          absl::Uniform<uint32_t>(Generator())};
}

}  // namespace jackdawshunt::base
