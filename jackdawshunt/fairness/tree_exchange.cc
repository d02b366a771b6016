// The exchange `tree`; docs/decisions/counter-exchange.md describes the scheme
// and the reasons for it.
//
// The first counter of a message has no workspace. Its origin is a tag with the
// kind of the message and the role that it concerns,
// "#KIND/GROUPS/GROUP/SHARD":
//
//   up      own counters of a member, to the heads of its group
//   orphan  counters whose origin does not send them itself, to the heads of
//           the origin's group and to the origin's current incarnation
//   side    the sums of a group, from its head to the heads of the others
//   rest    sums over all origins but the receiver, from its group's head
#include <algorithm>
#include <array>
#include <bit>
#include <cmath>
#include <memory>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "jackdawshunt/fairness/exchange.h"
#include "jackdawshunt/fairness/tree_layout.h"
#include "jackdawshunt/kernel/registry.h"
#include "jackdawshunt/protocol/codec.h"

namespace jackdawshunt::fairness {
namespace {

using Sums = std::map<std::string, double, std::less<>>;
using Names = std::vector<std::string>;

// Average limit of what the busiest head sends and receives per tick: 15 KB/s
// at ten ticks a second. The rest of the control budget of 19 KB/s is for bids
// and heartbeats.
constexpr double kBytesPerTick = 1500;
// Weight of the latest round in the moving average of the message size.
constexpr double kSizeWeight = 0.2;
// Bounds the size of messages after a change of heads or of the exchange.
constexpr size_t kMaxOrphansPerTick = 200;
constexpr size_t kMaxGroups = 1024;

enum class MessageKind {
  kMemberCounters,
  kForwardedCounters,
  kGroupSums,
  kSumsOfOthers
};
constexpr std::array<std::string_view, 4> kKindNames = {"#up", "#orphan",
                                                        "#side", "#rest"};

// MessageKind of a message and the role that it concerns.
struct Tag {
  MessageKind kind = MessageKind::kMemberCounters;
  size_t groups = 1;
  TreeRole role;

  bool operator<(const Tag& other) const {
    return std::tie(kind, groups, role) <
           std::tie(other.kind, other.groups, other.role);
  }
};

std::string TagText(const Tag& tag) {
  return std::string(kKindNames[static_cast<size_t>(tag.kind)]) + "/" +
         std::to_string(tag.groups) + "/" + std::to_string(tag.role.group) +
         "/" + std::to_string(tag.role.shard);
}

std::optional<Tag> ParseTag(const protocol::Counters& counters) {
  if (counters.counters.empty() ||
      !counters.counters.front().workspace.empty()) {
    return std::nullopt;
  }
  const Names parts = absl::StrSplit(counters.counters.front().origin, '/');
  const auto kind =
      std::find(kKindNames.begin(), kKindNames.end(), parts.front());
  Tag tag;
  if (parts.size() != 4 || kind == kKindNames.end() ||
      !absl::SimpleAtoi(parts[1], &tag.groups) ||
      !absl::SimpleAtoi(parts[2], &tag.role.group) ||
      !absl::SimpleAtoi(parts[3], &tag.role.shard) ||
      !std::has_single_bit(tag.groups) || tag.groups > kMaxGroups ||
      tag.role.group >= tag.groups || tag.role.shard >= tag.groups) {
    return std::nullopt;
  }
  tag.kind = static_cast<MessageKind>(kind - kKindNames.begin());
  return tag;
}

// Returns the instance name of the entry that the counter belongs to.
std::string_view ProcessOf(const protocol::CounterEntry& row) {
  std::string_view origin = row.origin;
  if (origin.starts_with('~')) {
    origin.remove_prefix(1);
  }
  return origin;
}

// Values last sent to one receiver with one tag over the current connection.
struct LastSent {
  std::map<std::tuple<std::string, base::Incarnation, std::string>, double>
      rows;
  Sums lifts;
  Names backlogged;
  bool is_new = true;
  bool is_current = true;  // Used in the current round.
};

// Contents of the ledger for the workspaces of one shard.
struct ShardState {
  std::vector<protocol::CounterEntry> rows;
  std::vector<protocol::LiftEntry> lifts;
  Names backlogged;  // At this entry.
};

class Tree final : public Exchange {
 public:
  std::vector<OutgoingCounters> Tick(Ledger& ledger,
                                     const Names& peers) override;
  std::vector<OutgoingCounters> OnConnected(Ledger& ledger,
                                            std::string_view peer) override;
  void OnReceived(Ledger& ledger,
                  std::string_view peer,
                  const protocol::Counters& counters) override;

