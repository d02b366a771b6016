#include "jackdawshunt/gateway/record_follower.h"

#include <algorithm>
#include <utility>

#include "jackdawshunt/base/log.h"

namespace jackdawshunt::gateway {
namespace {

// Delay before the second retry; the first one is immediate.
constexpr kernel::Duration kMinRetryDelay = std::chrono::milliseconds(50);
constexpr uint32_t kMaxDoublings = 5;
constexpr std::chrono::milliseconds kNoWait{1};

}  // namespace

RecordFollower::RecordFollower(kernel::EventLoop& loop,
                               const http::Address& store,
                               platform::RecordKind kind,
                               RecordFollowerTimes times,
                               routing::StoreProbe& probe,
                               RecordFollowerCallbacks callbacks)
    : loop_(loop),
      kind_(kind),
      times_(times),
      probe_(probe),
      callbacks_(std::move(callbacks)),
      source_(loop, store, kind),
      immediate_source_(loop, store, kind) {}

void RecordFollower::Start() {
  List();
}

void RecordFollower::List() {
  source_.List([this, sent = boot_clock_.Now()](
                   const absl::StatusOr<platform::RecordList>& answer) {
    OnAnswer(true, sent, answer);
  });
}

void RecordFollower::Watch(std::chrono::milliseconds wait) {
  source_.Watch(cursor_.position(), wait,
                [this, sent = boot_clock_.Now()](
                    const absl::StatusOr<platform::RecordList>& answer) {
                  OnAnswer(false, sent, answer);
                });
}

void RecordFollower::OnAnswer(
    bool is_list,
    kernel::TimePoint sent,
    const absl::StatusOr<platform::RecordList>& answer) {
  if (!answer.ok()) {
    OnFailure(answer.status());
    return;
  }
  probe_.OnAnswer();
  const kernel::TimePoint now = loop_.clock().Now();
  if (consecutive_failures_ > 0) {
    base::Log(base::LogLevel::kInfo, "store_regained",
              {{"records", platform::RecordKindName(kind_)},
               {"failures", consecutive_failures_},
               {"gap_ms", (now - unavailable_since_).count() / 1000}});
    consecutive_failures_ = 0;
    callbacks_.on_reconnected(now - unavailable_since_);
  }
  switch (ApplyRecords(is_list, *answer)) {
    case routing::AnswerUse::kKnown:
    case routing::AnswerUse::kApply:
      callbacks_.on_current(sent);
      NotifyReaders(sent);
      break;
    case routing::AnswerUse::kListAgain:
      List();
      return;
    case routing::AnswerUse::kDrop:
      OnFailure(absl::UnavailableError("an answer of an earlier era"));
      return;
  }
  if (is_list || answer->records.empty()) {
    Watch(times_.watch_wait);
  } else {
    retry_timer_ = loop_.After(times_.change_grouping, [this] {
      retry_timer_.Cancel();
      Watch(times_.watch_wait);
    });
  }
}

routing::AnswerUse RecordFollower::ApplyRecords(
    bool is_list,
    const platform::RecordList& list) {
  const routing::StoreRevision before = cursor_.position();
  const routing::AnswerUse use =
      is_list ? cursor_.OnList(list.revision) : cursor_.OnWatch(list.revision);
  LogUnusualAnswer(use, is_list, list, before);
  if (use != routing::AnswerUse::kApply) {
    return use;
  }
  if (is_list || !list.records.empty()) {
    changed_revision_ = cursor_.position();
  }
  if (is_list) {
    callbacks_.on_list(list.records, cursor_.is_restored());
  } else if (!list.records.empty()) {
    callbacks_.on_change(list.records);
  }
  return use;
}

void RecordFollower::LogUnusualAnswer(routing::AnswerUse use,
                                      bool is_list,
                                      const platform::RecordList& list,
                                      routing::StoreRevision before) {
  std::string_view event;
  if (use == routing::AnswerUse::kKnown) {
    ++outdated_answers_;
    event = "store_answer_outdated";
  } else if (use == routing::AnswerUse::kDrop) {
    event = "store_answer_of_earlier_era";
  } else if (use == routing::AnswerUse::kListAgain ||
             (is_list && cursor_.is_restored())) {
    event = "store_restored";
  } else {
    return;
  }
  base::Log(base::LogLevel::kWarning, event,
            {{"records", platform::RecordKindName(kind_)},
             {"changes", list.records.size()},
             {"era", list.revision.era},
             {"revision", list.revision.revision},
             {"known_era", before.era},
             {"known_revision", before.revision},
             {"lists_again", use == routing::AnswerUse::kListAgain}});
}

void RecordFollower::ReadNow() {
  if (!cursor_.has_list() || is_reading_now_ || consecutive_failures_ > 0) {
    return;
  }
  is_reading_now_ = true;
  immediate_source_.Watch(
      cursor_.position(), kNoWait,
      [this, sent = boot_clock_.Now()](
          const absl::StatusOr<platform::RecordList>& answer) {
        OnReadNow(sent, answer);
      });
}

void RecordFollower::RenewWatch() {
  if (is_connected() && !retry_timer_.is_active()) {
    Watch(times_.watch_wait);
  }
}

void RecordFollower::Read(ReadCallback done) {
  if (!is_connected()) {
    done(false);
    return;
  }
  readers_.push_back({boot_clock_.Now(), std::move(done)});
  ReadNow();
}

void RecordFollower::NotifyReaders(kernel::TimePoint sent) {
  std::vector<Reader> waiting;
  std::vector<Reader> served;
  for (Reader& reader : std::exchange(readers_, {})) {
    (reader.asked_at <= sent ? served : waiting).push_back(std::move(reader));
  }
  readers_ = std::move(waiting);
  for (const Reader& reader : served) {
    reader.done(true);
  }
  if (!readers_.empty()) {
    ReadNow();
  }
}

void RecordFollower::FailReaders() {
  for (const Reader& reader : std::exchange(readers_, {})) {
    reader.done(false);
  }
}

void RecordFollower::OnReadNow(
    kernel::TimePoint sent,
    const absl::StatusOr<platform::RecordList>& answer) {
  is_reading_now_ = false;
  if (!cursor_.has_list()) {
    FailReaders();
    return;  // The list that is awaited holds these changes.
  }
  if (answer.ok()) {
    switch (ApplyRecords(/*is_list=*/false, *answer)) {
      case routing::AnswerUse::kApply:
        callbacks_.on_current(sent);
        NotifyReaders(sent);
        break;
      case routing::AnswerUse::kKnown:
        callbacks_.on_current(sent);
        NotifyReaders(sent);
        return;  // The watch goes on from a newer revision.
      case routing::AnswerUse::kListAgain:
        retry_timer_.Cancel();
        List();
        return;
      case routing::AnswerUse::kDrop:
        FailReaders();
        return;
    }
    if (answer->records.empty()) {
      return;
    }
  } else if (!absl::IsOutOfRange(answer.status())) {
    FailReaders();
    base::Log(base::LogLevel::kDebug, "store_read_failed",
              {{"records", platform::RecordKindName(kind_)},
               {"error", std::string(answer.status().message())}});
    return;
  }
  // The watch should have delivered these changes, so it is restarted.
  if (!retry_timer_.is_active()) {
    base::Log(base::LogLevel::kInfo, "store_watch_behind",
              {{"records", platform::RecordKindName(kind_)},
               {"era", cursor_.position().era},
               {"revision", cursor_.position().revision}});
    Watch(kNoWait);
  }
}

void RecordFollower::OnFailure(const absl::Status& status) {
  FailReaders();
  if (++consecutive_failures_ == 1) {
    unavailable_since_ = loop_.clock().Now();
    if (absl::IsDeadlineExceeded(status)) {
      unavailable_since_ -= platform::kStoreAnswerTimeout;
    }
  }
  if (consecutive_failures_ == 1 || absl::IsOutOfRange(status)) {
    base::Log(base::LogLevel::kWarning, "store_lost",
              {{"records", platform::RecordKindName(kind_)},
               {"era", cursor_.position().era},
               {"revision", cursor_.position().revision},
               {"error", std::string(status.message())}});
  }
  if (absl::IsOutOfRange(status) || absl::IsInvalidArgument(status)) {
    cursor_.RequireList();
  }
  const bool is_answered =
      !absl::IsUnavailable(status) && !absl::IsDeadlineExceeded(status);
  if (is_answered) {
    probe_.OnAnswer();
  }
  RetryAfter(
      consecutive_failures_ == 1
          ? kernel::Duration::zero()
          : std::min(times_.max_retry_delay,
                     kMinRetryDelay * (1 << std::min(consecutive_failures_ - 2,
                                                     kMaxDoublings))),
      is_answered);
}

void RecordFollower::RetryAfter(kernel::Duration delay, bool is_answered) {
  retry_timer_ = loop_.After(delay, [this, delay, is_answered] {
    retry_timer_.Cancel();
    if (!is_answered && delay > kernel::Duration::zero() &&
        !probe_.MayCall(delay, loop_.clock().Now())) {
      RetryAfter(std::max(delay, kMinRetryDelay), is_answered);
    } else if (!cursor_.has_list()) {
      List();
    } else {
      // Without a wait, the store shows at once whether it is available and
      // still has the history.
      Watch(kNoWait);
    }
  });
}

}  // namespace jackdawshunt::gateway
