// Schedules the requests of an upstream: grants free slots to the bids of
// entries, executes or refuses starts, and answers queries, attaches, credits
// and cancels.
//
// Example:
//   side::Dispatcher dispatcher(loop, store, driver, options);
//   dispatcher.AddConnection(connection);   // For every authenticated entry.
//   dispatcher.ApplyConfiguration();
//
// Not thread-safe; use on the loop's thread only.
#ifndef JACKDAWSHUNT_SIDE_DISPATCHER_H_
#define JACKDAWSHUNT_SIDE_DISPATCHER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "jackdawshunt/base/id.h"
#include "jackdawshunt/configuration/store.h"
#include "jackdawshunt/fairness/bid_book.h"
#include "jackdawshunt/kernel/event_loop.h"
#include "jackdawshunt/protocol/connection.h"
#include "jackdawshunt/side/execution.h"
#include "jackdawshunt/side/grant_table.h"
#include "jackdawshunt/side/slot_table.h"
#include "jackdawshunt/side/upstream_driver.h"

namespace jackdawshunt::side {

struct DispatcherOptions {
  std::string upstream;           // Name of the upstream's record.
  base::Incarnation incarnation;  // Incarnation of this side.
  size_t window_bytes = 0;        // Output window of each request.
};

// Totals since the start of the process, for the metrics.
struct DispatcherCounters {
  uint64_t grants_issued = 0;
  uint64_t grants_declined = 0;
  uint64_t grants_expired = 0;
  uint64_t requests_started = 0;
  uint64_t starts_refused = 0;
  uint64_t requests_done = 0;
  uint64_t requests_failed = 0;
  double slot_seconds_busy = 0;
  double slot_seconds_idle = 0;
  double slot_seconds_idle_with_bids = 0;  // Part of idle.
};

class Dispatcher {
 public:
  // `loop`, `store` and `driver` must outlive the dispatcher.
  Dispatcher(kernel::EventLoop& loop,
             const configuration::Store& store,
             UpstreamDriver& driver,
             DispatcherOptions options);
  ~Dispatcher();

  // Makes an entry's connection available for grants; replaces an earlier
  // connection of the same entry.
  void AddConnection(const std::shared_ptr<protocol::Connection>& connection);
  // Handles bid, start, decline, query, attach, credit and cancel messages, and
  // ignores all others.
  void OnMessage(const std::shared_ptr<protocol::Connection>& connection,
                 const protocol::Message& message);
  // Detaches the connection's executions, which continue. If the connection is
  // the entry's current one, also removes the entry's bids and voids its
  // grants.
  void RemoveConnection(const protocol::Connection& connection);

  // Applies the slots and the state of the upstream's record in the store.
  void ApplyConfiguration();
  // Stops new work for good, as the process is shutting down.
  void SetShuttingDown();
  // Stops new work while the upstream reports that it is draining.
  void SetUpstreamDraining(bool draining);
  // Returns whether new work is refused.
  bool is_draining() const;
  // Returns true when no request is running and every outcome has been sent.
  bool is_idle() const;

  // Sets the draining state, slots and bids of `heartbeat`.
  void FillHeartbeat(protocol::Heartbeat& heartbeat) const;
  // Returns the totals, with slot times up to now.
  const DispatcherCounters& counters();
  const SlotTable& slots() const { return slots_; }
  // Returns the number of running requests.
  size_t running() const;

 private:
  using ConnectionPtr = std::shared_ptr<protocol::Connection>;

  // A start without a grant, which waits for a free slot.
  struct PushedStart {
    protocol::Start start;
    std::weak_ptr<protocol::Connection> connection;
  };

  void Handle(const ConnectionPtr& connection, const protocol::Bid& bid);
  void Handle(const ConnectionPtr& connection, const protocol::Start& start);
  void Handle(const ConnectionPtr& connection,
              const protocol::Decline& decline);
  void Handle(const ConnectionPtr& connection, const protocol::Query& query);
  void Handle(const ConnectionPtr& connection, const protocol::Attach& attach);
  void Handle(const ConnectionPtr& connection, const protocol::Credit& credit);
  void Handle(const ConnectionPtr& connection, const protocol::Cancel& cancel);
  template <typename Other>
  void Handle(const ConnectionPtr&, const Other&) {}

  // Gives free slots to pushed starts first, then to bids. When draining, voids
  // all grants and refuses the pushed starts instead.
  void FillSlots();
  // Takes the first pushed start if a slot is free for it. Returns true
  // if it took one, so that more may be possible.
  bool StartPushed();
  // Grants a free slot to the best bid. Returns true if it granted one, so that
  // more may be possible.
  bool GrantNext();
  void StartExecution(const ConnectionPtr& connection,
                      const protocol::Start& start);
  // Answers a start that may have been executed before. Returns false, and
  // sends nothing, when the start is new.
  bool AnswerDuplicate(protocol::Connection& connection,
                       const protocol::Start& start) const;
  static void SendUnknown(protocol::Connection& connection,
                          const std::string& request,
                          int32_t attempt);
  void Refuse(protocol::Connection& connection,
              const protocol::Start& start,
              std::string_view reason);
  // Releases the slot of a grant that was not used.
  void ReturnSlot(const IssuedGrant& grant);
  void ReturnSlots(const std::vector<IssuedGrant>& grants);
  void OnExecutionEnded(const std::string& request);
  void RefusePushed();
  void Tick();
  // Adds the slot time since the last call to the counters.
  void AccountSlots();
  // Returns nullptr when there is no execution of this request.
  Execution* FindExecution(std::string_view request);

  kernel::EventLoop& loop_;
  const configuration::Store& store_;
  UpstreamDriver& driver_;
  const DispatcherOptions options_;
  SlotTable slots_;
  GrantTable grants_;
  fairness::BidBook bids_;
  std::map<std::string, ConnectionPtr, std::less<>> connections_;
  std::map<std::string, std::unique_ptr<Execution>, std::less<>> executions_;
  std::deque<PushedStart> pushed_;
  bool is_shutting_down_ = false;
  bool is_upstream_draining_ = false;
  bool is_record_leaving_ = false;
  DispatcherCounters counters_;
  kernel::TimePoint accounted_until_;
  kernel::Timer tick_;
};

}  // namespace jackdawshunt::side

#endif  // JACKDAWSHUNT_SIDE_DISPATCHER_H_