 private:
  using PeerTag = std::pair<std::string, Tag>;  // Name of the peer first.

  void UpdateLayout(const Ledger& ledger, const Names& peers);
  std::vector<ShardState> SplitByShard(const protocol::Counters& full) const;
  void SendMemberCounters(const Ledger& ledger,
                          size_t shard,
                          const ShardState& state);
  void SendForwardedCounters(const Ledger& ledger,
                             size_t shard,
                             const ShardState& state);
  bool IsOrphan(const Ledger& ledger,
                TreeRole role,
                const protocol::CounterEntry& row) const;
  // Sums the group's counters and sends the sums.
  void SumAndSend(Ledger& ledger, TreeRole role, const ShardState& state);
  void SendGroupSums(TreeRole role, const ShardState& state);
  void SendSumsOfOthers(Ledger& ledger,
                        TreeRole role,
                        const ShardState& state,
                        const Names& members);
  // Returns the workspaces that messages of the kind and shard reported as
  // backlogged, of one group or (std::nullopt) of all.
  Names BackloggedAt(MessageKind kind,
                     size_t shard,
                     std::optional<size_t> group) const;
  // Queues what changed since the last message to `receiver` with this tag.
  void Send(const std::string& receiver,
            const Tag& tag,
            const std::vector<protocol::CounterEntry>& rows,
            const ShardState& state,
            const Names& backlogged);
  void EndFormerRoles();
  void UpdatePeriod();
  void UpdateBackloggedAtPeers(Ledger& ledger);

