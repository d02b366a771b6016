#include "jackdawshunt/gateway/totals_source.h"

#include <algorithm>

namespace jackdawshunt::gateway {
namespace {

// A board that has not replied for this time, several report periods, counts
// as failed.
constexpr kernel::Duration kMaxReplyAge = std::chrono::milliseconds(600);

}  // namespace

bool TotalsSource::IsReplying(const std::string& ip,
                              kernel::TimePoint now) const {
  const auto reply = last_replies_.find(ip);
  return reply != last_replies_.end() && now - reply->second < kMaxReplyAge;
}

const std::string& TotalsSource::Choose(const std::vector<std::string>& boards,
                                        kernel::TimePoint now) {
  std::erase_if(last_replies_, [&boards](const auto& row) {
    return std::find(boards.begin(), boards.end(), row.first) == boards.end();
  });
  const bool is_listed =
      std::find(boards.begin(), boards.end(), current_) != boards.end();
  const bool is_new = now - chosen_at_ < kMaxReplyAge;
  if (is_listed && (is_new || IsReplying(current_, now))) {
    return current_;
  }
  const auto replying = std::find_if(
      boards.begin(), boards.end(),
      [this, now](const std::string& ip) { return IsReplying(ip, now); });
  if (replying != boards.end()) {
    current_ = *replying;
  } else {
    current_ = boards.empty() ? std::string() : boards.front();
  }
  chosen_at_ = now;
  return current_;
}

void TotalsSource::OnReply(const std::string& ip, kernel::TimePoint now) {
  last_replies_[ip] = now;
}

}  // namespace jackdawshunt::gateway
