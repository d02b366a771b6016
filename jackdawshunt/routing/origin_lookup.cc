#include "jackdawshunt/routing/origin_lookup.h"

#include <utility>

namespace jackdawshunt::routing {
namespace {

// A record may arrive after the first query for it, but hardly after the
// second.
constexpr int kRoundsWithoutRecord = 2;

}  // namespace

OriginLookup::OriginLookup(std::vector<std::string> homes)
    : homes_(std::move(homes)) {}

std::vector<std::string> OriginLookup::StartRound() {
  if (result_.has_value()) {
    return {};
  }
  const bool all_without_record = without_record_.size() == homes_.size();
  if (homes_.empty() || rounds_ >= kMaxRounds ||
      (rounds_ >= kRoundsWithoutRecord && all_without_record)) {
    result_ = kUnknownOrigin;
    return {};
  }
  ++rounds_;
  without_record_.clear();
  return homes_;
}

void OriginLookup::OnReply(std::string_view home, uint64_t origin) {
  if (result_.has_value()) {
    return;
  }
  if (origin != kUnknownOrigin) {
    result_ = origin;
    return;
  }
  without_record_.insert(std::string(home));
}

}  // namespace jackdawshunt::routing
