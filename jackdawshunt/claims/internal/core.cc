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
// Larger documents are not kept in memory between rounds: with many homes they
// would exceed the memory budget of a process.
constexpr size_t kMaxCachedBytes = size_t{128} << 10;
// Half of a SHA-256: 128 bits rule out collisions, the rest would only make
// the object larger.
constexpr size_t kKeyHashDigits = 32;

Verdict Rejected(base::ErrorKind error) {
  return {.kind = VerdictKind::kRejected, .error = error};
}

}  // namespace

Core::Core(object_api::Client& client,
           Environment environment,
           std::string instance,
           int32_t homes)
    : client_(client),
      environment_(std::move(environment)),
      instance_(std::move(instance)),
      homes_(static_cast<size_t>(std::max(1, homes))) {
  for (size_t i = 0; i < homes_.size(); ++i) {
    homes_[i].object = absl::StrCat("claims/", i);
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
  Home& home = HomeOf(operation.claim.key);
  home.operations.push_back(std::move(operation));
  // A later turn, so that the claims of one turn share an update.
  environment_.post(Guarded([this, &home] { Pump(home, /*is_fresh=*/false); }));
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
    if (answer.body.size() > kMaxRecordedBody) {
      operation.claim.answer.body.clear();
      operation.claim.answer.has_body = false;
    }
  } else if (kind == Kind::kMarkUnknown) {
    operation.claim.state = State::kUnknown;
  }
  Home& home = HomeOf(operation.claim.key);
  home.operations.push_back(std::move(operation));
  environment_.post(Guarded([this, &home] { Pump(home, /*is_fresh=*/false); }));
}

size_t Core::pending_outcomes() const {
  size_t count = 0;
  for (const Home& home : homes_) {
    for (const Operation& operation : home.operations) {
      count += operation.kind == Kind::kAcquire ? 0 : 1;
    }
  }
  return count;
}

bool Core::is_busy() const {
  return std::any_of(homes_.begin(), homes_.end(),
                     [](const Home& home) { return !home.operations.empty(); });
}

void Core::Tick() {
  const kernel::TimePoint now = environment_.now();
  for (Home& home : homes_) {
    home.operations.remove_if([&](Operation& operation) {
      return operation.kind == Kind::kAcquire && operation.deadline <= now &&
             GiveUp(operation);
    });
    Pump(home, /*is_fresh=*/false);
    if (home.operations.empty() && home.document.has_value() &&
        home.document->bytes() > kMaxCachedBytes) {
      home.document.reset();
    }
  }
}

std::string Core::KeyHash(std::string_view workspace, std::string_view key) {
  std::string text(workspace);
  text += '\0';
  text += key;
  return base::Sha256Hex(text).substr(0, kKeyHashDigits);
}

Core::Home& Core::HomeOf(std::string_view key_hash) {
  return homes_[XXH3_64bits(key_hash.data(), key_hash.size()) % homes_.size()];
}

void Core::Pump(Home& home, bool is_fresh) {
  if (home.is_calling || home.operations.empty() ||
      environment_.now() < home.retry_at) {
    return;
  }
  if (home.document.has_value()) {
    Decide(home, is_fresh);
  } else {
    Read(home);
  }
}

void Core::Read(Home& home) {
  home.document.reset();
  home.is_calling = true;
  client_.Get(home.object,
              [this, &home, alive = std::weak_ptr<bool>(alive_)](
                  const absl::StatusOr<object_api::Object>& object) {
                if (!alive.expired()) {
                  OnRead(home, object);
                }
              });
}

void Core::OnRead(Home& home,
                  const absl::StatusOr<object_api::Object>& object) {
  home.is_calling = false;
  if (absl::IsNotFound(object.status()) || (object.ok() && object->deleted)) {
    home.document.emplace();
    home.version = 0;
  } else if (!object.ok()) {
    OnFailure(home);
    return;
  } else {
    absl::StatusOr<Document> document = Document::Parse(object->value);
    if (!document.ok()) {
      base::Log(base::LogLevel::kError, "claims_unreadable",
                {{"object", home.object},
                 {"reason", std::string(document.status().message())}});
      OnFailure(home);
      return;
    }
    home.document = *std::move(document);
    home.version = object->version;
  }
  OnSuccess(home);
  Pump(home, /*is_fresh=*/true);
}

void Core::Decide(Home& home, bool is_fresh) {
  if (home.uncertain.has_value() && home.version > *home.uncertain) {
    home.uncertain.reset();
  }
  home.document->DropExpired(environment_.unix_seconds());
  home.write = absl::StrCat(instance_, "/", base::NewRequestId().substr(0, 16));
  // A second operation on a key waits for the next round: it may not be decided
  // on a change that is not written yet.
  std::set<std::string, std::less<>> touched;
  for (auto it = home.operations.begin(); it != home.operations.end();) {
    if (touched.contains(it->claim.key)) {
      ++it;
      continue;
    }
    const Step step = Apply(home, *it, is_fresh);
    if (step == Step::kNeedsRead) {
      ClearBatch(home, /*may_be_written=*/false);
      Read(home);
      return;
    }
    if (step == Step::kSettled) {
      it = home.operations.erase(it);
      continue;
    }
    touched.insert(it->claim.key);
    it->in_batch = true;
    it->batch_kind = it->kind;
    ++it;
  }
  if (!touched.empty()) {
    Write(home);
  }
}

Core::Step Core::Apply(Home& home, Operation& operation, bool is_fresh) {
  return operation.kind == Kind::kAcquire
             ? ApplyAcquire(home, operation, is_fresh)
             : ApplyOutcome(home, operation, is_fresh);
}

