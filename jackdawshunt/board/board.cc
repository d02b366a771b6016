#include "jackdawshunt/board/board.h"

#include <algorithm>
#include <string>
#include <utility>

namespace jackdawshunt::board {
namespace {

// Reading rate until one is observed.
constexpr double kInitialTokensPerMs = 30.0;
// Claims whose end was not heard; longer than any route's timeout.
constexpr kernel::Duration kMaxClaimAge = std::chrono::seconds(20);
// A gateway that did not report for so long is gone.
constexpr kernel::Duration kMaxGatewaySilence = std::chrono::seconds(3);

// Reports that the engine cannot be reached after which all gateways hear it,
// and how often one of them still tries. One report may be the gateway's fault.
constexpr uint32_t kUnreachableReports = 2;
constexpr kernel::Duration kTrialPeriod = std::chrono::milliseconds(250);

std::string ClaimName(uint64_t request) {
  return std::to_string(request);
}

}  // namespace

std::optional<Message> Board::Handle(const Message& message,
                                     kernel::TimePoint now) {
  return std::visit([&](const auto& typed) { return On(typed, now); }, message);
}

void Board::Meet(const EngineIdentity& engine) {
  if (engine_ == nullptr || engine_life_ != engine.life) {
    engine_life_ = engine.life;
    unreachable_in_row_ = 0;
    engine_ = std::make_unique<routing::EngineEstimate>(
        routing::EngineProfile{.slots = 0, .cache_tokens = engine.cache_tokens},
        kInitialTokensPerMs);
  }
  engine_->set_sustained_tokens_per_ms(
      static_cast<double>(engine.sustained_tokens_per_s) / 1000.0);
}

bool Board::MayTry(kernel::TimePoint now) {
  if (unreachable_in_row_ < kUnreachableReports) {
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
  Meet(query.engine);
  return Offer{.nonce = query.nonce,
               .cost = engine_->Estimate(query.part_keys,
                                         ToParts(query.part_tokens), now),
               .is_reachable = MayTry(now)};
}

std::optional<Message> Board::On(const Claim& claim, kernel::TimePoint now) {
  if (claim.part_keys.size() == claim.part_tokens.size()) {
    Meet(claim.engine);
    engine_->Claim(ClaimName(claim.request), claim.part_keys,
                   ToParts(claim.part_tokens), claim.output_tokens, now);
  }
  return std::nullopt;
}

std::optional<Message> Board::On(const ProgressReport& report,
                                 kernel::TimePoint now) {
  if (engine_ == nullptr) {
    return std::nullopt;
  }
  const std::string name = ClaimName(report.request);
  if (report.progress == Progress::kFirstEvent) {
    unreachable_in_row_ = 0;
    engine_->OnFirstEvent(name, now);
    return std::nullopt;
  }
  if (report.progress == Progress::kUnreachable) {
    ++unreachable_in_row_;
    next_trial_ = now + kTrialPeriod;
  }
  engine_->OnEnd(name, report.progress == Progress::kEnded, now);
  return std::nullopt;
}

void Board::Learn(const StoreKnowledge& store) {
  store_.upstreams_revision =
      std::max(store_.upstreams_revision, store.upstreams_revision);
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
  Learn(update.store);
  const auto [found, is_new] = gateways_.try_emplace(update.gateway);
  Gateway& gateway = found->second;
  if (is_new) {
    gateway.told = totals_;  // What came before does not concern it.
  }
  gateway.heard = now;
  if (update.sequence <= gateway.sequence) {
    return std::nullopt;  // A late copy.
  }
  gateway.sequence = update.sequence;
  for (const routing::ShareReport& row : update.reports) {
    routing::ShareCount& own = gateway.own[row.workspace_hash];
    own.requested += row.count.requested;
    own.admitted += row.count.admitted;
    routing::ShareCount& total = totals_[row.workspace_hash];
    total.requested += row.count.requested;
    total.admitted += row.count.admitted;
    // Its own tokens are not told back to it.
    routing::ShareCount& told = gateway.told[row.workspace_hash];
    told.requested += row.count.requested;
    told.admitted += row.count.admitted;
  }
  ShareTotals answer;
  answer.sequence = update.sequence;
  answer.gateways = static_cast<uint32_t>(gateways_.size());
  answer.board = life_;
  answer.board_time_us = static_cast<uint64_t>(now.time_since_epoch().count());
  answer.store = store_;
  for (const auto& [workspace, total] : totals_) {
    routing::ShareCount& told = gateway.told[workspace];
    if (total.requested != told.requested || total.admitted != told.admitted) {
      answer.reports.push_back(
          {workspace,
           {total.requested - told.requested, total.admitted - told.admitted}});
      told = total;
    }
  }
  return answer;
}

std::optional<Message> Board::On(const Offer& /*offer*/,
                                 kernel::TimePoint /*now*/) {
  return std::nullopt;
}

std::optional<Message> Board::On(const ShareTotals& /*totals*/,
                                 kernel::TimePoint /*now*/) {
  return std::nullopt;
}

void Board::Tick(kernel::TimePoint now) {
  if (engine_ != nullptr) {
    engine_->Expire(kMaxClaimAge, now);
  }
  std::erase_if(gateways_, [now](const auto& row) {
    return now - row.second.heard > kMaxGatewaySilence;
  });
}

}  // namespace jackdawshunt::board
