#include "jackdawshunt/fairness/ledger.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <deque>
#include <memory>

#include <rapidcheck/gtest.h>

namespace jackdawshunt::fairness {
namespace {

constexpr size_t kReplicas = 3;
const std::vector<std::string> kWorkspaces = {"a", "b", "c"};

enum class Act {
  kCharge,
  kBacklog,
  kSendChanges,
  kSendFull,
  kDeliver,
  kRestart
};

struct Action {
  Act act;
  size_t from;
  size_t to;
  size_t workspace;
  int amount;
};

rc::Gen<Action> ActionGen() {
  return rc::gen::construct<Action>(
      rc::gen::weightedElement<Act>({{6, Act::kCharge},
                                     {3, Act::kBacklog},
                                     {4, Act::kSendChanges},
                                     {1, Act::kSendFull},
                                     {6, Act::kDeliver},
                                     {1, Act::kRestart}}),
      rc::gen::inRange<size_t>(0, kReplicas),
      rc::gen::inRange<size_t>(0, kReplicas),
      rc::gen::inRange<size_t>(0, kWorkspaces.size()),
      rc::gen::inRange(-50, 100));
}

void showValue(const Action& action, std::ostream& os) {
  os << static_cast<int>(action.act) << '(' << action.from << ' ' << action.to
     << ' ' << action.workspace << ' ' << action.amount << ')';
}

// Service that a replica has received, by incarnation and workspace.
using Known = std::map<std::pair<int64_t, std::string>, double>;

void MergeKnown(Known& into, const Known& from) {
  for (const auto& [key, value] : from) {
    into[key] = std::max(into[key], value);
  }
}

double Total(const Known& known, const std::string& workspace) {
  double sum = 0;
  for (const auto& [key, value] : known) {
    sum += key.second == workspace ? value : 0;
  }
  return sum;
}

struct Message {
  size_t from;
  size_t to;
  protocol::Counters counters;
  Known known;
};

std::string Name(size_t replica) {
  return "entry-" + std::to_string(replica);
}

// Replicas with a network that loses, repeats and reorders messages, and an
// oracle. A replica's counter in the oracle is the highest sum of its charges
// so far.
class LedgerSimulation {
 public:
  LedgerSimulation() {
    for (size_t i = 0; i < kReplicas; ++i) {
      Restart(i);
    }
  }

  void Run(const Action& action) {
    const std::string& workspace = kWorkspaces[action.workspace];
    const auto before = Services();
    switch (action.act) {
      case Act::kCharge:
        ledgers_[action.from]->Charge(workspace, action.amount);
        net_charges_[{incarnation_[action.from], workspace}] += action.amount;
        MergeKnown(known_[action.from],
                   {{{incarnation_[action.from], workspace},
                     net_charges_[{incarnation_[action.from], workspace}]}});
        break;
      case Act::kBacklog:
        ledgers_[action.from]->SetBacklogged(workspace, action.amount > 0);
        break;
      case Act::kSendChanges:
        Send(action.from, action.to, ledgers_[action.from]->TakeChanges(),
             /*full=*/false);
        break;
      case Act::kSendFull:
        Send(action.from, action.to, ledgers_[action.from]->AllCounters(),
             /*full=*/true);
        break;
      case Act::kDeliver:
        if (!messages_.empty()) {
          Deliver(messages_[static_cast<size_t>(action.amount + 50) %
                            messages_.size()]);
        }
        break;
      case Act::kRestart:
        Restart(action.from);
        break;
    }
    CheckServiceNeverDecreases(before, action);
  }

  void DeliverFullCopies() {
    for (size_t round = 0; round < 2; ++round) {
      for (size_t from = 0; from < kReplicas; ++from) {
        for (size_t to = 0; to < kReplicas; ++to) {
          Send(from, to, ledgers_[from]->AllCounters(), /*full=*/true);
          Deliver(messages_.back());
        }
      }
    }
  }

  void CheckConverged() const {
    for (const std::string& workspace : kWorkspaces) {
      const double exact = Total(known_[0], workspace);
      for (size_t i = 0; i < kReplicas; ++i) {
        double sum = 0;
        const protocol::Counters full = ledgers_[i]->AllCounters();
        for (const auto& entry : full.counters) {
          sum += entry.workspace == workspace ? entry.service : 0;
        }
        RC_ASSERT(sum == exact);
        double lift = 0;
        for (const auto& entry : full.lifts) {
          lift += entry.workspace == workspace ? entry.lift : 0;
        }
        RC_ASSERT(ledgers_[i]->NormalisedService(workspace) == exact + lift);
        RC_ASSERT(ledgers_[i]->NormalisedService(workspace) ==
                  ledgers_[0]->NormalisedService(workspace));
      }
    }
  }

