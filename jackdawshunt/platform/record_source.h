// Reads records of one kind from the platform's store.
//
// Example:
//   platform::RecordSource source(loop, address, RecordKind::kUpstream);
//   source.List([](absl::StatusOr<platform::RecordList> list) { ... });
//   source.Watch(list.revision, 2s, [](auto changes) { ... });
//
// One call at a time, over one connection that is kept. Errors: OutOfRange when
// the store no longer holds the history after the revision; Unavailable when
// the store refused or was not reached; DeadlineExceeded when it did not answer
// in time; InvalidArgument when its answer cannot be read. Callbacks come in
// later turns of the loop. Not thread-safe.
#ifndef JACKDAWSHUNT_PLATFORM_RECORD_SOURCE_H_
#define JACKDAWSHUNT_PLATFORM_RECORD_SOURCE_H_

#include <functional>
#include <memory>

#include "absl/status/statusor.h"
#include "jackdawshunt/http/http.h"
#include "jackdawshunt/kernel/event_loop.h"
#include "jackdawshunt/platform/records.h"

namespace jackdawshunt::platform {

// The store answers within milliseconds; a slow one takes some 50 times that. A
// call without an answer after this time, besides the wait of a watch, goes to
// a new connection.
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

  // Reads all records, page by page.
  void List(Callback done);
  // Waits up to `wait` for changes after `revision`.
  void Watch(uint64_t revision, std::chrono::milliseconds wait, Callback done);

  uint64_t calls() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace jackdawshunt::platform

#endif  // JACKDAWSHUNT_PLATFORM_RECORD_SOURCE_H_
