#include "jackdawshunt/fairness/bid_book.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace jackdawshunt::fairness {
namespace {

// Returns `value`, or 0 when it is negative or not finite: a bid with such a
// value would always win or never be chosen.
double FiniteNonNegative(double value) {
  return std::isfinite(value) ? std::max(0.0, value) : 0;
}

bool IsCandidate(const protocol::BidItem& item, bool short_only) {
  return item.waiting > 0 &&
         (!short_only || item.request_class == protocol::RequestClass::kShort);
}

}  // namespace

void BidBook::Replace(std::string_view entry, const protocol::Bid& bid) {
  Entry& bidder = entries_[std::string(entry)];
  ClearGrantedEstimates(bidder);
  if (bid.items.empty()) {
    bidder.bids.erase(bid.model);
    return;
  }
  std::vector<Item>& items = bidder.bids[bid.model];
  items.clear();
  items.reserve(bid.items.size());
  for (const protocol::BidItem& item : bid.items) {
    Workspace* const workspace = FindOrAdd(item.workspace);
    SetReportedService(bidder, workspace, FiniteNonNegative(item.service));
    items.push_back({item, workspace});
  }
}

void BidBook::RemoveEntry(std::string_view entry) {
  const auto found = entries_.find(entry);
  if (found == entries_.end()) {
    return;
  }
  ClearGrantedEstimates(found->second);
  const auto reported = std::move(found->second.reported_services);
  entries_.erase(found);
  for (const auto& [workspace, service] : reported) {
    if (service >= workspace->reported_service) {
      RecomputeReportedService(workspace);
    }
  }
}

bool BidBook::empty() const {
  return !HasWaiting(/*short_only=*/false);
}

bool BidBook::HasWaiting(bool short_only) const {
  for (const auto& [name, entry] : entries_) {
    for (const auto& [model, items] : entry.bids) {
      if (std::any_of(items.begin(), items.end(),
                      [short_only](const Item& item) {
                        return IsCandidate(item.bid, short_only);
                      })) {
        return true;
      }
    }
  }
  return false;
}

std::optional<Choice> BidBook::Choose(bool short_only) {
  using Rank = std::tuple<double, int32_t, uint64_t>;
  Rank best_rank;
  Item* best = nullptr;
  Entry* best_entry = nullptr;
  const std::string* best_name = nullptr;
  const std::string* best_model = nullptr;
  int32_t contenders = 0;
  for (auto& [name, entry] : entries_) {
    for (auto& [model, items] : entry.bids) {
      for (Item& item : items) {
        if (!IsCandidate(item.bid, short_only)) {
          continue;
        }
        ++contenders;
        const Rank rank{
            item.workspace->reported_service + item.workspace->granted_estimate,
            item.workspace->held_slots, entry.last_grant_number};
        if (best == nullptr || rank < best_rank) {
          best_rank = rank;
          best = &item;
          best_entry = &entry;
          best_name = &name;
          best_model = &model;
        }
      }
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  --best->bid.waiting;
  const double estimate = FiniteNonNegative(best->bid.estimate);
  best_entry->granted_estimates[best->workspace] += estimate;
  best->workspace->granted_estimate += estimate;
  best_entry->last_grant_number = ++last_grant_number_;
  return Choice{.entry = *best_name,
                .model = *best_model,
                .workspace = best->bid.workspace,
                .request_class = best->bid.request_class,
                .service = std::get<0>(best_rank),
                .contenders = contenders};
}

void BidBook::AddHeldSlot(std::string_view workspace) {
  ++FindOrAdd(workspace)->held_slots;
}

void BidBook::RemoveHeldSlot(std::string_view workspace) {
  int32_t& held_slots = FindOrAdd(workspace)->held_slots;
  held_slots = std::max(0, held_slots - 1);
}

BidBook::Workspace* BidBook::FindOrAdd(std::string_view workspace) {
  const auto found = workspaces_.find(workspace);
  return found != workspaces_.end() ? &found->second
                                    : &workspaces_[std::string(workspace)];
}

void BidBook::SetReportedService(Entry& entry,
                                 Workspace* workspace,
                                 double service) {
  double& reported = entry.reported_services[workspace];
  const double before = std::exchange(reported, service);
  if (service >= workspace->reported_service) {
    workspace->reported_service = service;
  } else if (before >= workspace->reported_service) {
    RecomputeReportedService(workspace);
  }
}

void BidBook::ClearGrantedEstimates(Entry& entry) {
  for (const auto& [workspace, estimate] : entry.granted_estimates) {
    // Recomputes the sum, because subtracting would leave rounding errors.
    workspace->granted_estimate = 0;
    for (const auto& [name, other] : entries_) {
      const auto found = other.granted_estimates.find(workspace);
      if (&other != &entry && found != other.granted_estimates.end()) {
        workspace->granted_estimate += found->second;
      }
    }
  }
  entry.granted_estimates.clear();
}

void BidBook::RecomputeReportedService(Workspace* workspace) {
  workspace->reported_service = 0;
  for (const auto& [name, entry] : entries_) {
    const auto found = entry.reported_services.find(workspace);
    if (found != entry.reported_services.end()) {
      workspace->reported_service =
          std::max(workspace->reported_service, found->second);
    }
  }
}

}  // namespace jackdawshunt::fairness
