#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <set>

#include <rapidcheck/gtest.h>

#include "jackdawshunt/fairness/exchange.h"
#include "jackdawshunt/kernel/registry.h"

namespace jackdawshunt::fairness {
namespace {

const std::vector<std::string> kWorkspaces = {"a", "b", "c"};

std::string Name(size_t replica) {
  return "entry-" + std::to_string(replica);
}

// Replicas that use `tree`, and their connections. Messages are delivered in
// any order and any number of times; messages under way over a connection that
// breaks are lost.
class TreeSimulation {
 public:
  explicit TreeSimulation(size_t replicas) : replicas_(replicas) {
    for (size_t i = 0; i < replicas; ++i) {
      Start(i);
    }
    ConnectFirst(replicas);
  }

  size_t size() const { return replicas_.size(); }

  void Charge(size_t at, const std::string& workspace, int amount) {
    replicas_[at].ledger->Charge(workspace, amount);
    charged_[workspace] += amount;
  }

  void SetBacklogged(size_t at, const std::string& workspace, bool backlogged) {
    replicas_[at].ledger->SetBacklogged(workspace, backlogged);
  }

  void Tick(size_t at) {
    Replica& replica = replicas_[at];
    const std::vector<std::string> connected(replica.connected.begin(),
                                             replica.connected.end());
    for (OutgoingCounters& message :
         replica.exchange->Tick(*replica.ledger, connected)) {
      messages_.push_back({Name(at), std::move(message)});
    }
  }

  void Deliver(size_t number, bool keep) {
    if (messages_.empty()) {
      return;
    }
    const auto message =
        messages_.begin() + static_cast<ptrdiff_t>(number % messages_.size());
    for (Replica& replica : replicas_) {
      if (replica.ledger->origin() == message->second.entry) {
        replica.exchange->OnReceived(*replica.ledger, message->first,
                                     message->second.counters);
      }
    }
    if (!keep) {
      messages_.erase(message);
    }
  }

  // Drops the messages under way. With `both` false, only `a` notices.
  void Disconnect(size_t a, size_t b, bool both) {
    std::erase_if(messages_, [&](const auto& message) {
      return (message.first == Name(a) && message.second.entry == Name(b)) ||
             (message.first == Name(b) && message.second.entry == Name(a));
    });
    replicas_[a].connected.erase(Name(b));
    replicas_[a].ledger->RemovePeer(Name(b));
    if (both) {
      replicas_[b].connected.erase(Name(a));
      replicas_[b].ledger->RemovePeer(Name(a));
    }
  }

  void Connect(size_t a, size_t b) {
    if (a == b) {
      return;
    }
    Disconnect(a, b, /*both=*/true);
    for (const auto& [from, to] : {std::pair(a, b), std::pair(b, a)}) {
      replicas_[from].connected.insert(Name(to));
      replicas_[from].exchange->OnConnected(*replicas_[from].ledger, Name(to));
    }
  }

  void Restart(size_t at) {
    for (size_t i = 0; i < size(); ++i) {
      Disconnect(i, at, /*both=*/true);
    }
    Start(at);
  }

  // Returns whether other replicas hold all counters that this one holds.
  bool IsCopied(size_t at) const {
    return std::none_of(kWorkspaces.begin(), kWorkspaces.end(),
                        [&](const std::string& workspace) {
                          return Recoverable(workspace, at) <
                                 Recoverable(workspace, size());
                        });
  }

  // Returns the sum over the counters that replicas other than `except` hold.
  double Recoverable(const std::string& workspace, size_t except) const {
    std::map<std::pair<std::string, base::Incarnation>, double> rows;
    for (size_t i = 0; i < size(); ++i) {
      for (const auto& row : replicas_[i].ledger->AllCounters().counters) {
        if (i != except && row.workspace == workspace) {
          double& known = rows[{row.origin, row.incarnation}];
          known = std::max(known, row.service);
        }
      }
    }
    double sum = 0;
    for (const auto& [origin, service] : rows) {
      sum += service;
    }
    return sum;
  }

  double Charged(const std::string& workspace) { return charged_[workspace]; }

  double Service(size_t at, const std::string& workspace) const {
    return replicas_[at].ledger->NormalisedService(workspace);
  }
  const Ledger& ledger(size_t at) const { return *replicas_[at].ledger; }

  // Connects those of the first `count` replicas that are not connected. Open
  // connections stay, so they do not send all counters again.
  void ConnectFirst(size_t count) {
    for (size_t a = 0; a < count; ++a) {
      for (size_t b = a + 1; b < count; ++b) {
        if (!replicas_[a].connected.contains(Name(b)) ||
            !replicas_[b].connected.contains(Name(a))) {
          Connect(a, b);
        }
      }
    }
  }

