#include "jackdawshunt/fairness/bid_book.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <tuple>

namespace jackdawshunt::fairness {
namespace {

// A bid with a non-finite or negative figure would win or block for ever.
double Sane(double value) {
  return std::isfinite(value) ? std::max(0.0, value) : 0;
}

}  // namespace

void BidBook::Replace(std::string_view entry, const protocol::Bid& bid) {
  Entry& bidder = entries_[std::string(entry)];
  DropGranted(bidder);
  for (const protocol::BidItem& item : bid.items) {
    SetReported(bidder, item.workspace, Sane(item.service));
  }
  if (bid.items.empty()) {
    bidder.bids.erase(bid.model);
  } else {
    bidder.bids.insert_or_assign(bid.model, bid.items);
  }
}

void BidBook::RemoveEntry(std::string_view entry) {
  const auto found = entries_.find(entry);
  if (found == entries_.end()) {
    return;
  }
  DropGranted(found->second);
  const Services reported = std::move(found->second.reported);
  entries_.erase(found);
  for (const auto& [workspace, service] : reported) {
    if (service >= maximum_[workspace]) {
      RecomputeMaximum(workspace);
    }
  }
}

bool BidBook::empty() const {
  for (const auto& [name, entry] : entries_) {
    for (const auto& [model, items] : entry.bids) {
      if (std::any_of(items.begin(), items.end(),
                      [](const auto& item) { return item.waiting > 0; })) {
        return false;
      }
    }
  }
  return true;
}

std::optional<Choice> BidBook::Choose(bool short_only) {
  using Rank = std::tuple<double, int32_t, uint64_t>;
  std::optional<Choice> choice;
  Rank best;
  Entry* best_entry = nullptr;
  protocol::BidItem* best_item = nullptr;
  int32_t contenders = 0;
  for (auto& [name, entry] : entries_) {
    for (auto& [model, items] : entry.bids) {
      for (protocol::BidItem& item : items) {
        if (item.waiting <= 0 ||
            (short_only &&
             item.request_class != protocol::RequestClass::kShort)) {
          continue;
        }
        ++contenders;
        const auto held = held_.find(item.workspace);
        const Rank rank{ServiceOf(item.workspace),
                        held == held_.end() ? 0 : held->second,
                        entry.last_granted};
        if (best_item == nullptr || rank < best) {
          best = rank;
          best_entry = &entry;
          best_item = &item;
          choice = Choice{.entry = name, .model = model};
        }
      }
    }
  }
  if (best_item == nullptr) {
    return std::nullopt;
  }
  choice->workspace = best_item->workspace;
  choice->request_class = best_item->request_class;
  choice->service = std::get<0>(best);
  choice->contenders = contenders;
  --best_item->waiting;
  const double estimate = Sane(best_item->estimate);
  best_entry->granted[best_item->workspace] += estimate;
  granted_[best_item->workspace] += estimate;
  best_entry->last_granted = ++sequence_;
  return choice;
}

void BidBook::SlotTaken(std::string_view workspace) {
  ++held_[std::string(workspace)];
}

void BidBook::SlotReleased(std::string_view workspace) {
  const auto found = held_.find(workspace);
  if (found != held_.end() && --found->second <= 0) {
    held_.erase(found);
  }
}

void BidBook::SetReported(Entry& entry,
                          const std::string& workspace,
                          double service) {
  const auto [reported, is_new] =
      entry.reported.try_emplace(workspace, service);
  const double before = is_new ? service : reported->second;
  reported->second = service;
  double& maximum = maximum_[workspace];
  if (service >= maximum) {
    maximum = service;
  } else if (before >= maximum) {
    RecomputeMaximum(workspace);
  }
}

void BidBook::DropGranted(Entry& entry) {
  for (const auto& [workspace, estimate] : entry.granted) {
    // A sum of differences would keep rounding errors, so it is made anew.
    double sum = 0;
    for (const auto& [name, other] : entries_) {
      const auto found = other.granted.find(workspace);
      if (&other != &entry && found != other.granted.end()) {
        sum += found->second;
      }
    }
    granted_[workspace] = sum;
  }
  entry.granted.clear();
}

void BidBook::RecomputeMaximum(const std::string& workspace) {
  double maximum = 0;
  bool known = false;
  for (const auto& [name, entry] : entries_) {
    const auto found = entry.reported.find(workspace);
    if (found != entry.reported.end()) {
      maximum = std::max(maximum, found->second);
      known = true;
    }
  }
  if (known) {
    maximum_[workspace] = maximum;
  } else {
    maximum_.erase(workspace);
    granted_.erase(workspace);
  }
}

double BidBook::ServiceOf(const std::string& workspace) const {
  const auto maximum = maximum_.find(workspace);
  const auto granted = granted_.find(workspace);
  return (maximum == maximum_.end() ? 0 : maximum->second) +
         (granted == granted_.end() ? 0 : granted->second);
}

}  // namespace jackdawshunt::fairness