  TreeLayout layout_;
  Names peers_;
  std::string self_;
  base::Incarnation incarnation_;
  double virtual_time_ = 0;
  // By number of groups and group. Each sum is a lower bound of the service of
  // the group's origins, whichever head computed it.
  std::map<std::pair<size_t, size_t>, Sums> sums_;
  std::map<std::string, base::Incarnation, std::less<>> incarnations_;
  std::map<PeerTag, Names> backlogged_;  // By sender.
  bool has_backlog_changed_ = true;
  std::map<PeerTag, LastSent> last_sent_;  // By receiver.
  std::vector<OutgoingCounters> outgoing_;
  size_t orphan_allowance_ = 0;
  double message_bytes_ = 0;  // Moving average.
  int64_t ticks_to_wait_ = 0;
};

std::vector<OutgoingCounters> Tree::Tick(Ledger& ledger, const Names& peers) {
  ledger.TakeChanges();  // Unused: last_sent_ has the state of each receiver.
  UpdateBackloggedAtPeers(ledger);
  if (--ticks_to_wait_ > 0) {
    return {};
  }
  // Only once per round, because a layout of 530 entries takes 10 ms, a tenth
  // of a tick.
  UpdateLayout(ledger, peers);
  orphan_allowance_ = kMaxOrphansPerTick;
  for (auto& [key, last_sent] : last_sent_) {
    last_sent.is_current = false;
  }
  const protocol::Counters full = ledger.AllCounters();
  virtual_time_ = full.virtual_time;
  const std::vector<ShardState> shards = SplitByShard(full);
  for (size_t shard = 0; shard < shards.size(); ++shard) {
    SendMemberCounters(ledger, shard, shards[shard]);
    SendForwardedCounters(ledger, shard, shards[shard]);
    for (size_t group = 0; group < layout_.groups(); ++group) {
      if (layout_.IsFirstHead({group, shard}, self_)) {
        SumAndSend(ledger, {group, shard}, shards[shard]);
      }
    }
  }
  EndFormerRoles();
  UpdatePeriod();
  return std::exchange(outgoing_, {});
}

// Sets the number of ticks per round so that the busiest head stays within
// kBytesPerTick. Entries with the same list get about the same period, so no
// member sends more often than its heads allow for.
void Tree::UpdatePeriod() {
  double bytes = 0;
  for (const OutgoingCounters& message : outgoing_) {
    bytes += static_cast<double>(protocol::Encode(message.counters).size());
  }
  if (!outgoing_.empty()) {
    const double average = bytes / static_cast<double>(outgoing_.size());
    message_bytes_ = message_bytes_ == 0 ? average
                                         : (1 - kSizeWeight) * message_bytes_ +
                                               kSizeWeight * average;
  }
  ticks_to_wait_ = std::lround(std::ceil(
      message_bytes_ * static_cast<double>(layout_.busiest_messages()) /
      kBytesPerTick));
}

std::vector<OutgoingCounters> Tree::OnConnected(Ledger&,
                                                std::string_view peer) {
  // Messages sent over the earlier connection may be lost.
  std::erase_if(last_sent_,
                [peer](const auto& item) { return item.first.first == peer; });
  std::erase_if(backlogged_,
                [peer](const auto& item) { return item.first.first == peer; });
  has_backlog_changed_ = true;
  incarnations_.erase(std::string(peer));
  return {};
}

void Tree::OnReceived(Ledger& ledger,
                      std::string_view peer,
                      const protocol::Counters& counters) {
  const std::optional<Tag> tag = ParseTag(counters);
  if (!tag) {
    // Sent by `mesh`, during a change of policy.
    ledger.MergeCounters(counters);
    return;
  }
  const protocol::CounterEntry& header = counters.counters.front();
  incarnations_.insert_or_assign(std::string(peer), header.incarnation);
  ledger.MergeCounters(counters);
  Sums& sums = sums_[{tag->groups, tag->role.group}];
  for (const protocol::CounterEntry& row : counters.counters) {
    if (row.origin != header.origin || row.workspace.empty()) {
      continue;
    }
    if (tag->kind == MessageKind::kSumsOfOthers) {
      ledger.RaiseSumOfOthers(row.workspace, row.service);
    } else if (tag->kind == MessageKind::kGroupSums &&
               std::isfinite(row.service)) {
      double& sum = sums[row.workspace];
      sum = std::max(sum, row.service);
    }
  }
  if (tag->kind != MessageKind::kForwardedCounters) {
    Names& names = backlogged_[{std::string(peer), *tag}];
    has_backlog_changed_ |= names != counters.backlogged;
    names = counters.backlogged;
  }
}

void Tree::UpdateLayout(const Ledger& ledger, const Names& peers) {
  Names sorted = peers;
  std::sort(sorted.begin(), sorted.end());
  if (sorted == peers_ && self_ == ledger.origin()) {
    return;
  }
  peers_ = std::move(sorted);
  self_ = ledger.origin();
  incarnation_ = ledger.incarnation();
  const auto is_disconnected = [this](const auto& item) {
    return !std::binary_search(peers_.begin(), peers_.end(), item.first.first);
  };
  std::erase_if(last_sent_, is_disconnected);
  std::erase_if(backlogged_, is_disconnected);
  has_backlog_changed_ = true;
  Names entries = peers_;
  entries.push_back(self_);
  layout_ = TreeLayout(entries);
}

std::vector<ShardState> Tree::SplitByShard(
    const protocol::Counters& full) const {
  std::vector<ShardState> shards(layout_.shards());
  for (const protocol::CounterEntry& row : full.counters) {
    shards[layout_.ShardOf(row.workspace)].rows.push_back(row);
  }
  for (const protocol::LiftEntry& lift : full.lifts) {
    shards[layout_.ShardOf(lift.workspace)].lifts.push_back(lift);
  }
  for (const std::string& workspace : full.backlogged) {
    shards[layout_.ShardOf(workspace)].backlogged.push_back(workspace);
  }
  return shards;
}

void Tree::SendMemberCounters(const Ledger& ledger,
                              size_t shard,
                              const ShardState& state) {
  const TreeRole role{layout_.GroupOf(self_), shard};
  std::vector<protocol::CounterEntry> rows;
  std::copy_if(state.rows.begin(), state.rows.end(), std::back_inserter(rows),
               [&](const auto& row) { return ProcessOf(row) == self_; });
  for (const std::string& head : layout_.Heads(role)) {
    if (head != ledger.origin()) {
      Send(head, {MessageKind::kMemberCounters, layout_.groups(), role}, rows,
           state, state.backlogged);
    }
  }
}

bool Tree::IsOrphan(const Ledger& ledger,
                    TreeRole role,
                    const protocol::CounterEntry& row) const {
  const std::string_view process = ProcessOf(row);
  if (process == ledger.origin()) {
    return false;
  }
  // A connected origin sends its counters to both heads itself. An entry that
  // is no longer a head may have the only copy of some counters.
  if (!layout_.IsHead(role, ledger.origin()) ||
      !std::binary_search(peers_.begin(), peers_.end(), process)) {
    return true;
  }
  const auto current = incarnations_.find(process);
  return row.origin.starts_with('~') ||
         (current != incarnations_.end() && current->second != row.incarnation);
}

void Tree::SendForwardedCounters(const Ledger& ledger,
                                 size_t shard,
                                 const ShardState& state) {
  std::map<PeerTag, std::vector<protocol::CounterEntry>> rows;
  for (const protocol::CounterEntry& row : state.rows) {
    const std::string process(ProcessOf(row));
    const TreeRole role{layout_.GroupOf(process), shard};
    if (!IsOrphan(ledger, role, row)) {
      continue;
    }
    std::set<std::string> receivers(layout_.Heads(role).begin(),
                                    layout_.Heads(role).end());
    if (std::binary_search(peers_.begin(), peers_.end(), process)) {
      receivers.insert(process);
    }
    receivers.erase(ledger.origin());
    for (const std::string& receiver : receivers) {
      rows[{receiver,
            {MessageKind::kForwardedCounters, layout_.groups(), role}}]
          .push_back(row);
    }
  }
  for (const auto& [key, orphans] : rows) {
    Send(key.first, key.second, orphans, {}, {});
  }
}

void Tree::SumAndSend(Ledger& ledger, TreeRole role, const ShardState& state) {
  Names members;
  for (const std::string& peer : peers_) {
    if (layout_.GroupOf(peer) == role.group) {
      members.push_back(peer);
    }
  }
  Sums known_sums;
  for (const protocol::CounterEntry& row : state.rows) {
    if (layout_.GroupOf(ProcessOf(row)) == role.group) {
      known_sums[row.workspace] += row.service;
    }
  }
  Sums& sums = sums_[{layout_.groups(), role.group}];
  for (const auto& [workspace, sum] : known_sums) {
    sums[workspace] = std::max(sums[workspace], sum);
  }
  SendGroupSums(role, state);
  SendSumsOfOthers(ledger, role, state, members);
}

void Tree::SendGroupSums(TreeRole role, const ShardState& state) {
  const Tag tag{MessageKind::kGroupSums, layout_.groups(), role};
  std::vector<protocol::CounterEntry> rows;
  for (const auto& [workspace, sum] : sums_[{layout_.groups(), role.group}]) {
    if (layout_.ShardOf(workspace) == role.shard) {
      rows.push_back({TagText(tag), incarnation_, workspace, sum});
    }
  }
  Names backlogged =
      BackloggedAt(MessageKind::kMemberCounters, role.shard, role.group);
  if (layout_.GroupOf(self_) == role.group) {
    backlogged.insert(backlogged.end(), state.backlogged.begin(),
                      state.backlogged.end());
  }
  for (size_t group = 0; group < layout_.groups(); ++group) {
    const std::string& head = layout_.Heads({group, role.shard}).front();
    if (group != role.group && head != self_) {
      Send(head, tag, rows, state, backlogged);
    }
  }
}

void Tree::SendSumsOfOthers(Ledger& ledger,
                            TreeRole role,
                            const ShardState& state,
                            const Names& members) {
  const Tag tag{MessageKind::kSumsOfOthers, layout_.groups(), role};
  Sums totals;  // Sums of the other groups and counters of this group.
  for (size_t group = 0; group < layout_.groups(); ++group) {
    if (group != role.group) {
      for (const auto& [workspace, sum] : sums_[{layout_.groups(), group}]) {
        if (layout_.ShardOf(workspace) == role.shard) {
          totals[workspace] += sum;
        }
      }
    }
  }
  std::map<std::string_view, Sums> by_member;
  for (const protocol::CounterEntry& row : state.rows) {
    if (layout_.GroupOf(ProcessOf(row)) == role.group) {
      totals[row.workspace] += row.service;
      by_member[ProcessOf(row)][row.workspace] += row.service;
    }
  }
  const auto rows_without = [&](std::string_view member) {
    std::vector<protocol::CounterEntry> rows;
    for (const auto& [workspace, sum] : totals) {
      const Sums& own = by_member[member];
      const auto found = own.find(workspace);
      rows.push_back({TagText(tag), incarnation_, workspace,
                      sum - (found == own.end() ? 0 : found->second)});
    }
    return rows;
  };
  if (layout_.GroupOf(self_) == role.group) {
    for (const protocol::CounterEntry& row : rows_without(self_)) {
      ledger.RaiseSumOfOthers(row.workspace, row.service);
    }
  }
  Names backlogged = state.backlogged;
  // Includes `up` lists of all groups: the head of several groups sends no
  // `side` message to itself.
  for (const MessageKind kind :
       {MessageKind::kMemberCounters, MessageKind::kGroupSums}) {
    const Names names = BackloggedAt(kind, role.shard, /*group=*/std::nullopt);
    backlogged.insert(backlogged.end(), names.begin(), names.end());
  }
  for (const std::string& member : members) {
    Send(member, tag, rows_without(member), state, backlogged);
  }
}

Names Tree::BackloggedAt(MessageKind kind,
                         size_t shard,
                         std::optional<size_t> group) const {
  Names result;
  for (const auto& [key, names] : backlogged_) {
    const Tag& tag = key.second;
    if (tag.kind == kind && tag.groups == layout_.groups() &&
        tag.role.shard == shard && (!group || tag.role.group == *group)) {
      result.insert(result.end(), names.begin(), names.end());
    }
  }
  return result;
}

void Tree::Send(const std::string& receiver,
                const Tag& tag,
                const std::vector<protocol::CounterEntry>& rows,
                const ShardState& state,
                const Names& backlogged) {
  LastSent& last_sent = last_sent_[{receiver, tag}];
  last_sent.is_current = true;
  protocol::Counters message;
  message.virtual_time = virtual_time_;
  message.counters.push_back({TagText(tag), incarnation_, "", 0});
  for (const protocol::CounterEntry& row : rows) {
    if (tag.kind == MessageKind::kForwardedCounters && orphan_allowance_ == 0) {
      break;
    }
    const auto [sent, is_new] = last_sent.rows.try_emplace(
        {row.origin, row.incarnation, row.workspace}, 0);
    if (is_new || sent->second < row.service) {
      sent->second = row.service;
      message.counters.push_back(row);
      orphan_allowance_ -= tag.kind == MessageKind::kForwardedCounters ? 1 : 0;
    }
  }
  for (const protocol::LiftEntry& lift : state.lifts) {
    double& sent = last_sent.lifts[lift.workspace];
    if (sent < lift.lift) {
      sent = lift.lift;
      message.lifts.push_back(lift);
    }
  }
  message.backlogged = backlogged;
  std::sort(message.backlogged.begin(), message.backlogged.end());
  message.backlogged.erase(
      std::unique(message.backlogged.begin(), message.backlogged.end()),
      message.backlogged.end());
  // The first message is sent even without changes, because the receiver needs
  // the sender's incarnation.
  if (last_sent.is_new || message.counters.size() > 1 ||
      !message.lifts.empty() || message.backlogged != last_sent.backlogged) {
    last_sent.is_new = false;
    last_sent.backlogged = message.backlogged;
    outgoing_.push_back({receiver, std::move(message)});
  }
}

// Sends an empty list of backlogged workspaces for each role that ended,
// because the receiver keeps the last list of a role until a new one arrives.
void Tree::EndFormerRoles() {
  for (auto item = last_sent_.begin(); item != last_sent_.end();) {
    const auto& [key, last_sent] = *item;
    if (last_sent.is_current) {
      ++item;
      continue;
    }
    if (!last_sent.backlogged.empty()) {
      protocol::Counters message;
      message.virtual_time = virtual_time_;
      message.counters.push_back({TagText(key.second), incarnation_, "", 0});
      outgoing_.push_back({key.first, std::move(message)});
    }
    item = last_sent_.erase(item);
  }
}

void Tree::UpdateBackloggedAtPeers(Ledger& ledger) {
  if (!std::exchange(has_backlog_changed_, false)) {
    return;
  }
  std::set<std::string> names;
  for (const auto& [key, list] : backlogged_) {
    names.insert(list.begin(), list.end());
  }
  ledger.SetBackloggedAtPeers(Names(names.begin(), names.end()));
}

const kernel::Registration<Exchange> kTree("tree", [] {
  return std::make_unique<Tree>();
});

}  // namespace
}  // namespace jackdawshunt::fairness
