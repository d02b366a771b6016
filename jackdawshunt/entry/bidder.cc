#include "jackdawshunt/entry/bidder.h"

#include <algorithm>

namespace jackdawshunt::entry {
namespace {

bool IsEqual(const protocol::BidItem& a, const protocol::BidItem& b) {
  return a.workspace == b.workspace && a.request_class == b.request_class &&
         a.waiting == b.waiting && a.service == b.service &&
         a.estimate == b.estimate;
}

double ShareOf(std::string_view workspace,
               const configuration::Snapshot& snapshot) {
  const auto found = snapshot.workspaces.find(workspace);
  return found == snapshot.workspaces.end() ? 1 : found->second.share;
}

}  // namespace

void Bidder::MarkChanged(std::string_view model) {
  changed_.emplace(model);
}

void Bidder::MarkAll(const fairness::RequestQueue& queue) {
  for (std::string& model : queue.Models()) {
    changed_.insert(std::move(model));
  }
}

void Bidder::SetAffinity(const std::string& model, std::string affinity) {
  affinity_[model] = std::move(affinity);
}

void Bidder::ForgetSent(std::string_view side, std::string_view model) {
  const auto sides = sent_.find(model);
  if (sides == sent_.end()) {
    return;
  }
  if (const auto sent = sides->second.find(side); sent != sides->second.end()) {
    // An empty list differs from every bid and still marks the side as one that
    // must be told when nothing waits any more.
    sent->second.clear();
  }
}

void Bidder::ForgetSide(std::string_view side) {
  for (auto& [model, sides] : sent_) {
    if (const auto found = sides.find(side); found != sides.end()) {
      sides.erase(found);
    }
  }
}

Bidder::Items Bidder::ItemsFor(std::string_view model,
                               const BidInputs& inputs) {
  Items items;
  for (const fairness::Backlog& backlog : inputs.queue.BacklogOf(model)) {
    const double share = ShareOf(backlog.workspace, inputs.snapshot);
    items.push_back(
        {.workspace = backlog.workspace,
         .request_class = backlog.request_class,
         .waiting = backlog.waiting,
         .service = inputs.ledger.NormalisedService(backlog.workspace) +
                    inputs.charging.Pending(backlog.workspace) / share,
         .estimate = backlog.head_estimate / share});
  }
  return items;
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

std::vector<LinkCommand> Bidder::FlushModel(const std::string& model,
                                            const BidInputs& inputs) {
  changed_.erase(model);
  const Items items = ItemsFor(model, inputs);
  std::vector<std::string> targets;
  if (!items.empty()) {
    targets = inputs.strategy.BidAt(
        affinity_[model],
        inputs.sides.CandidatesFor(model, inputs.snapshot, inputs.now),
        static_cast<size_t>(inputs.snapshot.policy.bid_fanout));
  }
  std::vector<LinkCommand> commands;
  auto& sent = sent_[model];
  std::erase_if(sent, [&](const auto& entry) {
    const bool withdraw =
        std::find(targets.begin(), targets.end(), entry.first) == targets.end();
    if (withdraw) {
      commands.push_back({entry.first, protocol::Bid{.model = model}});
    }
    return withdraw;
  });
  for (const std::string& side : targets) {
    Items& last = sent[side];
    if (!std::equal(last.begin(), last.end(), items.begin(), items.end(),
                    IsEqual)) {
      last = items;
      commands.push_back({side, protocol::Bid{.model = model, .items = items}});
    }
  }
  return commands;
}

}  // namespace jackdawshunt::entry
