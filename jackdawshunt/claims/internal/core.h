// State machine of claims. The time and the loop are given by the environment,
// so that tests run it with a paused clock.
//
// Per home, one call of the platform is in flight. Operations wait in a list;
// each round decides all of them on the last known document and writes the
// changes with one conditional update. The document stays in memory between
// rounds: a round without contention costs one write and no read.
//
// A write whose answer was lost may still take effect until the object has a
// version above the one that the write expected. Every later write or read of a
// higher version rules that out.
//
// Example:
//   Core core(client, environment, "entry-1", 64);
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

// Time within which an acquire is answered.
inline constexpr kernel::Duration kAcquireLimit = std::chrono::seconds(2);
inline constexpr kernel::Duration kTickPeriod = std::chrono::milliseconds(20);
// A claim without outcome is taken for running up to this age, in seconds;
// afterwards its process has probably died and its outcome is unknown.
inline constexpr int64_t kRunningSeconds = 600;

struct Environment {
  std::function<kernel::TimePoint()> now;
  std::function<int64_t()> unix_seconds;
  // Calls the function in a later turn.
  std::function<void(std::function<void()>)> post;
};

class Core {
 public:
  using Done = std::function<void(Verdict)>;

  Core(object_api::Client& client,
       Environment environment,
       std::string instance,
       int32_t homes);
  Core(const Core&) = delete;
  Core& operator=(const Core&) = delete;

  void Acquire(const ClaimRequest& claim, Done done);
  void Complete(std::string_view request, const RecordedAnswer& answer);
  void MarkUnknown(std::string_view request);
  void Release(std::string_view request);
  size_t pending_outcomes() const;

  // Answers acquires that reached the limit and repeats failed calls.
  void Tick();
  bool is_busy() const;  // Operations are pending.

 private:
  enum class Kind { kAcquire, kComplete, kMarkUnknown, kRelease };

  struct Operation {
    Kind kind = Kind::kAcquire;
    Claim claim;  // As to be written.
    Done done;    // kAcquire.
    kernel::TimePoint deadline;
    // Ids of the writes that claimed the key and may have taken effect.
    std::set<std::string> writes;
    bool in_batch = false;
    Kind batch_kind = Kind::kAcquire;  // Kind when the batch was made.
  };
  using Operations = std::list<Operation>;

  struct Home {
    std::string object;
    Operations operations;
    std::optional<Document> document;  // Last known, changed by the batch.
    uint64_t version = 0;
    // Version expected by a write that may still take effect.
    std::optional<uint64_t> uncertain;
    bool is_calling = false;
    std::string write;  // Id of the write in flight.
    int32_t failures = 0;
    kernel::TimePoint retry_at;
  };

  enum class Step { kSettled, kWrite, kNeedsRead };

  static std::string KeyHash(std::string_view workspace, std::string_view key);
  Home& HomeOf(std::string_view key_hash);
  void AddOutcome(std::string_view request,
                  Kind kind,
                  const RecordedAnswer& answer);

  void Pump(Home& home, bool is_fresh);
  void Read(Home& home);
  void OnRead(Home& home, const absl::StatusOr<object_api::Object>& object);
  void Decide(Home& home, bool is_fresh);
  Step Apply(Home& home, Operation& operation, bool is_fresh);
  Step ApplyAcquire(Home& home, Operation& operation, bool is_fresh);
  Step ApplyOutcome(Home& home, Operation& operation, bool is_fresh);
  void Write(Home& home);
  void OnWritten(Home& home, const absl::StatusOr<uint64_t>& version);
  void SettleBatch(Home& home);
  void ClearBatch(Home& home, bool may_be_written);
  void OnFailure(Home& home);
  void OnSuccess(Home& home);

  Verdict VerdictFor(const Claim& existing, const Operation& operation) const;
  void Answer(Operation& operation, Verdict verdict);
  // Ends the acquire as not run; true when the operation is to be removed. It
  // stays as a release when its claim may have been written.
  bool GiveUp(Operation& operation);
  void RejectUnavailable(Home& home);
  std::function<void()> Guarded(std::function<void()> callback) const;

  object_api::Client& client_;
  const Environment environment_;
  const std::string instance_;
  std::vector<Home> homes_;
  std::map<std::string, Claim, std::less<>> acquired_;  // By request.
  // Since when no call of the platform has succeeded.
  std::optional<kernel::TimePoint> failing_since_;
  // Expires with the object, so that late answers are dropped.
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace jackdawshunt::claims::internal

#endif  // JACKDAWSHUNT_CLAIMS_INTERNAL_CORE_H_
