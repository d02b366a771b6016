// Identifiers of requests and process incarnations.
//
// Example:
//   std::string request = base::NewRequestId();   // 32 hexadecimal digits
//   base::Incarnation self = base::NewIncarnation();
#ifndef JACKDAWSHUNT_BASE_ID_H_
#define JACKDAWSHUNT_BASE_ID_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace jackdawshunt::base {

// Returns 128 random bits as 32 hexadecimal digits.
std::string NewRequestId();

// One life of a process. Ordered by start time, so that of two incarnations of
// one instance the later is the greater; the random part keeps two starts
// within the same microsecond apart.
struct Incarnation {
  int64_t start_us = 0;  // Unix time in microseconds.
  uint32_t random = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false report on a defaulted <=>.
  auto operator<=>(const Incarnation&) const = default;

  // Returns "<start_us>-<random>" in hexadecimal.
  std::string ToString() const;
  // Error: InvalidArgument when `text` was not made by ToString().
  static absl::StatusOr<Incarnation> Parse(std::string_view text);
};

Incarnation NewIncarnation();

}  // namespace jackdawshunt::base

#endif  // JACKDAWSHUNT_BASE_ID_H_
