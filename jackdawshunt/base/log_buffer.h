// A bounded buffer of log lines that writes to a file descriptor without
// blocking.
//
// Lines are written in blocks. While the reader does not read, lines are kept
// up to a size limit. Further lines are dropped and counted, and the count is
// written once there is space again. The number of lines per second is limited
// too, except for urgent lines.
//
// Example:
//   base::LogBuffer buffer({.bytes = 1 << 18, .lines_per_second = 300});
//   buffer.Append("{...}\n", /*is_urgent=*/false, now_ms);
//   buffer.Flush(STDOUT_FILENO);
//
// Not thread-safe.
#ifndef JACKDAWSHUNT_BASE_LOG_BUFFER_H_
#define JACKDAWSHUNT_BASE_LOG_BUFFER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace jackdawshunt::base {

struct LogBufferLimits {
  size_t bytes = size_t{256} * 1024;
  uint64_t lines_per_second = 0;  // 0 means no limit.
};

class LogBuffer {
 public:
  explicit LogBuffer(LogBufferLimits limits) : limits_(limits) {}

  // Adds a line, or drops it when a limit is exceeded. Urgent lines are exempt
  // from the rate limit. `now_ms` is the time in milliseconds.
  void Append(std::string_view line, bool is_urgent, int64_t now_ms);
  // Returns whether a line that is not urgent would exceed the rate limit now,
  // and if so counts it as dropped, so that the caller need not build it.
  bool DropsNext(int64_t now_ms);
  // Writes as much as `fd` accepts without blocking.
  void Flush(int fd);

  // Returns the number of bytes not yet written.
  size_t size() const { return lines_.size() - written_; }
  // Returns the number of lines dropped so far.
  uint64_t dropped() const { return dropped_; }

 private:
  // Starts a new second of the rate limit if needed. Returns whether the limit
  // is reached.
  bool IsRateReached(int64_t now_ms);

  const LogBufferLimits limits_;
  std::string lines_;
  size_t written_ = 0;  // Bytes of lines_ that were written.
  uint64_t dropped_ = 0;
  uint64_t reported_ = 0;  // Dropped lines already reported in the log.
  int64_t second_ = 0;
  uint64_t lines_in_second_ = 0;
};

}  // namespace jackdawshunt::base

#endif  // JACKDAWSHUNT_BASE_LOG_BUFFER_H_
