#include "jackdawshunt/fairness/tree_layout.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <cmath>

#include "jackdawshunt/membership/view.h"

namespace jackdawshunt::fairness {
namespace {

// Two, so that the deputy has the counters when the head is lost.
constexpr size_t kHeadsPerRole = 2;

size_t Hash(std::string_view text) {
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace

TreeLayout::TreeLayout(const std::vector<std::string>& entries) {
  // A power of two changes rarely while the fleet grows or restarts.
  const double root = std::sqrt(static_cast<double>(entries.size()));
  groups_ = std::bit_floor(std::max<size_t>(1, static_cast<size_t>(root)));
  // With half as many shards as groups, there are enough entries for all heads
  // and deputies.
  shards_ = std::max<size_t>(1, groups_ / 2);
  std::vector<std::string> available = entries;
  for (size_t i = 0; i < groups_ * shards_; ++i) {
    const std::string key =
        "counters/" + std::to_string(groups_) + "/" + std::to_string(i);
    heads_.push_back(membership::View::Choose(key, available, kHeadsPerRole));
    std::erase_if(available, [this](const std::string& entry) {
      return entry == heads_.back().front() || entry == heads_.back().back();
    });
  }
  std::vector<size_t> members(groups_);
  for (const std::string& entry : entries) {
    ++members[GroupOf(entry)];
  }
  const size_t largest = *std::max_element(members.begin(), members.end());
  // A head exchanges `up` and `rest` with each member, and `side` in both
  // directions with the other groups. As a member, it sends `up` to two heads
  // and receives `rest` from one per shard.
  busiest_messages_ = 2 * largest + 2 * (groups_ - 1) + 3 * shards_;
}

size_t TreeLayout::GroupOf(std::string_view entry) const {
  return Hash(entry) % groups_;
}

size_t TreeLayout::ShardOf(std::string_view workspace) const {
  return Hash(workspace) % shards_;
}

const std::vector<std::string>& TreeLayout::Heads(TreeRole role) const {
  return heads_[role.group * shards_ + role.shard];
}

bool TreeLayout::IsHead(TreeRole role, std::string_view entry) const {
  const std::vector<std::string>& heads = Heads(role);
  return std::find(heads.begin(), heads.end(), entry) != heads.end();
}

bool TreeLayout::IsFirstHead(TreeRole role, std::string_view entry) const {
  const std::vector<std::string>& heads = Heads(role);
  return !heads.empty() && heads.front() == entry;
}

}  // namespace jackdawshunt::fairness
