// The core of the entry: queues requests, bids for them, starts them on grants
// and follows each one to its end. Does no I/O of its own; it is driven by
// events and acts through its ports, so that tests run it on a paused clock.
//
// Example:
//   entry::Dispatcher dispatcher(clock, self, store, metrics, ports);
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
// Changes of a backlog within this time go out in one bid.
inline constexpr kernel::Duration kBidDelay = std::chrono::milliseconds(1);
// A caller who left may resume a stream within this time.
inline constexpr kernel::Duration kResumeGrace = std::chrono::seconds(10);
// Plain services answer whole; a larger body is given up.
inline constexpr size_t kMaxServiceAnswerBytes = size_t{16} * 1024 * 1024;

// How the dispatcher reaches the other tasks. All are called from within its
// methods and must not call back before they return.
struct DispatcherPorts {
  std::function<void(LinkCommand)> send;
  std::function<void(Answer)> answer;
  // Asks for a call of FlushBids() after kBidDelay.
  std::function<void()> schedule_flush;
  std::function<void(const claims::ClaimRequest&, claims::Claims::Done)>
      acquire_claim;
  std::function<void(std::string_view, const claims::RecordedAnswer&)>
      complete_claim;
  std::function<void(std::string_view)> mark_claim_unknown;
  std::function<void(std::string_view)> release_claim;
};

class Dispatcher {
 public:
  Dispatcher(const kernel::Clock& clock,
             const protocol::PeerInfo& self,
             const configuration::Store& store,
             Metrics& metrics,
             DispatcherPorts ports);

  void OnCallerEvent(const CallerEvent& event);
  void OnLinkEvent(const LinkEvent& event);
  // The records in force changed.
  void OnConfiguration();
  void FlushBids();
  // Time limits and credits; every kTickPeriod.
  void Tick();
  // Sends changed counters; every policy.exchange_period_ms.
  void ExchangeCounters();

  // Calls that have not ended, those of callers who left included.
  size_t active() const { return calls_.size(); }
  size_t waiting() const { return queue_.size(); }
  size_t running() const;
  // True once another entry has sent its service counters.
  bool has_peer_counters() const { return has_peer_counters_; }

 private:
  struct ActiveCall {
    Call call;
    kernel::TimePoint submitted;
    kernel::TimePoint queued;
    std::optional<kernel::TimePoint> left_at;
    bool has_claim = false;
    bool has_output = false;
    Charge charge;
    int64_t attempt_base = 0;  // Offset at the start of the attempt.
    int64_t consumed = 0;
    int64_t credited = 0;
    int64_t consumed_at_tick = 0;
    std::string body;  // Plain services: the answer so far.
  };
  using CallMap = std::map<std::string, ActiveCall, std::less<>>;

  // Callers' events.
  void Handle(const Submit& submit);
  void Handle(const Join& join);
  void Handle(const Consumed& consumed);
  void Handle(const Left& left);
  void AcquireClaim(const Submit& submit);
  void OnVerdict(const std::string& request, const claims::Verdict& verdict);

  // Link events.
  void Handle(const LinkUp& event);
  void Handle(const LinkDown& event);
  void Handle(const LinkMessage& event);
  void Handle(const InstanceGone& event);
  void Handle(const InstanceLeaving& event);
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
  void TakeTokens(ActiveCall& active,
                  const protocol::Chunk& chunk,
                  const std::vector<std::string>& tokens);
  void TakeBytes(ActiveCall& active, const protocol::Chunk& chunk);

  // Queue and starts.
  bool IsFull(std::string_view workspace) const;
  void Enqueue(ActiveCall& active, bool is_first);
  void OnBacklogChanged(const std::string& model, std::string_view workspace);
  std::optional<fairness::WaitingRequest> Pick(const protocol::Grant& grant,
                                               std::string_view& why);
  void Start(ActiveCall& active,
             const protocol::PeerInfo& side,
             uint64_t grant,
             std::string_view why);
  void PushWaiting(const std::string& model);
  void PushAll();

  // Decisions of calls.
  void Apply(ActiveCall& active, const Decision& decision);
  void ApplyToCallsAt(std::string_view side,
                      const std::function<Decision(Call&)>& event);
  void Requeue(ActiveCall& active, const Decision& decision);
  void Complete(ActiveCall& active, const protocol::Done& done);
  void Fail(ActiveCall& active,
            base::ErrorKind kind,
            base::Ran ran,
            std::string_view why);
  void SettleClaim(const ActiveCall& active, base::Ran ran);
  void Abandon(ActiveCall& active);
  void Erase(ActiveCall& active);
  // Cancels an attempt of a repeatable request, at the latest when the link to
  // its side is up again.
  void SendCancel(const ActiveCall& active, int32_t attempt);
  void SendPendingCancels(const std::string& side);
  void SendCredit(ActiveCall& active);
  ActiveCall* Find(std::string_view request);
  ActiveCall* FindAt(std::string_view request, std::string_view side);
  void SendToSide(const ActiveCall& active, protocol::Message message);
  void SendCounters(const std::vector<fairness::OutgoingCounters>& list);

  CallLimits Limits() const;
  const records::Policy& policy() const { return store_.snapshot().policy; }
  BidInputs Inputs();
  void RefreshBids();

  const kernel::Clock& clock_;
  const configuration::Store& store_;
  Metrics& metrics_;
  const DispatcherPorts ports_;
  fairness::Ledger ledger_;
  Charging charging_;
  fairness::RequestQueue queue_;
  SideTable sides_;
  Bidder bidder_;
  std::string strategy_name_;
  std::unique_ptr<placement::Strategy> strategy_;
  std::string exchange_name_;
  std::unique_ptr<fairness::Exchange> exchange_;
  std::set<std::string, std::less<>> peer_entries_;  // With a link.
  bool has_peer_counters_ = false;
  std::map<std::string, ServiceRate, std::less<>> rates_;  // By model.
  // Attempts given up while the link to their side was down, by side.
  std::map<std::string, std::vector<protocol::Cancel>, std::less<>>
      pending_cancels_;
  CallMap calls_;
};

}  // namespace jackdawshunt::entry

#endif  // JACKDAWSHUNT_ENTRY_DISPATCHER_H_
