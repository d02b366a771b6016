#include "jackdawshunt/protocol/internal/split.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "jackdawshunt/protocol/codec.h"

namespace jackdawshunt::protocol::internal {
namespace {

using Parts = std::vector<std::string>;

// Splits one list of `whole` between `first` and `second` and copies all other
// fields to both. Returns false when the list has fewer than two entries.
template <typename M, typename T>
bool SplitInHalf(const M& whole, std::vector<T> M::*list, M& first, M& second) {
  const std::vector<T>& entries = whole.*list;
  if (entries.size() < 2) {
    return false;
  }
  const auto middle =
      entries.begin() + static_cast<std::ptrdiff_t>(entries.size() / 2);
  first = whole;
  second = whole;
  (first.*list).assign(entries.begin(), middle);
  (second.*list).assign(middle, entries.end());
  return true;
}

bool SplitInHalf(const ConfigPush& whole,
                 ConfigPush& first,
                 ConfigPush& second) {
  return SplitInHalf(whole, &ConfigPush::records, first, second);
}

bool SplitInHalf(const Counters& whole, Counters& first, Counters& second) {
  // The complete list of backlogged workspaces is in every part.
  return SplitInHalf(whole, &Counters::counters, first, second) ||
         SplitInHalf(whole, &Counters::lifts, first, second);
}

absl::Status AppendFrames(const Message& message,
                          size_t max_bytes,
                          Parts& parts);

template <typename M>
absl::Status AppendSplit(const M& whole, size_t max_bytes, Parts& parts) {
  if constexpr (std::is_same_v<M, ConfigPush> || std::is_same_v<M, Counters>) {
    M first;
    M second;
    if (SplitInHalf(whole, first, second)) {
      const absl::Status status = AppendFrames(first, max_bytes, parts);
      return status.ok() ? AppendFrames(second, max_bytes, parts) : status;
    }
  }
  return absl::OutOfRangeError("message too long for a frame");
}

absl::Status AppendFrames(const Message& message,
                          size_t max_bytes,
                          Parts& parts) {
  std::string frame = Encode(message);
  if (frame.size() <= max_bytes) {
    parts.push_back(std::move(frame));
    return absl::OkStatus();
  }
  return std::visit(
      [&](const auto& whole) { return AppendSplit(whole, max_bytes, parts); },
      message);
}

}  // namespace

absl::StatusOr<std::vector<std::string>> EncodeParts(const Message& message,
                                                     size_t max_bytes) {
  Parts parts;
  if (const absl::Status status = AppendFrames(message, max_bytes, parts);
      !status.ok()) {
    return status;
  }
  return parts;
}

}  // namespace jackdawshunt::protocol::internal
