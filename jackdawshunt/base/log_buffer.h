// Log lines on their way to a file descriptor that must never block the
// process.
//
// Lines are collected and written in blocks. While the reader does not read,
// lines are kept up to a limit; further ones are dropped and counted, and the
// count is written when the reader is back. The number of lines a second is
// bounded as well, warnings excepted.
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
  uint64_t lines_per_second = 0;  // 0: not limited.
};

class LogBuffer {
 public:
  explicit LogBuffer(LogBufferLimits limits) : limits_(limits) {}

  // `is_urgent` lines are not counted against the rate.
  void Append(std::string_view line, bool is_urgent, int64_t now_ms);
  // Writes what the descriptor takes without blocking.
  void Flush(int fd);

  size_t size() const { return lines_.size() - written_; }
  uint64_t dropped() const { return dropped_; }

 private:
  bool IsOverRate(int64_t now_ms);

  const LogBufferLimits limits_;
  std::string lines_;
  size_t written_ = 0;  // Bytes of lines_ that were written.
  uint64_t dropped_ = 0;
  uint64_t reported_ = 0;  // Of dropped_, by a line.
  int64_t second_ = 0;
  uint64_t lines_in_second_ = 0;
};

}  // namespace jackdawshunt::base

#endif  // JACKDAWSHUNT_BASE_LOG_BUFFER_H_
