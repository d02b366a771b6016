// Ensures that a request with an idempotency key is executed at most once per
// workspace and key, over all entries, restarts and partitions, until its claim
// expires after 24 h. Claims are stored in the platform's objects
// claims/<shard> through conditional updates.
//
// A claim is written before the request is started. New claims and outcomes are
// batched: one conditional update is in flight per shard and process. When the
// answer to an update is lost, the object is read again and searched for the
// id of the write.
//
// Example:
//   claims::Claims claims(loop, client, "entry-1", claims::kClaimShards);
//   claims.Acquire({.workspace = "lodge",
//                   .key = key,
//                   .request = id,
//                   .fingerprint = fingerprint},
//                  [](const claims::Verdict& verdict) { Start(verdict); });
//   claims.Complete(id, answer);  // Or Release(id) if certainly not executed.
#ifndef JACKDAWSHUNT_CLAIMS_CLAIMS_H_
#define JACKDAWSHUNT_CLAIMS_CLAIMS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "jackdawshunt/base/error.h"
#include "jackdawshunt/kernel/event_loop.h"
#include "jackdawshunt/object_api/client.h"

namespace jackdawshunt::claims {

struct ClaimRequest {
  std::string workspace;
  std::string key;          // Idempotency-Key as sent.
  std::string request;      // Id of the request to be executed.
  std::string fingerprint;  // SHA-256 of method, path and body.
};

// Recorded answer of a completed claim. Bodies above 8 KiB are not recorded;
// `has_body` is then false.
struct RecordedAnswer {
  int32_t http_status = 200;
  std::string content_type;
  std::string body;
  bool has_body = true;
};

// Number of objects over which claims are spread. Part of the stored format:
// entries that use different numbers look for a key in different objects and
// could execute its call twice. Must not change while claims exist, not even
// for all entries at once: a change from 64 to 7 had two of three keyed calls
// executed again.
inline constexpr int32_t kClaimShards = 64;

enum class VerdictKind {
  kExecute,   // Claim acquired: the request may be started once.
  kReplay,    // Completed earlier: send the recorded answer.
  kRejected,  // Not to be executed; `error` has the reason.
};

struct Verdict {
  VerdictKind kind = VerdictKind::kRejected;
  RecordedAnswer answer;  // kReplay.
  // Set with kRejected: kDuplicateRequest (another request with the key is
  // being executed), kKeyReused (same key, other fingerprint), kOutcomeUnknown
  // (the outcome of the earlier request is unknown), kPlatformUnavailable (the
  // request must not be started; the claim was certainly not written, or will
  // be released).
  base::ErrorKind error = base::ErrorKind::kInternal;
};

// Not thread-safe; all calls and callbacks are on the thread of the loop.
class Claims {
 public:
  using Done = std::function<void(Verdict)>;

  Claims(kernel::EventLoop& loop,
         object_api::Client& client,
         std::string instance,
         int32_t shards);
  ~Claims();

  // Claims a key. Calls `done` once, in a later turn of the loop, within
  // kAcquireLimit (2 s).
  void Acquire(const ClaimRequest& claim, Done done);
  // Records the answer of an acquired claim, and retries until the platform has
  // stored it or the process ends. Unknown requests are ignored.
  void Complete(std::string_view request, const RecordedAnswer& answer);
  // Records in the same way that the outcome of an acquired claim is unknown.
  void MarkUnknown(std::string_view request);
  // Removes the claim of a request that was certainly not executed, so that the
  // key may be claimed again.
  void Release(std::string_view request);
  // Returns the number of outcomes not yet recorded, releases included; a
  // graceful shutdown waits for zero.
  size_t pending_outcomes() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace jackdawshunt::claims

#endif  // JACKDAWSHUNT_CLAIMS_CLAIMS_H_
