#include "jackdawshunt/base/json_depth.h"

#include <algorithm>

namespace jackdawshunt::base {

bool NestsAtMost(const nlohmann::json& value, size_t depth) {
  if (!value.is_structured()) {
    return true;
  }
  return depth > 0 && std::all_of(value.begin(), value.end(),
                                  [depth](const nlohmann::json& nested) {
                                    return NestsAtMost(nested, depth - 1);
                                  });
}

}  // namespace jackdawshunt::base