Core::Step Core::ApplyAcquire(Home& home, Operation& operation, bool is_fresh) {
  const Claim* existing = home.document->Find(operation.claim.key);
  if (existing != nullptr) {
    // Only a finished claim never changes again; others are decided on a
    // document that was just read.
    if (!is_fresh && existing->state != State::kDone) {
      return Step::kNeedsRead;
    }
    Answer(operation, VerdictFor(*existing, operation));
    return Step::kSettled;
  }
  Claim claim = operation.claim;
  claim.write = home.write;
  if (!home.document->Put(std::move(claim))) {
    if (!is_fresh) {
      return Step::kNeedsRead;
    }
    base::Log(base::LogLevel::kWarning, "claims_full",
              {{"object", home.object}, {"claims", home.document->size()}});
    return GiveUp(operation) ? Step::kSettled
                             : ApplyOutcome(home, operation, is_fresh);
  }
  operation.writes.insert(home.write);
  return Step::kWrite;
}

Core::Step Core::ApplyOutcome(Home& home, Operation& operation, bool is_fresh) {
  const Claim* existing = home.document->Find(operation.claim.key);
  const bool is_own =
      existing != nullptr && existing->request == operation.claim.request;
  if (!is_own || (operation.kind != Kind::kRelease &&
                  existing->state != State::kClaimed)) {
    if (!is_fresh) {
      return Step::kNeedsRead;
    }
    // An uncertain write could still add the claim; an update that changes
    // nothing but the version rules that out.
    return home.uncertain.has_value() ? Step::kWrite : Step::kSettled;
  }
  if (operation.kind == Kind::kRelease) {
    home.document->Erase(operation.claim.key);
    return Step::kWrite;
  }
  Claim claim = operation.claim;
  claim.write = home.write;
  if (!home.document->Put(claim)) {
    claim.answer.body.clear();
    claim.answer.content_type.clear();
    claim.answer.has_body = false;
    home.document->Put(std::move(claim));
  }
  return Step::kWrite;
}

void Core::Write(Home& home) {
  home.is_calling = true;
  client_.Put(home.object, home.document->Serialise(), home.version,
              [this, &home, alive = std::weak_ptr<bool>(alive_)](
                  const absl::StatusOr<uint64_t>& version) {
                if (!alive.expired()) {
                  OnWritten(home, version);
                }
              });
}

void Core::OnWritten(Home& home, const absl::StatusOr<uint64_t>& version) {
  home.is_calling = false;
  if (version.ok()) {
    home.version = *version;
    home.uncertain.reset();
    SettleBatch(home);
    OnSuccess(home);
    Pump(home, /*is_fresh=*/true);
    return;
  }
  home.document.reset();
  if (absl::IsAborted(version.status())) {
    ClearBatch(home, /*may_be_written=*/false);
    OnSuccess(home);
    Pump(home, /*is_fresh=*/false);
    return;
  }
  const bool not_written = absl::IsUnavailable(version.status()) ||
                           absl::IsInvalidArgument(version.status());
  if (!not_written) {
    home.uncertain = home.version;
  }
  ClearBatch(home, /*may_be_written=*/!not_written);
  OnFailure(home);
}

void Core::SettleBatch(Home& home) {
  home.operations.remove_if([&](Operation& operation) {
    if (!std::exchange(operation.in_batch, false) ||
        operation.batch_kind != operation.kind) {
      return false;  // Given up while the write was in flight.
    }
    if (operation.kind == Kind::kAcquire) {
      Answer(operation, {.kind = VerdictKind::kExecute});
    }
    return true;
  });
}

void Core::ClearBatch(Home& home, bool may_be_written) {
  for (Operation& operation : home.operations) {
    operation.in_batch = false;
    if (!may_be_written) {
      operation.writes.erase(home.write);
    }
  }
}

void Core::OnFailure(Home& home) {
  const kernel::TimePoint now = environment_.now();
  const int32_t doublings = std::min(home.failures++, kMaxDoublings);
  home.retry_at = now + kFirstBackoff * (1 << doublings);
  failing_since_ = failing_since_.value_or(now);
  if (now - *failing_since_ >= kAcquireLimit) {
    RejectUnavailable(home);
  }
}

void Core::OnSuccess(Home& home) {
  home.failures = 0;
  home.retry_at = {};
  failing_since_.reset();
}

// During a known outage, new calls do not wait for the limit.
void Core::RejectUnavailable(Home& home) {
  home.operations.remove_if([this](Operation& operation) {
    return operation.kind == Kind::kAcquire && GiveUp(operation);
  });
}

Verdict Core::VerdictFor(const Claim& existing,
                         const Operation& operation) const {
  if (existing.request == operation.claim.request &&
      operation.writes.contains(existing.write)) {
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
      existing.time + kRunningSeconds > environment_.unix_seconds();
  return Rejected(is_running ? base::ErrorKind::kDuplicateRequest
                             : base::ErrorKind::kOutcomeUnknown);
}

void Core::Answer(Operation& operation, Verdict verdict) {
  if (verdict.kind == VerdictKind::kExecute) {
    acquired_.insert_or_assign(operation.claim.request, operation.claim);
  }
  environment_.post(Guarded([done = std::move(operation.done),
                             verdict = std::move(verdict)] { done(verdict); }));
}

bool Core::GiveUp(Operation& operation) {
  Answer(operation, Rejected(base::ErrorKind::kPlatformUnavailable));
  operation.kind = Kind::kRelease;
  return operation.writes.empty();
}

std::function<void()> Core::Guarded(std::function<void()> callback) const {
  return [alive = std::weak_ptr<bool>(alive_), callback = std::move(callback)] {
    if (!alive.expired()) {
      callback();
    }
  };
}

}  // namespace jackdawshunt::claims::internal
