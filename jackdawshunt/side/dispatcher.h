// The side's decisions on its connections: which bid gets a free slot, which
// start is run or refused, what a query or an attach is answered.
//
// Example:
//   side::Dispatcher dispatcher(loop, store, driver, options);
//   dispatcher.AddConnection(connection);   // For every authenticated entry.
//
// Not thread-safe; runs on the loop's thread.
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
  std::string upstream;  // Name of the upstream's record.
  base::Incarnation incarnation;
  size_t window_bytes = 0;
};

// Sums since the start of the process, for the metrics.
struct DispatcherCounters {
  uint64_t grants = 0;
  uint64_t declined = 0;
  uint64_t expired = 0;
  uint64_t started = 0;
  uint64_t refused = 0;
  uint64_t done = 0;
  uint64_t failed = 0;
  double slot_seconds_busy = 0;
  double slot_seconds_idle = 0;
  double slot_seconds_idle_with_bids = 0;  // Idle while a bid waited here.
};

class Dispatcher {
 public:
  Dispatcher(kernel::EventLoop& loop,
             const configuration::Store& store,
             UpstreamDriver& driver,
             DispatcherOptions options);
  ~Dispatcher();

  void AddConnection(const std::shared_ptr<protocol::Connection>& connection);
  // Handles the messages of the request path; ignores the others.
  void OnMessage(const std::shared_ptr<protocol::Connection>& connection,
                 const protocol::Message& message);
  void RemoveConnection(const protocol::Connection& connection);

  // Takes slots and state of the upstream from the records.
  void ApplyConfiguration();
  // The process is shutting down, or the upstream says that it is draining.
  void SetShuttingDown();
  void SetUpstreamDraining(bool draining);
  bool is_draining() const;
  // True when nothing runs and no outcome waits to be read.
  bool is_idle() const;

  void FillHeartbeat(protocol::Heartbeat& heartbeat) const;
  const DispatcherCounters& counters();
  const SlotTable& slots() const { return slots_; }
  size_t running() const;

 private:
  using ConnectionPtr = std::shared_ptr<protocol::Connection>;

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

  // Fills free slots: pushed starts first, then bids.
  void FillSlots();
  bool StartPushed();
  bool GrantNext();
  void Run(const ConnectionPtr& connection, const protocol::Start& start);
  // Answers a start that was taken before; false when this one is new.
  bool AnswerCopy(protocol::Connection& connection,
                  const protocol::Start& start) const;
  static void SendUnknown(protocol::Connection& connection,
                          const std::string& request,
                          int32_t attempt);
  void Refuse(protocol::Connection& connection,
              const protocol::Start& start,
              std::string_view reason);
  // Gives back the slot of a grant that was not used.
  void ReturnSlot(const IssuedGrant& grant);
  void ReturnSlots(const std::vector<IssuedGrant>& grants);
  void OnExecutionEnded(const std::string& request);
  void RefusePushed();
  void Tick();
  void AccountSlots();
  Execution* Find(std::string_view request);

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
