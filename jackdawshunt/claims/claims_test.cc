#include "jackdawshunt/claims/claims.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <deque>
#include <memory>
#include <set>

#include <rapidcheck/gtest.h>

#include "jackdawshunt/claims/internal/core.h"
#include "jackdawshunt/claims/internal/document.h"

namespace jackdawshunt::claims {
namespace {

using internal::Claim;
using internal::Core;
using internal::Document;
using internal::State;
using std::chrono::milliseconds;

// Store of the platform in which every call waits until the test continues it.
struct FakeStore {
  struct Call {
    size_t instance;  // The caller.
    bool is_write;
    std::function<void()> apply;   // Takes effect at the store.
    std::function<void()> answer;  // Delivers the store's answer.
    std::function<void(absl::Status)> fail;
    bool applied = false;
    bool answered = false;
  };

  std::map<std::string, object_api::Object> objects;
  uint64_t revision = 0;
  std::deque<std::shared_ptr<Call>> calls;
  size_t writes = 0;
  size_t reads = 0;
  size_t bytes = 0;  // Total size of the values written and read.
};

class FakeClient final : public object_api::Client {
 public:
  FakeClient(kernel::EventLoop& loop, FakeStore& store, size_t instance)
      : Client(loop, {}), store_(store), instance_(instance) {}

  void Get(const std::string& key,
           object_api::Callback<object_api::Object> done) override {
    auto result = std::make_shared<absl::StatusOr<object_api::Object>>(
        absl::NotFoundError("no such object"));
    ++store_.reads;
    store_.calls.push_back(std::make_shared<FakeStore::Call>(
        FakeStore::Call{instance_, /*is_write=*/false,
                        [&store = store_, key, result] {
                          const auto found = store.objects.find(key);
                          if (found != store.objects.end()) {
                            *result = found->second;
                            store.bytes += found->second.value.size();
                          }
                        },
                        [done, result] { done(*result); },
                        [done](const absl::Status& status) { done(status); }}));
  }

  void Put(const std::string& key,
           const std::string& value,
           std::optional<uint64_t> expected,
           object_api::Callback<uint64_t> done) override {
    auto result = std::make_shared<absl::StatusOr<uint64_t>>(
        absl::AbortedError("other version"));
    ++store_.writes;
    store_.calls.push_back(std::make_shared<FakeStore::Call>(FakeStore::Call{
        instance_, /*is_write=*/true,
        [&store = store_, key, value, expected, result] {
          object_api::Object& object = store.objects[key];
          if (object.version == expected) {
            object = {.key = key, .version = ++store.revision, .value = value};
            store.bytes += value.size();
            *result = object.version;
          } else if (object.version == 0) {
            store.objects.erase(key);
          }
        },
        [done, result] { done(*result); },
        [done](const absl::Status& status) { done(status); }}));
  }

 private:
  FakeStore& store_;
  size_t instance_;
};

constexpr size_t kInstances = 3;
constexpr int kKeys = 3;

// Instances of the state machine over one store, with a paused clock. The
// oracle records the keys whose requests may have been executed.
class Fleet {
 public:
  Fleet() {
    for (size_t i = 0; i < kInstances; ++i) {
      Restart(i);
    }
  }

  // Restarts the process without state; earlier calls are not answered.
  void Restart(size_t instance) {
    std::erase_if(running_, [&](const auto& run) {
      return run.second.instance == instance;
    });
    cores_[instance].reset();
    for (const auto& call : store.calls) {
      call->answered = call->answered || call->instance == instance;
    }
    clients_[instance] = std::make_unique<FakeClient>(loop_, store, instance);
    cores_[instance] = std::make_unique<Core>(
        *clients_[instance],
        internal::Environment{.now = [this] { return clock.Now(); },
                              .unix_seconds = [this] { return UnixSeconds(); },
                              .post =
                                  [this](std::function<void()> callback) {
                                    posted_.push_back(std::move(callback));
                                  }},
        "entry-" + std::to_string(instance), /*shards=*/1);
  }

