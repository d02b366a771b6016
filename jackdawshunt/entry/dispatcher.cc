#include "jackdawshunt/entry/dispatcher.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "jackdawshunt/base/crypto.h"
#include "jackdawshunt/base/log.h"
#include "jackdawshunt/kernel/registry.h"

namespace jackdawshunt::entry {
namespace {

// Prompts that share this many leading bytes get the same preferred sides, to
// reuse their KV caches.
constexpr size_t kAffinityPrefixBytes = 256;

}  // namespace

Dispatcher::Dispatcher(const kernel::Clock& clock,
                       const protocol::PeerInfo& self,
                       const configuration::Store& store,
                       Metrics& metrics,
                       DispatcherCallbacks callbacks)
    : clock_(clock),
      store_(store),
      metrics_(metrics),
      callbacks_(std::move(callbacks)),
      ledger_(self.instance, self.incarnation),
      charging_(ledger_) {
  OnConfiguration();
}

void Dispatcher::OnConfiguration() {
  const configuration::Snapshot& snapshot = store_.snapshot();
  for (const auto& [name, workspace] : snapshot.workspaces) {
    ledger_.SetShare(name, workspace.share);
  }
  if (strategy_name_ != policy().placement) {
    strategy_name_ = policy().placement;
    strategy_ = kernel::Registry<placement::Strategy>::Create(strategy_name_);
  }
  if (exchange_name_ != policy().exchange) {
    exchange_name_ = policy().exchange;
    exchange_ = kernel::Registry<fairness::Exchange>::Create(exchange_name_);
    for (const std::string& peer : peer_entries_) {
      SendCounters(exchange_->OnConnected(ledger_, peer));
    }
  }
  RefreshBids();
}

void Dispatcher::OnCallerEvent(const CallerEvent& event) {
  std::visit([this](const auto& content) { Handle(content); }, event);
}

void Dispatcher::Handle(const Submit& received) {
  const kernel::TimePoint now = clock_.Now();
  Submit submit = received;
  submit.request_class =
      charging_.ClassOf(submit.workspace, submit.max_tokens, policy());
  const auto [position, is_new] = calls_.try_emplace(
      submit.request,
      ActiveCall{.call = Call(submit, now), .submitted_at = now});
  ActiveCall& active = position->second;
  active.consumed_offset = active.credited_offset = submit.resume_tokens;
  if (!is_new) {
    return;
  }
  if (IsQueueFull(submit.workspace)) {
    Fail(active, base::ErrorKind::kQueueFull, base::Executed::kNo,
         "the workspace has too many waiting requests");
    return;
  }
  if (!submit.repeatable && !submit.idempotency_key.empty()) {
    active.call.SetClaiming();
    AcquireClaim(submit);
    return;
  }
  Enqueue(active, /*is_first=*/false);
}

void Dispatcher::AcquireClaim(const Submit& submit) {
  const claims::ClaimRequest claim{
      .workspace = submit.workspace,
      .key = submit.idempotency_key,
      .request = submit.request,
      .fingerprint = base::Sha256Hex(submit.method + "\n" + submit.model +
                                     "\n" + submit.path + "\n" + submit.body)};
  callbacks_.acquire_claim(
      claim, [this, request = submit.request](const claims::Verdict& verdict) {
        OnClaimVerdict(request, verdict);
      });
}

void Dispatcher::OnClaimVerdict(const std::string& request,
                                const claims::Verdict& verdict) {
  ActiveCall* const active = Find(request);
  if (active == nullptr) {
    return;
  }
  if (verdict.kind == claims::VerdictKind::kReplay) {
    callbacks_.answer(ServiceReply{.request = request,
                                   .http_status = verdict.answer.http_status,
                                   .content_type = verdict.answer.content_type,
                                   .body = verdict.answer.body,
                                   .is_replay = true,
                                   .has_body = verdict.answer.has_body});
    metrics_.CountOutcome("replayed");
    Erase(*active);
    return;
  }
  if (verdict.kind == claims::VerdictKind::kRejected) {
    Fail(*active, verdict.error, base::AnswerFor(verdict.error).executed,
         "the call with this Idempotency-Key was not started");
    return;
  }
  active->has_claim = true;
  if (active->disconnected_at) {
    Abandon(*active);
  } else if (IsQueueFull(active->call.spec().workspace)) {
    Fail(*active, base::ErrorKind::kQueueFull, base::Executed::kNo,
         "the workspace has too many waiting requests");
  } else {
    Enqueue(*active, /*is_first=*/false);
  }
}

void Dispatcher::Handle(const ResumeStream& resume) {
  const kernel::TimePoint now = clock_.Now();
  if (ActiveCall* const active = Find(resume.request)) {
    if (active->call.spec().workspace != resume.workspace) {
      // The HTTP frontend never replaces a connected caller of another
      // workspace, so this answer reaches the caller who sent the resume.
      callbacks_.answer(Failure{.request = resume.request,
                                .kind = base::ErrorKind::kNotFound,
                                .executed = base::Executed::kNo,
                                .message = "no such stream"});
      return;
    }
    active->disconnected_at.reset();
    active->consumed_offset = active->credited_offset = resume.offset;
    Apply(*active, active->call.ResumeAt(resume.offset, now));
    if (active->call.is_at_side()) {
      callbacks_.answer(AcceptedBySide{resume.request, active->call.side()});
    }
    return;
  }
  ActiveCall& active =
      calls_
          .try_emplace(resume.request, ActiveCall{.call = Call(resume, now),
                                                  .submitted_at = now})
          .first->second;
  active.consumed_offset = active.credited_offset =
      active.attempt_start_offset = resume.offset;
  if (const protocol::PeerInfo* const side =
          sides_.FindConnected(resume.side)) {
    Apply(active,
          active.call.OnLinkUp(side->incarnation, MakeCallLimits(), now));
  }
}

void Dispatcher::Handle(const Consumed& consumed) {
  if (ActiveCall* const active = Find(consumed.request)) {
    // Large enough that credits stay a small part of the traffic; Tick() sends
    // credits for fewer tokens.
    constexpr int64_t kCreditStepTokens = 256;
    active->consumed_offset =
        std::max(active->consumed_offset, consumed.offset);
    active->call.SetConsumed(consumed.offset);
    if (active->consumed_offset - active->credited_offset >=
        kCreditStepTokens) {
      SendCredit(*active);
    }
  }
}

void Dispatcher::Handle(const CallerDisconnected& disconnected) {
  ActiveCall* const active = Find(disconnected.request);
  if (active == nullptr || active->disconnected_at) {
    return;
  }
  active->disconnected_at = clock_.Now();
  const Submit& spec = active->call.spec();
  const CallState state = active->call.state();
  const bool may_resume =
      spec.kind == protocol::StartKind::kModel && spec.is_stream;
  if (state == CallState::kWaiting ||
      (active->call.is_at_side() && spec.repeatable && !may_resume)) {
    Abandon(*active);
  }
}

bool Dispatcher::IsQueueFull(std::string_view workspace) const {
  return queue_.WaitingCount(workspace) >= policy().max_waiting;
}

void Dispatcher::Enqueue(ActiveCall& active, bool is_first) {
  const Submit& spec = active.call.spec();
  active.call.SetWaiting();
  if (active.queued_at == kernel::TimePoint{}) {
    active.queued_at = clock_.Now();
  }
  fairness::WaitingRequest waiting{
      .request = spec.request,
      .model = spec.model,
      .workspace = spec.workspace,
      .request_class = spec.request_class,
      .estimate = charging_.EstimateCost(spec.workspace, spec.body.size(),
                                         spec.max_tokens, policy()),
      .since = active.queued_at};
  const bool had_backlog = !queue_.Backlogs(spec.model).empty();
  if (is_first) {
    queue_.AddAtHead(std::move(waiting));
  } else {
    queue_.Add(std::move(waiting));
  }
  bidder_.SetAffinityKey(
      spec.model,
      spec.model + "\n" + spec.body.substr(0, kAffinityPrefixBytes));
  const std::string model = spec.model;  // A push may end the call.
  OnBacklogChanged(model, spec.workspace);
  if (!strategy_->uses_bids()) {
    PushWaiting(model);
  } else if (!had_backlog) {
    for (LinkCommand& bid : bidder_.FlushModel(model, MakeBidInputs())) {
      callbacks_.send(std::move(bid));
    }
  }
}

void Dispatcher::OnBacklogChanged(const std::string& model,
                                  std::string_view workspace) {
  ledger_.SetBacklogged(workspace, queue_.WaitingCount(workspace) > 0);
  bidder_.MarkChanged(model);
  callbacks_.schedule_flush();
}

BidInputs Dispatcher::MakeBidInputs() {
  return {.queue = queue_,
          .ledger = ledger_,
          .charging = charging_,
          .sides = sides_,
          .snapshot = store_.snapshot(),
          .strategy = *strategy_,
          .now = clock_.Now()};
}

void Dispatcher::FlushBids() {
  if (!strategy_->uses_bids()) {
    PushAll();
    return;
  }
  for (LinkCommand& bid : bidder_.Flush(MakeBidInputs())) {
    callbacks_.send(std::move(bid));
  }
}

void Dispatcher::RefreshBids() {
  bidder_.MarkAll(queue_);
  callbacks_.schedule_flush();
}

void Dispatcher::PushAll() {
  for (const std::string& model : queue_.WaitingModels()) {
    PushWaiting(model);
  }
}

void Dispatcher::PushWaiting(const std::string& model) {
  while (true) {
    const std::vector<fairness::Backlog> backlogs = queue_.Backlogs(model);
    if (backlogs.empty()) {
      return;
    }
    const std::optional<std::string> name = strategy_->NextPushTarget(
        model, sides_.CandidatesFor(model, store_.snapshot(), clock_.Now()));
    const protocol::PeerInfo* const side =
        name ? sides_.FindConnected(*name) : nullptr;
    if (side == nullptr) {
      return;
    }
    const std::optional<fairness::WaitingRequest> next = queue_.Take(
        model, backlogs.front().workspace, backlogs.front().request_class);
    ActiveCall* const active = next ? Find(next->request) : nullptr;
    if (active == nullptr) {
      return;
    }
    Start(*active, *side, /*grant=*/0, strategy_name_);
    sides_.CountPushedStart(side->instance);
    OnBacklogChanged(model, next->workspace);
  }
}

void Dispatcher::Tick() {
  const kernel::TimePoint now = clock_.Now();
  const kernel::Duration max_wait =
      std::chrono::milliseconds(policy().max_wait_ms);
  for (const fairness::WaitingRequest& late :
       queue_.TakeOlderThan(now - max_wait)) {
    OnBacklogChanged(late.model, late.workspace);
    if (ActiveCall* const active = Find(late.request)) {
      Apply(*active, active->call.OnWaitLimit());
    }
  }
  std::vector<std::string> requests;
  requests.reserve(calls_.size());
  for (const auto& [request, active] : calls_) {
    requests.push_back(request);
  }
  for (const std::string& request : requests) {
    ActiveCall* const active = Find(request);
    if (active == nullptr) {
      continue;
    }
    // A credit below kCreditStepTokens is sent when the offset has not changed
    // since the last tick, since the side may be waiting for it.
    if (active->consumed_offset == active->consumed_at_last_tick) {
      SendCredit(*active);
    }
    active->consumed_at_last_tick = active->consumed_offset;
    if (active->disconnected_at &&
        now - *active->disconnected_at >= kResumeGrace &&
        active->call.is_at_side() && active->call.spec().repeatable) {
      Abandon(*active);
    } else {
      Apply(*active, active->call.OnTick(MakeCallLimits(), now));
    }
  }
}

void Dispatcher::ExchangeCounters() {
  SendCounters(exchange_->Tick(
      ledger_,
      std::vector<std::string>(peer_entries_.begin(), peer_entries_.end())));
  RefreshBids();
}

size_t Dispatcher::running() const {
  return static_cast<size_t>(std::count_if(
      calls_.begin(), calls_.end(),
      [](const auto& entry) { return entry.second.call.is_at_side(); }));
}

}  // namespace jackdawshunt::entry
