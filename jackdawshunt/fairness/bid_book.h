// Bids that entries hold at a side, and the choice of the bid that gets a free
// slot: the lowest normalised service. Does no I/O.
//
// Example:
//   book.Replace("entry-1", bid);
//   std::optional<fairness::Choice> choice = book.ChooseFor(slots_state);
#ifndef JACKDAWSHUNT_FAIRNESS_BID_BOOK_H_
#define JACKDAWSHUNT_FAIRNESS_BID_BOOK_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jackdawshunt/protocol/messages.h"

namespace jackdawshunt::fairness {

struct Choice {
  std::string entry;
  std::string model;
  std::string workspace;
  protocol::RequestClass request_class = protocol::RequestClass::kShort;
  double service = 0;      // For the log line.
  int32_t contenders = 0;  // Bid items weighed, for the log line.
};

class BidBook {
 public:
  // Replaces the entry's bid for bid.model.
  void Replace(std::string_view entry, const protocol::Bid& bid);
  void RemoveEntry(std::string_view entry);
  bool empty() const;

  // Removes and returns one waiting request of the bid item with the lowest
  // service; ties go to the workspace that holds fewer slots, then to the entry
  // that was granted to least recently. With `short_only`, long requests are
  // passed over. Adds the estimate to the workspace's service at this side, so
  // that a burst of free slots does not all go to one workspace.
  std::optional<Choice> Choose(bool short_only);

  // Slots held per workspace, for ties.
  void SlotTaken(std::string_view workspace);
  void SlotReleased(std::string_view workspace);

 private:
  struct Item {
    protocol::BidItem bid;
    uint64_t last_granted = 0;
  };
  using Key = std::pair<std::string, std::string>;  // Entry, model.

  std::map<Key, std::vector<Item>> bids_;
  // Highest normalised service known per workspace, own grants included.
  std::map<std::string, double, std::less<>> service_;
  std::map<std::string, int32_t, std::less<>> held_;
  uint64_t sequence_ = 0;
};

}  // namespace jackdawshunt::fairness

#endif  // JACKDAWSHUNT_FAIRNESS_BID_BOOK_H_
