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

// Identifies one run of a process, from start to exit. Ordered by start time,
// so that a later incarnation of an instance compares greater; the random part
// distinguishes two starts within the same microsecond.
struct Incarnation {
  int64_t start_us = 0;  // Unix time in microseconds.
  uint32_t random = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false report on a defaulted <=>.
  auto operator<=>(const Incarnation&) const = default;

  // Returns "<start_us>-<random>" in hexadecimal.
  std::string ToString() const;
  // Parses the format of ToString(). Error: InvalidArgument.
  static absl::StatusOr<Incarnation> Parse(std::string_view text);
};

// Returns the current time with a random part.
Incarnation NewIncarnation();

}  // namespace jackdawshunt::base

#endif  // JACKDAWSHUNT_BASE_ID_H_
