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

namespace jackdawshunt::platform {

// Arrays and objects within others up to this number are read.
inline constexpr size_t kMaxJsonDepth = 64;

// Returns `text` with each value that is nested deeper, is a number beyond a
// double, or is no JSON value, such as NaN, replaced by an empty array, which
// no field expects that holds a single value. Control characters are replaced
// by ' ', bytes in strings that are not UTF-8 by '?', and a string that is
// still not readable by "?". Other text stays as it is, also if it is not JSON.
std::string RepairJson(std::string_view text);

}  // namespace jackdawshunt::platform

#endif  // JACKDAWSHUNT_PLATFORM_JSON_TEXT_H_