 private:
  using ServiceTable = std::array<std::array<double, 3>, kReplicas>;

  ServiceTable Services() const {
    ServiceTable table;
    for (size_t i = 0; i < kReplicas; ++i) {
      for (size_t w = 0; w < kWorkspaces.size(); ++w) {
        table[i][w] = ledgers_[i]->NormalisedService(kWorkspaces[w]);
      }
    }
    return table;
  }

  void CheckServiceNeverDecreases(const ServiceTable& before,
                                  const Action& action) const {
    const ServiceTable after = Services();
    for (size_t i = 0; i < kReplicas; ++i) {
      if (action.act == Act::kRestart && action.from == i) {
        continue;
      }
      for (size_t w = 0; w < kWorkspaces.size(); ++w) {
        RC_ASSERT(after[i][w] >= before[i][w]);
      }
    }
  }

  void Send(size_t from, size_t to, protocol::Counters counters, bool full) {
    Known known;
    for (const auto& [key, value] : known_[from]) {
      if (full || key.first == incarnation_[from]) {
        known[key] = value;
      }
    }
    if (!full) {
      // Changes that an earlier message carried are not part of this one.
      std::erase_if(known, [&](const auto& entry) {
        return std::none_of(counters.counters.begin(), counters.counters.end(),
                            [&](const auto& counter) {
                              return counter.workspace == entry.first.second;
                            });
      });
    }
    messages_.push_back({from, to, std::move(counters), std::move(known)});
  }

  void Deliver(const Message& message) {
    ledgers_[message.to]->Merge(Name(message.from), message.counters);
    MergeKnown(known_[message.to], message.known);
  }

  void Restart(size_t replica) {
    incarnation_[replica] = ++last_incarnation_;
    ledgers_[replica] = std::make_unique<Ledger>(
        Name(replica), base::Incarnation{last_incarnation_, 0});
    known_[replica].clear();
  }

