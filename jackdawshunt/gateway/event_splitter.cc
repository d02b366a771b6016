#include "jackdawshunt/gateway/event_splitter.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace jackdawshunt::gateway {
namespace {

// A larger buffer is released when it is empty.
constexpr size_t kMaxIdleCapacity = size_t{64} * 1024;
// The longest end of an event, "\n\r\n".
constexpr size_t kMaxEventEndBytes = 3;

// Returns the length of the line end at `position`; 0 when there is none.
size_t LineEndLength(std::string_view text, size_t position) {
  if (position >= text.size()) {
    return 0;
  }
  if (text[position] == '\n') {
    return 1;
  }
  return text[position] == '\r' && position + 1 < text.size() &&
                 text[position + 1] == '\n'
             ? 2
             : 0;
}

// Returns the position after the first event of `text` that ends after `from`;
// npos when no event is complete.
size_t FindEventEnd(std::string_view text, size_t from) {
  for (size_t i = text.find('\n', from); i != std::string_view::npos;
       i = text.find('\n', i + 1)) {
    if (const size_t blank = LineEndLength(text, i + 1)) {
      return i + 1 + blank;
    }
  }
  return std::string_view::npos;
}

}  // namespace

void EventSplitter::ReleaseReturned() {
  buffer_.erase(0, std::exchange(returned_bytes_, 0));
  if (buffer_.empty() && buffer_.capacity() > kMaxIdleCapacity) {
    std::string().swap(buffer_);
  }
}

std::string_view EventSplitter::Feed(std::string_view data) {
  ReleaseReturned();
  if (is_out_of_order_) {
    return {};
  }
  // Only the last bytes of what is kept may begin the end of an event.
  const size_t searched =
      buffer_.size() - std::min(buffer_.size(), kMaxEventEndBytes - 1);
  buffer_.append(data);
  size_t end = FindEventEnd(buffer_, searched);
  while (end != std::string_view::npos) {
    if (!ApplyEvent(std::string_view(buffer_).substr(returned_bytes_,
                                                     end - returned_bytes_))) {
      break;
    }
    ++event_count_;
    has_split_event_ = false;
    returned_bytes_ = end;
    end = FindEventEnd(buffer_, returned_bytes_);
  }
  if (!is_out_of_order_ && partial().size() > max_event_bytes_) {
    SplitEvent();
  }
  if (is_out_of_order_) {
    buffer_.resize(returned_bytes_);
  }
  return std::string_view(buffer_).substr(0, returned_bytes_);
}

void EventSplitter::SplitEvent() {
  std::string_view piece = std::string_view(buffer_).substr(returned_bytes_);
  // May be the first half of the event's end.
  for (const std::string_view line_end : {"\n\r", "\n"}) {
    if (piece.ends_with(line_end)) {
      piece.remove_suffix(line_end.size());
      break;
    }
  }
  if (piece.empty()) {
    return;
  }
  if (ApplyEvent(piece)) {
    returned_bytes_ += piece.size();
    has_split_event_ = true;
  }
}

bool EventSplitter::ApplyEvent(std::string_view event) {
  // No field of an event begins like this.
  constexpr std::string_view kStatusLine = "HTTP/1.";
  if (!has_split_event_ && event.starts_with(kStatusLine)) {
    is_out_of_order_ = true;
    return false;
  }
  const std::optional<uint64_t> previous = last_event_id_;
  while (true) {
    const size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    if (end == std::string_view::npos || !split_line_.empty()) {
      split_line_.append(line, 0, kMaxIdLineBytes - split_line_.size());
      line = split_line_;
    }
    if (end == std::string_view::npos) {
      return true;
    }
    const bool is_in_order = ApplyLine(line, previous);
    split_line_.clear();
    if (!is_in_order) {
      return false;
    }
    event.remove_prefix(end + 1);
  }
}

bool EventSplitter::ApplyLine(std::string_view line,
                              std::optional<uint64_t> previous) {
  constexpr std::string_view kField = "id:";
  if (!line.starts_with(kField)) {
    return true;
  }
  line.remove_prefix(kField.size());
  while (line.starts_with(' ')) {
    line.remove_prefix(1);
  }
  uint64_t id = 0;
  const auto result =
      std::from_chars(line.data(), line.data() + line.size(), id);
  if (result.ec != std::errc()) {
    return true;
  }
  if (previous.has_value() && id <= *previous) {
    is_out_of_order_ = true;
    return false;
  }
  last_event_id_ = id;
  return true;
}

std::string_view EventSplitter::partial() const {
  return std::string_view(buffer_).substr(returned_bytes_);
}

}  // namespace jackdawshunt::gateway
