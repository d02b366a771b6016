// Idempotency claims: at most one run per workspace and key, over all entries,
// restarts and partitions, by conditional updates of objects claims/<home>.
//
// A claim is appended before the request is started. Appends and outcomes are
// batched per home: one conditional update is in flight per home and process. A
// lost answer to an update is settled by reading the object back and looking
// for the own write id.
//
// Example:
//   claims::Claims claims(loop, client, "entry-1", 64);
//   claims.Acquire({.workspace = "lodge", .key = key, .request = id,
//   .fingerprint = f},
//                  [](claims::Verdict verdict) { ... });
//   claims.Complete(id, answer);   // or claims.Release(id) when certainly not
//   run
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
  std::string request;      // Id of the request that wants to run.
  std::string fingerprint;  // SHA-256 of method, path and body.
};

// Answer that was recorded for a completed claim. Bodies above 8 KiB are not
// recorded; `has_body` is then false.
struct RecordedAnswer {
  int32_t http_status = 200;
  std::string content_type;
  std::string body;
  bool has_body = true;
};

// Objects that the claims are spread over. Part of the stored format: entries
// that use different numbers look for a key in different objects, and its call
// could run twice. At one number for all, a trial that changed it from 64 to 7
// ran two of three keyed calls again.
inline constexpr int32_t kClaimShards = 64;

enum class VerdictKind {
  kExecute,   // The claim is ours: the request may be started once.
  kReplay,    // Completed before: send the recorded answer.
  kRejected,  // Not run under this request; `error` says why.
};

struct Verdict {
  VerdictKind kind = VerdictKind::kRejected;
  RecordedAnswer answer;  // kReplay.
  // kRejected: kDuplicateRequest (another run holds the claim), kKeyReused
  // (same key, other fingerprint), kOutcomeUnknown (the earlier run's outcome
  // is unknown), kPlatformUnavailable (certainly not claimed, or given up).
  base::ErrorKind error = base::ErrorKind::kInternal;
};

class Claims {
 public:
  using Done = std::function<void(Verdict)>;

  Claims(kernel::EventLoop& loop,
         object_api::Client& client,
         std::string instance,
         int32_t homes);
  ~Claims();

  // Calls `done` once, in a later turn of the loop, within kAcquireLimit (2 s).
  void Acquire(const ClaimRequest& claim, Done done);
  // Records the outcome of an acquired claim; retried until the platform
  // takes it or the process ends.
  void Complete(std::string_view request, const RecordedAnswer& answer);
  void MarkUnknown(std::string_view request);
  // The request was certainly not run: the key may be claimed again.
  void Release(std::string_view request);
  // Outcomes not yet recorded; a graceful shutdown waits for zero.
  size_t pending_outcomes() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace jackdawshunt::claims

#endif  // JACKDAWSHUNT_CLAIMS_CLAIMS_H_
