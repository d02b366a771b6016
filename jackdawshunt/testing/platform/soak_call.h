// One call of a soak, with what is judged of it.
#ifndef JACKDAWSHUNT_TESTING_PLATFORM_SOAK_CALL_H_
#define JACKDAWSHUNT_TESTING_PLATFORM_SOAK_CALL_H_

#include <memory>

#include "jackdawshunt/testing/platform/caller_stream.h"
#include "jackdawshunt/testing/platform/platform_fleet.h"

namespace jackdawshunt::testing {

struct SoakCall {
  std::shared_ptr<PlatformCall> call;
  size_t gateway = 0;
  kernel::TimePoint sent{};
  bool has_left = false;
  bool is_checked = false;
  // What its caller has of its stream; null for plain requests.
  std::shared_ptr<CallerStream> stream;
  int resumptions = 0;  // Requests that resumed the stream, with this one.
};

}  // namespace jackdawshunt::testing

#endif  // JACKDAWSHUNT_TESTING_PLATFORM_SOAK_CALL_H_
