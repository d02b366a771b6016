// Dispatcher: execution of the decisions of calls, and the end of calls.
#include <utility>

#include "jackdawshunt/base/log.h"
#include "jackdawshunt/entry/dispatcher.h"

namespace jackdawshunt::entry {

CallLimits Dispatcher::MakeCallLimits() const {
  return {
      .max_attempts = policy().max_attempts,
      .progress_limit = std::chrono::milliseconds(policy().progress_limit_ms)};
}

Dispatcher::ActiveCall* Dispatcher::Find(std::string_view request) {
  const auto found = calls_.find(request);
  return found == calls_.end() ? nullptr : &found->second;
}

Dispatcher::ActiveCall* Dispatcher::FindAtSide(std::string_view request,
                                               std::string_view side) {
  ActiveCall* const active = Find(request);
  const bool is_there = active != nullptr && active->call.is_at_side() &&
                        active->call.side() == side;
  return is_there ? active : nullptr;
}

void Dispatcher::Apply(ActiveCall& active, const Decision& decision) {
  const Call& call = active.call;
  switch (decision.step) {
    case NextStep::kNone:
    case NextStep::kComplete:
      return;
    case NextStep::kRequeue:
      Requeue(active, decision);
      return;
    case NextStep::kQuery:
      SendToSide(active,
                 protocol::Query{.grant = call.grant(),
                                 .side_incarnation = call.side_incarnation(),
                                 .request = call.spec().request,
                                 .attempt = call.attempt()});
      return;
    case NextStep::kAttach:
      // The caller may have resumed the stream at another entry; an attach from
      // here would take the stream over from that entry.
      if (active.disconnected_at &&
          call.spec().kind == protocol::StartKind::kModel) {
        return;
      }
      SendToSide(active, protocol::Attach{.request = call.spec().request,
                                          .workspace = call.spec().workspace,
                                          .offset = call.next_offset()});
      return;
    case NextStep::kFail:
      Fail(active, decision.error, decision.executed, decision.reason);
      return;
  }
}

void Dispatcher::ApplyToCallsAt(std::string_view side,
                                const std::function<Decision(Call&)>& event) {
  std::vector<std::string> requests;
  for (const auto& [request, active] : calls_) {
    if (active.call.is_at_side() && active.call.side() == side) {
      requests.push_back(request);
    }
  }
  for (const std::string& request : requests) {
    // An earlier decision may have ended or moved this call.
    if (ActiveCall* const active = FindAtSide(request, side)) {
      Apply(*active, event(active->call));
    }
  }
}

void Dispatcher::Requeue(ActiveCall& active, const Decision& decision) {
  const Call& call = active.call;
  base::Log(base::LogLevel::kWarning, "attempt_ended",
            {{"request", call.spec().request},
             {"side", call.side()},
             {"attempt", call.attempt() - 1},
             {"not_run", decision.not_executed},
             {"why", decision.reason}});
  if (decision.not_executed) {
    charging_.Cancel(active.charge);
  } else {
    charging_.FinishIncomplete(active.charge,
                               call.next_offset() - active.attempt_start_offset,
                               policy());
    SendCancel(active, call.attempt() - 1);
    active.queued_at = clock_.Now();  // Time at the side is not queue time.
  }
  active.body.clear();
  active.consumed_offset = active.credited_offset = call.next_offset();
  if (active.disconnected_at) {
    Abandon(active);
  } else {
    Enqueue(active, /*is_first=*/true);
  }
}

void Dispatcher::Complete(ActiveCall& active, const protocol::Done& done) {
  const Submit& spec = active.call.spec();
  if (!active.call.is_attached()) {
    charging_.Finish(active.charge, done.input_tokens, done.output_tokens,
                     policy());
  }
  if (active.has_claim) {
    callbacks_.complete_claim(spec.request, {.http_status = done.http_status,
                                             .content_type = done.content_type,
                                             .body = active.body});
  }
  if (!active.disconnected_at) {
    if (spec.kind == protocol::StartKind::kService) {
      callbacks_.answer(ServiceReply{.request = spec.request,
                                     .http_status = done.http_status,
                                     .content_type = done.content_type,
                                     .body = std::move(active.body)});
    } else {
      Completed completed{spec.request, done};
      // A side that continued a stream counts only its own tokens; the caller
      // received those of earlier attempts too.
      completed.done.output_tokens = done.length;
      callbacks_.answer(std::move(completed));
    }
  }
  metrics_.CountOutcome("done");
  Erase(active);
}

void Dispatcher::Fail(ActiveCall& active,
                      base::ErrorKind kind,
                      base::Executed executed,
                      std::string_view reason) {
  const Submit& spec = active.call.spec();
  Failure failure{.request = spec.request,
                  .kind = kind,
                  .executed = executed,
                  .message = std::string(reason)};
  if (kind == base::ErrorKind::kQueueFull ||
      kind == base::ErrorKind::kWaitLimit ||
      kind == base::ErrorKind::kNoCapacity) {
    failure.retry_after =
        service_rates_[spec.model].RetryAfter(queue_.size(), clock_.Now());
  }
  base::Log(base::LogLevel::kInfo, "request_failed",
            {{"request", spec.request},
             {"workspace", spec.workspace},
             {"model", spec.model},
             {"kind", base::ErrorKindName(kind)},
             {"ran", base::ExecutedName(executed)},
             {"attempt", active.call.attempt()},
             {"why", reason}});
  if (executed == base::Executed::kNo) {
    charging_.Cancel(active.charge);
  } else if (!active.call.is_attached()) {
    charging_.FinishIncomplete(
        active.charge, active.call.next_offset() - active.attempt_start_offset,
        policy());
  }
  SettleClaim(active, executed);
  if (!active.disconnected_at) {
    callbacks_.answer(std::move(failure));
  }
  metrics_.CountOutcome(base::ErrorKindName(kind));
  Erase(active);
}

void Dispatcher::SettleClaim(const ActiveCall& active,
                             base::Executed executed) {
  if (!active.has_claim) {
    return;
  }
  if (executed == base::Executed::kNo) {
    callbacks_.release_claim(active.call.spec().request);
  } else {
    callbacks_.mark_claim_unknown(active.call.spec().request);
  }
}

void Dispatcher::Abandon(ActiveCall& active) {
  const Submit& spec = active.call.spec();
  if (active.call.is_at_side()) {
    SendCancel(active, active.call.attempt());
    if (!active.call.is_attached()) {
      charging_.FinishIncomplete(
          active.charge,
          active.call.next_offset() - active.attempt_start_offset, policy());
    }
  } else if (queue_.Remove(spec.request)) {
    OnBacklogChanged(spec.model, spec.workspace);
  }
  SettleClaim(active,
              active.call.may_have_executed() || active.call.is_at_side()
                  ? base::Executed::kUnknown
                  : base::Executed::kNo);
  metrics_.CountOutcome(base::ErrorKindName(base::ErrorKind::kCancelled));
  Erase(active);
}

void Dispatcher::Erase(ActiveCall& active) {
  active.call.SetFinished();
  calls_.erase(calls_.find(active.call.spec().request));
}

void Dispatcher::SendToSide(const ActiveCall& active,
                            protocol::Message message) {
  callbacks_.send({active.call.side(), std::move(message)});
}

void Dispatcher::SendCancel(const ActiveCall& active, int32_t attempt) {
  if (!active.call.spec().repeatable) {
    return;
  }
  const protocol::Cancel cancel{active.call.spec().request, attempt};
  if (sides_.FindConnected(active.call.side()) != nullptr) {
    SendToSide(active, cancel);
    return;
  }
  // Bounded, since a side that loses its link ends abandoned streams by itself
  // and does not depend on these cancels.
  constexpr size_t kMaxPendingCancels = 1024;
  std::vector<protocol::Cancel>& pending = pending_cancels_[active.call.side()];
  if (pending.size() < kMaxPendingCancels) {
    pending.push_back(cancel);
  }
}

void Dispatcher::SendPendingCancels(const std::string& side) {
  const auto pending = pending_cancels_.extract(side);
  if (!pending.empty()) {
    for (const protocol::Cancel& cancel : pending.mapped()) {
      callbacks_.send({side, cancel});
    }
  }
}

void Dispatcher::SendCredit(ActiveCall& active) {
  if (active.consumed_offset > active.credited_offset &&
      active.call.is_at_side()) {
    active.credited_offset = active.consumed_offset;
    SendToSide(active,
               protocol::Credit{active.call.spec().request,
                                active.call.attempt(), active.consumed_offset});
  }
}

}  // namespace jackdawshunt::entry
