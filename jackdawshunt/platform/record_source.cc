#include "jackdawshunt/platform/record_source.h"

#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "jackdawshunt/http1/client.h"

namespace jackdawshunt::platform {
namespace {

// Data that would make an answer longer than this is dropped.
constexpr size_t kMaxAnswerBytes = size_t{8} * 1024 * 1024;
constexpr int kHttpGone = 410;

}  // namespace

struct RecordSource::Impl final : http1::ResponseReceiver {
  Impl(kernel::EventLoop& on_loop, const http::Address& store, RecordKind of)
      : loop(on_loop), address(store), kind(of) {}

  ~Impl() override {
    if (connection != nullptr) {
      connection->CancelRequest();
    }
  }

  using Decoder = absl::StatusOr<RecordList> (*)(RecordKind, std::string_view);

  void Call(const std::string& path,
            kernel::Duration wait,
            Decoder with_decoder,
            Callback then) {
    if (connection == nullptr || !connection->is_usable() ||
        connection->is_busy()) {
      connection = std::make_unique<http1::ClientConnection>(
          loop, address, http1::ClientConnectionOptions{});
    }
    decoder = with_decoder;
    done = std::move(then);
    body.clear();
    status = 0;
    ++calls;
    http1::RequestHead head;
    head.target = path;
    head.headers = {{"Host", address.ToString()}};
    connection->Send(http1::Serialize(head, std::nullopt), false, *this);
    timer = loop.After(wait + kStoreAnswerTimeout, [this] {
      Finish(absl::DeadlineExceededError("the store did not answer in time"));
    });
  }

  bool MatchesRequest(const http1::ResponseHead&) override { return true; }
  void OnHead(const http1::ResponseHead& head) override {
    status = head.status;
    era = DecodeStoreEra(head);
  }
  void OnBody(std::string_view data) override {
    if (body.size() + data.size() > kMaxAnswerBytes) {
      connection->CancelRequest();
      Finish(absl::UnavailableError(absl::StrCat("the store's answer exceeds ",
                                                 kMaxAnswerBytes, " bytes")));
      return;
    }
    body.append(data);
  }
  void OnEnd() override {
    if (status == kHttpGone) {
      Finish(absl::OutOfRangeError("the store no longer has this history"));
    } else if (status != 200) {
      Finish(absl::UnavailableError(
          absl::StrCat("the store answered HTTP ", status)));
    } else {
      auto list = decoder(kind, body);
      if (list.ok()) {
        list->revision.era = era;
      }
      Finish(std::move(list));
    }
  }
  void OnLost(http1::Loss loss) override {
    Finish(absl::UnavailableError(
        absl::StrCat("connection ", std::string(http1::LossName(loss)))));
  }

  // Calls the callback in a later turn of the loop, so that it may start
  // another call. Drops the connection after an error.
  void Finish(absl::StatusOr<RecordList> result) {
    const bool drops_connection = !result.ok();
    timer = loop.After(
        kernel::Duration::zero(),
        [this, drops_connection, outcome = std::move(result)]() mutable {
          if (drops_connection && connection != nullptr) {
            connection->CancelRequest();
            connection.reset();
          }
          std::exchange(done, nullptr)(std::move(outcome));
        });
  }

  // Reads the page after the record `after` and the pages that follow.
  void ListPages(RecordList so_far, const std::string& after, Callback then) {
    Call(ListPath(kind, after), kernel::Duration::zero(), &DecodeList,
         [this, collected = std::move(so_far),
          then = std::move(then)](absl::StatusOr<RecordList> page) mutable {
           if (!page.ok()) {
             then(page.status());
             return;
           }
           // A watch from the first page's revision also returns the changes
           // made while later pages were read.
           if (collected.revision == routing::StoreRevision()) {
             collected.revision = page->revision;
           }
           if (collected.revision.era != page->revision.era) {
             then(absl::UnavailableError(
                 "the store was restored between two pages of a list"));
             return;
           }
           std::move(page->records.begin(), page->records.end(),
                     std::back_inserter(collected.records));
           const std::string previous =
               std::exchange(collected.last_name, page->last_name);
           if (!page->has_more) {
             then(std::move(collected));
           } else if (page->last_name.empty() || page->last_name == previous) {
             then(absl::InvalidArgumentError(
                 "a page of a list has no name from which to go on"));
           } else {
             ListPages(std::move(collected), page->last_name, std::move(then));
           }
         });
  }

  kernel::EventLoop& loop;
  const http::Address address;
  const RecordKind kind;
  std::unique_ptr<http1::ClientConnection> connection;
  kernel::Timer timer;
  Decoder decoder = nullptr;
  Callback done;
  std::string body;
  int status = 0;
  uint64_t era = 0;  // Of the current answer.
  uint64_t calls = 0;
};

RecordSource::RecordSource(kernel::EventLoop& loop,
                           const http::Address& store,
                           RecordKind kind)
    : impl_(std::make_unique<Impl>(loop, store, kind)) {}
RecordSource::~RecordSource() = default;

void RecordSource::List(Callback done) {
  impl_->ListPages({}, {}, std::move(done));
}

void RecordSource::Watch(routing::StoreRevision revision,
                         std::chrono::milliseconds wait,
                         Callback done) {
  impl_->Call(WatchPath(impl_->kind, revision.revision, wait), wait,
              &DecodeWatch, std::move(done));
}

uint64_t RecordSource::calls() const {
  return impl_->calls;
}

}  // namespace jackdawshunt::platform
