#include "jackdawshunt/routing/fair_share.h"

#include <algorithm>
#include <limits>

namespace jackdawshunt::routing {
namespace {

// Fraction of all admitted tokens. While workspaces within their share lack no
// more than this together, and none of them more than kNegligibleShareLack of
// its share, no workspace is limited.
constexpr double kNegligibleShortfall = 0.03;
constexpr double kNegligibleShareLack = 0.25;
constexpr double kNoLimit = std::numeric_limits<double>::infinity();
// Slices of about the last second.
constexpr size_t kShortSlices = 4;
// A workspace may exceed its share of the last second a little, since a few
// large requests do that.
constexpr double kShortWindowWeight = 0.85;
// Time step after which the fair limit is computed again.
constexpr kernel::Duration kLimitAge = std::chrono::milliseconds(50);
// A count is known at all instances after two periods: one until it is reported
// and one until the other instances receive the sums.
constexpr kernel::Duration kReportPeriod = std::chrono::milliseconds(250);
constexpr kernel::Duration kShortageReportPeriod =
    std::chrono::milliseconds(80);
// Bounds the reports that arrive at the place where all instances report.
constexpr kernel::Duration kReportPeriodPerInstance =
    std::chrono::microseconds(1200);
// Engines count as short when more than this fraction of the stated throughput
// is requested.
constexpr double kShortageFraction = 0.8;

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

void FairShare::Count(uint64_t workspace_hash,
                      ShareCount count,
                      kernel::TimePoint now) {
  Advance(now);
  ShareCount& slice = workspaces_[workspace_hash].own.at(
      static_cast<size_t>(current_slice_) % kSlices);
  ShareCount& unreported = unreported_[workspace_hash];
  for (ShareCount* const sum : {&slice, &unreported}) {
    sum->requested += count.requested;
    sum->admitted += count.admitted;
  }
}

void FairShare::OnRequest(uint64_t workspace_hash,
                          uint64_t tokens,
                          kernel::TimePoint now) {
  Count(workspace_hash, {.requested = static_cast<int64_t>(tokens)}, now);
}

void FairShare::OnAdmitted(uint64_t workspace_hash,
                           uint64_t tokens,
                           kernel::TimePoint now) {
  Count(workspace_hash, {.admitted = static_cast<int64_t>(tokens)}, now);
}

void FairShare::OnNotExecuted(uint64_t workspace_hash,
                              uint64_t tokens,
                              kernel::TimePoint now) {
  Count(workspace_hash, {.admitted = -static_cast<int64_t>(tokens)}, now);
}

std::vector<ShareReport> FairShare::TakeReport() {
  std::vector<ShareReport> report;
  for (const auto& [hash, count] : unreported_) {
    if (count.requested != 0 || count.admitted != 0) {
      report.push_back({hash, count});
    }
  }
  unreported_.clear();
  return report;
}

kernel::Duration FairShare::ReportPeriod(uint32_t instances,
                                         kernel::TimePoint now) {
  Advance(now);
  UpdateLimits(now);
  const double window_capacity = WindowCapacity();
  const bool is_short = window_capacity > 0 &&
                        total_requested_ > kShortageFraction * window_capacity;
  return std::max(is_short ? kShortageReportPeriod : kReportPeriod,
                  instances * kReportPeriodPerInstance);
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

FairShare::Sums FairShare::SumsOf(const Workspace& workspace,
                                  size_t slices) const {
  Sums sums;
  for (size_t age = 0; age < slices; ++age) {
    const size_t i =
        static_cast<size_t>(current_slice_ - static_cast<int64_t>(age)) %
        kSlices;
    const ShareCount& own = workspace.own.at(i);
    const ShareCount& peers = workspace.peers.at(i);
    sums.requested += static_cast<double>(own.requested + peers.requested);
    sums.admitted += static_cast<double>(own.admitted + peers.admitted);
  }
  return sums;
}

double FairShare::FairLimit(std::vector<Sums>& rows) {
  std::sort(rows.begin(), rows.end(), [](const Sums& a, const Sums& b) {
    return a.requested < b.requested;
  });
  double total_admitted = 0;
  for (const Sums& row : rows) {
    total_admitted += row.admitted;
  }
  double limit = kNoLimit;
  double remaining = total_admitted;
  for (size_t i = 0; i < rows.size(); ++i) {
    const double equal_part = remaining / static_cast<double>(rows.size() - i);
    if (rows[i].requested > equal_part) {
      limit = equal_part;
      break;
    }
    remaining -= rows[i].requested;
  }
  double shortfall = 0;
  double largest_lack = 0;
  for (const Sums& row : rows) {
    const double lack =
        std::max(0.0, std::min(row.requested, limit) - row.admitted);
    shortfall += lack;
    largest_lack = std::max(largest_lack, lack);
  }
  if (shortfall <= kNegligibleShortfall * total_admitted &&
      largest_lack <= kNegligibleShareLack * limit) {
    return kNoLimit;
  }
  return limit;
}

void FairShare::UpdateLimits(kernel::TimePoint now) {
  const int64_t step = now.time_since_epoch() / kLimitAge;
  if (step == limit_step_) {
    return;
  }
  limit_step_ = step;
  std::vector<Sums> window;
  std::vector<Sums> last_second;
  total_requested_ = 0;
  total_admitted_ = 0;
  for (const auto& [hash, workspace] : workspaces_) {
    window.push_back(SumsOf(workspace, kSlices));
    last_second.push_back(SumsOf(workspace, kShortSlices));
    total_requested_ += window.back().requested;
    total_admitted_ += window.back().admitted;
  }
  window_limit_ = FairLimit(window);
  short_limit_ = FairLimit(last_second);
}

double FairShare::ShareUsed(uint64_t workspace_hash, kernel::TimePoint now) {
  Advance(now);
  UpdateLimits(now);
  const auto found = workspaces_.find(workspace_hash);
  if (found == workspaces_.end()) {
    return 0;
  }
  const auto used = [&](size_t slices, double limit) {
    if (limit <= 0 || limit == kNoLimit) {
      return 0.0;
    }
    return std::max(SumsOf(found->second, slices).admitted, 0.0) / limit;
  };
  return std::max(used(kSlices, window_limit_),
                  kShortWindowWeight * used(kShortSlices, short_limit_));
}

int64_t FairShare::Admitted(uint64_t workspace_hash, kernel::TimePoint now) {
  Advance(now);
  const auto found = workspaces_.find(workspace_hash);
  return found == workspaces_.end()
             ? 0
             : static_cast<int64_t>(SumsOf(found->second, kSlices).admitted);
}

double FairShare::WindowCapacity() const {
  return tokens_per_second_ *
         std::chrono::duration<double>(slice_ * kSlices).count();
}

bool FairShare::FleetHasSpareCapacity(kernel::TimePoint now) {
  Advance(now);
  UpdateLimits(now);
  return tokens_per_second_ <= 0 || total_admitted_ < WindowCapacity();
}

}  // namespace jackdawshunt::routing