  // Returns the index of the verdict in `verdicts`.
  size_t Acquire(size_t instance, int key, std::string fingerprint = "f") {
    const size_t number = verdicts.size();
    const std::string request = "request-" + std::to_string(number);
    verdicts.emplace_back();
    deadlines.push_back(clock.Now() + internal::kAcquireLimit);
    cores_[instance]->Acquire(
        {.workspace = "w",
         .key = "key-" + std::to_string(key),
         .request = request,
         .fingerprint = std::move(fingerprint)},
        [this, number, key, instance, request](const Verdict& verdict) {
          RC_ASSERT(!verdicts[number].has_value());
          verdicts[number] = verdict;
          if (verdict.kind == VerdictKind::kExecute) {
            // No request with the key was executed before, or it was released.
            RC_ASSERT(used_keys_.insert(key).second);
            running_[request] = {instance, key};
          }
        });
    return number;
  }

  enum class Outcome { kComplete, kUnknown, kRelease };

  // Ends a request that the instance executes, if there is one.
  void End(size_t instance, Outcome outcome) {
    const auto run = std::find_if(
        running_.begin(), running_.end(),
        [&](const auto& entry) { return entry.second.instance == instance; });
    if (run == running_.end()) {
      return;
    }
    Core& core = *cores_[instance];
    switch (outcome) {
      case Outcome::kComplete:
        core.Complete(run->first, {.http_status = 201, .body = run->first});
        break;
      case Outcome::kUnknown:
        core.MarkUnknown(run->first);
        break;
      case Outcome::kRelease:
        used_keys_.erase(run->second.key);
        core.Release(run->first);
        break;
    }
    running_.erase(run);
  }

  void Tick(kernel::Duration by) {
    clock.Advance(by);
    for (const auto& core : cores_) {
      core->Tick();
    }
    RunPosted();
    for (size_t i = 0; i < verdicts.size(); ++i) {
      // Acquires of a restarted instance are never answered.
      RC_ASSERT(verdicts[i].has_value() || clock.Now() < deadlines[i] ||
                lost_acquires_.contains(i));
    }
  }

  void LoseAcquiresOf(size_t instance, const std::vector<size_t>& owners) {
    for (size_t i = 0; i < owners.size(); ++i) {
      if (owners[i] == instance && !verdicts[i].has_value()) {
        lost_acquires_.insert(i);
      }
    }
  }

  enum class Fate {
    kAnswer,
    kApplyOnly,
    kLoseAnswer,
    kLoseLater,
    kUnavailable
  };

  // Continues one waiting call with the given result.
  void Step(size_t index, Fate fate) {
    RunPosted();
    if (store.calls.empty()) {
      return;
    }
    const auto position = store.calls.begin() +
                          static_cast<ptrdiff_t>(index % store.calls.size());
    const std::shared_ptr<FakeStore::Call> call = *position;
    const bool may_refuse = !call->applied && !call->answered;
    if (fate == Fate::kUnavailable && may_refuse) {
      store.calls.erase(position);
      call->fail(absl::UnavailableError("outage"));
    } else if (fate == Fate::kLoseLater && call->is_write && may_refuse) {
      // The caller times out; the write may still arrive.
      call->answered = true;
      call->fail(absl::UnknownError("no answer"));
    } else {
      if (!std::exchange(call->applied, true)) {
        call->apply();
      }
      if (fate != Fate::kApplyOnly) {
        store.calls.erase(position);
        if (!call->answered && fate == Fate::kLoseAnswer) {
          call->fail(call->is_write ? absl::UnknownError("answer lost")
                                    : absl::DeadlineExceededError("lost"));
        } else if (!call->answered) {
          call->answer();
        }
      }
    }
    RunPosted();
  }

  // A key may be used again after its claim has expired.
  void ExpireClaims() {
    clock.Advance(std::chrono::seconds(internal::kExpirySeconds));
    used_keys_.clear();
  }

  // Answers all calls until nothing is pending.
  void Settle() {
    for (int i = 0; i < 2000 && IsBusy(); ++i) {
      Step(0, Fate::kAnswer);
      if (store.calls.empty()) {
        Tick(milliseconds(20));
      }
    }
  }

  bool IsBusy() {
    RunPosted();
    return !store.calls.empty() ||
           std::any_of(cores_.begin(), cores_.end(),
                       [](const auto& core) { return core->is_busy(); });
  }

  int64_t UnixSeconds() const {
    return std::chrono::duration_cast<std::chrono::seconds>(
               clock.Now().time_since_epoch())
        .count();
  }

  Document Stored() const {
    const auto found = store.objects.find("claims/0");
    return found == store.objects.end() ? Document()
                                        : *Document::Parse(found->second.value);
  }

  size_t pending_outcomes(size_t instance) const {
    return cores_[instance]->pending_outcomes();
  }
  bool IsUsed(int key) const { return used_keys_.contains(key); }

