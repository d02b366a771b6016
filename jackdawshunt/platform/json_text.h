// Makes JSON text readable of which single values are not.
//
// Example:
//   nlohmann::json answer =
//       nlohmann::json::parse(platform::RepairJson(body), nullptr, false);
//
// Answers of the store hold what several writers wrote. A value that the JSON
// library cannot hold, or that would take its memory, makes the whole answer
// unreadable, although it concerns only one entry.
#ifndef JACKDAWSHUNT_PLATFORM_JSON_TEXT_H_
#define JACKDAWSHUNT_PLATFORM_JSON_TEXT_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "nlohmann/json.hpp"

namespace jackdawshunt::platform {

// Arrays and objects within others up to this number are read.
inline constexpr size_t kMaxJsonDepth = 64;

// Returns `text` with each value that is nested deeper, is a number beyond a
// double, is a string with bytes or escapes that cannot be decoded, or is no
// JSON value, such as NaN, replaced by an empty array, which no field expects
// that holds a single value. In names of fields, bytes that are not UTF-8 are
// replaced by '?', and a name that is still not readable by "?". Control
// characters outside strings are replaced by ' '. Other text stays as it is,
// also if it is not JSON.
std::string RepairJson(std::string_view text);

// Returns whether `value` may be one that RepairJson() replaced.
bool IsReplacement(const nlohmann::json& value);

}  // namespace jackdawshunt::platform

#endif  // JACKDAWSHUNT_PLATFORM_JSON_TEXT_H_
