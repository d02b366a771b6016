// A client that lists and watches records of one kind in the platform's store.
//
// Example:
//   platform::RecordSource source(loop, address, RecordKind::kUpstream);
//   source.List([](absl::StatusOr<platform::RecordList> list) { ... });
//   source.Watch(list.revision, 2s, [](auto changes) { ... });
//
// At most one call may be pending. Calls share one persistent connection.
// Errors: OutOfRange when the store no longer has the history after the
// revision; Unavailable when the store refused the call or could not be
// reached; DeadlineExceeded when it did not answer in time; InvalidArgument
// when its answer cannot be parsed. Callbacks run in a later turn of the loop.
// Not thread-safe.
#ifndef JACKDAWSHUNT_PLATFORM_RECORD_SOURCE_H_
#define JACKDAWSHUNT_PLATFORM_RECORD_SOURCE_H_

#include <functional>
#include <memory>

#include "absl/status/statusor.h"
#include "jackdawshunt/http/http.h"
#include "jackdawshunt/kernel/event_loop.h"
#include "jackdawshunt/platform/records.h"

namespace jackdawshunt::platform {

// Timeout of a call, in addition to the wait of a watch. The store answers
// within milliseconds, a slow one in about 50 times that. After a timeout the
// next call opens a new connection.
inline constexpr kernel::Duration kStoreAnswerTimeout =
    std::chrono::milliseconds(1000);

class RecordSource {
 public:
  using Callback = std::function<void(absl::StatusOr<RecordList>)>;

  RecordSource(kernel::EventLoop& loop,
               const http::Address& store,
               RecordKind kind);
  ~RecordSource();
  RecordSource(const RecordSource&) = delete;
  RecordSource& operator=(const RecordSource&) = delete;

  // Calls `done` with all records, read page by page.
  void List(Callback done);
  // Calls `done` with the changes after `revision`. The store waits up to
  // `wait` for the first one. If the answer has a later era than `revision`,
  // the store was restored and the changes are incomplete.
  void Watch(routing::StoreRevision revision,
             std::chrono::milliseconds wait,
             Callback done);

  // Returns the number of calls sent to the store; each page of a list is one.
  uint64_t calls() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace jackdawshunt::platform

#endif  // JACKDAWSHUNT_PLATFORM_RECORD_SOURCE_H_
