#include "jackdawshunt/claims/internal/core.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "jackdawshunt/base/crypto.h"
#include "jackdawshunt/base/id.h"
#include "jackdawshunt/base/log.h"

namespace jackdawshunt::claims::internal {
namespace {

constexpr kernel::Duration kFirstBackoff = std::chrono::milliseconds(20);
constexpr int32_t kMaxDoublings = 5;  // Up to 640 ms.
// Larger documents are not kept in memory while no operation is pending,
// because those of many shards would exceed the memory budget of a process.
constexpr size_t kMaxCachedBytes = size_t{128} << 10;
// Half of a SHA-256: 128 bits are enough against collisions, and more would
// only make the object larger.
constexpr size_t kKeyHashDigits = 32;

Verdict Rejected(base::ErrorKind error) {
  return {.kind = VerdictKind::kRejected, .error = error};
}

}  // namespace

Core::Core(object_api::Client& client,
           Environment environment,
           std::string instance,
           int32_t shards)
    : client_(client),
      environment_(std::move(environment)),
      instance_(std::move(instance)),
      shards_(static_cast<size_t>(std::max(1, shards))) {
  for (size_t i = 0; i < shards_.size(); ++i) {
    shards_[i].object = absl::StrCat("claims/", i);
  }
}

void Core::Acquire(const ClaimRequest& claim, Done done) {
  Operation operation;
  operation.claim = {.key = KeyHash(claim.workspace, claim.key),
                     .workspace = claim.workspace,
                     .request = claim.request,
                     .fingerprint = claim.fingerprint,
                     .time = environment_.unix_seconds()};
  operation.done = std::move(done);
  operation.deadline = environment_.now() + kAcquireLimit;
  Shard& shard = ShardOf(operation.claim.key);
  shard.operations.push_back(std::move(operation));
  // Starts in a later turn, so that the claims of one turn share an update.
  environment_.post(
      IfAlive([this, &shard] { StartRound(shard, /*is_fresh=*/false); }));
}

void Core::Complete(std::string_view request, const RecordedAnswer& answer) {
  AddOutcome(request, Kind::kComplete, answer);
}

void Core::MarkUnknown(std::string_view request) {
  AddOutcome(request, Kind::kMarkUnknown, {});
}

void Core::Release(std::string_view request) {
  AddOutcome(request, Kind::kRelease, {});
}

void Core::AddOutcome(std::string_view request,
                      Kind kind,
                      const RecordedAnswer& answer) {
  const auto found = acquired_.find(request);
  if (found == acquired_.end()) {
    return;
  }
  Operation operation;
  operation.kind = kind;
  operation.claim = std::move(found->second);
  acquired_.erase(found);
  if (kind == Kind::kComplete) {
    operation.claim.state = State::kDone;
    operation.claim.answer = answer;
    if (answer.body.size() > kMaxRecordedBodyBytes) {
      operation.claim.answer.body.clear();
      operation.claim.answer.has_body = false;
    }
  } else if (kind == Kind::kMarkUnknown) {
    operation.claim.state = State::kUnknown;
  }
  Shard& shard = ShardOf(operation.claim.key);
  shard.operations.push_back(std::move(operation));
  environment_.post(
      IfAlive([this, &shard] { StartRound(shard, /*is_fresh=*/false); }));
}

size_t Core::pending_outcomes() const {
  size_t count = 0;
  for (const Shard& shard : shards_) {
    for (const Operation& operation : shard.operations) {
      count += operation.kind == Kind::kAcquire ? 0 : 1;
    }
  }
  return count;
}

bool Core::is_busy() const {
  return std::any_of(shards_.begin(), shards_.end(), [](const Shard& shard) {
    return !shard.operations.empty();
  });
}

void Core::Tick() {
  const kernel::TimePoint now = environment_.now();
  for (Shard& shard : shards_) {
    shard.operations.remove_if([&](Operation& operation) {
      return operation.kind == Kind::kAcquire && operation.deadline <= now &&
             RejectAcquire(operation);
    });
    StartRound(shard, /*is_fresh=*/false);
    if (shard.operations.empty() && shard.document.has_value() &&
        shard.document->bytes() > kMaxCachedBytes) {
      shard.document.reset();
    }
  }
}

std::string Core::KeyHash(std::string_view workspace, std::string_view key) {
  std::string text(workspace);
  text += '\0';
  text += key;
  return base::Sha256Hex(text).substr(0, kKeyHashDigits);
}

Core::Shard& Core::ShardOf(std::string_view key_hash) {
  return shards_[XXH3_64bits(key_hash.data(), key_hash.size()) %
                 shards_.size()];
}

void Core::StartRound(Shard& shard, bool is_fresh) {
  if (shard.has_call_in_flight || shard.operations.empty() ||
      environment_.now() < shard.retry_at) {
    return;
  }
  if (shard.document.has_value()) {
    DecideOperations(shard, is_fresh);
  } else {
    Read(shard);
  }
}

void Core::Read(Shard& shard) {
  shard.document.reset();
  shard.has_call_in_flight = true;
  client_.Get(shard.object,
              [this, &shard, alive = std::weak_ptr<bool>(alive_)](
                  const absl::StatusOr<object_api::Object>& object) {
                if (!alive.expired()) {
                  OnRead(shard, object);
                }
              });
}

void Core::OnRead(Shard& shard,
                  const absl::StatusOr<object_api::Object>& object) {
  shard.has_call_in_flight = false;
  if (absl::IsNotFound(object.status()) || (object.ok() && object->deleted)) {
    shard.document.emplace();
    shard.version = 0;
  } else if (!object.ok()) {
    OnFailure(shard);
    return;
  } else {
    absl::StatusOr<Document> document = Document::Parse(object->value);
    if (!document.ok()) {
      base::Log(base::LogLevel::kError, "claims_unreadable",
                {{"object", shard.object},
                 {"reason", std::string(document.status().message())}});
      OnFailure(shard);
      return;
    }
    shard.document = *std::move(document);
    shard.version = object->version;
  }
  OnSuccess(shard);
  StartRound(shard, /*is_fresh=*/true);
}

void Core::DecideOperations(Shard& shard, bool is_fresh) {
  if (shard.uncertain_version.has_value() &&
      shard.version > *shard.uncertain_version) {
    shard.uncertain_version.reset();
  }
  shard.document->RemoveExpired(environment_.unix_seconds());
  shard.write_id =
      absl::StrCat(instance_, "/", base::NewRequestId().substr(0, 16));
  // A second operation on a key waits for the next round, because it must not
  // be decided on a change that is not written yet.
  std::set<std::string, std::less<>> changed_keys;
  for (auto it = shard.operations.begin(); it != shard.operations.end();) {
    if (changed_keys.contains(it->claim.key)) {
      ++it;
      continue;
    }
    const Decision decision = Apply(shard, *it, is_fresh);
    if (decision == Decision::kNeedsRead) {
      ReturnBatchToList(shard, /*may_be_written=*/false);
      Read(shard);
      return;
    }
    if (decision == Decision::kSettled) {
      it = shard.operations.erase(it);
      continue;
    }
    changed_keys.insert(it->claim.key);
    it->in_batch = true;
    it->batch_kind = it->kind;
    ++it;
  }
  if (!changed_keys.empty()) {
    Write(shard);
  }
}

Core::Decision Core::Apply(Shard& shard, Operation& operation, bool is_fresh) {
  return operation.kind == Kind::kAcquire
             ? ApplyAcquire(shard, operation, is_fresh)
             : ApplyOutcome(shard, operation, is_fresh);
}

Core::Decision Core::ApplyAcquire(Shard& shard,
                                  Operation& operation,
                                  bool is_fresh) {
  const Claim* existing = shard.document->Find(operation.claim.key);
  if (existing != nullptr) {
    // A completed claim no longer changes. Others are decided only on a
    // document that was just read or written.
    if (!is_fresh && existing->state != State::kDone) {
      return Decision::kNeedsRead;
    }
    PostVerdict(operation, VerdictFor(*existing, operation));
    return Decision::kSettled;
  }
  Claim claim = operation.claim;
  claim.write_id = shard.write_id;
  if (!shard.document->Put(std::move(claim))) {
    if (!is_fresh) {
      return Decision::kNeedsRead;
    }
    base::Log(base::LogLevel::kWarning, "claims_full",
              {{"object", shard.object}, {"claims", shard.document->size()}});
    return RejectAcquire(operation) ? Decision::kSettled
                                    : ApplyOutcome(shard, operation, is_fresh);
  }
  operation.write_ids.insert(shard.write_id);
  return Decision::kWrite;
}

Core::Decision Core::ApplyOutcome(Shard& shard,
                                  Operation& operation,
                                  bool is_fresh) {
  const Claim* existing = shard.document->Find(operation.claim.key);
  const bool is_own =
      existing != nullptr && existing->request == operation.claim.request;
  if (!is_own || (operation.kind != Kind::kRelease &&
                  existing->state != State::kClaimed)) {
    if (!is_fresh) {
      return Decision::kNeedsRead;
    }
    // A write with an unknown result could still add the claim. An update that
    // changes only the version rules that out.
    return shard.uncertain_version.has_value() ? Decision::kWrite
                                               : Decision::kSettled;
  }
  if (operation.kind == Kind::kRelease) {
    shard.document->Erase(operation.claim.key);
    return Decision::kWrite;
  }
  Claim claim = operation.claim;
  claim.write_id = shard.write_id;
  if (!shard.document->Put(claim)) {
    claim.answer.body.clear();
    claim.answer.content_type.clear();
    claim.answer.has_body = false;
    shard.document->Put(std::move(claim));
  }
  return Decision::kWrite;
}

void Core::Write(Shard& shard) {
  shard.has_call_in_flight = true;
  client_.Put(shard.object, shard.document->Serialise(), shard.version,
              [this, &shard, alive = std::weak_ptr<bool>(alive_)](
                  const absl::StatusOr<uint64_t>& version) {
                if (!alive.expired()) {
                  OnWritten(shard, version);
                }
              });
}

void Core::OnWritten(Shard& shard, const absl::StatusOr<uint64_t>& version) {
  shard.has_call_in_flight = false;
  if (version.ok()) {
    shard.version = *version;
    shard.uncertain_version.reset();
    SettleBatch(shard);
    OnSuccess(shard);
    StartRound(shard, /*is_fresh=*/true);
    return;
  }
  shard.document.reset();
  if (absl::IsAborted(version.status())) {
    ReturnBatchToList(shard, /*may_be_written=*/false);
    OnSuccess(shard);
    StartRound(shard, /*is_fresh=*/false);
    return;
  }
  const bool not_written = absl::IsUnavailable(version.status()) ||
                           absl::IsInvalidArgument(version.status());
  if (!not_written) {
    shard.uncertain_version = shard.version;
  }
  ReturnBatchToList(shard, /*may_be_written=*/!not_written);
  OnFailure(shard);
}

void Core::SettleBatch(Shard& shard) {
  shard.operations.remove_if([&](Operation& operation) {
    if (!std::exchange(operation.in_batch, false) ||
        operation.batch_kind != operation.kind) {
      return false;  // Rejected while the write was in flight.
    }
    if (operation.kind == Kind::kAcquire) {
      PostVerdict(operation, {.kind = VerdictKind::kExecute});
    }
    return true;
  });
}

void Core::ReturnBatchToList(Shard& shard, bool may_be_written) {
  for (Operation& operation : shard.operations) {
    operation.in_batch = false;
    if (!may_be_written) {
      operation.write_ids.erase(shard.write_id);
    }
  }
}

void Core::OnFailure(Shard& shard) {
  const kernel::TimePoint now = environment_.now();
  const int32_t doublings = std::min(shard.failures++, kMaxDoublings);
  shard.retry_at = now + kFirstBackoff * (1 << doublings);
  failing_since_ = failing_since_.value_or(now);
  if (now - *failing_since_ >= kAcquireLimit) {
    RejectUnavailable(shard);
  }
}

void Core::OnSuccess(Shard& shard) {
  shard.failures = 0;
  shard.retry_at = {};
  failing_since_.reset();
}

// Rejects all acquires at once, so that they do not wait for the limit during a
// known outage.
void Core::RejectUnavailable(Shard& shard) {
  shard.operations.remove_if([this](Operation& operation) {
    return operation.kind == Kind::kAcquire && RejectAcquire(operation);
  });
}

Verdict Core::VerdictFor(const Claim& existing,
                         const Operation& operation) const {
  if (existing.request == operation.claim.request &&
      operation.write_ids.contains(existing.write_id)) {
    return {.kind = VerdictKind::kExecute};
  }
  if (existing.fingerprint != operation.claim.fingerprint) {
    return Rejected(base::ErrorKind::kKeyReused);
  }
  if (existing.state == State::kDone) {
    return {.kind = VerdictKind::kReplay, .answer = existing.answer};
  }
  const bool is_running =
      existing.state == State::kClaimed &&
      existing.time + kMaxExecutionSeconds > environment_.unix_seconds();
  return Rejected(is_running ? base::ErrorKind::kDuplicateRequest
                             : base::ErrorKind::kOutcomeUnknown);
}

void Core::PostVerdict(Operation& operation, Verdict verdict) {
  if (verdict.kind == VerdictKind::kExecute) {
    acquired_.insert_or_assign(operation.claim.request, operation.claim);
  }
  environment_.post(IfAlive([done = std::move(operation.done),
                             verdict = std::move(verdict)] { done(verdict); }));
}

bool Core::RejectAcquire(Operation& operation) {
  PostVerdict(operation, Rejected(base::ErrorKind::kPlatformUnavailable));
  operation.kind = Kind::kRelease;
  return operation.write_ids.empty();
}

std::function<void()> Core::IfAlive(std::function<void()> callback) const {
  return [alive = std::weak_ptr<bool>(alive_), callback = std::move(callback)] {
    if (!alive.expired()) {
      callback();
    }
  };
}

}  // namespace jackdawshunt::claims::internal