  void Settle() {
    ConnectFirst(size());
    Run();
  }

  // Ticks all replicas and delivers their messages in order until the counters
  // have reached all connected replicas.
  void Run() {
    // Five hops, each after some ticks that the byte limit skips.
    for (int round = 0; round < 120; ++round) {
      for (size_t i = 0; i < size(); ++i) {
        Tick(i);
      }
      while (!messages_.empty()) {
        Deliver(0, /*keep=*/false);
      }
    }
  }

 private:
  struct Replica {
    std::unique_ptr<Ledger> ledger;
    std::unique_ptr<Exchange> exchange;
    // Names of the entries that this replica considers connected.
    std::set<std::string> connected;
  };

  void Start(size_t at) {
    Replica& replica = replicas_[at];
    replica.ledger = std::make_unique<Ledger>(
        Name(at), base::Incarnation{++last_incarnation_, 0});
    replica.exchange = kernel::Registry<Exchange>::Create("tree");
    replica.connected.clear();
  }

  std::vector<Replica> replicas_;
  std::deque<std::pair<std::string, OutgoingCounters>> messages_;
  std::map<std::string, double> charged_;
  int64_t last_incarnation_ = 0;
};

enum class Act { kCharge, kTick, kDeliver, kConnect, kDisconnect, kRestart };

struct Action {
  Act act;
  size_t first;
  size_t second;
  size_t workspace;
  int amount;
  bool flag;
};

void showValue(const Action& action, std::ostream& os) {
  os << static_cast<int>(action.act) << '(' << action.first << ' '
     << action.second << ' ' << action.workspace << ' ' << action.amount << ' '
     << action.flag << ')';
}

rc::Gen<Action> ActionGen() {
  return rc::gen::construct<Action>(
      rc::gen::weightedElement<Act>({{6, Act::kCharge},
                                     {9, Act::kTick},
                                     {9, Act::kDeliver},
                                     {3, Act::kConnect},
                                     {2, Act::kDisconnect},
                                     {1, Act::kRestart}}),
      rc::gen::inRange<size_t>(0, 1000), rc::gen::inRange<size_t>(0, 1000),
      rc::gen::inRange<size_t>(0, kWorkspaces.size()), rc::gen::inRange(1, 100),
      rc::gen::arbitrary<bool>());
}

// Skips restarts that would lose the only copy of a counter when `is_safe`.
void Run(TreeSimulation& simulation, const Action& action, bool is_safe) {
  const size_t first = action.first % simulation.size();
  const size_t second = action.second % simulation.size();
  switch (action.act) {
    case Act::kCharge:
      simulation.Charge(first, kWorkspaces[action.workspace], action.amount);
      break;
    case Act::kTick:
      for (size_t i = 0; i < simulation.size(); ++i) {
        if (i != second || action.flag) {
          simulation.Tick(i);
        }
      }
      break;
    case Act::kDeliver:
      for (int i = 0; i < action.amount / 4; ++i) {
        simulation.Deliver(action.second + static_cast<size_t>(i) * 7,
                           action.flag && i % 4 == 0);
      }
      break;
    case Act::kConnect:
      for (size_t i = 0; i < simulation.size(); ++i) {
        if (action.flag || i == second) {
          simulation.Connect(first, i);
        }
      }
      break;
    case Act::kDisconnect:
      simulation.Disconnect(first, second, action.flag);
      break;
    case Act::kRestart:
      if (!is_safe || simulation.IsCopied(first)) {
        simulation.Restart(first);
      }
      break;
  }
}

using Table = std::vector<std::vector<double>>;

Table Services(const TreeSimulation& simulation) {
  Table table(simulation.size());
  for (size_t i = 0; i < simulation.size(); ++i) {
    for (const std::string& workspace : kWorkspaces) {
      table[i].push_back(simulation.Service(i, workspace));
    }
  }
  return table;
}

void RunAll(TreeSimulation& simulation,
            const std::vector<Action>& actions,
            bool is_safe) {
  for (const Action& action : actions) {
    const Table before = Services(simulation);
    Run(simulation, action, is_safe);
    const Table after = Services(simulation);
    for (size_t i = 0; i < simulation.size(); ++i) {
      for (size_t w = 0; w < kWorkspaces.size(); ++w) {
        RC_ASSERT(after[i][w] <= simulation.Charged(kWorkspaces[w]));
        RC_ASSERT(after[i][w] >= before[i][w] || action.act == Act::kRestart);
      }
    }
  }
}

// Guards against service counted twice or decreased, and against sums that
// never become exact, when connections lose, repeat and reorder messages,
// entries restart without state and entries disagree on which are connected.
RC_GTEST_PROP(TreePropertyTest, ReplicasConvergeToTheExactSum, ()) {
  const auto actions = *rc::gen::container<std::vector<Action>>(ActionGen());
  TreeSimulation simulation(*rc::gen::element<size_t>(2, 5, 6, 18));
  RunAll(simulation, actions, /*is_safe=*/true);
  simulation.Settle();
  for (const std::string& workspace : kWorkspaces) {
    for (size_t i = 0; i < simulation.size(); ++i) {
      RC_ASSERT(simulation.Service(i, workspace) ==
                simulation.Charged(workspace));
    }
  }
}

// Guards against service counted twice after all copies of a counter are lost
// that heads had already summed: the sums remain.
RC_GTEST_PROP(TreePropertyTest, NeverCountsTwiceAfterLossOfAllCopies, ()) {
  const auto actions = *rc::gen::container<std::vector<Action>>(ActionGen());
  TreeSimulation simulation(6);
  RunAll(simulation, actions, /*is_safe=*/false);
  simulation.Settle();
  for (const std::string& workspace : kWorkspaces) {
    for (size_t i = 0; i < simulation.size(); ++i) {
      RC_ASSERT(simulation.Service(i, workspace) <=
                simulation.Charged(workspace));
      RC_ASSERT(simulation.Service(i, workspace) >=
                simulation.Recoverable(workspace, simulation.size()));
    }
  }
}

// Guards against entries that never get the start or the end of a backlog when
// the report reaches them through two heads.
TEST(TreeTest, DistributesBackloggedWorkspaces) {
  TreeSimulation simulation(18);
  simulation.SetBacklogged(3, "a", true);
  simulation.Settle();
  for (size_t i = 0; i < simulation.size(); ++i) {
    EXPECT_TRUE(simulation.ledger(i).IsBackloggedAnywhere("a")) << i;
    EXPECT_FALSE(simulation.ledger(i).IsBackloggedAnywhere("b")) << i;
  }
  simulation.SetBacklogged(3, "a", false);
  simulation.Settle();
  for (size_t i = 0; i < simulation.size(); ++i) {
    EXPECT_FALSE(simulation.ledger(i).IsBackloggedAnywhere("a")) << i;
  }
}

// Guards against lists of backlogged workspaces that stay after the head that
// sent them lost its role: the connection stays open, so only a message of the
// former head removes them.
TEST(TreeTest, FormerHeadWithdrawsItsBackloggedList) {
  constexpr size_t kAll = 18;
  TreeSimulation simulation(kAll);
  for (size_t a = 0; a < kAll; ++a) {
    for (size_t b = 9; b < kAll; ++b) {
      simulation.Disconnect(a, b, /*both=*/true);
    }
  }
  simulation.SetBacklogged(3, "a", true);
  simulation.Run();
  EXPECT_TRUE(simulation.ledger(8).IsBackloggedAnywhere("a"));
  simulation.ConnectFirst(kAll);
  simulation.SetBacklogged(3, "a", false);
  simulation.Run();
  for (size_t i = 0; i < kAll; ++i) {
    EXPECT_FALSE(simulation.ledger(i).IsBackloggedAnywhere("a")) << i;
  }
}

// Guards against the loss of counters that only a former head holds and whose
// origin has restarted: the former head gets no message about the restart.
TEST(TreeTest, FormerHeadForwardsItsCounters) {
  constexpr size_t kAll = 18;
  for (size_t restarted = 0; restarted < 9; ++restarted) {
    TreeSimulation simulation(kAll);
    for (size_t a = 0; a < kAll; ++a) {
      for (size_t b = 9; b < kAll; ++b) {
        simulation.Disconnect(a, b, /*both=*/true);
      }
    }
    simulation.Charge(restarted, "a", 5);
    simulation.Run();
    simulation.Restart(restarted);
    simulation.Settle();
    for (size_t i = 0; i < kAll; ++i) {
      EXPECT_EQ(simulation.Service(i, "a"), 5) << restarted << ' ' << i;
    }
  }
}

// Guards against an entry that already uses `mesh` and takes the sums of groups
// for counters of an origin.
TEST(TreeTest, MeshIgnoresGroupSums) {
  Ledger ledger("entry-1", {1, 0});
  protocol::Counters counters;
  counters.counters = {{"#side/2/0/0", {2, 0}, "", 0},
                       {"#side/2/0/0", {2, 0}, "a", 7}};
  kernel::Registry<Exchange>::Create("mesh")->OnReceived(ledger, "entry-2",
                                                         counters);
  EXPECT_EQ(ledger.NormalisedService("a"), 0);
}

}  // namespace
}  // namespace jackdawshunt::fairness
