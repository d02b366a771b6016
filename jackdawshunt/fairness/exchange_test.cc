#include "jackdawshunt/fairness/exchange.h"

#include <gtest/gtest.h>

#include "jackdawshunt/kernel/registry.h"

namespace jackdawshunt::fairness {
namespace {

// Guards against traffic without changes, and against a change of the
// backlogged set that is not sent because no counter changed.
TEST(MeshTest, SendsOnlyChanges) {
  const auto mesh = kernel::Registry<Exchange>::Create("mesh");
  Ledger ledger("entry-1", {1, 0});
  EXPECT_TRUE(mesh->Tick(ledger, {"entry-2"}).empty());
  ledger.Charge("lodge", 5);
  EXPECT_EQ(mesh->Tick(ledger, {"entry-2", "entry-3"}).size(), 2U);
  EXPECT_TRUE(mesh->Tick(ledger, {"entry-2"}).empty());
  ledger.SetBacklogged("lodge", true);
  EXPECT_EQ(mesh->Tick(ledger, {"entry-2"}).size(), 1U);
  ledger.SetBacklogged("lodge", false);
  EXPECT_EQ(mesh->Tick(ledger, {"entry-2"}).size(), 1U);
}

// Guards against a new connection that misses earlier changes.
TEST(MeshTest, SendsAllCountersToNewPeer) {
  const auto mesh = kernel::Registry<Exchange>::Create("mesh");
  Ledger ledger("entry-1", {1, 0});
  ledger.Charge("lodge", 5);
  mesh->Tick(ledger, {});
  Ledger peer("entry-2", {2, 0});
  for (const OutgoingCounters& message : mesh->OnConnected(ledger, "entry-2")) {
    mesh->OnReceived(peer, "entry-1", message.counters);
  }
  EXPECT_EQ(peer.NormalisedService("lodge"), 5);
}

// Guards against entries that never converge because an entry ended after it
// sent its last changes to only one peer.
TEST(MeshTest, ForwardsCountersOfLostPeer) {
  const auto mesh = kernel::Registry<Exchange>::Create("mesh");
  Ledger lost("entry-0", {1, 0});
  Ledger first("entry-1", {1, 0});
  Ledger second("entry-2", {1, 0});
  lost.Charge("lodge", 5);
  first.Merge("entry-0", lost.TakeChanges());
  first.RemovePeer("entry-0");
  for (const OutgoingCounters& message : mesh->Tick(first, {"entry-2"})) {
    mesh->OnReceived(second, "entry-1", message.counters);
  }
  EXPECT_EQ(second.NormalisedService("lodge"), 5);
}

}  // namespace
}  // namespace jackdawshunt::fairness
