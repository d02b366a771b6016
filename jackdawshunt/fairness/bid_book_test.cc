#include "jackdawshunt/fairness/bid_book.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>

#include <rapidcheck/gtest.h>

namespace jackdawshunt::fairness {
namespace {

enum class Act {
  kReplace,
  kRemoveEntry,
  kChoose,
  kAddHeldSlot,
  kRemoveHeldSlot
};

struct ItemSpec {
  int workspace;
  bool is_long;
  int waiting;
  int service;
};

struct Action {
  Act act;
  int entry;
  int model;
  std::vector<ItemSpec> items;
};

void showValue(const Action& action, std::ostream& os) {
  os << static_cast<int>(action.act) << '(' << action.entry << ' '
     << action.model;
  for (const ItemSpec& item : action.items) {
    os << " w" << item.workspace << (item.is_long ? "L" : "S") << item.waiting
       << '@' << item.service;
  }
  os << ')';
}

rc::Gen<Action> ActionGen() {
  const auto item = rc::gen::construct<ItemSpec>(
      rc::gen::inRange(0, 4), rc::gen::arbitrary<bool>(),
      rc::gen::inRange(0, 4), rc::gen::inRange(0, 40));
  return rc::gen::construct<Action>(
      rc::gen::weightedElement<Act>({{4, Act::kReplace},
                                     {1, Act::kRemoveEntry},
                                     {8, Act::kChoose},
                                     {2, Act::kAddHeldSlot},
                                     {2, Act::kRemoveHeldSlot}}),
      rc::gen::inRange(0, 3), rc::gen::inRange(0, 2),
      rc::gen::container<std::vector<ItemSpec>>(item));
}

constexpr double kEstimate = 7;

// Keeps all reports and grants as plain lists.
struct Oracle {
  struct Grant {
    std::string entry;
    std::string workspace;
  };

  double Service(const std::string& workspace) const {
    double newest = 0;
    for (const auto& [key, service] : reported) {
      newest = key.second == workspace ? std::max(newest, service) : newest;
    }
    return newest + kEstimate * static_cast<double>(std::count_if(
                                    grants.begin(), grants.end(),
                                    [&](const Grant& grant) {
                                      return grant.workspace == workspace;
                                    }));
  }

