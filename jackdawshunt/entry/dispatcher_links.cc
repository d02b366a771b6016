// Dispatcher: events and messages of sides and of other entries.
#include <algorithm>
#include <utility>
#include <variant>

#include "jackdawshunt/base/log.h"
#include "jackdawshunt/entry/dispatcher.h"
#include "nlohmann/json.hpp"

namespace jackdawshunt::entry {
namespace {

// Bytes of a service's answer that are acknowledged by one credit.
constexpr int64_t kServiceCreditBytes = int64_t{16} * 1024;

// Returns nullopt when `data` is not a JSON array of strings.
std::optional<std::vector<std::string>> ParseTokens(std::string_view data) {
  nlohmann::json json = nlohmann::json::parse(data, nullptr, false);
  if (!json.is_array()) {
    return std::nullopt;
  }
  std::vector<std::string> tokens;
  tokens.reserve(json.size());
  for (nlohmann::json& token : json) {
    if (!token.is_string()) {
      return std::nullopt;
    }
    tokens.push_back(std::move(token.get_ref<std::string&>()));
  }
  return tokens;
}

}  // namespace

void Dispatcher::OnLinkEvent(const LinkEvent& event) {
  std::visit([this](const auto& content) { Handle(content); }, event);
}

void Dispatcher::Handle(const LinkUp& event) {
  const std::string& instance = event.peer.instance;
  if (event.peer.role == protocol::Role::kEntry) {
    peer_entries_.insert(instance);
    SendCounters(exchange_->OnConnected(ledger_, instance));
    return;
  }
  sides_.SetLinkUp(event.peer);
  bidder_.RemoveSide(instance);
  SendPendingCancels(instance);
  const kernel::TimePoint now = clock_.Now();
  ApplyToCallsAt(instance, [&](Call& call) {
    return call.OnLinkUp(event.peer.incarnation, MakeCallLimits(), now);
  });
  RefreshBids();
}

void Dispatcher::Handle(const LinkDown& event) {
  const std::string& instance = event.peer.instance;
  if (event.peer.role == protocol::Role::kEntry) {
    peer_entries_.erase(instance);
    ledger_.RemovePeer(instance);
    return;
  }
  sides_.SetLinkDown(instance);
  bidder_.RemoveSide(instance);
  const kernel::TimePoint now = clock_.Now();
  ApplyToCallsAt(instance, [now](Call& call) { return call.OnLinkDown(now); });
  RefreshBids();
}

void Dispatcher::Handle(const InstanceRemoved& event) {
  sides_.Remove(event.instance);
  pending_cancels_.erase(event.instance);
  ApplyToCallsAt(event.instance, [this](Call& call) {
    return call.OnSideLost("the side left the instance list", MakeCallLimits());
  });
}

void Dispatcher::Handle(const InstanceLeavingChanged& event) {
  sides_.SetLeaving(event.instance, event.is_leaving);
  RefreshBids();
}

void Dispatcher::Handle(const LinkMessage& event) {
  std::visit([this, &event](
                 const auto& content) { OnMessage(event.instance, content); },
             event.message);
}

void Dispatcher::OnMessage(const std::string& from,
                           const protocol::Heartbeat& message) {
  const bool changed = sides_.SetHeartbeat(from, message);
  const bool wants_bids = message.free_slots > 0 && !message.has_bids;
  if (changed || wants_bids || !strategy_->uses_bids()) {
    RefreshBids();
  }
}

void Dispatcher::OnMessage(const std::string& from,
                           const protocol::Counters& message) {
  if (peer_entries_.contains(from)) {
    exchange_->OnReceived(ledger_, from, message);
    has_peer_counters_ = true;
    RefreshBids();
  }
}

void Dispatcher::OnMessage(const std::string& from,
                           const protocol::Grant& message) {
  bidder_.CountGrant(from, message);
  const protocol::PeerInfo* const side = sides_.FindConnected(from);
  if (side == nullptr) {
    return;
  }
  std::string_view reason;
  const std::optional<fairness::WaitingRequest> next =
      TakeRequestFor(message, reason);
  ActiveCall* const active = next ? Find(next->request) : nullptr;
  if (active == nullptr) {
    callbacks_.send({from, protocol::Decline{.grant = message.grant}});
    return;
  }
  Start(*active, *side, message.grant, reason);
  OnBacklogChanged(message.model, next->workspace);
}

std::optional<fairness::WaitingRequest> Dispatcher::TakeRequestFor(
    const protocol::Grant& grant,
    std::string_view& reason) {
  const BidInputs inputs = MakeBidInputs();
  const std::vector<fairness::Backlog> backlogs = queue_.Backlogs(grant.model);
  const fairness::Backlog* lowest = nullptr;
  double lowest_service = 0;
  for (const fairness::Backlog& backlog : backlogs) {
    // A grant for a short request may belong to a slot reserved for short
    // requests.
    const bool is_allowed =
        grant.request_class == protocol::RequestClass::kLong ||
        backlog.request_class == protocol::RequestClass::kShort;
    const double service = inputs.ExpectedService(backlog.workspace);
    if (is_allowed && (lowest == nullptr || service < lowest_service)) {
      lowest = &backlog;
      lowest_service = service;
    }
  }
  if (lowest == nullptr) {
    return std::nullopt;
  }
  reason = lowest->workspace == grant.workspace
               ? "granted workspace"
               : "lower service than the granted workspace";
  return queue_.Take(grant.model, lowest->workspace, lowest->request_class);
}

void Dispatcher::Start(ActiveCall& active,
                       const protocol::PeerInfo& side,
                       uint64_t grant,
                       std::string_view reason) {
  const kernel::TimePoint now = clock_.Now();
  const Submit& spec = active.call.spec();
  active.call.SetStarted(side.instance, side.incarnation, grant, now);
  active.attempt_start_offset = active.call.next_offset();
  active.charge = charging_.Start(spec.workspace, spec.body.size(),
                                  spec.max_tokens, policy());
  metrics_.ObserveQueueWait(spec.request_class, now - active.queued_at);
  metrics_.CountSentStart();
  service_rates_[spec.model].CountStart(now);
  if (base::IsLogged(base::LogLevel::kInfo)) {
    base::Log(base::LogLevel::kInfo, "routing_decision",
              {{"request", spec.request},
               {"workspace", spec.workspace},
               {"model", spec.model},
               {"upstream", side.upstream},
               {"side", side.instance},
               {"attempt", active.call.attempt()},
               {"why", reason},
               {"service", MakeBidInputs().ExpectedService(spec.workspace)},
               {"waiting", queue_.size()}});
  }
  callbacks_.send(
      {side.instance,
       protocol::Start{.grant = grant,
                       .side_incarnation = side.incarnation,
                       .request = spec.request,
                       .attempt = active.call.attempt(),
                       .workspace = spec.workspace,
                       .model = spec.model,
                       .request_class = spec.request_class,
                       .kind = spec.kind,
                       .repeatable = spec.repeatable,
                       .method = spec.method,
                       .path = spec.path,
                       .content_type = spec.content_type,
                       .body = spec.body,
                       .resume_tokens = active.attempt_start_offset}});
}

void Dispatcher::OnMessage(const std::string& from,
                           const protocol::Accepted& message) {
  if (ActiveCall* const active = FindAtSide(message.request, from)) {
    const Decision decision =
        active->call.OnAccepted(message.attempt, clock_.Now());
    if (active->call.state() == CallState::kRunning &&
        !active->disconnected_at) {
      callbacks_.answer(AcceptedBySide{message.request, from});
    }
    Apply(*active, decision);
  }
}

void Dispatcher::OnMessage(const std::string& from,
                           const protocol::Refused& message) {
  if (ActiveCall* const active = FindAtSide(message.request, from)) {
    Apply(*active, active->call.OnRefused(message.attempt, message.reason,
                                          MakeCallLimits()));
  }
}

void Dispatcher::OnMessage(const std::string& from,
                           const protocol::Failed& message) {
  ActiveCall* const active = FindAtSide(message.request, from);
  if (active == nullptr) {
    return;
  }
  const Decision decision = active->call.OnFailed(message, MakeCallLimits());
  if (decision.step == NextStep::kRequeue &&
      message.kind == base::ErrorKind::kUpstreamFailed) {
    sides_.AvoidUntil(from, clock_.Now() + kAvoidTime);
  }
  Apply(*active, decision);
}

void Dispatcher::OnMessage(const std::string& from,
                           const protocol::Done& message) {
  if (ActiveCall* const active = FindAtSide(message.request, from)) {
    const Decision decision = active->call.OnDone(message, clock_.Now());
    if (decision.step == NextStep::kComplete) {
      Complete(*active, message);
    } else {
      Apply(*active, decision);
    }
  }
}

void Dispatcher::OnMessage(const std::string& from,
                           const protocol::Chunk& message) {
  ActiveCall* const active = FindAtSide(message.request, from);
  if (active == nullptr) {
    return;
  }
  if (active->call.spec().kind == protocol::StartKind::kService) {
    AppendServiceBytes(*active, message);
  } else if (const auto tokens = ParseTokens(message.data)) {
    ForwardTokens(*active, message, *tokens);
  }
}

void Dispatcher::ForwardTokens(ActiveCall& active,
                               const protocol::Chunk& chunk,
                               const std::vector<std::string>& tokens) {
  const kernel::TimePoint now = clock_.Now();
  const Call::ChunkResult result = active.call.OnChunk(
      chunk.attempt, chunk.offset, static_cast<int64_t>(tokens.size()), now);
  if (!result.is_accepted) {
    Apply(active, result.decision);
    return;
  }
  if (!std::exchange(active.has_output, true)) {
    metrics_.ObserveFirstToken(now - active.submitted_at);
  }
  if (!active.call.is_attached()) {
    charging_.ChargeOutput(
        active.charge, active.call.next_offset() - active.attempt_start_offset,
        policy());
  }
  if (!active.disconnected_at) {
    callbacks_.answer(
        Tokens{.request = chunk.request,
               .offset = chunk.offset + result.skip,
               .tokens = {tokens.begin() + result.skip, tokens.end()}});
  }
}

void Dispatcher::AppendServiceBytes(ActiveCall& active,
                                    const protocol::Chunk& chunk) {
  const Call::ChunkResult result = active.call.OnChunk(
      chunk.attempt, chunk.offset, static_cast<int64_t>(chunk.data.size()),
      clock_.Now());
  if (!result.is_accepted) {
    Apply(active, result.decision);
    return;
  }
  active.body.append(chunk.data, static_cast<size_t>(result.skip));
  if (active.body.size() > kMaxServiceAnswerBytes) {
    SendCancel(active, active.call.attempt());
    Fail(active, base::ErrorKind::kUpstreamFailed, base::Executed::kYes,
         "the service's answer is too large");
    return;
  }
  active.consumed_offset = active.call.next_offset();
  active.call.SetConsumed(active.consumed_offset);
  if (active.consumed_offset - active.credited_offset >= kServiceCreditBytes) {
    SendCredit(active);
  }
}

void Dispatcher::SendCounters(
    const std::vector<fairness::OutgoingCounters>& list) {
  for (const fairness::OutgoingCounters& item : list) {
    callbacks_.send({item.entry, item.counters});
  }
}

}  // namespace jackdawshunt::entry
