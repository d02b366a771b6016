#include "jackdawshunt/side/dispatcher.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "jackdawshunt/base/log.h"

namespace jackdawshunt::side {
namespace {

using protocol::RequestClass;

// Shorter than kGrantLifetime, so that the slot of an expired grant is released
// soon.
constexpr kernel::Duration kTickPeriod = std::chrono::milliseconds(100);

}  // namespace

Dispatcher::Dispatcher(kernel::EventLoop& loop,
                       const configuration::Store& store,
                       UpstreamDriver& driver,
                       DispatcherOptions options)
    : loop_(loop),
      store_(store),
      driver_(driver),
      options_(std::move(options)),
      accounted_until_(loop.clock().Now()),
      tick_(loop.Every(kTickPeriod, [this] { Tick(); })) {}

Dispatcher::~Dispatcher() = default;

void Dispatcher::AddConnection(const ConnectionPtr& connection) {
  connections_[connection->peer().instance] = connection;
}

void Dispatcher::OnMessage(const ConnectionPtr& connection,
                           const protocol::Message& message) {
  std::visit(
      [this, &connection](const auto& content) { Handle(connection, content); },
      message);
}

void Dispatcher::RemoveConnection(const protocol::Connection& connection) {
  for (const auto& [request, execution] : executions_) {
    execution->Detach(connection);
  }
  const std::string& entry = connection.peer().instance;
  const auto found = connections_.find(entry);
  if (found == connections_.end() || found->second.get() != &connection) {
    return;  // Replaced by a newer connection of this entry.
  }
  connections_.erase(found);
  bids_.RemoveEntry(entry);
  ReturnSlots(grants_.VoidEntry(entry));
  FillSlots();
}

void Dispatcher::ApplyConfiguration() {
  AccountSlots();
  const auto& upstreams = store_.snapshot().upstreams;
  const auto record = upstreams.find(options_.upstream);
  if (record == upstreams.end()) {
    slots_.Resize(0, 0);
    return;
  }
  slots_.Resize(record->second.slots, record->second.short_slots);
  is_record_leaving_ = record->second.state == records::UpstreamState::kLeaving;
  FillSlots();
}

void Dispatcher::SetShuttingDown() {
  is_shutting_down_ = true;
  FillSlots();
}

void Dispatcher::SetUpstreamDraining(bool draining) {
  if (draining != is_upstream_draining_) {
    base::Log(base::LogLevel::kInfo, "upstream_draining",
              {{"upstream", options_.upstream}, {"draining", draining}});
  }
  is_upstream_draining_ = draining;
  FillSlots();
}

bool Dispatcher::is_draining() const {
  return is_shutting_down_ || is_upstream_draining_ || is_record_leaving_;
}

bool Dispatcher::is_idle() const {
  return std::all_of(
      executions_.begin(), executions_.end(), [](const auto& entry) {
        return entry.second->state() != ExecutionState::kRunning &&
               entry.second->is_outcome_sent();
      });
}

size_t Dispatcher::running() const {
  return static_cast<size_t>(std::count_if(
      executions_.begin(), executions_.end(), [](const auto& entry) {
        return entry.second->state() == ExecutionState::kRunning;
      }));
}

void Dispatcher::FillHeartbeat(protocol::Heartbeat& heartbeat) const {
  heartbeat.draining = is_draining();
  heartbeat.slots = slots_.slots();
  heartbeat.free_slots = is_draining() ? 0 : slots_.free();
  heartbeat.has_bids = !bids_.empty();
}

const DispatcherCounters& Dispatcher::counters() {
  AccountSlots();
  return counters_;
}

void Dispatcher::Handle(const ConnectionPtr& connection,
                        const protocol::Bid& bid) {
  AccountSlots();
  bids_.Replace(connection->peer().instance, bid);
  FillSlots();
}

void Dispatcher::Handle(const ConnectionPtr& connection,
                        const protocol::Start& start) {
  if (start.side_incarnation != options_.incarnation) {
    Refuse(*connection, start,
           "start addressed to another incarnation of this side");
    return;
  }
  if (AnswerDuplicate(*connection, start)) {
    return;
  }
  if (start.grant == 0) {
    if (is_draining()) {
      Refuse(*connection, start, "draining");
      return;
    }
    pushed_.push_back({start, connection});
    FillSlots();
    return;
  }
  const auto grant = grants_.Use(start.grant, connection->peer().instance,
                                 start.request, loop_.clock().Now());
  if (!grant.ok()) {
    Refuse(*connection, start, std::string(grant.status().message()));
    return;
  }
  if (grant->request_class != start.request_class) {
    AccountSlots();
    slots_.Release(grant->request_class);
    slots_.Take(start.request_class);
  }
  if (grant->workspace != start.workspace) {
    bids_.RemoveHeldSlot(grant->workspace);
    bids_.AddHeldSlot(start.workspace);
  }
  StartExecution(connection, start);
}

bool Dispatcher::AnswerDuplicate(protocol::Connection& connection,
                                 const protocol::Start& start) const {
  // `refused` means that the request was not executed, so it must not answer
  // the duplicate of a start that was executed.
  const auto earlier = executions_.find(start.request);
  if (earlier != executions_.end() &&
      earlier->second->start().attempt == start.attempt) {
    earlier->second->SendAccepted(connection);
    return true;
  }
  const bool is_overtaken = earlier != executions_.end() &&
                            earlier->second->start().attempt > start.attempt;
  const bool may_have_used_grant =
      start.grant != 0 &&
      grants_.UsageOf(start.grant, start.request) != GrantUsage::kNeverUsed;
  if (is_overtaken || may_have_used_grant) {
    SendUnknown(connection, start.request, start.attempt);
    return true;
  }
  return false;
}

void Dispatcher::SendUnknown(protocol::Connection& connection,
                             const std::string& request,
                             int32_t attempt) {
  connection.Send(protocol::Failed{
      .request = request,
      .attempt = attempt,
      .kind = base::ErrorKind::kOutcomeUnknown,
      .ran = base::Executed::kUnknown,
      .message = "the outcome of this request is not available at this side"});
}

void Dispatcher::Handle(const ConnectionPtr& connection,
                        const protocol::Decline& decline) {
  (void)connection;
  if (const auto grant = grants_.Void(decline.grant)) {
    ++counters_.grants_declined;
    ReturnSlot(*grant);
    FillSlots();
  }
}

void Dispatcher::Handle(const ConnectionPtr& connection,
                        const protocol::Query& query) {
  const Execution* const execution = FindExecution(query.request);
  if (execution != nullptr && execution->start().attempt == query.attempt) {
    execution->SendAccepted(*connection);
    return;
  }
  const bool is_own = query.side_incarnation == options_.incarnation;
  if (is_own) {
    std::erase_if(pushed_, [&query](const PushedStart& pushed) {
      return query.grant == 0 && pushed.start.request == query.request;
    });
    if (const auto grant = grants_.Void(query.grant)) {
      ReturnSlot(*grant);
      FillSlots();
    }
  }
  // A pushed start has no grant that could be voided, so a delayed copy of it
  // may still arrive.
  const bool is_certain =
      is_own && query.grant != 0 &&
      grants_.UsageOf(query.grant, query.request) == GrantUsage::kNeverUsed;
  if (is_certain) {
    ++counters_.starts_refused;
    connection->Send(protocol::Refused{.grant = query.grant,
                                       .request = query.request,
                                       .attempt = query.attempt,
                                       .reason = "start not received"});
    return;
  }
  SendUnknown(*connection, query.request, query.attempt);
}

void Dispatcher::Handle(const ConnectionPtr& connection,
                        const protocol::Attach& attach) {
  Execution* const execution = FindExecution(attach.request);
  if (execution == nullptr ||
      execution->start().workspace != attach.workspace) {
    connection->Send(
        protocol::Failed{.request = attach.request,
                         .kind = base::ErrorKind::kNotFound,
                         .ran = base::Executed::kUnknown,
                         .message = "stream not found at this side"});
    return;
  }
  execution->AttachTo(connection, attach.offset);
}

void Dispatcher::Handle(const ConnectionPtr& connection,
                        const protocol::Credit& credit) {
  (void)connection;
  Execution* const execution = FindExecution(credit.request);
  if (execution != nullptr && execution->start().attempt == credit.attempt) {
    execution->SetCredit(credit.offset);
  }
}

void Dispatcher::Handle(const ConnectionPtr& connection,
                        const protocol::Cancel& cancel) {
  std::erase_if(pushed_, [&cancel](const PushedStart& pushed) {
    return pushed.start.request == cancel.request &&
           pushed.start.attempt == cancel.attempt;
  });
  Execution* const execution = FindExecution(cancel.request);
  // An entry must not cancel a stream that its caller has resumed at another
  // entry.
  if (execution != nullptr && execution->start().attempt == cancel.attempt &&
      execution->CanBeCancelledBy(connection->peer().instance)) {
    execution->Cancel();
  }
}

void Dispatcher::FillSlots() {
  AccountSlots();
  if (is_draining()) {
    ReturnSlots(grants_.VoidAll());
    RefusePushed();
    return;
  }
  while (StartPushed() || GrantNext()) {
  }
}

bool Dispatcher::StartPushed() {
  if (pushed_.empty() ||
      !slots_.HasFreeSlotFor(pushed_.front().start.request_class)) {
    return false;
  }
  const PushedStart next = std::move(pushed_.front());
  pushed_.pop_front();
  if (const ConnectionPtr connection = next.connection.lock()) {
    slots_.Take(next.start.request_class);
    bids_.AddHeldSlot(next.start.workspace);
    StartExecution(connection, next.start);
  }
  return true;
}

bool Dispatcher::GrantNext() {
  if (!slots_.HasFreeSlotFor(RequestClass::kShort)) {
    return false;
  }
  const bool short_only = !slots_.HasFreeSlotFor(RequestClass::kLong);
  const std::optional<fairness::Choice> choice = bids_.Choose(short_only);
  if (!choice.has_value()) {
    return false;
  }
  const auto connection = connections_.find(choice->entry);
  if (connection == connections_.end()) {
    bids_.RemoveEntry(choice->entry);
    return true;
  }
  slots_.Take(choice->request_class);
  bids_.AddHeldSlot(choice->workspace);
  const uint64_t grant =
      grants_.Issue({choice->entry, choice->workspace, choice->request_class},
                    loop_.clock().Now());
  ++counters_.grants_issued;
  connection->second->Send(protocol::Grant{
      .grant = grant,
      .model = choice->model,
      .workspace = choice->workspace,
      .request_class = choice->request_class,
      .valid_ms =
          std::chrono::duration_cast<std::chrono::milliseconds>(kGrantLifetime)
              .count()});
  if (base::IsLogged(base::LogLevel::kInfo)) {
    base::Log(base::LogLevel::kInfo, "placement_decision",
              {{"grant", grant},
               {"entry", choice->entry},
               {"workspace", choice->workspace},
               {"model", choice->model},
               {"class", protocol::RequestClassName(choice->request_class)},
               {"service", choice->service},
               {"contenders", choice->contenders},
               {"free_slots", slots_.free()},
               {"why", short_only ? "lowest service among short requests"
                                  : "lowest service"}});
  }
  return true;
}

void Dispatcher::StartExecution(const ConnectionPtr& connection,
                                const protocol::Start& start) {
  ++counters_.requests_started;
  const std::string request = start.request;
  auto execution = std::make_unique<Execution>(
      loop_, start,
      ExecutionOptions{options_.window_bytes,
                       store_.snapshot().policy.short_tokens},
      Execution::Events{
          .on_reclassified_as_long = [this] { slots_.ReclassifyAsLong(); },
          .on_ended = [this, request] { OnExecutionEnded(request); }});
  Execution& running = *execution;
  if (Execution* const earlier = FindExecution(request)) {
    // The entry has given up its earlier attempt; cancelling that one releases
    // its slot.
    earlier->Cancel();
  }
  executions_[request] = std::move(execution);
  running.AttachTo(connection, start.resume_tokens);
  running.Begin(driver_);
}

void Dispatcher::Refuse(protocol::Connection& connection,
                        const protocol::Start& start,
                        std::string_view reason) {
  ++counters_.starts_refused;
  base::Log(base::LogLevel::kInfo, "start_refused",
            {{"request", start.request},
             {"attempt", start.attempt},
             {"grant", start.grant},
             {"why", reason}});
  connection.Send(protocol::Refused{.grant = start.grant,
                                    .request = start.request,
                                    .attempt = start.attempt,
                                    .reason = std::string(reason)});
}

void Dispatcher::ReturnSlot(const IssuedGrant& grant) {
  AccountSlots();
  slots_.Release(grant.request_class);
  bids_.RemoveHeldSlot(grant.workspace);
}

void Dispatcher::ReturnSlots(const std::vector<IssuedGrant>& grants) {
  for (const IssuedGrant& grant : grants) {
    ReturnSlot(grant);
  }
}

void Dispatcher::OnExecutionEnded(const std::string& request) {
  AccountSlots();
  const Execution& execution = *executions_.at(request);
  ++(execution.state() == ExecutionState::kDone ? counters_.requests_done
                                                : counters_.requests_failed);
  slots_.Release(execution.request_class());
  bids_.RemoveHeldSlot(execution.start().workspace);
  FillSlots();
}

void Dispatcher::RefusePushed() {
  for (const PushedStart& pushed : std::exchange(pushed_, {})) {
    if (const ConnectionPtr connection = pushed.connection.lock()) {
      Refuse(*connection, pushed.start, "draining");
    }
  }
}

void Dispatcher::Tick() {
  const kernel::TimePoint now = loop_.clock().Now();
  const std::vector<IssuedGrant> expired = grants_.VoidExpired(now);
  counters_.grants_expired += expired.size();
  ReturnSlots(expired);
  const kernel::Duration limit =
      std::chrono::milliseconds(store_.snapshot().policy.progress_limit_ms);
  for (const auto& [request, execution] : executions_) {
    execution->EnforceTimeouts(now, limit);
  }
  std::erase_if(executions_, [now](const auto& entry) {
    return entry.second->IsRetentionOver(now);
  });
  FillSlots();
}

void Dispatcher::AccountSlots() {
  const kernel::TimePoint now = loop_.clock().Now();
  const double seconds =
      std::chrono::duration<double>(now - accounted_until_).count();
  accounted_until_ = now;
  counters_.slot_seconds_busy += seconds * slots_.used();
  counters_.slot_seconds_idle += seconds * slots_.free();
  const bool short_only = !slots_.HasFreeSlotFor(RequestClass::kLong);
  if (bids_.HasWaiting(short_only)) {
    counters_.slot_seconds_idle_with_bids += seconds * slots_.free();
  }
}

Execution* Dispatcher::FindExecution(std::string_view request) {
  const auto found = executions_.find(request);
  return found == executions_.end() ? nullptr : found->second.get();
}

}  // namespace jackdawshunt::side