  std::map<std::pair<std::string, std::string>, double> reported;
  std::vector<Grant> grants;  // Since the entry's last bid.
  std::map<std::pair<std::string, std::string>, std::vector<protocol::BidItem>>
      bids;  // By entry and model.
  std::map<std::string, int> held;
};

void Choose(BidBook& book, Oracle& oracle, bool short_only) {
  const auto eligible = [short_only](const protocol::BidItem& item) {
    return item.waiting > 0 &&
           (!short_only ||
            item.request_class == protocol::RequestClass::kShort);
  };
  const auto choice = book.Choose(short_only);
  int contenders = 0;
  for (const auto& [key, items] : oracle.bids) {
    for (const protocol::BidItem& item : items) {
      if (!eligible(item)) {
        continue;
      }
      ++contenders;
      RC_ASSERT(choice.has_value());
      const double chosen = oracle.Service(choice->workspace);
      const double other = oracle.Service(item.workspace);
      RC_ASSERT(chosen <= other);
      RC_ASSERT(chosen < other ||
                oracle.held[choice->workspace] <= oracle.held[item.workspace]);
    }
  }
  RC_ASSERT(choice.has_value() == (contenders > 0));
  if (!choice.has_value()) {
    return;
  }
  RC_ASSERT(choice->contenders == contenders);
  RC_ASSERT(choice->service == oracle.Service(choice->workspace));
  auto& items = oracle.bids[{choice->entry, choice->model}];
  const auto item =
      std::find_if(items.begin(), items.end(), [&](const auto& candidate) {
        return candidate.workspace == choice->workspace &&
               candidate.request_class == choice->request_class &&
               eligible(candidate);
      });
  RC_ASSERT(item != items.end());
  --item->waiting;
  oracle.grants.push_back({choice->entry, choice->workspace});
}

// Guards against a grant to a workspace with a higher reported service than
// another eligible one, and against a stale report that replaces a newer one.
RC_GTEST_PROP(BidBookPropertyTest, ChoosesLowestReportedService, ()) {
  const auto actions = *rc::gen::container<std::vector<Action>>(ActionGen());
  BidBook book;
  Oracle oracle;
  for (const Action& action : actions) {
    const std::string entry = "entry-" + std::to_string(action.entry);
    const std::string workspace = "w" + std::to_string(action.model);
    const auto of_entry = [&](const auto& grant) {
      return grant.entry == entry;
    };
    switch (action.act) {
      case Act::kReplace: {
        protocol::Bid bid{.model = "m" + std::to_string(action.model)};
        std::erase_if(oracle.grants, of_entry);
        for (const ItemSpec& spec : action.items) {
          bid.items.push_back(
              {.workspace = "w" + std::to_string(spec.workspace),
               .request_class = spec.is_long ? protocol::RequestClass::kLong
                                             : protocol::RequestClass::kShort,
               .waiting = spec.waiting,
               .service = static_cast<double>(spec.service),
               .estimate = kEstimate});
          oracle.reported[{entry, bid.items.back().workspace}] = spec.service;
        }
        book.Replace(entry, bid);
        oracle.bids[{entry, bid.model}] = bid.items;
        break;
      }
      case Act::kRemoveEntry: {
        book.RemoveEntry(entry);
        std::erase_if(oracle.grants, of_entry);
        const auto of_key = [&](const auto& row) {
          return row.first.first == entry;
        };
        std::erase_if(oracle.bids, of_key);
        std::erase_if(oracle.reported, of_key);
        break;
      }
      case Act::kChoose:
        Choose(book, oracle, /*short_only=*/action.model == 1);
        break;
      case Act::kAddHeldSlot:
        book.AddHeldSlot(workspace);
        ++oracle.held[workspace];
        break;
      case Act::kRemoveHeldSlot:
        book.RemoveHeldSlot(workspace);
        oracle.held[workspace] = std::max(0, oracle.held[workspace] - 1);
        break;
    }
  }
}

protocol::Bid BidFor(const std::string& workspace, double service) {
  return {.model = "m",
          .items = {{.workspace = workspace,
                     .waiting = 4,
                     .service = service,
                     .estimate = kEstimate}}};
}

// Guards against one entry getting all slots of a workspace.
TEST(BidBookTest, AlternatesBetweenEntriesWithEqualBids) {
  BidBook book;
  book.Replace("entry-1", BidFor("w", 1));
  book.Replace("entry-2", BidFor("w", 1));
  EXPECT_EQ(book.Choose(false)->entry, "entry-1");
  EXPECT_EQ(book.Choose(false)->entry, "entry-2");
  book.Replace("entry-1", BidFor("w", 8));
  EXPECT_EQ(book.Choose(false)->entry, "entry-1");
  EXPECT_EQ(book.Choose(false)->entry, "entry-2");
}

// Guards against an empty bid that still counts as waiting work.
TEST(BidBookTest, EmptyBidWithdrawsEarlierBid) {
  BidBook book;
  book.Replace("entry-1", BidFor("w", 1));
  EXPECT_FALSE(book.empty());
  book.Replace("entry-1", {.model = "m"});
  EXPECT_TRUE(book.empty());
  EXPECT_FALSE(book.Choose(false).has_value());
}

// Guards against slots reserved for short requests being reported as idle
// despite bids while only long requests wait.
TEST(BidBookTest, ShortOnlyIgnoresLongRequests) {
  BidBook book;
  protocol::Bid bid = BidFor("w", 1);
  bid.items[0].waiting = 1;
  bid.items[0].request_class = protocol::RequestClass::kLong;
  book.Replace("entry-1", bid);
  EXPECT_TRUE(book.HasWaiting(/*short_only=*/false));
  EXPECT_FALSE(book.HasWaiting(/*short_only=*/true));
  bid.items[0].request_class = protocol::RequestClass::kShort;
  book.Replace("entry-1", bid);
  EXPECT_TRUE(book.HasWaiting(/*short_only=*/true));
  ASSERT_TRUE(book.Choose(/*short_only=*/true).has_value());
  EXPECT_FALSE(book.HasWaiting(/*short_only=*/true));
}

}  // namespace
}  // namespace jackdawshunt::fairness
