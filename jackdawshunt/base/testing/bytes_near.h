// Draws inputs for property tests of what reads bytes from outside the process.
//
// Example:
//   RC_GTEST_PROP(WidgetTest, BytesNearAWidgetStopTheReader, ()) {
//     DecodeWidget(*base::testing::BytesNear(kWidget));
//   }
#ifndef JACKDAWSHUNT_BASE_TESTING_BYTES_NEAR_H_
#define JACKDAWSHUNT_BASE_TESTING_BYTES_NEAR_H_

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>

#include "rapidcheck.h"

namespace jackdawshunt::base::testing {

// Returns a generator of copies of `valid` with up to seven ranges replaced: by
// arbitrary bytes, by other parts of it, and by parts that are repeated often.
inline rc::Gen<std::string> BytesNear(const std::string& valid) {
  return rc::gen::exec([valid] {
    constexpr size_t kMaxRange = 40;
    constexpr size_t kManyCopies = 300;
    std::string bytes = valid;
    const auto changes = *rc::gen::inRange(0, 8);
    for (int change = 0; change < changes; ++change) {
      const auto part = [&bytes] {
        const auto begin = *rc::gen::inRange<size_t>(0, bytes.size() + 1);
        const auto size = *rc::gen::inRange<size_t>(0, kMaxRange);
        return std::pair(begin, std::min(size, bytes.size() - begin));
      };
      const auto [from, length] = part();
      std::string replacement = *rc::gen::oneOf(
          rc::gen::arbitrary<std::string>(), rc::gen::just(std::string()),
          rc::gen::just(bytes.substr(from, length)));
      const auto copies = *rc::gen::element<size_t>(1, 1, 1, 1, 2, kManyCopies);
      std::string repeated;
      for (size_t copy = 0; copy < copies; ++copy) {
        repeated.append(replacement);
      }
      const auto [begin, size] = part();
      bytes.replace(begin, size, repeated);
    }
    return bytes;
  });
}

}  // namespace jackdawshunt::base::testing

#endif  // JACKDAWSHUNT_BASE_TESTING_BYTES_NEAR_H_
