// Queues requests, bids for slots at sides, starts requests on grants and
// follows each request to its end. Does no I/O of its own: callers deliver
// events, and the dispatcher acts through its callbacks, so that tests run it
// on a manual clock.
//
// Example:
//   entry::Dispatcher dispatcher(clock, self, store, metrics, callbacks);
//   dispatcher.OnCallerEvent(submit);
//   dispatcher.OnLinkEvent(entry::LinkMessage{"side-1", grant});
//   dispatcher.Tick();   // Every kTickPeriod.
#ifndef JACKDAWSHUNT_ENTRY_DISPATCHER_H_
#define JACKDAWSHUNT_ENTRY_DISPATCHER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "jackdawshunt/claims/claims.h"
#include "jackdawshunt/configuration/store.h"
#include "jackdawshunt/entry/bidder.h"
#include "jackdawshunt/entry/call.h"
#include "jackdawshunt/entry/charging.h"
#include "jackdawshunt/entry/messages.h"
#include "jackdawshunt/entry/metrics.h"
#include "jackdawshunt/entry/service_rate.h"
#include "jackdawshunt/entry/side_table.h"
#include "jackdawshunt/fairness/exchange.h"
#include "jackdawshunt/fairness/ledger.h"
#include "jackdawshunt/fairness/request_queue.h"
#include "jackdawshunt/kernel/clock.h"
#include "jackdawshunt/placement/strategy.h"

namespace jackdawshunt::entry {

inline constexpr kernel::Duration kTickPeriod = std::chrono::milliseconds(50);
// Changes of a backlog within this time are sent in one bid.
inline constexpr kernel::Duration kBidDelay = std::chrono::milliseconds(1);
// Time during which a disconnected caller may resume its stream.
inline constexpr kernel::Duration kResumeGrace = std::chrono::seconds(10);
// The answer of a plain service is buffered whole; a larger body fails the
// request.
inline constexpr size_t kMaxServiceAnswerBytes = size_t{16} * 1024 * 1024;

// Functions through which the dispatcher reaches the other tasks. They are
// called from within the dispatcher's methods and must not call the dispatcher
// before they return.
struct DispatcherCallbacks {
  std::function<void(LinkCommand)> send;
  std::function<void(Answer)> answer;
  // Schedules a call of FlushBids() after kBidDelay.
  std::function<void()> schedule_flush;
  std::function<void(const claims::ClaimRequest&, claims::Claims::Done)>
      acquire_claim;
  std::function<void(std::string_view, const claims::RecordedAnswer&)>
      complete_claim;
  std::function<void(std::string_view)> mark_claim_unknown;
  std::function<void(std::string_view)> release_claim;
};

// Not thread-safe.
class Dispatcher {
 public:
  Dispatcher(const kernel::Clock& clock,
             const protocol::PeerInfo& self,
             const configuration::Store& store,
             Metrics& metrics,
             DispatcherCallbacks callbacks);

  void OnCallerEvent(const CallerEvent& event);
  void OnLinkEvent(const LinkEvent& event);
  // Applies a change of the active records.
  void OnConfiguration();
  // Sends the bids that changed; with a push strategy, pushes waiting requests.
  void FlushBids();
  // Applies time limits and sends credits. Call every kTickPeriod.
  void Tick();
  // Sends changed counters to other entries. Call every
  // policy.exchange_period_ms.
  void ExchangeCounters();

  // Returns the number of calls that have not ended, including calls of
  // disconnected callers.
  size_t active() const { return calls_.size(); }
  size_t waiting() const { return queue_.size(); }
  size_t running() const;
  // Returns true once another entry has sent its service counters.
  bool has_peer_counters() const { return has_peer_counters_; }

 private:
  struct ActiveCall {
    Call call;
    kernel::TimePoint submitted_at;
    kernel::TimePoint queued_at;
    std::optional<kernel::TimePoint> disconnected_at;
    bool has_claim = false;
    bool has_output = false;
    Charge charge;
    int64_t attempt_start_offset = 0;
    int64_t consumed_offset = 0;
    int64_t credited_offset = 0;
    int64_t consumed_at_last_tick = 0;
    std::string body;  // Plain services: the answer so far.
  };
  using CallMap = std::map<std::string, ActiveCall, std::less<>>;

  // Events of callers.
  void Handle(const Submit& submit);
  void Handle(const ResumeStream& resume);
  void Handle(const Consumed& consumed);
  void Handle(const CallerDisconnected& disconnected);
  void AcquireClaim(const Submit& submit);
  void OnClaimVerdict(const std::string& request,
                      const claims::Verdict& verdict);

