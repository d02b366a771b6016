// State machine of claims. The environment provides the time and the loop, so
// that tests can run it with a paused clock.
//
// At most one call to the platform is in flight per shard. Operations wait in a
// list. Each round applies all of them to the last known document and writes
// the changes with one conditional update. The document stays in memory between
// rounds, so a round without contention costs one write and no read.
//
// A write whose answer was lost may still take effect until the object has a
// version above the one that the write expected. A later successful write, or a
// read of a higher version, rules that out.
//
// Example:
//   Core core(client, environment, "entry-1", kClaimShards);
//   core.Acquire(claim, done);
//   core.Tick();  // Every kTickPeriod while core.is_busy().
#ifndef JACKDAWSHUNT_CLAIMS_INTERNAL_CORE_H_
#define JACKDAWSHUNT_CLAIMS_INTERNAL_CORE_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "jackdawshunt/claims/claims.h"
#include "jackdawshunt/claims/internal/document.h"
#include "jackdawshunt/kernel/clock.h"
#include "jackdawshunt/object_api/client.h"

namespace jackdawshunt::claims::internal {

// Longest time until Acquire() calls back.
inline constexpr kernel::Duration kAcquireLimit = std::chrono::seconds(2);
inline constexpr kernel::Duration kTickPeriod = std::chrono::milliseconds(20);
// Age above which a claim without outcome is treated as abandoned, because its
// process has probably died: its outcome is then unknown.
inline constexpr int64_t kMaxExecutionSeconds = 600;

struct Environment {
  std::function<kernel::TimePoint()> now;
  std::function<int64_t()> unix_seconds;
  // Calls the function in a later turn of the loop.
  std::function<void(std::function<void()>)> post;
};

class Core {
 public:
  using Done = std::function<void(Verdict)>;

  Core(object_api::Client& client,
       Environment environment,
       std::string instance,
       int32_t shards);
  Core(const Core&) = delete;
  Core& operator=(const Core&) = delete;

  void Acquire(const ClaimRequest& claim, Done done);
  void Complete(std::string_view request, const RecordedAnswer& answer);
  void MarkUnknown(std::string_view request);
  void Release(std::string_view request);
  size_t pending_outcomes() const;

  // Rejects acquires that reached kAcquireLimit and repeats failed calls.
  void Tick();
  // Returns whether operations are pending.
  bool is_busy() const;

 private:
  enum class Kind { kAcquire, kComplete, kMarkUnknown, kRelease };

  struct Operation {
    Kind kind = Kind::kAcquire;
    Claim claim;  // Value to be written.
    Done done;    // Set with kAcquire.
    kernel::TimePoint deadline;
    // Ids of the writes that claimed the key and may have taken effect.
    std::set<std::string> write_ids;
    bool in_batch = false;             // Part of the write in flight.
    Kind batch_kind = Kind::kAcquire;  // Kind at the start of that write.
  };
  using Operations = std::list<Operation>;

  struct Shard {
    std::string object;
    Operations operations;
    // Last known state with the changes of the batch; absent until read.
    std::optional<Document> document;
    uint64_t version = 0;
    // Version expected by a write that may still take effect.
    std::optional<uint64_t> uncertain_version;
    bool has_call_in_flight = false;
    std::string write_id;  // Id of the write in flight.
    int32_t failures = 0;
    kernel::TimePoint retry_at;
  };

  // Result of deciding one operation.
  enum class Decision { kSettled, kWrite, kNeedsRead };

  static std::string KeyHash(std::string_view workspace, std::string_view key);
  Shard& ShardOf(std::string_view key_hash);
  void AddOutcome(std::string_view request,
                  Kind kind,
                  const RecordedAnswer& answer);

  // Starts the next round, unless a call is in flight or is to be retried
  // later. `is_fresh` tells that the document was just read or written.
  void StartRound(Shard& shard, bool is_fresh);
  void Read(Shard& shard);
  void OnRead(Shard& shard, const absl::StatusOr<object_api::Object>& object);
  // Decides the operations and writes the changes, or reads the object first.
  void DecideOperations(Shard& shard, bool is_fresh);
  // Applies one operation to the document.
  Decision Apply(Shard& shard, Operation& operation, bool is_fresh);
  Decision ApplyAcquire(Shard& shard, Operation& operation, bool is_fresh);
  Decision ApplyOutcome(Shard& shard, Operation& operation, bool is_fresh);
  void Write(Shard& shard);
  void OnWritten(Shard& shard, const absl::StatusOr<uint64_t>& version);
  // Removes the operations of a batch that was written.
  void SettleBatch(Shard& shard);
  // Marks the operations of a batch as waiting again, after a failed write.
  void ReturnBatchToList(Shard& shard, bool may_be_written);
  void OnFailure(Shard& shard);
  void OnSuccess(Shard& shard);

  Verdict VerdictFor(const Claim& existing, const Operation& operation) const;
  // Posts the callback of an acquire.
  void PostVerdict(Operation& operation, Verdict verdict);
  // Rejects an acquire. Returns true when the operation is to be removed; when
  // its claim may have been written, it becomes a release instead.
  bool RejectAcquire(Operation& operation);
  void RejectUnavailable(Shard& shard);
  // Returns a callback that does nothing after the destruction of this object.
  std::function<void()> IfAlive(std::function<void()> callback) const;

  object_api::Client& client_;
  const Environment environment_;
  const std::string instance_;
  std::vector<Shard> shards_;
  std::map<std::string, Claim, std::less<>> acquired_;  // By request.
  // Time of the first failure since the last successful call to the platform.
  std::optional<kernel::TimePoint> failing_since_;
  // Weak references to it expire with this object, so that late answers are
  // ignored.
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace jackdawshunt::claims::internal

#endif  // JACKDAWSHUNT_CLAIMS_INTERNAL_CORE_H_
