// Assignment of entries to groups and of heads to groups, for the exchange
// `tree`.
//
// The group of an origin depends on its name and the number of groups alone,
// never on a list of entries. Entries with different lists may choose different
// heads, but they never count an origin in two groups.
//
// Example:
//   const fairness::TreeLayout layout(entries);
//   const auto& heads = layout.Heads({layout.GroupOf("entry-1"), shard});
#ifndef JACKDAWSHUNT_FAIRNESS_TREE_LAYOUT_H_
#define JACKDAWSHUNT_FAIRNESS_TREE_LAYOUT_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace jackdawshunt::fairness {

// Identifies the heads that sum a group's counters for the workspaces of one
// shard. Shards spread this work over several entries.
struct TreeRole {
  size_t group = 0;
  size_t shard = 0;

  bool operator==(const TreeRole&) const = default;
  bool operator<(const TreeRole& other) const {
    return std::tie(group, shard) < std::tie(other.group, other.shard);
  }
};

// Immutable, apart from assignment.
class TreeLayout {
 public:
  TreeLayout() : TreeLayout(std::vector<std::string>{}) {}
  // `entries` includes the own entry; their order has no effect.
  explicit TreeLayout(const std::vector<std::string>& entries);

  size_t groups() const { return groups_; }
  size_t shards() const { return shards_; }
  size_t GroupOf(std::string_view entry) const;
  size_t ShardOf(std::string_view workspace) const;
  // Returns the first head, which sums, and the second head, its deputy, which
  // holds the same counters; one or none when there are too few entries. No
  // entry has two roles.
  const std::vector<std::string>& Heads(TreeRole role) const;
  // Returns whether the entry is one of Heads().
  bool IsHead(TreeRole role, std::string_view entry) const;
  // Returns whether the entry is the first of Heads().
  bool IsFirstHead(TreeRole role, std::string_view entry) const;
  // Returns the number of messages that the busiest head sends and receives
  // when all entries send once.
  size_t busiest_messages() const { return busiest_messages_; }

 private:
  size_t groups_ = 1;
  size_t shards_ = 1;
  size_t busiest_messages_ = 0;
  std::vector<std::vector<std::string>> heads_;  // By group and shard.
};

}  // namespace jackdawshunt::fairness

#endif  // JACKDAWSHUNT_FAIRNESS_TREE_LAYOUT_H_
