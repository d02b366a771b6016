#include "jackdawshunt/protocol/internal/split.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "jackdawshunt/protocol/codec.h"

namespace jackdawshunt::protocol::internal {
namespace {

using Parts = std::vector<std::string>;

// Divides one list of the message; false when it has less than two entries.
template <typename M, typename T>
bool Halve(const M& whole, std::vector<T> M::*list, M& first, M& second) {
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

bool Halve(const ConfigPush& whole, ConfigPush& first, ConfigPush& second) {
  return Halve(whole, &ConfigPush::records, first, second);
}

bool Halve(const Counters& whole, Counters& first, Counters& second) {
  // Every part carries the complete list of backlogged workspaces.
  return Halve(whole, &Counters::counters, first, second) ||
         Halve(whole, &Counters::lifts, first, second);
}

absl::Status Append(const Message& message, size_t max_bytes, Parts& parts);

template <typename M>
absl::Status AppendHalves(const M& whole, size_t max_bytes, Parts& parts) {
  if constexpr (std::is_same_v<M, ConfigPush> || std::is_same_v<M, Counters>) {
    M first;
    M second;
    if (Halve(whole, first, second)) {
      const absl::Status status = Append(first, max_bytes, parts);
      return status.ok() ? Append(second, max_bytes, parts) : status;
    }
  }
  return absl::OutOfRangeError("message too long for a frame");
}

absl::Status Append(const Message& message, size_t max_bytes, Parts& parts) {
  std::string frame = Encode(message);
  if (frame.size() <= max_bytes) {
    parts.push_back(std::move(frame));
    return absl::OkStatus();
  }
  return std::visit(
      [&](const auto& whole) { return AppendHalves(whole, max_bytes, parts); },
      message);
}

}  // namespace

absl::StatusOr<std::vector<std::string>> EncodeParts(const Message& message,
                                                     size_t max_bytes) {
  Parts parts;
  if (const absl::Status status = Append(message, max_bytes, parts);
      !status.ok()) {
    return status;
  }
  return parts;
}

}  // namespace jackdawshunt::protocol::internal
