#include "jackdawshunt/routing/fair_share.h"

#include <algorithm>
#include <limits>

namespace jackdawshunt::routing {
namespace {

// Fraction of all admitted tokens. While workspaces within their share lack no
// more than this together, and none of them more than kNegligibleShareLack of
// its share, no workspace is limited. In a deployment that serves some 30
// requests per second, one large prompt is a fraction of 0.05 of a second.
constexpr double kNegligibleShortfall = 0.06;
constexpr double kNegligibleShareLack = 0.25;
constexpr double kNoLimit = std::numeric_limits<double>::infinity();
// Slices of about the last second, for the default window.
constexpr size_t kRecentSlices = 4;
// Part of the excess or lack of the earlier window that is made up for in the
// last second.
constexpr double kRepaidPart = 0.4;
// Less than the stated throughput may be admitted because requests beyond
// shares were refused, or because engines are lost. The limits assume that this
// factor of the admitted tokens can be served, so that they grow in the first
// case and remain close to what engines serve in the second.
constexpr double kCapacityGrowth = 1.1;
// Used share of a workspace that has got nothing; 0 would mean that no
// limit applies.
constexpr double kMinShareUsed = 1e-6;
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
  for (int64_t s = first; s <= slice; ++s) {
    limits_.at(static_cast<size_t>(s) % kSlices) = 0;
  }
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
  const double recent_capacity =
      tokens_per_second_ *
      std::chrono::duration<double>(slice_ * kRecentSlices).count();
  const bool is_short = recent_capacity > 0 &&
                        recent_requested_ > kShortageFraction * recent_capacity;
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
                                  size_t age,
                                  size_t slices) const {
  Sums sums;
  for (size_t n = age; n < age + slices; ++n) {
    const size_t i =
        static_cast<size_t>(current_slice_ - static_cast<int64_t>(n)) % kSlices;
    const ShareCount& own = workspace.own.at(i);
    const ShareCount& peers = workspace.peers.at(i);
    sums.requested += static_cast<double>(own.requested + peers.requested);
    sums.admitted += static_cast<double>(own.admitted + peers.admitted);
  }
  return sums;
}

double FairShare::FairLimit(std::vector<Sums> rows, double stated) {
  std::sort(rows.begin(), rows.end(), [](const Sums& a, const Sums& b) {
    return a.requested < b.requested;
  });
  double requested = 0;
  double admitted = 0;
  for (const Sums& row : rows) {
    requested += row.requested;
    admitted += row.admitted;
  }
  const double capacity =
      std::max(admitted, std::min(stated, kCapacityGrowth * admitted));
  if (requested <= capacity) {
    return kNoLimit;
  }
  double limit = kNoLimit;
  double remaining = capacity;
  for (size_t i = 0; i < rows.size(); ++i) {
    const double equal_part = remaining / static_cast<double>(rows.size() - i);
    if (rows[i].requested > equal_part) {
      limit = equal_part;
      break;
    }
    remaining -= rows[i].requested;
  }
  if (capacity > admitted) {
    return limit;
  }
  double shortfall = 0;
  double largest_lack = 0;
  for (const Sums& row : rows) {
    const double lack =
        std::max(0.0, std::min(row.requested, limit) - row.admitted);
    shortfall += lack;
    largest_lack = std::max(largest_lack, lack);
  }
  if (shortfall <= kNegligibleShortfall * admitted &&
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
  total_requested_ = 0;
  total_admitted_ = 0;
  recent_requested_ = 0;
  std::vector<Sums> rows;
  rows.reserve(workspaces_.size());
  for (auto& [hash, workspace] : workspaces_) {
    const Sums window = SumsOf(workspace, 0, kSlices);
    total_requested_ += window.requested;
    total_admitted_ += window.admitted;
    rows.push_back(SumsOf(workspace, 0, kRecentSlices));
    recent_requested_ += rows.back().requested;
    workspace.balance = BalanceOf(workspace);
  }
  const kernel::Duration covered =
      now.time_since_epoch() -
      slice_ * (current_slice_ + 1 - static_cast<int64_t>(kRecentSlices));
  LimitAt(0) = FairLimit(
      std::move(rows),
      tokens_per_second_ * std::chrono::duration<double>(covered).count());
}

double& FairShare::LimitAt(size_t age) {
  return limits_.at(
      static_cast<size_t>(current_slice_ - static_cast<int64_t>(age)) %
      kSlices);
}

double FairShare::BalanceOf(const Workspace& workspace) {
  double balance = 0;
  for (size_t begin = kRecentSlices; begin < kSlices; begin += kRecentSlices) {
    Sums sums;
    double share = 0;
    double slices = 0;
    for (size_t age = begin; age < begin + kRecentSlices; ++age) {
      const double limit = LimitAt(age);
      if (limit > 0 && limit != kNoLimit) {
        const Sums slice = SumsOf(workspace, age, 1);
        sums.requested += slice.requested;
        sums.admitted += slice.admitted;
        share += limit / kRecentSlices;
        slices += 1;
      }
    }
    if (slices > 0) {
      balance += (sums.admitted - std::min(sums.requested, share)) / share *
                 (slices / kRecentSlices);
    }
  }
  return balance;
}

double FairShare::RecentlyUsed(const Workspace& workspace) {
  const double current = LimitAt(0);
  double used = 0;
  for (size_t age = 0; age < kRecentSlices; ++age) {
    const double admitted = SumsOf(workspace, age, 1).admitted;
    const double limit = LimitAt(age);
    if (limit == kNoLimit) {
      // What was admitted while all got their share took nothing from others.
      used += std::min(admitted / current, 1.0 / kRecentSlices);
    } else {
      used += admitted / (limit > 0 ? limit : current);
    }
  }
  return used;
}

double FairShare::ShareUsed(uint64_t workspace_hash, kernel::TimePoint now) {
  Advance(now);
  UpdateLimits(now);
  const auto found = workspaces_.find(workspace_hash);
  const double limit = LimitAt(0);
  if (found == workspaces_.end() || limit <= 0 || limit == kNoLimit) {
    return 0;
  }
  const double recent = RecentlyUsed(found->second);
  const double balance = found->second.balance;
  return std::max(recent + kRepaidPart * balance, kMinShareUsed);
}

double FairShare::LimitPerSecond(kernel::TimePoint now) {
  Advance(now);
  UpdateLimits(now);
  const double limit = LimitAt(0);
  return limit == kNoLimit
             ? 0
             : limit / std::chrono::duration<double>(slice_ * kRecentSlices)
                           .count();
}

int64_t FairShare::Admitted(uint64_t workspace_hash, kernel::TimePoint now) {
  Advance(now);
  const auto found = workspaces_.find(workspace_hash);
  return found == workspaces_.end()
             ? 0
             : static_cast<int64_t>(SumsOf(found->second, 0, kSlices).admitted);
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
