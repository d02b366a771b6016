#include "jackdawshunt/http1/internal/embedded_head_scanner.h"

#include <algorithm>

namespace jackdawshunt::http1::internal {
namespace {

constexpr std::string_view kVersion = "HTTP/1.";
// Longer candidates are taken for the head of another response.
constexpr size_t kMaxHeadBytes = size_t{8} * 1024;
// Bytes are parsed again for each candidate that they belong to. A body with
// more of that is rejected, which bounds the time for it.
constexpr size_t kMaxRejectedBytes = size_t{4} * 1024 * 1024;

// Returns the size of the longest end of `text` with which `kVersion` begins.
size_t PartialVersionSize(std::string_view text) {
  for (size_t size = std::min(text.size(), kVersion.size() - 1); size > 0;
       --size) {
    if (kVersion.starts_with(text.substr(text.size() - size))) {
      return size;
    }
  }
  return 0;
}

}  // namespace

EmbeddedHeadScanner::EmbeddedHeadScanner(Owner& owner) : owner_(owner) {}

void EmbeddedHeadScanner::Reset() {
  held_.clear();
  has_candidate_ = false;
  is_other_response_ = false;
  rejected_bytes_ = 0;
}

void EmbeddedHeadScanner::PassOn(size_t size) {
  if (size > 0) {
    owner_.OnScannedBody(std::string_view(held_).substr(0, size));
    held_.erase(0, size);
  }
}

bool EmbeddedHeadScanner::FindCandidate() {
  const size_t start = held_.find(kVersion);
  if (start == std::string::npos) {
    PassOn(held_.size() - PartialVersionSize(held_));
    return false;
  }
  PassOn(start);
  has_candidate_ = true;
  // Without a body, so that the parser stops after the head.
  parser_.Reset(/*to_head_request=*/true);
  parsed_bytes_ = 0;
  return true;
}

bool EmbeddedHeadScanner::Feed(std::string_view data) {
  held_.append(data);
  while (has_candidate_ || FindCandidate()) {
    if (parsed_bytes_ == 0 && !owner_.MayContinueWithStatusLine()) {
      return false;
    }
    parsed_bytes_ +=
        parser_.Feed(std::string_view(held_).substr(parsed_bytes_), *this);
    if (is_other_response_) {
      return false;
    }
    if (parser_.state() != ParseState::kComplete &&
        parser_.state() != ParseState::kInvalid) {
      return held_.size() <= kMaxHeadBytes;
    }
    rejected_bytes_ += parsed_bytes_;
    if (rejected_bytes_ > kMaxRejectedBytes) {
      return false;
    }
    has_candidate_ = false;
    PassOn(kVersion.size());
  }
  return true;
}

bool EmbeddedHeadScanner::FeedEnd() {
  // The id that tells whether it is a head may be missing.
  if (has_candidate_ && held_.find('\n') != std::string::npos) {
    return false;
  }
  PassOn(held_.size());
  return true;
}

void EmbeddedHeadScanner::OnHead(const ResponseHead& head) {
  is_other_response_ = owner_.IsOtherResponse(head);
}

}  // namespace jackdawshunt::http1::internal
