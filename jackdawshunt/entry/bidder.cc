#include "jackdawshunt/entry/bidder.h"

#include <algorithm>

namespace jackdawshunt::entry {
namespace {

// A side grants few requests between two refreshes, so it needs only the next
// workspaces of each class.
constexpr size_t kItemsPerClass = 2;
// Largest number of waiting requests in one item. A side whose grants used them
// up gets a new bid at once.
constexpr int32_t kMaxWaitingPerItem = 64;
// Bytes per second that refreshes may use of the control budget of 19 KB/s.
constexpr double kRefreshBytesPerSecond = 8000;
// A second side gets the bid in case the slot of the first was taken since its
// last heartbeat.
constexpr int64_t kInitialSidesPerRequest = 2;
// Encoded size of a bid with four items, from which the refresh period follows.
constexpr double kBidBytes = 150;

bool IsLower(const protocol::BidItem& a, const protocol::BidItem& b) {
  return a.service < b.service;
}

const protocol::BidItem* LowestOf(const std::vector<protocol::BidItem>& items,
                                  protocol::RequestClass request_class) {
  const auto found = std::find_if(
      items.begin(), items.end(),
      [=](const auto& item) { return item.request_class == request_class; });
  return found == items.end() ? nullptr : &*found;
}

int32_t WaitingCount(const std::vector<protocol::BidItem>& items,
                     protocol::RequestClass request_class) {
  int32_t waiting = 0;
  for (const protocol::BidItem& item : items) {
    waiting += item.request_class == request_class ? item.waiting : 0;
  }
  return waiting;
}

// Whether the last bid sent to a side is usable for a class. The bid is
// outdated when the lowest service has fallen by more than a request costs, or
// when it lists at most half as many waiting requests as a new bid would, so
// that a burst does not wait for the next refresh while slots are free.
enum class BidState { kMissing, kOutdated, kCurrent };

BidState BidStateOf(const std::vector<protocol::BidItem>& last,
                    const std::vector<protocol::BidItem>& items,
                    protocol::RequestClass request_class) {
  const protocol::BidItem* const now = LowestOf(items, request_class);
  if (now == nullptr) {
    return BidState::kCurrent;
  }
  const protocol::BidItem* const before = LowestOf(last, request_class);
  if (before == nullptr) {
    return BidState::kMissing;
  }
  const bool is_lower = now->service + now->estimate < before->service;
  const bool has_grown = 2 * WaitingCount(last, request_class) <=
                         WaitingCount(items, request_class);
  return is_lower || has_grown ? BidState::kOutdated : BidState::kCurrent;
}

bool IsEqual(const protocol::BidItem& a, const protocol::BidItem& b) {
  return a.workspace == b.workspace && a.request_class == b.request_class &&
         a.waiting == b.waiting && a.service == b.service &&
         a.estimate == b.estimate;
}

}  // namespace

double BidInputs::ShareOf(std::string_view workspace) const {
  const auto found = snapshot.workspaces.find(workspace);
  return found == snapshot.workspaces.end() ? 1 : found->second.share;
}

double BidInputs::ExpectedService(std::string_view workspace) const {
  return ledger.NormalisedService(workspace) +
         charging.PendingCost(workspace) / ShareOf(workspace);
}

void Bidder::MarkChanged(std::string_view model) {
  changed_.emplace(model);
}

void Bidder::MarkAll(const fairness::RequestQueue& queue) {
  for (std::string& model : queue.WaitingModels()) {
    changed_.insert(std::move(model));
  }
}

void Bidder::SetAffinityKey(const std::string& model, std::string affinity) {
  affinity_keys_[model] = std::move(affinity);
}

void Bidder::CountGrant(std::string_view side, const protocol::Grant& grant) {
  const auto sides = sent_bids_.find(grant.model);
  if (sides == sent_bids_.end()) {
    return;
  }
  const auto sent = sides->second.find(side);
  if (sent == sides->second.end()) {
    return;
  }
  // An emptied list stays until WithdrawBids(), so that the time of the side's
  // last bid is kept.
  std::erase_if(sent->second.items, [&grant](protocol::BidItem& item) {
    return item.workspace == grant.workspace &&
           item.request_class == grant.request_class && --item.waiting <= 0;
  });
}

void Bidder::RemoveSide(std::string_view side) {
  for (auto& [model, sides] : sent_bids_) {
    if (const auto found = sides.find(side); found != sides.end()) {
      sides.erase(found);
    }
  }
}

Bidder::Items Bidder::ItemsFor(std::string_view model,
                               const BidInputs& inputs) {
  Items all;
  for (const fairness::Backlog& backlog : inputs.queue.Backlogs(model)) {
    all.push_back({.workspace = backlog.workspace,
                   .request_class = backlog.request_class,
                   .waiting = std::min(backlog.waiting, kMaxWaitingPerItem),
                   .service = inputs.ExpectedService(backlog.workspace),
                   .estimate = backlog.head_estimate /
                               inputs.ShareOf(backlog.workspace)});
  }
  std::sort(all.begin(), all.end(), IsLower);
  Items items;
  std::map<protocol::RequestClass, size_t> taken;
  for (protocol::BidItem& item : all) {
    if (taken[item.request_class]++ < kItemsPerClass) {
      items.push_back(std::move(item));
    }
  }
  return items;
}

kernel::Duration Bidder::RefreshPeriod(const BidInputs& inputs) const {
  size_t bids = 0;
  for (const auto& [model, sides] : sent_bids_) {
    bids += sides.size();
  }
  const std::chrono::duration<double> paced(static_cast<double>(bids) *
                                            kBidBytes / kRefreshBytesPerSecond);
  return std::max<kernel::Duration>(
      std::chrono::milliseconds(inputs.snapshot.policy.exchange_period_ms),
      std::chrono::duration_cast<kernel::Duration>(paced));
}

std::vector<LinkCommand> Bidder::Flush(const BidInputs& inputs) {
  std::vector<LinkCommand> commands;
  const std::set<std::string, std::less<>> models = changed_;
  for (const std::string& model : models) {
    for (LinkCommand& command : FlushModel(model, inputs)) {
      commands.push_back(std::move(command));
    }
  }
  return commands;
}

std::set<std::string> Bidder::UrgentTargets(
    const std::vector<placement::Candidate>& candidates,
    const std::vector<std::string>& targets,
    const std::map<std::string, SentBid, std::less<>>& sent,
    const Items& items) const {
  std::vector<const placement::Candidate*> by_free_slots;
  for (const placement::Candidate& candidate : candidates) {
    if (std::find(targets.begin(), targets.end(), candidate.side) !=
        targets.end()) {
      by_free_slots.push_back(&candidate);
    }
  }
  std::stable_sort(by_free_slots.begin(), by_free_slots.end(),
                   [](const auto* a, const auto* b) {
                     return a->free_slots > b->free_slots;
                   });
  std::set<std::string> urgent;
  for (const auto request_class :
       {protocol::RequestClass::kShort, protocol::RequestClass::kLong}) {
    int64_t wanted =
        kInitialSidesPerRequest * WaitingCount(items, request_class);
    std::vector<std::string> missing;
    for (const placement::Candidate* const candidate : by_free_slots) {
      const auto last = sent.find(candidate->side);
      const BidState state =
          BidStateOf(last == sent.end() ? Items{} : last->second.items, items,
                     request_class);
      if (state == BidState::kMissing) {
        missing.push_back(candidate->side);
        continue;
      }
      --wanted;
      if (state == BidState::kOutdated) {
        urgent.insert(candidate->side);
      }
    }
    for (const std::string& side : missing) {
      if (wanted-- > 0) {
        urgent.insert(side);
      }
    }
  }
  return urgent;
}

void Bidder::WithdrawBids(const std::string& model,
                          const std::vector<std::string>& targets,
                          const BidInputs& inputs,
                          std::vector<LinkCommand>& commands) {
  const kernel::Duration period = RefreshPeriod(inputs);
  std::erase_if(sent_bids_[model], [&](const auto& entry) {
    const auto& [side, last] = entry;
    if (std::find(targets.begin(), targets.end(), side) != targets.end()) {
      return false;
    }
    if (last.items.empty()) {
      return true;  // The grants of the side used up the bid.
    }
    if (inputs.now - last.sent_at < period) {
      changed_.insert(model);
      return false;
    }
    commands.push_back({side, protocol::Bid{.model = model}});
    return true;
  });
}

std::vector<LinkCommand> Bidder::FlushModel(const std::string& model,
                                            const BidInputs& inputs) {
  changed_.erase(model);
  const Items items = ItemsFor(model, inputs);
  std::vector<placement::Candidate> candidates;
  std::vector<std::string> targets;
  if (items.empty()) {
    waiting_since_.erase(model);
  } else {
    candidates = inputs.sides.CandidatesFor(model, inputs.snapshot, inputs.now);
    targets = inputs.strategy.BidTargets(
        affinity_keys_[model], candidates,
        static_cast<size_t>(inputs.snapshot.policy.bid_fanout));
    waiting_since_.try_emplace(model, inputs.now);
  }
  std::vector<LinkCommand> commands;
  WithdrawBids(model, targets, inputs, commands);
  if (items.empty()) {
    return commands;
  }
  auto& sent = sent_bids_[model];
  const std::set<std::string> urgent =
      UrgentTargets(candidates, targets, sent, items);
  const kernel::Duration period = RefreshPeriod(inputs);
  const kernel::TimePoint since = waiting_since_[model];
  for (const std::string& side : targets) {
    const auto last = sent.find(side);
    const kernel::TimePoint last_at =
        last == sent.end() ? since : last->second.sent_at;
    const bool is_due =
        inputs.now - last_at >= period &&
        (last == sent.end() ||
         !std::equal(last->second.items.begin(), last->second.items.end(),
                     items.begin(), items.end(), IsEqual));
    if (is_due || urgent.contains(side)) {
      sent.insert_or_assign(side, SentBid{items, inputs.now});
      commands.push_back({side, protocol::Bid{.model = model, .items = items}});
    }
  }
  return commands;
}

}  // namespace jackdawshunt::entry
