#include "jackdawshunt/board/board.h"

#include <algorithm>
#include <string>
#include <utility>

namespace jackdawshunt::board {
namespace {

// Prefill rate until one is observed.
constexpr double kInitialPrefillTokensPerMs = 30.0;
// Claims whose end was not reported expire after this age, which is longer than
// any route's timeout.
constexpr kernel::Duration kMaxClaimAge = std::chrono::seconds(20);
// A gateway expires when it has not reported for this time.
constexpr kernel::Duration kGatewayExpiry = std::chrono::seconds(3);

// Bounds what a gateway can ask a board to keep.
constexpr kernel::Duration kMaxOriginAge = std::chrono::seconds(300);

// The engine counts as unreachable for all gateways after this many reports
// without a first event in between. A single report may be due to a fault of
// the reporting gateway.
constexpr uint32_t kUnreachableThreshold = 2;
// Interval at which one gateway may try an unreachable engine.
constexpr kernel::Duration kTrialPeriod = std::chrono::milliseconds(250);

std::string ClaimKey(uint64_t request) {
  return std::to_string(request);
}

}  // namespace

std::optional<Message> Board::Handle(const Message& message,
                                     kernel::TimePoint now) {
  return std::visit([&](const auto& typed) { return On(typed, now); }, message);
}

bool Board::EnsureEngine(const EngineIdentity& engine) {
  if (engine.started_unix_ms != 0 &&
      engine.started_unix_ms < engine_started_unix_ms_) {
    return false;
  }
  if (engine_ == nullptr || engine_incarnation_ != engine.incarnation) {
    engine_incarnation_ = engine.incarnation;
    engine_started_unix_ms_ = engine.started_unix_ms;
    consecutive_unreachable_ = 0;
    engine_ = std::make_unique<routing::EngineEstimate>(
        routing::EngineProfile{.slots = 0, .cache_tokens = engine.cache_tokens},
        kInitialPrefillTokensPerMs);
  }
  engine_->set_sustained_tokens_per_ms(
      static_cast<double>(engine.sustained_tokens_per_s) / 1000.0);
  if (engine.slots > 0) {
    engine_->set_slots(engine.slots);
  }
  return true;
}

bool Board::MayTryEngine(kernel::TimePoint now) {
  if (consecutive_unreachable_ < kUnreachableThreshold) {
    return true;
  }
  if (now < next_trial_) {
    return false;
  }
  next_trial_ = now + kTrialPeriod;
  return true;
}

std::optional<Message> Board::On(const Query& query, kernel::TimePoint now) {
  if (query.part_keys.size() != query.part_tokens.size()) {
    return std::nullopt;
  }
  if (!EnsureEngine(query.engine)) {
    return Offer{.nonce = query.nonce, .is_reachable = false};
  }
  return Offer{.nonce = query.nonce,
               .cost = engine_->Estimate(query.part_keys,
                                         ToPromptParts(query.part_tokens), now),
               .is_reachable = MayTryEngine(now)};
}

std::optional<Message> Board::On(const Claim& claim, kernel::TimePoint now) {
  if (claim.part_keys.size() == claim.part_tokens.size() &&
      EnsureEngine(claim.engine)) {
    engine_->Claim(ClaimKey(claim.request), claim.part_keys,
                   ToPromptParts(claim.part_tokens), claim.output_tokens, now);
  }
  return std::nullopt;
}

std::optional<Message> Board::On(const ProgressReport& report,
                                 kernel::TimePoint now) {
  if (engine_ == nullptr) {
    return std::nullopt;
  }
  const std::string key = ClaimKey(report.request);
  if (report.progress == Progress::kFirstEvent) {
    consecutive_unreachable_ = 0;
    engine_->OnFirstEvent(key, now);
    return std::nullopt;
  }
  if (report.progress == Progress::kUnreachable) {
    ++consecutive_unreachable_;
    next_trial_ = now + kTrialPeriod;
  }
  engine_->OnEnd(key, report.progress == Progress::kEnded, now);
  return std::nullopt;
}

void Board::MergeStoreState(const StoreState& store) {
  store_.upstreams_revision =
      std::max(store_.upstreams_revision, store.upstreams_revision);
  store_.evacuations_revision =
      std::max(store_.evacuations_revision, store.evacuations_revision);
  store_.watches_renewed_at_us =
      std::max(store_.watches_renewed_at_us, store.watches_renewed_at_us);
  if (store.configuration_version > store_.configuration_version) {
    store_.configuration_version = store.configuration_version;
    store_.current_as_of_us = store.current_as_of_us;
  } else if (store.configuration_version == store_.configuration_version) {
    store_.current_as_of_us =
        std::max(store_.current_as_of_us, store.current_as_of_us);
  }
}

std::optional<Message> Board::On(const ShareUpdate& update,
                                 kernel::TimePoint now) {
  MergeStoreState(update.store);
  const auto [found, is_new] = gateways_.try_emplace(update.gateway);
  Gateway& gateway = found->second;
  if (is_new) {
    gateway.last_sent = totals_;  // Only later reports are sent.
  }
  gateway.last_received = now;
  if (update.sequence <= gateway.sequence) {
    return std::nullopt;  // Duplicate or out of order.
  }
  gateway.sequence = update.sequence;
  for (const routing::ShareReport& row : update.reports) {
    routing::ShareCount& total = totals_[row.workspace_hash];
    total.requested += row.count.requested;
    total.admitted += row.count.admitted;
    // A gateway's own tokens are not sent back to it.
    routing::ShareCount& last_sent = gateway.last_sent[row.workspace_hash];
    last_sent.requested += row.count.requested;
    last_sent.admitted += row.count.admitted;
  }
  ShareTotals reply;
  reply.sequence = update.sequence;
  reply.gateways = static_cast<uint32_t>(gateways_.size());
  reply.board = incarnation_;
  reply.board_time_us = static_cast<uint64_t>(now.time_since_epoch().count());
  reply.store = store_;
  reply.facts_revision = facts_.revision();
  if (!update.wants_totals) {
    gateway.last_sent = totals_;
    return reply;
  }
  for (const auto& [workspace, total] : totals_) {
    routing::ShareCount& last_sent = gateway.last_sent[workspace];
    if (total.requested != last_sent.requested ||
        total.admitted != last_sent.admitted) {
      reply.reports.push_back({workspace,
                               {total.requested - last_sent.requested,
                                total.admitted - last_sent.admitted}});
      last_sent = total;
    }
  }
  return reply;
}

std::optional<Message> Board::On(const Offer& /*offer*/,
                                 kernel::TimePoint /*now*/) {
  return std::nullopt;
}

std::optional<Message> Board::On(const ShareTotals& /*totals*/,
                                 kernel::TimePoint /*now*/) {
  return std::nullopt;
}

std::optional<Message> Board::On(const OriginRecord& record,
                                 kernel::TimePoint now) {
  origins_.Record(record.request, record.origin,
                  now + std::clamp(record.resumable_for,
                                   kernel::Duration::zero(), kMaxOriginAge));
  return std::nullopt;
}

std::optional<Message> Board::On(const OriginQuery& query,
                                 kernel::TimePoint now) {
  return OriginReply{.nonce = query.nonce,
                     .request = query.request,
                     .origin = origins_.Find(query.request, now)};
}

std::optional<Message> Board::On(const OriginReply& /*reply*/,
                                 kernel::TimePoint /*now*/) {
  return std::nullopt;
}

std::optional<Message> Board::On(const FactUpdate& update,
                                 kernel::TimePoint now) {
  for (const AgedFact& fact : update.facts) {
    facts_.Merge(FromAged(fact, now), now);
  }
  FactReply reply{.sequence = update.sequence,
                  .board = incarnation_,
                  .last_revision = facts_.revision()};
  const uint64_t known =
      update.board == incarnation_ ? update.known_revision : 0;
  const auto changed = facts_.ChangedSince(known, kMaxFactsPerMessage);
  for (const auto* row : changed) {
    reply.facts.push_back(ToAged(row->fact, now));
  }
  reply.revision = changed.size() < kMaxFactsPerMessage
                       ? reply.last_revision
                       : changed.back()->revision;
  return reply;
}

std::optional<Message> Board::On(const FactReply& /*reply*/,
                                 kernel::TimePoint /*now*/) {
  return std::nullopt;
}

std::optional<Message> Board::On(const PermitQuery& query,
                                 kernel::TimePoint now) {
  double limit = 0;
  for (const AgedFact& aged : query.limits) {
    if (aged.kind == routing::FactKind::kStartLimit &&
        aged.subject == query.start) {
      facts_.Merge(FromAged(aged, now), now);
      limit = aged.value;
    }
  }
  // Another gateway may have told a newer limit.
  const routing::Fact* const known =
      facts_.Find(routing::FactKind::kStartLimit, query.start);
  limit = known == nullptr || known->value <= 0 ? limit : known->value;
  const bool is_cold = query.cold_per_second > 0;
  if (limit <= 0 && !is_cold) {
    return std::nullopt;
  }
  const double rate = !is_cold     ? limit
                      : limit <= 0 ? query.cold_per_second
                                   : std::min(limit, query.cold_per_second);
  const routing::Permit permit =
      permits_.Take(query.start, {.per_second = rate, .is_cold = is_cold}, now);
  return PermitReply{.nonce = query.nonce,
                     .is_granted = permit.is_granted,
                     .wait = permit.wait};
}

std::optional<Message> Board::On(const PermitReply& /*reply*/,
                                 kernel::TimePoint /*now*/) {
  return std::nullopt;
}

void Board::OnReport(const routing::EngineReport& report,
                     kernel::TimePoint now) {
  if (engine_ != nullptr) {
    engine_->OnReport(report, now);
  }
}

void Board::DropExpired(kernel::TimePoint now) {
  permits_.DropExpired(now);
  facts_.DropExpired(now);
  origins_.DropExpired(now);
  if (engine_ != nullptr) {
    engine_->DropExpired(kMaxClaimAge, now);
  }
  std::erase_if(gateways_, [now](const auto& row) {
    return now - row.second.last_received > kGatewayExpiry;
  });
}

}  // namespace jackdawshunt::board
