#include "jackdawshunt/routing/answer_times.h"

#include <chrono>

namespace jackdawshunt::routing {
namespace {

// Bounds what is kept; the fleet has up to 7,700 upstreams.
constexpr size_t kMaxStarts = 8192;
constexpr kernel::Duration kMaxAge = std::chrono::minutes(2);
// Length of a slow period.
constexpr kernel::Duration kRecentTime = std::chrono::milliseconds(600);
// A start that has not answered for longer counts as unknown, so that it is
// tried again.
constexpr kernel::Duration kUsualTime = std::chrono::seconds(5);
// Weights of one answer.
constexpr double kRecentWeight = 0.4;
constexpr double kUsualWeight = 0.05;

}  // namespace

void AnswerTimes::Record(uint64_t start,
                         kernel::Duration time,
                         kernel::TimePoint now) {
  const auto us = static_cast<double>(time.count());
  const auto found = starts_.find(start);
  if (found == starts_.end()) {
    if (starts_.size() < kMaxStarts) {
      starts_.emplace(start, Start{.recent_us = us, .usual_us = us, .at = now});
    }
    return;
  }
  Start& row = found->second;
  row.recent_us = now - row.at > kRecentTime
                      ? us
                      : row.recent_us + kRecentWeight * (us - row.recent_us);
  row.usual_us += kUsualWeight * (us - row.usual_us);
  row.at = now;
}

kernel::Duration AnswerTimes::Expected(uint64_t start,
                                       kernel::TimePoint now) const {
  const auto found = starts_.find(start);
  if (found == starts_.end()) {
    return kernel::Duration::zero();
  }
  const Start& row = found->second;
  const kernel::Duration age = now - row.at;
  if (age > kUsualTime) {
    return kernel::Duration::zero();
  }
  return kernel::Duration(static_cast<kernel::Duration::rep>(
      age > kRecentTime ? row.usual_us : row.recent_us));
}

void AnswerTimes::DropExpired(kernel::TimePoint now) {
  std::erase_if(starts_, [now](const auto& row) {
    return now - row.second.at > kMaxAge;
  });
}

}  // namespace jackdawshunt::routing