  FakeStore store;
  kernel::ManualClock clock;
  std::vector<std::optional<Verdict>> verdicts;
  std::vector<kernel::TimePoint> deadlines;

 private:
  struct Running {
    size_t instance;
    int key;
  };

  void RunPosted() {
    while (!posted_.empty()) {
      const auto callback = std::move(posted_.front());
      posted_.pop_front();
      callback();
    }
  }

  kernel::EventLoop loop_;
  std::deque<std::function<void()>> posted_;
  std::array<std::unique_ptr<FakeClient>, kInstances> clients_;
  std::array<std::unique_ptr<Core>, kInstances> cores_;
  std::set<int> used_keys_;
  std::map<std::string, Running> running_;
  std::set<size_t> lost_acquires_;
};

using Fate = Fleet::Fate;
using Outcome = Fleet::Outcome;

enum class Act { kAcquire, kEnd, kStep, kTick, kRestart };

struct Action {
  Act act;
  size_t instance;
  int key;
  size_t call;
  Fate fate;
  Outcome outcome;
};

void showValue(const Action& action, std::ostream& os) {
  os << static_cast<int>(action.act) << '(' << action.instance << ' '
     << action.key << ' ' << action.call << ' ' << static_cast<int>(action.fate)
     << ' ' << static_cast<int>(action.outcome) << ')';
}

rc::Gen<Action> ActionGen() {
  return rc::gen::construct<Action>(
      rc::gen::weightedElement<Act>({{5, Act::kAcquire},
                                     {3, Act::kEnd},
                                     {16, Act::kStep},
                                     {4, Act::kTick},
                                     {1, Act::kRestart}}),
      rc::gen::inRange<size_t>(0, kInstances), rc::gen::inRange(0, kKeys),
      rc::gen::inRange<size_t>(0, 6),
      rc::gen::weightedElement<Fate>({{8, Fate::kAnswer},
                                      {2, Fate::kApplyOnly},
                                      {3, Fate::kLoseAnswer},
                                      {3, Fate::kLoseLater},
                                      {3, Fate::kUnavailable}}),
      rc::gen::element(Outcome::kComplete, Outcome::kUnknown,
                       Outcome::kRelease));
}

// Guards against two executions of one key when instances race, answers are
// lost, writes arrive late, the platform is down and processes restart; against
// an acquire without answer at its limit; and against a claim without owner.
RC_GTEST_PROP(ClaimsPropertyTest, ExecutesKeyAtMostOnceWithoutRelease, ()) {
  const auto actions = *rc::gen::container<std::vector<Action>>(ActionGen());
  Fleet fleet;
  std::vector<size_t> owners;
  bool restarted = false;
  for (const Action& action : actions) {
    switch (action.act) {
      case Act::kAcquire:
        fleet.Acquire(action.instance, action.key);
        owners.push_back(action.instance);
        break;
      case Act::kEnd:
        fleet.End(action.instance, action.outcome);
        break;
      case Act::kStep:
        fleet.Step(action.call, action.fate);
        break;
      case Act::kTick:
        fleet.Tick(milliseconds(action.call == 0 ? 2000 : 50));
        break;
      case Act::kRestart:
        restarted = true;
        fleet.LoseAcquiresOf(action.instance, owners);
        fleet.Restart(action.instance);
        break;
    }
  }
  fleet.Settle();
  RC_ASSERT(!fleet.IsBusy());
  for (size_t i = 0; i < kInstances; ++i) {
    RC_ASSERT(fleet.pending_outcomes(i) == 0U);
  }
  if (restarted) {
    return;  // A claim may remain after its process ended.
  }
  size_t used = 0;
  for (int key = 0; key < kKeys; ++key) {
    used += fleet.IsUsed(key) ? 1 : 0;
  }
  RC_ASSERT(fleet.Stored().size() == used);
}

Verdict AcquireNow(Fleet& fleet, size_t instance, std::string fingerprint) {
  const size_t number = fleet.Acquire(instance, 0, std::move(fingerprint));
  fleet.Settle();
  return fleet.verdicts[number].value();
}

// Guards against wrong answers to later calls with the same key.
TEST(ClaimsTest, LaterCallsGetTheStateOfTheFirst) {
  Fleet fleet;
  EXPECT_EQ(AcquireNow(fleet, 0, "f").kind, VerdictKind::kExecute);
  EXPECT_EQ(AcquireNow(fleet, 1, "f").error,
            base::ErrorKind::kDuplicateRequest);
  EXPECT_EQ(AcquireNow(fleet, 1, "other").error, base::ErrorKind::kKeyReused);
  fleet.End(0, Outcome::kComplete);
  fleet.Settle();
  const Verdict replay = AcquireNow(fleet, 1, "f");
  EXPECT_EQ(replay.kind, VerdictKind::kReplay);
  EXPECT_EQ(replay.answer.http_status, 201);
  EXPECT_EQ(replay.answer.body, "request-0");
  fleet.ExpireClaims();
  EXPECT_EQ(AcquireNow(fleet, 2, "f").kind, VerdictKind::kExecute);
}

// Guards against a key that counts as being executed indefinitely after its
// process died.
TEST(ClaimsTest, ClaimOfDeadProcessBecomesUnknown) {
  Fleet fleet;
  AcquireNow(fleet, 0, "f");
  fleet.Restart(0);
  EXPECT_EQ(AcquireNow(fleet, 0, "f").error,
            base::ErrorKind::kDuplicateRequest);
  fleet.clock.Advance(std::chrono::minutes(10));
  EXPECT_EQ(AcquireNow(fleet, 1, "f").error, base::ErrorKind::kOutcomeUnknown);
}

// Guards against an acquire that timed out and whose late write blocks the key.
TEST(ClaimsTest, ReleasesClaimOfTimedOutAcquire) {
  Fleet fleet;
  const size_t number = fleet.Acquire(0, 0);
  fleet.Step(0, Fate::kAnswer);     // The read.
  fleet.Step(0, Fate::kApplyOnly);  // The write takes effect.
  fleet.Tick(internal::kAcquireLimit);
  EXPECT_EQ(fleet.verdicts[number]->error,
            base::ErrorKind::kPlatformUnavailable);
  EXPECT_EQ(fleet.pending_outcomes(0), 1U);
  EXPECT_EQ(fleet.Stored().size(), 1U);
  fleet.Settle();
  EXPECT_EQ(fleet.pending_outcomes(0), 0U);
  EXPECT_EQ(AcquireNow(fleet, 1, "f").kind, VerdictKind::kExecute);
}

// Guards against a release that completes while the write of the claim may
// still arrive.
TEST(ClaimsTest, LateWriteOfTimedOutAcquireHasNoEffect) {
  Fleet fleet;
  const size_t number = fleet.Acquire(0, 0);
  fleet.Step(0, Fate::kAnswer);     // The read.
  fleet.Step(0, Fate::kLoseLater);  // The write may still arrive.
  fleet.Tick(internal::kAcquireLimit);
  EXPECT_EQ(fleet.verdicts[number]->error,
            base::ErrorKind::kPlatformUnavailable);
  while (fleet.pending_outcomes(0) > 0) {
    ASSERT_GT(fleet.store.calls.size(), 1U);
    fleet.Step(1, Fate::kAnswer);
  }
  fleet.Step(0, Fate::kAnswer);
  EXPECT_EQ(fleet.Stored().size(), 0U);
}

// Guards against calls that wait for the limit one after the other while the
// platform is known to be down.
TEST(ClaimsTest, RejectsAtOnceDuringKnownOutage) {
  Fleet fleet;
  fleet.Acquire(0, 0);
  fleet.Step(0, Fate::kUnavailable);
  fleet.Tick(internal::kAcquireLimit);
  const size_t number = fleet.Acquire(0, 1);
  fleet.Step(0, Fate::kUnavailable);
  EXPECT_EQ(fleet.verdicts[number]->error,
            base::ErrorKind::kPlatformUnavailable);
}

// Guards against one update per claim under load.
TEST(ClaimsTest, ClaimsOfOneTurnShareAnUpdate) {
  Fleet fleet;
  for (int key = 0; key < 20; ++key) {
    fleet.Acquire(0, key);
  }
  fleet.Settle();
  EXPECT_EQ(fleet.store.writes, 1U);
  fleet.Acquire(0, 20);
  fleet.Settle();
  EXPECT_EQ(fleet.store.reads, 1U);
}

// Guards against treating a damaged object as one without claims.
TEST(ClaimsTest, RejectsWhenObjectIsUnreadable) {
  Fleet fleet;
  fleet.store.objects["claims/0"] = {
      .key = "claims/0", .version = 1, .value = R"({"schema": 2})"};
  fleet.store.revision = 1;
  EXPECT_EQ(AcquireNow(fleet, 0, "f").error,
            base::ErrorKind::kPlatformUnavailable);
  EXPECT_EQ(fleet.store.writes, 0U);
}

// Guards against an event loop whose timers and posted callbacks do not drive
// the state machine.
TEST(ClaimsTest, RunsOnTheEventLoop) {
  kernel::EventLoop loop;
  FakeStore store;
  FakeClient client(loop, store, 0);
  Claims claims(loop, client, "entry-1", 4);
  std::optional<Verdict> verdict;
  const auto acquire = [&](const std::string& request) {
    verdict.reset();
    claims.Acquire({.workspace = "w", .key = "k", .request = request},
                   [&verdict](const Verdict& result) { verdict = result; });
    EXPECT_FALSE(verdict.has_value());
  };
  const auto run_until = [&](const std::function<bool()>& done) {
    return loop.RunUntil(
        [&] {
          while (!store.calls.empty()) {
            const auto call = store.calls.front();
            store.calls.pop_front();
            call->apply();
            call->answer();
          }
          return done();
        },
        std::chrono::seconds(30));
  };
  acquire("first");
  ASSERT_TRUE(run_until([&] { return verdict.has_value(); }));
  EXPECT_EQ(verdict->kind, VerdictKind::kExecute);
  claims.Complete("first", {.body = "held"});
  EXPECT_EQ(claims.pending_outcomes(), 1U);
  ASSERT_TRUE(run_until([&] { return claims.pending_outcomes() == 0; }));
  acquire("second");
  ASSERT_TRUE(run_until([&] { return verdict.has_value(); }));
  EXPECT_EQ(verdict->answer.body, "held");
}

Claim NumberedClaim(int number) {
  return {.key = std::to_string(number),
          .workspace = "w",
          .request = "r",
          .fingerprint = std::string(64, 'f'),
          .time = number};
}

// Guards against an object above the platform's size limit, also after outcomes
// for all claims, and against claims that change when serialised and parsed.
TEST(DocumentTest, StaysWithinSizeLimit) {
  Document document;
  int count = 0;
  while (document.Put(NumberedClaim(count))) {
    ++count;
  }
  EXPECT_GT(count, 1000);
  for (int i = 0; i < count; ++i) {
    Claim claim = NumberedClaim(i);
    claim.state = State::kDone;
    claim.answer = {.http_status = 200, .has_body = false};
    ASSERT_TRUE(document.Put(claim));
  }
  const std::string text = document.Serialise();
  EXPECT_LE(text.size(), internal::kMaxObjectBytes);
  auto parsed = Document::Parse(text);
  ASSERT_TRUE(parsed.ok()) << parsed.status();
  EXPECT_EQ(parsed->Serialise(), text);
  parsed->RemoveExpired(internal::kExpirySeconds + count / 2);
  EXPECT_EQ(parsed->size(), static_cast<size_t>(count - count / 2 - 1));
  EXPECT_TRUE(parsed->Put(NumberedClaim(count)));
}

// Guards against one stored claim that exhausts the stack of every entry.
TEST(DocumentTest, DeeplyNestedClaimOverflowsTheStack) {
  constexpr size_t kDepth = 300'000;
  const auto text_with = [](const std::string& field) {
    return R"({"schema":1,"claims":[{"key":"k","workspace":"w","request":"r",)"
           R"("fingerprint":"f","time":1,"write":"x","state":"pending",)"
           R"("later":)" +
           field + "}]}";
  };
  EXPECT_TRUE(internal::Document::Parse(text_with("[[]]")).ok());
  EXPECT_EQ(internal::Document::Parse(
                text_with(std::string(kDepth, '[') + std::string(kDepth, ']')))
                .status()
                .code(),
            absl::StatusCode::kDataLoss);
}

// Guards against loss of answers that are not valid JSON text.
TEST(DocumentTest, KeepsBinaryAnswers) {
  Document document;
  Claim claim = NumberedClaim(1);
  claim.state = State::kDone;
  claim.answer.body = std::string("\x00\xff\"", 3);
  ASSERT_TRUE(document.Put(claim));
  const auto parsed = Document::Parse(document.Serialise());
  ASSERT_TRUE(parsed.ok()) << parsed.status();
  EXPECT_EQ(parsed->Find("1")->answer.body, claim.answer.body);
}

}  // namespace
}  // namespace jackdawshunt::claims
