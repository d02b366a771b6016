// Empties a value and frees its memory. An assignment of an empty string keeps
// the capacity.
//
// Example:
//   internal::Release(body);
#ifndef JACKDAWSHUNT_HTTP1_INTERNAL_RELEASE_H_
#define JACKDAWSHUNT_HTTP1_INTERNAL_RELEASE_H_

#include <utility>

namespace jackdawshunt::http1::internal {

template <typename T>
void Release(T& value) {
  T empty;
  std::swap(value, empty);
}

}  // namespace jackdawshunt::http1::internal

#endif  // JACKDAWSHUNT_HTTP1_INTERNAL_RELEASE_H_
