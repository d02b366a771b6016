#include "jackdawshunt/base/crash_line.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <limits>

#include "jackdawshunt/base/internal/log_writer.h"

namespace jackdawshunt::base {
namespace {

constexpr std::string_view kEnd = "}\n";

// The digits of a number, padded with zeros.
class Digits {
 public:
  explicit Digits(uint64_t number, size_t width = 1) {
    const auto end =
        std::to_chars(digits_.data(), digits_.data() + digits_.size(), number)
            .ptr;
    size_ = static_cast<size_t>(end - digits_.data());
    const size_t missing = std::max(width, size_) - size_;
    std::copy_backward(digits_.data(), end, end + missing);
    std::fill_n(digits_.data(), missing, '0');
    size_ += missing;
  }
  std::string_view text() const { return {digits_.data(), size_}; }

 private:
  std::array<char, std::numeric_limits<uint64_t>::digits10 + 1> digits_;
  size_t size_ = 0;
};

}  // namespace

CrashLine::CrashLine(std::string_view event) {
  // The log may have been interrupted within a line.
  Append({"\n{\"time\":\""});
  AppendTime();
  Append({"\",\"level\":\"error\",\"event\":\"", event, "\"",
          internal::Context()});
}

CrashLine& CrashLine::Add(std::string_view name, std::string_view text) {
  Append({",\"", name, "\":\"", text, "\""});
  return *this;
}

CrashLine& CrashLine::Add(std::string_view name, uint64_t number) {
  Append({",\"", name, "\":", Digits(number).text()});
  return *this;
}

void CrashLine::Write() {
  std::copy(kEnd.begin(), kEnd.end(), text_.data() + size_);
  size_ += kEnd.size();
  pollfd out{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
  if (poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0) {
    // The process ends next; there is nobody to report an error to.
    [[maybe_unused]] const ssize_t written =
        write(STDOUT_FILENO, text_.data(), size_);
  }
}

void CrashLine::AppendTime() {
  using std::chrono::floor;
  const auto now =
      floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
  const auto day = floor<std::chrono::days>(now);
  const std::chrono::year_month_day date(day);
  const std::chrono::hh_mm_ss time(now - day);
  const auto two_digits = [](auto number) {
    return Digits(static_cast<uint64_t>(number), 2);
  };
  Append({Digits(static_cast<uint64_t>(static_cast<int>(date.year()))).text(),
          "-", two_digits(static_cast<unsigned>(date.month())).text(), "-",
          two_digits(static_cast<unsigned>(date.day())).text(), "T",
          two_digits(time.hours().count()).text(), ":",
          two_digits(time.minutes().count()).text(), ":",
          two_digits(time.seconds().count()).text(), ".",
          Digits(static_cast<uint64_t>(time.subseconds().count()), 3).text(),
          "Z"});
}

void CrashLine::Append(std::initializer_list<std::string_view> texts) {
  size_t added = 0;
  for (const std::string_view text : texts) {
    added += text.size();
  }
  if (added > text_.size() - kEnd.size() - size_) {
    return;
  }
  for (const std::string_view text : texts) {
    std::copy(text.begin(), text.end(), text_.data() + size_);
    size_ += text.size();
  }
}

}  // namespace jackdawshunt::base
