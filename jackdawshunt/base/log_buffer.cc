#include "jackdawshunt/base/log_buffer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace jackdawshunt::base {
namespace {

// A pipe that poll() reports as writable accepts this much without blocking.
constexpr size_t kBlockBytes = 4096;

bool IsWritable(int fd) {
  pollfd descriptor{.fd = fd, .events = POLLOUT, .revents = 0};
  return poll(&descriptor, 1, 0) == 1 && (descriptor.revents & POLLOUT) != 0;
}

}  // namespace

bool LogBuffer::IsRateReached(int64_t now_ms) {
  const int64_t second = now_ms / 1000;
  if (second != second_) {
    second_ = second;
    lines_in_second_ = 0;
  }
  return limits_.lines_per_second > 0 &&
         lines_in_second_ >= limits_.lines_per_second;
}

bool LogBuffer::DropsNext(int64_t now_ms) {
  if (!IsRateReached(now_ms)) {
    return false;
  }
  ++dropped_;
  return true;
}

void LogBuffer::Append(std::string_view line, bool is_urgent, int64_t now_ms) {
  const bool is_over_rate = !is_urgent && IsRateReached(now_ms);
  lines_in_second_ += is_urgent ? 0 : 1;
  if (is_over_rate || size() + line.size() > limits_.bytes) {
    ++dropped_;
    return;
  }
  if (dropped_ > reported_) {
    absl::StrAppend(&lines_,
                    R"({"level":"warning","event":"log_lines_dropped")",
                    R"(,"lines":)", dropped_ - reported_, "}\n");
    reported_ = dropped_;
  }
  lines_.append(line);
}

void LogBuffer::Flush(int fd) {
  while (size() > 0 && IsWritable(fd)) {
    const ssize_t count =
        write(fd, lines_.data() + written_, std::min(size(), kBlockBytes));
    if (count <= 0) {
      break;
    }
    written_ += static_cast<size_t>(count);
  }
  lines_.erase(0, written_);
  written_ = 0;
}

}  // namespace jackdawshunt::base
