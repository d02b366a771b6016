#include "jackdawshunt/routing/fair_share.h"

#include <algorithm>
#include <limits>

namespace jackdawshunt::routing {
namespace {

// The fill level is computed again after this time.
constexpr kernel::Duration kLevelAge = std::chrono::milliseconds(100);

}  // namespace

FairShare::FairShare(kernel::Duration window)
    : slice_(window / static_cast<int64_t>(kSlices)) {}

int64_t FairShare::SliceOf(kernel::TimePoint now) const {
  return now.time_since_epoch() / slice_;
}

void FairShare::Advance(kernel::TimePoint now) {
  const int64_t slice = SliceOf(now);
  if (slice <= current_slice_) {
    return;
  }
  const int64_t first =
      std::max(current_slice_ + 1, slice - static_cast<int64_t>(kSlices) + 1);
  for (auto row = workspaces_.begin(); row != workspaces_.end();) {
    bool is_idle = true;
    for (int64_t s = first; s <= slice; ++s) {
      const auto index = static_cast<size_t>(s) % kSlices;
      row->second.own.at(index) = {};
      row->second.peers.at(index) = {};
    }
    for (size_t i = 0; i < kSlices; ++i) {
      is_idle = is_idle && row->second.own.at(i).asked == 0 &&
                row->second.peers.at(i).asked == 0;
    }
    row = is_idle ? workspaces_.erase(row) : std::next(row);
  }
  current_slice_ = slice;
}

void FairShare::OnRequest(uint64_t workspace_hash,
                          uint64_t tokens,
                          kernel::TimePoint now) {
  Advance(now);
  workspaces_[workspace_hash]
      .own.at(static_cast<size_t>(current_slice_) % kSlices)
      .asked += tokens;
}

void FairShare::OnAdmitted(uint64_t workspace_hash,
                           uint64_t tokens,
                           kernel::TimePoint now) {
  Advance(now);
  workspaces_[workspace_hash]
      .own.at(static_cast<size_t>(current_slice_) % kSlices)
      .admitted += tokens;
}

std::vector<ShareReport> FairShare::Report(kernel::TimePoint now) const {
  std::vector<ShareReport> report;
  const int64_t last = SliceOf(now) - 1;
  if (last < current_slice_ - 1) {
    return report;
  }
  for (const auto& [hash, workspace] : workspaces_) {
    const ShareCount& count =
        workspace.own.at(static_cast<size_t>(last) % kSlices);
    if (count.asked > 0 || count.admitted > 0) {
      report.push_back({hash, count});
    }
  }
  return report;
}

void FairShare::Merge(const std::vector<ShareReport>& report,
                      kernel::TimePoint now) {
  Advance(now);
  const size_t index = static_cast<size_t>(current_slice_) % kSlices;
  for (const ShareReport& row : report) {
    ShareCount& count = workspaces_[row.workspace_hash].peers.at(index);
    count.asked += row.count.asked;
    count.admitted += row.count.admitted;
  }
}

double FairShare::FillLevel(kernel::TimePoint now) {
  const int64_t step = now.time_since_epoch() / kLevelAge;
  if (step == level_of_) {
    return level_;
  }
  level_of_ = step;
  std::vector<double> demands;
  for (const auto& [hash, workspace] : workspaces_) {
    double asked = 0;
    for (size_t i = 0; i < kSlices; ++i) {
      asked += static_cast<double>(workspace.own.at(i).asked +
                                   workspace.peers.at(i).asked);
    }
    demands.push_back(asked);
  }
  std::sort(demands.begin(), demands.end());
  const double window_s =
      std::chrono::duration<double>(slice_ * static_cast<int64_t>(kSlices))
          .count();
  double left = tokens_per_second_ * window_s;
  level_ = std::numeric_limits<double>::infinity();
  for (size_t i = 0; i < demands.size(); ++i) {
    const double even = left / static_cast<double>(demands.size() - i);
    if (demands[i] > even) {
      level_ = even;
      break;
    }
    left -= demands[i];
  }
  return level_;
}

double FairShare::ShareUsed(uint64_t workspace_hash, kernel::TimePoint now) {
  Advance(now);
  if (tokens_per_second_ <= 0) {
    return 0;
  }
  const double level = FillLevel(now);
  const auto found = workspaces_.find(workspace_hash);
  if (found == workspaces_.end() || level <= 0 ||
      level == std::numeric_limits<double>::infinity()) {
    return 0;
  }
  double admitted = 0;
  for (size_t i = 0; i < kSlices; ++i) {
    admitted += static_cast<double>(found->second.own.at(i).admitted +
                                    found->second.peers.at(i).admitted);
  }
  return admitted / level;
}

}  // namespace jackdawshunt::routing
