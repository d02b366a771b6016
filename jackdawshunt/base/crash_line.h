// A log line that a signal handler writes while the rest of the process is in
// an unknown state. Needs no memory and no lock, and never blocks.
//
// Example:
//   base::CrashLine line("loop_stuck");
//   line.Add("work", "connection");
//   line.Write();
//   std::abort();
#ifndef JACKDAWSHUNT_BASE_CRASH_LINE_H_
#define JACKDAWSHUNT_BASE_CRASH_LINE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace jackdawshunt::base {

class CrashLine {
 public:
  // Begins a line of level "error" like those of log.h, with the log's context.
  explicit CrashLine(std::string_view event);

  // Add a field. Names and texts must need no escapes. A field that does not
  // fit is left out.
  CrashLine& Add(std::string_view name, std::string_view text);
  CrashLine& Add(std::string_view name, uint64_t number);

  // Writes the line to standard output, or drops it if that would block. Call
  // once.
  void Write();

 private:
  // What one write to a pipe keeps together, PIPE_BUF.
  static constexpr size_t kCapacity = 4096;

  void AppendTime();
  // Appends all texts, or none if they do not fit.
  void Append(std::initializer_list<std::string_view> texts);

  std::array<char, kCapacity> text_;
  size_t size_ = 0;
};

}  // namespace jackdawshunt::base

#endif  // JACKDAWSHUNT_BASE_CRASH_LINE_H_