  std::array<std::unique_ptr<Ledger>, kReplicas> ledgers_;
  std::array<Known, kReplicas> known_;
  std::array<int64_t, kReplicas> incarnation_{};
  std::map<std::pair<int64_t, std::string>, double> net_charges_;
  std::deque<Message>
      messages_;  // Delivered in any order, any number of times.
  int64_t last_incarnation_ = 0;
};

// Guards against service counted twice, lost or decreased when messages are
// lost, repeated and reordered and replicas restart without state.
RC_GTEST_PROP(LedgerPropertyTest, ReplicasConvergeToTheExactSum, ()) {
  const auto actions = *rc::gen::container<std::vector<Action>>(ActionGen());
  LedgerSimulation simulation;
  for (const Action& action : actions) {
    simulation.Run(action);
  }
  simulation.DeliverFullCopies();
  simulation.CheckConverged();
}

protocol::Counters Backlogged(std::vector<std::string> workspaces) {
  protocol::Counters counters;
  counters.backlogged = std::move(workspaces);
  return counters;
}

// Guards against a workspace that earns credit while idle.
TEST(LedgerTest, LiftsNewlyBackloggedWorkspaceToLowestService) {
  Ledger ledger("entry-1", {1, 0});
  ledger.Charge("busy", 100);
  ledger.Charge("busier", 300);
  ledger.SetBacklogged("busy", true);
  ledger.SetBacklogged("busier", true);
  ledger.SetBacklogged("idle", true);
  EXPECT_EQ(ledger.NormalisedService("idle"), 100);
}

// Guards against credit after a period in which no workspace was backlogged.
TEST(LedgerTest, LiftsToVirtualTimeWhenNothingElseIsBacklogged) {
  Ledger ledger("entry-1", {1, 0});
  ledger.SetBacklogged("busy", true);
  ledger.Charge("busy", 100);
  ledger.SetBacklogged("busy", false);
  ledger.SetBacklogged("idle", true);
  EXPECT_EQ(ledger.NormalisedService("idle"), 100);
}

// Guards against a lift of a backlogged workspace whose requests start to wait
// at a second entry; the lift would cost it service that it is owed.
TEST(LedgerTest, DoesNotLiftWorkspaceBackloggedAtPeer) {
  Ledger ledger("entry-1", {1, 0});
  ledger.Charge("busy", 100);
  ledger.SetBacklogged("busy", true);
  ledger.Merge("entry-2", Backlogged({"waiting"}));
  ledger.SetBacklogged("waiting", true);
  EXPECT_EQ(ledger.NormalisedService("waiting"), 0);
  ledger.SetBacklogged("waiting", false);
  ledger.RemovePeer("entry-2");
  ledger.SetBacklogged("waiting", true);
  EXPECT_EQ(ledger.NormalisedService("waiting"), 100);
}

// Guards against lifts of the same workspace by two entries adding up.
TEST(LedgerTest, SimultaneousLiftsCountOnce) {
  Ledger first("entry-1", {1, 0});
  Ledger second("entry-2", {2, 0});
  first.Charge("busy", 100);
  first.SetBacklogged("busy", true);
  second.Merge("entry-1", first.AllCounters());
  first.SetBacklogged("idle", true);
  second.SetBacklogged("idle", true);
  first.Merge("entry-2", second.AllCounters());
  EXPECT_EQ(first.NormalisedService("idle"), 100);
}

// Guards against a change of a share that rescales past service, which would
// starve either this workspace or all others.
TEST(LedgerTest, ShareAppliesToLaterChargesOnly) {
  Ledger ledger("entry-1", {1, 0});
  ledger.Charge("lodge", 100);
  ledger.SetShare("lodge", 4);
  EXPECT_EQ(ledger.NormalisedService("lodge"), 100);
  ledger.Charge("lodge", 100);
  EXPECT_EQ(ledger.NormalisedService("lodge"), 125);
}

constexpr int64_t kHourUs = int64_t{3600} * 1'000'000;

// Guards against service counted twice or decreased when some replicas folded
// an ended incarnation, others did not, and not all had its last counters.
RC_GTEST_PROP(LedgerPropertyTest, FoldedRowsMergeByMaximum, ()) {
  constexpr int64_t kIncarnations = 5;
  std::vector<Ledger> replicas;
  for (size_t i = 0; i < kReplicas; ++i) {
    replicas.emplace_back(Name(i), base::Incarnation{1, 0});
  }
  double charged = 0;
  for (int64_t incarnation = 1; incarnation <= kIncarnations; ++incarnation) {
    Ledger origin("origin", {incarnation * kHourUs, 0});
    for (const int amount :
         *rc::gen::container<std::vector<int>>(3, rc::gen::inRange(1, 100))) {
      origin.Charge("a", amount);
      charged += amount;
      const auto to = *rc::gen::inRange<size_t>(0, kReplicas);
      const auto from = *rc::gen::inRange<size_t>(0, kReplicas);
      for (const protocol::Counters& counters :
           {origin.AllCounters(), replicas[from].AllCounters()}) {
        const double before = replicas[to].NormalisedService("a");
        replicas[to].Merge("peer", counters);
        RC_ASSERT(replicas[to].NormalisedService("a") >= before);
        RC_ASSERT(replicas[to].NormalisedService("a") <= charged);
      }
    }
  }
  for (size_t round = 0; round < 2; ++round) {
    for (const Ledger& from : std::vector<Ledger>(replicas)) {
      for (Ledger& to : replicas) {
        to.Merge("peer", from.AllCounters());
        RC_ASSERT(to.NormalisedService("a") <= charged);
      }
    }
  }
  for (const Ledger& replica : replicas) {
    RC_ASSERT(replica.NormalisedService("a") ==
              replicas[0].NormalisedService("a"));
  }
}

// Guards against state that grows with each restart, and against folding that
// loses service although all counters had arrived.
TEST(LedgerTest, FoldsEndedIncarnationsIntoOneRow) {
  constexpr int kRestarts = 100;
  Ledger ledger("entry-1", {1, 0});
  for (int64_t incarnation = 1; incarnation <= kRestarts; ++incarnation) {
    Ledger origin("entry-2", {incarnation * kHourUs, 0});
    origin.Charge("a", 1);
    ledger.Merge("entry-2", origin.AllCounters());
  }
  EXPECT_EQ(ledger.NormalisedService("a"), kRestarts);
  // One folded row and those of the last two hours.
  EXPECT_LE(ledger.AllCounters().counters.size(), 4U);
}

// Guards against an entry whose charges no longer count because a peer folded
// its current incarnation.
TEST(LedgerTest, DoesNotFoldCurrentIncarnation) {
  Ledger ledger("entry-1", {5, 0});
  ledger.Charge("a", 3);
  protocol::Counters counters;
  counters.counters = {{"~entry-1", {9, 0}, "a", 3}};
  ledger.Merge("entry-2", counters);
  ledger.Charge("a", 4);
  EXPECT_EQ(ledger.NormalisedService("a"), 7);
}

}  // namespace
}  // namespace jackdawshunt::fairness