  // Link events.
  void Handle(const LinkUp& event);
  void Handle(const LinkDown& event);
  void Handle(const LinkMessage& event);
  void Handle(const InstanceRemoved& event);
  void Handle(const InstanceLeavingChanged& event);
  void OnMessage(const std::string& from, const protocol::Heartbeat& message);
  void OnMessage(const std::string& from, const protocol::Grant& message);
  void OnMessage(const std::string& from, const protocol::Accepted& message);
  void OnMessage(const std::string& from, const protocol::Refused& message);
  void OnMessage(const std::string& from, const protocol::Chunk& message);
  void OnMessage(const std::string& from, const protocol::Done& message);
  void OnMessage(const std::string& from, const protocol::Failed& message);
  void OnMessage(const std::string& from, const protocol::Counters& message);
  template <typename Other>
  void OnMessage(const std::string&, const Other&) {}
  void ForwardTokens(ActiveCall& active,
                     const protocol::Chunk& chunk,
                     const std::vector<std::string>& tokens);
  void AppendServiceBytes(ActiveCall& active, const protocol::Chunk& chunk);

  // Queueing and starting of requests.
  bool IsQueueFull(std::string_view workspace) const;
  void Enqueue(ActiveCall& active, bool is_first);
  void OnBacklogChanged(const std::string& model, std::string_view workspace);
  // Removes from the queue and returns the request to start with the grant, and
  // sets `reason` to the reason for the choice; nullopt when none is eligible.
  std::optional<fairness::WaitingRequest> TakeRequestFor(
      const protocol::Grant& grant,
      std::string_view& reason);
  void Start(ActiveCall& active,
             const protocol::PeerInfo& side,
             uint64_t grant,
             std::string_view reason);
  void PushWaiting(const std::string& model);
  void PushAll();

  // Execution of the decisions of calls.
  void Apply(ActiveCall& active, const Decision& decision);
  void ApplyToCallsAt(std::string_view side,
                      const std::function<Decision(Call&)>& event);
  void Requeue(ActiveCall& active, const Decision& decision);
  void Complete(ActiveCall& active, const protocol::Done& done);
  void Fail(ActiveCall& active,
            base::ErrorKind kind,
            base::Executed executed,
            std::string_view reason);
  // Releases the call's claim, if it has one, when the request was certainly
  // not executed; otherwise marks its outcome as unknown.
  void SettleClaim(const ActiveCall& active, base::Executed executed);
  // Cancels the call at its side or removes it from the queue, settles its
  // claim and erases it without an answer to the caller.
  void Abandon(ActiveCall& active);
  void Erase(ActiveCall& active);
  // Cancels an attempt of a repeatable request. When the link to its side is
  // down, the cancel is sent once the link is up again.
  void SendCancel(const ActiveCall& active, int32_t attempt);
  void SendPendingCancels(const std::string& side);
  void SendCredit(ActiveCall& active);
  ActiveCall* Find(std::string_view request);
  ActiveCall* FindAtSide(std::string_view request, std::string_view side);
  void SendToSide(const ActiveCall& active, protocol::Message message);
  void SendCounters(const std::vector<fairness::OutgoingCounters>& list);

  CallLimits MakeCallLimits() const;
  const records::Policy& policy() const { return store_.snapshot().policy; }
  BidInputs MakeBidInputs();
  void RefreshBids();

  const kernel::Clock& clock_;
  const configuration::Store& store_;
  Metrics& metrics_;
  const DispatcherCallbacks callbacks_;
  fairness::Ledger ledger_;
  Charging charging_;
  fairness::RequestQueue queue_;
  SideTable sides_;
  Bidder bidder_;
  std::string strategy_name_;
  std::unique_ptr<placement::Strategy> strategy_;
  std::string exchange_name_;
  std::unique_ptr<fairness::Exchange> exchange_;
  std::set<std::string, std::less<>> peer_entries_;  // Connected.
  bool has_peer_counters_ = false;
  std::map<std::string, ServiceRate, std::less<>> service_rates_;  // By model.
  // By side: cancels of attempts that were given up while the link to the side
  // was down.
  std::map<std::string, std::vector<protocol::Cancel>, std::less<>>
      pending_cancels_;
  CallMap calls_;
};

}  // namespace jackdawshunt::entry

#endif  // JACKDAWSHUNT_ENTRY_DISPATCHER_H_
