#include "jackdawshunt/fairness/ledger.h"

#include <algorithm>
#include <cmath>

namespace jackdawshunt::fairness {
namespace {

// Keeps `value` in the register `workspace` when it is the greater one.
// Non-finite values of a faulty peer are ignored, because a maximum never
// recovers from them.
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
  double& held_back = held_back_[name];
  if (service < 0) {
    held_back -= service;
    return;
  }
  const double covered = std::min(held_back, service);
  held_back -= covered;
  service -= covered;
  if (service > 0) {
    counters_[self_][name] += service;
    totals_[name] += service;
    changed_.insert(name);
  }
}

double Ledger::NormalisedService(std::string_view workspace) const {
  return ValueOr(totals_, workspace, 0) + ValueOr(lifts_, workspace, 0);
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
  virtual_time_ = VirtualTime();
  if (std::isfinite(counters.virtual_time)) {
    virtual_time_ = std::max(virtual_time_, counters.virtual_time);
  }
  // A message lists the counters of one origin one after the other.
  auto row = counters_.end();
  for (const protocol::CounterEntry& entry : counters.counters) {
    if (row == counters_.end() || row->first.first != entry.origin ||
        row->first.second != entry.incarnation) {
      row = counters_.try_emplace({entry.origin, entry.incarnation}).first;
    }
    // Copies of the own counters are never newer than the own counters.
    if (row->first != self_) {
      totals_[entry.workspace] +=
          RaiseTo(row->second, entry.workspace, entry.service);
    }
  }
  for (const protocol::LiftEntry& lift : counters.lifts) {
    RaiseTo(lifts_, lift.workspace, lift.lift);
  }
  backlogged_at_peers_.insert_or_assign(
      std::string(peer),
      std::set<std::string, std::less<>>(counters.backlogged.begin(),
                                         counters.backlogged.end()));
}

void Ledger::ForgetPeer(std::string_view peer) {
  virtual_time_ = VirtualTime();
  const auto found = backlogged_at_peers_.find(peer);
  if (found != backlogged_at_peers_.end()) {
    backlogged_at_peers_.erase(found);
  }
  const auto latest =
      std::find_if(counters_.rbegin(), counters_.rend(),
                   [peer](const auto& row) { return row.first.first == peer; });
  if (latest != counters_.rend()) {
    passed_on_.insert(latest->first);
  }
}

protocol::Counters Ledger::Full() const {
  protocol::Counters result;
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
  for (const OriginKey& origin : passed_on_) {
    for (const auto& [workspace, service] : counters_[origin]) {
      result.counters.push_back(
          {origin.first, origin.second, workspace, service});
    }
  }
  passed_on_.clear();
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
  const double missing = target - NormalisedService(workspace);
  if (missing > 0) {
    lifts_[workspace] += missing;
    changed_lifts_.insert(workspace);
  }
}

}  // namespace jackdawshunt::fairness
