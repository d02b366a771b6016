// Bounds the nesting of JSON documents from outside the process. The JSON
// library parses and destroys a document of any depth, but copies, compares and
// writes it recursively, so a deep one exhausts the stack.
//
// Example:
//   const auto body = nlohmann::json::parse(text, nullptr, false);
//   if (!base::NestsAtMost(body, base::kMaxJsonDepth)) {
//     return absl::InvalidArgumentError("the body nests too deeply");
//   }
#ifndef JACKDAWSHUNT_BASE_JSON_DEPTH_H_
#define JACKDAWSHUNT_BASE_JSON_DEPTH_H_

#include <cstddef>

#include "nlohmann/json.hpp"

namespace jackdawshunt::base {

// Arrays and objects within each other that are accepted.
inline constexpr size_t kMaxJsonDepth = 256;

// Returns whether at most `depth` arrays and objects of `value` are within each
// other; 0 for a single value. Recurses at most `depth` times.
bool NestsAtMost(const nlohmann::json& value, size_t depth);

}  // namespace jackdawshunt::base

#endif  // JACKDAWSHUNT_BASE_JSON_DEPTH_H_
