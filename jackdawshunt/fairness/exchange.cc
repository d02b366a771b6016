#include "jackdawshunt/fairness/exchange.h"

#include <memory>

#include "jackdawshunt/kernel/registry.h"

namespace jackdawshunt::fairness {
namespace {

class NoExchange final : public Exchange {
 public:
  std::vector<OutgoingCounters> Tick(Ledger& ledger,
                                     const std::vector<std::string>&) override {
    ledger.TakeChanges();
    // No message would ever remove the workspaces of an earlier policy.
    ledger.SetBackloggedAtPeers({});
    return {};
  }
  std::vector<OutgoingCounters> OnConnected(Ledger&,
                                            std::string_view) override {
    return {};
  }
  void OnReceived(Ledger&,
                  std::string_view,
                  const protocol::Counters&) override {}
};

// Sends changes to all connected entries and all counters to a new one. Changes
// lost with a connection are part of the full copy sent over the next one.
class Mesh final : public Exchange {
 public:
  std::vector<OutgoingCounters> Tick(
      Ledger& ledger,
      const std::vector<std::string>& peers) override {
    const protocol::Counters changes = ledger.TakeChanges();
    if (changes.counters.empty() && changes.lifts.empty() &&
        changes.backlogged == last_backlogged_) {
      return {};
    }
    last_backlogged_ = changes.backlogged;
    std::vector<OutgoingCounters> result;
    result.reserve(peers.size());
    for (const std::string& peer : peers) {
      result.push_back({peer, changes});
    }
    return result;
  }

  std::vector<OutgoingCounters> OnConnected(Ledger& ledger,
                                            std::string_view peer) override {
    // Removes the backlogged workspaces that `tree` reported for all peers
    // together, after a change of policy.
    ledger.RemovePeer("");
    std::vector<OutgoingCounters> result;
    result.push_back({std::string(peer), ledger.AllCounters()});
    return result;
  }

  void OnReceived(Ledger& ledger,
                  std::string_view peer,
                  const protocol::Counters& counters) override {
    ledger.Merge(peer, counters);
  }

 private:
  std::vector<std::string> last_backlogged_;
};

const kernel::Registration<Exchange> kNone("none", [] {
  return std::make_unique<NoExchange>();
});
const kernel::Registration<Exchange> kMesh("mesh", [] {
  return std::make_unique<Mesh>();
});

}  // namespace
}  // namespace jackdawshunt::fairness
