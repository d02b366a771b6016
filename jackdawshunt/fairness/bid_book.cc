#include "jackdawshunt/fairness/bid_book.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace jackdawshunt::fairness {
namespace {

// A bid with a non-finite or negative figure would win or block for ever.
double Sane(double value) {
  return std::isfinite(value) ? std::max(0.0, value) : 0;
}

bool IsCandidate(const protocol::BidItem& item, bool short_only) {
  return item.waiting > 0 &&
         (!short_only || item.request_class == protocol::RequestClass::kShort);
}

}  // namespace

void BidBook::Replace(std::string_view entry, const protocol::Bid& bid) {
  Entry& bidder = entries_[std::string(entry)];
  DropGranted(bidder);
  if (bid.items.empty()) {
    bidder.bids.erase(bid.model);
    return;
  }
  std::vector<Item>& items = bidder.bids[bid.model];
  items.clear();
  items.reserve(bid.items.size());
  for (const protocol::BidItem& item : bid.items) {
    Workspace* const workspace = Find(item.workspace);
    SetReported(bidder, workspace, Sane(item.service));
    items.push_back({item, workspace});
  }
}

void BidBook::RemoveEntry(std::string_view entry) {
  const auto found = entries_.find(entry);
  if (found == entries_.end()) {
    return;
  }
  DropGranted(found->second);
  const auto reported = std::move(found->second.reported);
  entries_.erase(found);
  for (const auto& [workspace, service] : reported) {
    if (service >= workspace->reported) {
      RecomputeReported(workspace);
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
        const Rank rank{item.workspace->reported + item.workspace->granted,
                        item.workspace->held, entry.last_granted};
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
  const double estimate = Sane(best->bid.estimate);
  best_entry->granted[best->workspace] += estimate;
  best->workspace->granted += estimate;
  best_entry->last_granted = ++sequence_;
  return Choice{.entry = *best_name,
                .model = *best_model,
                .workspace = best->bid.workspace,
                .request_class = best->bid.request_class,
                .service = std::get<0>(best_rank),
                .contenders = contenders};
}

void BidBook::AddHeldSlot(std::string_view workspace) {
  ++Find(workspace)->held;
}

void BidBook::RemoveHeldSlot(std::string_view workspace) {
  int32_t& held = Find(workspace)->held;
  held = std::max(0, held - 1);
}

BidBook::Workspace* BidBook::Find(std::string_view workspace) {
  const auto found = workspaces_.find(workspace);
  return found != workspaces_.end() ? &found->second
                                    : &workspaces_[std::string(workspace)];
}

void BidBook::SetReported(Entry& entry, Workspace* workspace, double service) {
  double& reported = entry.reported[workspace];
  const double before = std::exchange(reported, service);
  if (service >= workspace->reported) {
    workspace->reported = service;
  } else if (before >= workspace->reported) {
    RecomputeReported(workspace);
  }
}

void BidBook::DropGranted(Entry& entry) {
  for (const auto& [workspace, estimate] : entry.granted) {
    // Subtracting would leave rounding errors, so the sum is made anew.
    workspace->granted = 0;
    for (const auto& [name, other] : entries_) {
      const auto found = other.granted.find(workspace);
      if (&other != &entry && found != other.granted.end()) {
        workspace->granted += found->second;
      }
    }
  }
  entry.granted.clear();
}

void BidBook::RecomputeReported(Workspace* workspace) {
  workspace->reported = 0;
  for (const auto& [name, entry] : entries_) {
    const auto found = entry.reported.find(workspace);
    if (found != entry.reported.end()) {
      workspace->reported = std::max(workspace->reported, found->second);
    }
  }
}

}  // namespace jackdawshunt::fairness
