#include "jackdawshunt/fairness/ledger.h"

#include <algorithm>
#include <cmath>

namespace jackdawshunt::fairness {
namespace {

constexpr char kFoldedPrefix = '~';
constexpr char kReservedPrefix = '#';
// An incarnation is folded this long after its successor started. By then all
// entries have its last counters, because the longest partition lasts an hour.
// A replica that folds without them counts too little, never too much.
constexpr int64_t kFoldAgeUs = int64_t{2} * 3600 * 1'000'000;

// Raises the workspace's register to `value` and returns the increase; 0 when
// the register is already as high. Non-finite values from a faulty peer are
// ignored, because a maximum never recovers from them.
double RaiseTo(std::map<std::string, double, std::less<>>& registers,
               const std::string& workspace,
               double value) {
  if (!std::isfinite(value)) {
    return 0;
  }
  double& current = registers[workspace];
  const double growth = std::max(0.0, value - current);
  current = std::max(current, value);
  return growth;
}

double ValueOr(const std::map<std::string, double, std::less<>>& values,
               std::string_view key,
               double fallback) {
  const auto found = values.find(key);
  return found == values.end() ? fallback : found->second;
}

}  // namespace

Ledger::Ledger(std::string origin, base::Incarnation incarnation)
    : self_(std::move(origin), incarnation) {}

void Ledger::SetShare(std::string_view workspace, double share) {
  if (std::isfinite(share) && share > 0) {
    shares_.insert_or_assign(std::string(workspace), share);
  }
}

void Ledger::Charge(std::string_view workspace, double weighted_tokens) {
  if (!std::isfinite(weighted_tokens) || weighted_tokens == 0) {
    return;
  }
  const std::string name(workspace);
  double service = weighted_tokens / ValueOr(shares_, workspace, 1);
  double& deferred = deferred_corrections_[name];
  if (service < 0) {
    deferred -= service;
    return;
  }
  const double offset = std::min(deferred, service);
  deferred -= offset;
  service -= offset;
  if (service > 0) {
    counters_[self_][name] += service;
    AddToTotals(self_.first, name, service);
    changed_.insert(name);
  }
}

double Ledger::NormalisedService(std::string_view workspace) const {
  // Each sum is a lower bound of the service of all origins.
  const double service = std::max(ValueOr(totals_, workspace, 0),
                                  ValueOr(own_totals_, workspace, 0) +
                                      ValueOr(others_totals_, workspace, 0));
  return service + ValueOr(lifts_, workspace, 0);
}

void Ledger::SetBacklogged(std::string_view workspace, bool backlogged) {
  const std::string name(workspace);
  if (backlogged_here_.contains(name) == backlogged) {
    return;
  }
  virtual_time_ = VirtualTime();
  if (!backlogged) {
    backlogged_here_.erase(name);
    return;
  }
  if (!IsBackloggedAnywhere(name)) {
    RaiseLift(name, MinimumBackloggedService().value_or(virtual_time_));
  }
  backlogged_here_.insert(name);
}

bool Ledger::IsBackloggedAnywhere(std::string_view workspace) const {
  return backlogged_here_.contains(workspace) ||
         std::any_of(backlogged_at_peers_.begin(), backlogged_at_peers_.end(),
                     [workspace](const auto& peer) {
                       return peer.second.contains(workspace);
                     });
}

void Ledger::Merge(std::string_view peer, const protocol::Counters& counters) {
  MergeCounters(counters);
  backlogged_at_peers_.insert_or_assign(
      std::string(peer),
      std::set<std::string, std::less<>>(counters.backlogged.begin(),
                                         counters.backlogged.end()));
}

void Ledger::MergeCounters(const protocol::Counters& counters) {
  virtual_time_ = VirtualTime();
  if (std::isfinite(counters.virtual_time)) {
    virtual_time_ = std::max(virtual_time_, counters.virtual_time);
  }
  // Counters of one origin are adjacent in a message, so the row is looked up
  // once per origin.
  const protocol::CounterEntry* previous = nullptr;
  Registers* row = nullptr;
  const size_t rows = counters_.size();
  for (const protocol::CounterEntry& entry : counters.counters) {
    if (previous == nullptr || previous->origin != entry.origin ||
        previous->incarnation != entry.incarnation) {
      row = FindCounters(entry);
      previous = &entry;
    }
    if (row != nullptr) {
      const bool is_folded = entry.origin.front() == kFoldedPrefix;
      AddToTotals(is_folded ? entry.origin.substr(1) : entry.origin,
                  entry.workspace,
                  RaiseTo(*row, entry.workspace, entry.service));
    }
  }
  for (const protocol::LiftEntry& lift : counters.lifts) {
    RaiseTo(lifts_, lift.workspace, lift.lift);
  }
  if (counters_.size() > rows) {
    FoldEnded();
  }
}

Ledger::Registers* Ledger::FindCounters(const protocol::CounterEntry& entry) {
  if (entry.origin.empty() || entry.origin.front() == kReservedPrefix) {
    return nullptr;
  }
  const bool is_folded = entry.origin.front() == kFoldedPrefix;
  const std::string origin = is_folded ? entry.origin.substr(1) : entry.origin;
  // Copies of the own incarnation's counters are never newer than the counters.
  if (origin == self_.first &&
      (is_folded ? entry.incarnation >= self_.second
                 : entry.incarnation == self_.second)) {
    return nullptr;
  }
  if (is_folded) {
    FoldThrough(origin, entry.incarnation);
    return &folded_[origin].rows;
  }
  const auto folded = folded_.find(origin);
  if (folded != folded_.end() && entry.incarnation <= folded->second.through) {
    return &folded->second.rows;
  }
  return &counters_[{origin, entry.incarnation}];
}

void Ledger::FoldThrough(const std::string& origin, base::Incarnation through) {
  Folded& folded = folded_[origin];
  folded.through = std::max(folded.through, through);
  auto row = counters_.lower_bound({origin, base::Incarnation{}});
  while (row != counters_.end() && row->first.first == origin &&
         row->first.second <= folded.through) {
    for (const auto& [workspace, service] : row->second) {
      folded.rows[workspace] += service;
    }
    row = counters_.erase(row);
  }
}

void Ledger::FoldEnded() {
  int64_t newest_us = self_.second.start_us;
  for (const auto& [key, row] : counters_) {
    newest_us = std::max(newest_us, key.second.start_us);
  }
  std::map<std::string, base::Incarnation> through;
  const OriginKey* previous = nullptr;
  for (const auto& [key, row] : counters_) {
    if (previous != nullptr && previous->first == key.first &&
        key.second.start_us <= newest_us - kFoldAgeUs) {
      through[key.first] = previous->second;
    }
    previous = &key;
  }
  for (const auto& [origin, incarnation] : through) {
    if (origin != self_.first || incarnation < self_.second) {
      FoldThrough(origin, incarnation);
    }
  }
}

void Ledger::AddToTotals(const std::string& origin,
                         const std::string& workspace,
                         double growth) {
  totals_[workspace] += growth;
  if (origin == self_.first) {
    own_totals_[workspace] += growth;
  }
}

void Ledger::RaiseSumOfOthers(std::string_view workspace, double service) {
  RaiseTo(others_totals_, std::string(workspace), service);
}

void Ledger::SetBackloggedAtPeers(std::vector<std::string> workspaces) {
  virtual_time_ = VirtualTime();
  backlogged_at_peers_.clear();
  backlogged_at_peers_[""] =
      std::set<std::string, std::less<>>(workspaces.begin(), workspaces.end());
}

void Ledger::RemovePeer(std::string_view peer) {
  virtual_time_ = VirtualTime();
  const auto found = backlogged_at_peers_.find(peer);
  if (found != backlogged_at_peers_.end()) {
    backlogged_at_peers_.erase(found);
  }
  const auto latest =
      std::find_if(counters_.rbegin(), counters_.rend(),
                   [peer](const auto& row) { return row.first.first == peer; });
  if (latest != counters_.rend()) {
    origins_to_forward_.insert(latest->first);
  }
}

protocol::Counters Ledger::AllCounters() const {
  protocol::Counters result;
  for (const auto& [origin, folded] : folded_) {
    for (const auto& [workspace, service] : folded.rows) {
      result.counters.push_back(
          {kFoldedPrefix + origin, folded.through, workspace, service});
    }
  }
  for (const auto& [origin, row] : counters_) {
    for (const auto& [workspace, service] : row) {
      result.counters.push_back(
          {origin.first, origin.second, workspace, service});
    }
  }
  for (const auto& [workspace, lift] : lifts_) {
    result.lifts.push_back({workspace, lift});
  }
  result.backlogged.assign(backlogged_here_.begin(), backlogged_here_.end());
  result.virtual_time = VirtualTime();
  return result;
}

protocol::Counters Ledger::TakeChanges() {
  protocol::Counters result;
  for (const std::string& workspace : changed_) {
    result.counters.push_back(
        {self_.first, self_.second, workspace, counters_[self_][workspace]});
  }
  for (const std::string& workspace : changed_lifts_) {
    result.lifts.push_back({workspace, lifts_[workspace]});
  }
  for (const OriginKey& origin : origins_to_forward_) {
    const auto row = counters_.find(origin);
    if (row == counters_.end()) {
      continue;  // Folded since then, so all entries have its counters.
    }
    for (const auto& [workspace, service] : row->second) {
      result.counters.push_back(
          {origin.first, origin.second, workspace, service});
    }
  }
  origins_to_forward_.clear();
  changed_.clear();
  changed_lifts_.clear();
  virtual_time_ = VirtualTime();
  result.backlogged.assign(backlogged_here_.begin(), backlogged_here_.end());
  result.virtual_time = virtual_time_;
  return result;
}

std::optional<double> Ledger::MinimumBackloggedService() const {
  std::optional<double> minimum;
  const auto include = [&](const std::set<std::string, std::less<>>& names) {
    for (const std::string& name : names) {
      const double service = NormalisedService(name);
      minimum = std::min(minimum.value_or(service), service);
    }
  };
  include(backlogged_here_);
  for (const auto& [peer, names] : backlogged_at_peers_) {
    include(names);
  }
  return minimum;
}

double Ledger::VirtualTime() const {
  return std::max(virtual_time_,
                  MinimumBackloggedService().value_or(virtual_time_));
}

void Ledger::RaiseLift(const std::string& workspace, double target) {
  const double shortfall = target - NormalisedService(workspace);
  if (shortfall > 0) {
    lifts_[workspace] += shortfall;
    changed_lifts_.insert(workspace);
  }
}

}  // namespace jackdawshunt::fairness
