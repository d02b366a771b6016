#include "jackdawshunt/gateway/fleet_exchange.h"

#include <algorithm>
#include <utility>

#include "jackdawshunt/base/id.h"

namespace jackdawshunt::gateway {
namespace {

// Number of boards that sum the workspaces' tokens; more than one, in case one
// fails.
constexpr size_t kSummingBoards = 2;
constexpr kernel::Duration kContactTimeout = std::chrono::seconds(1);

}  // namespace

FleetExchange::FleetExchange(kernel::EventLoop& loop,
                             routing::Router& router,
                             BoardClient& boards,
                             routing::KeyFreshness& freshness,
                             routing::WatchRenewal& renewal)
    : loop_(loop),
      router_(router),
      boards_(boards),
      freshness_(freshness),
      renewal_(renewal),
      incarnation_(routing::HashOf(base::NewRequestId())) {}

void FleetExchange::Start(RevisionFunction upstreams_revision,
                          RevisionFunction evacuations_revision) {
  upstreams_revision_ = std::move(upstreams_revision);
  evacuations_revision_ = std::move(evacuations_revision);
  boards_.SetTotalsCallback(
      [this](const std::string& ip, const board::ShareTotals& totals) {
        OnTotals(ip, totals);
      });
  boards_.SetFactCallback(
      [this](const std::string& ip, const board::FactReply& reply) {
        OnFacts(ip, reply);
      });
  SendUpdates();
}

board::StoreState FleetExchange::StoreStateFor(const std::string& ip) const {
  board::StoreState store;
  store.upstreams_revision =
      std::max(upstreams_revision_(), fleet_upstreams_revision_);
  store.evacuations_revision =
      std::max(evacuations_revision_(), fleet_evacuations_revision_);
  if (router_.table() != nullptr) {
    store.configuration_version = router_.table()->version();
  }
  const auto clock = clocks_.find(ip);
  if (clock == clocks_.end()) {
    return store;
  }
  // The board's clock had reached board_time_us when its reply arrived here.
  const auto board_time_us = [&clock = clock->second](kernel::TimePoint time) {
    if (time == kernel::TimePoint{}) {
      return uint64_t{0};  // Unknown.
    }
    const int64_t time_us = static_cast<int64_t>(clock.board_time_us) +
                            (time - clock.received_at).count();
    return static_cast<uint64_t>(std::max<int64_t>(time_us, 0));
  };
  store.current_as_of_us = board_time_us(freshness_.current_as_of());
  store.watches_renewed_at_us = board_time_us(renewal_.renewed_at());
  return store;
}

void FleetExchange::SendUpdates() {
  const kernel::TimePoint now = loop_.clock().Now();
  timer_ = loop_.After(router_.shares().ReportPeriod(gateways_, now),
                       [this] { SendUpdates(); });
  const std::vector<routing::Upstream> engines =
      router_.EnginesForExchange(kSummingBoards, now);
  if (engines.empty()) {
    return;  // The counts are kept for the next update.
  }
  std::vector<std::string> ips;
  ips.reserve(engines.size());
  for (const routing::Upstream& engine : engines) {
    ips.push_back(engine.address.ip);
  }
  const std::string& source = source_.Choose(ips, now);
  board::ShareUpdate update;
  update.gateway = incarnation_;
  update.sequence = ++sequence_;
  update.reports = router_.shares().TakeReport();
  sent_at_.at(sequence_ % sent_at_.size()) = boot_clock_.Now();
  for (const routing::Upstream& engine : engines) {
    update.store = StoreStateFor(engine.address.ip);
    update.wants_totals = engine.address.ip == source;
    boards_.SendShareUpdate(engine, update);
  }
  std::erase_if(fact_syncs_, [&ips](const auto& row) {
    return std::find(ips.begin(), ips.end(), row.first) == ips.end();
  });
  for (const std::string& ip : ips) {
    SendFacts(ip);
  }
}

void FleetExchange::SendFacts(const std::string& ip) {
  const auto sync = fact_syncs_.find(ip);
  if (sync == fact_syncs_.end()) {
    return;
  }
  if (const auto update = sync->second.NextUpdate(router_.beliefs().facts(),
                                                  loop_.clock().Now())) {
    boards_.SendTo(ip, *update);
  }
}

void FleetExchange::OnFacts(const std::string& ip,
                            const board::FactReply& reply) {
  const auto sync = fact_syncs_.find(ip);
  if (sync != fact_syncs_.end() &&
      sync->second.OnReply(reply, router_.beliefs(), loop_.clock().Now())) {
    SendFacts(ip);
  }
}

void FleetExchange::OnTotals(const std::string& ip,
                             const board::ShareTotals& totals) {
  if (totals.sequence > sequence_ ||
      sequence_ - totals.sequence >= sent_at_.size()) {
    return;
  }
  const kernel::TimePoint now = loop_.clock().Now();
  source_.OnReply(ip, now);
  last_reply_at_ = boot_clock_.Now();
  MergeStoreState(ip, totals);
  fact_syncs_[ip].OnBoardState(totals.board, totals.facts_revision);
  if (ip != source_.current() || totals.sequence <= merged_sequence_) {
    return;
  }
  merged_sequence_ = totals.sequence;
  gateways_ = totals.gateways;
  router_.set_instances(totals.gateways);
  router_.shares().Merge(totals.reports, now);
}

bool FleetExchange::IsListCurrent() const {
  return last_reply_at_ != kernel::TimePoint{} &&
         boot_clock_.Now() - last_reply_at_ <= kContactTimeout &&
         !(upstreams_revision_() < fleet_upstreams_revision_);
}

void FleetExchange::MergeStoreState(const std::string& ip,
                                    const board::ShareTotals& totals) {
  BoardClock& clock = clocks_[ip];
  const bool is_same_board = clock.board == totals.board;
  clock = {totals.board, totals.board_time_us, boot_clock_.Now()};
  fleet_upstreams_revision_ =
      std::max(fleet_upstreams_revision_, totals.store.upstreams_revision);
  fleet_evacuations_revision_ =
      std::max(fleet_evacuations_revision_, totals.store.evacuations_revision);
  fleet_configuration_version_ = std::max(fleet_configuration_version_,
                                          totals.store.configuration_version);
  if (!is_same_board) {
    return;
  }
  if (const auto time = LocalTime(totals, totals.store.watches_renewed_at_us)) {
    renewal_.RecordRenewedAt(*time);
  }
  const auto time = LocalTime(totals, totals.store.current_as_of_us);
  if (time.has_value() && router_.table() != nullptr &&
      totals.store.configuration_version == router_.table()->version()) {
    freshness_.RecordCurrentAt(*time);
  }
}

std::optional<kernel::TimePoint> FleetExchange::LocalTime(
    const board::ShareTotals& totals,
    uint64_t board_time_us) const {
  if (board_time_us == 0 || board_time_us > totals.board_time_us) {
    return std::nullopt;
  }
  // The board replied after the update was sent, so subtracting the age from
  // the time of sending cannot make the time look later than it was.
  return sent_at_.at(totals.sequence % sent_at_.size()) -
         kernel::Duration(
             static_cast<int64_t>(totals.board_time_us - board_time_us));
}

}  // namespace jackdawshunt::gateway
