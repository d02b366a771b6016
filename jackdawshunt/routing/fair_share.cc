#include "jackdawshunt/routing/fair_share.h"

#include <algorithm>
#include <limits>

namespace jackdawshunt::routing {
namespace {

// Fraction of all admitted tokens. While workspaces within their share lack no
// more than this, no workspace is limited.
constexpr double kNegligibleShortfall = 0.03;
constexpr double kNoLimit = std::numeric_limits<double>::infinity();
// Time step after which the fair limit is computed again.
constexpr kernel::Duration kLimitAge = std::chrono::milliseconds(100);

}  // namespace

FairShare::FairShare(kernel::Duration window)
    : slice_(window / static_cast<int64_t>(kSlices)) {}

int64_t FairShare::SliceIndex(kernel::TimePoint now) const {
  return now.time_since_epoch() / slice_;
}

void FairShare::Advance(kernel::TimePoint now) {
  const int64_t slice = SliceIndex(now);
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
      for (const ShareCount& count :
           {row->second.own.at(i), row->second.peers.at(i)}) {
        is_idle = is_idle && count.requested == 0 && count.admitted == 0;
      }
    }
    row = is_idle ? workspaces_.erase(row) : std::next(row);
  }
  current_slice_ = slice;
}

ShareCount& FairShare::CurrentSlice(uint64_t workspace_hash,
                                    kernel::TimePoint now) {
  Advance(now);
  return workspaces_[workspace_hash].own.at(
      static_cast<size_t>(current_slice_) % kSlices);
}

void FairShare::OnRequest(uint64_t workspace_hash,
                          uint64_t tokens,
                          kernel::TimePoint now) {
  CurrentSlice(workspace_hash, now).requested += static_cast<int64_t>(tokens);
}

void FairShare::OnAdmitted(uint64_t workspace_hash,
                           uint64_t tokens,
                           kernel::TimePoint now) {
  CurrentSlice(workspace_hash, now).admitted += static_cast<int64_t>(tokens);
}

void FairShare::OnNotExecuted(uint64_t workspace_hash,
                              uint64_t tokens,
                              kernel::TimePoint now) {
  CurrentSlice(workspace_hash, now).admitted -= static_cast<int64_t>(tokens);
}

std::vector<ShareReport> FairShare::Report(kernel::TimePoint now) const {
  std::vector<ShareReport> report;
  const int64_t last = SliceIndex(now) - 1;
  if (last < current_slice_ - 1) {
    return report;
  }
  for (const auto& [hash, workspace] : workspaces_) {
    const ShareCount& count =
        workspace.own.at(static_cast<size_t>(last) % kSlices);
    if (count.requested != 0 || count.admitted != 0) {
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
    count.requested += row.count.requested;
    count.admitted += row.count.admitted;
  }
}

FairShare::Sums FairShare::WindowSums(const Workspace& workspace) {
  Sums sums;
  for (size_t i = 0; i < kSlices; ++i) {
    const ShareCount& own = workspace.own.at(i);
    const ShareCount& peers = workspace.peers.at(i);
    sums.requested += static_cast<double>(own.requested + peers.requested);
    sums.admitted += static_cast<double>(own.admitted + peers.admitted);
  }
  return sums;
}

double FairShare::FairLimit(kernel::TimePoint now) {
  const int64_t step = now.time_since_epoch() / kLimitAge;
  if (step == limit_step_) {
    return limit_;
  }
  limit_step_ = step;
  std::vector<Sums> rows;
  total_admitted_ = 0;
  for (const auto& [hash, workspace] : workspaces_) {
    rows.push_back(WindowSums(workspace));
    total_admitted_ += rows.back().admitted;
  }
  std::sort(rows.begin(), rows.end(), [](const Sums& a, const Sums& b) {
    return a.requested < b.requested;
  });
  limit_ = kNoLimit;
  double remaining = total_admitted_;
  for (size_t i = 0; i < rows.size(); ++i) {
    const double equal_part = remaining / static_cast<double>(rows.size() - i);
    if (rows[i].requested > equal_part) {
      limit_ = equal_part;
      break;
    }
    remaining -= rows[i].requested;
  }
  double shortfall = 0;
  for (const Sums& row : rows) {
    shortfall += std::max(0.0, std::min(row.requested, limit_) - row.admitted);
  }
  if (shortfall <= kNegligibleShortfall * total_admitted_) {
    limit_ = kNoLimit;
  }
  return limit_;
}

double FairShare::ShareUsed(uint64_t workspace_hash, kernel::TimePoint now) {
  Advance(now);
  const double limit = FairLimit(now);
  const auto found = workspaces_.find(workspace_hash);
  if (found == workspaces_.end() || limit <= 0 || limit == kNoLimit) {
    return 0;
  }
  return std::max(WindowSums(found->second).admitted, 0.0) / limit;
}

bool FairShare::FleetHasSpareCapacity(kernel::TimePoint now) {
  Advance(now);
  FairLimit(now);
  return tokens_per_second_ <= 0 ||
         total_admitted_ <
             tokens_per_second_ *
                 std::chrono::duration<double>(slice_ * kSlices).count();
}

}  // namespace jackdawshunt::routing
