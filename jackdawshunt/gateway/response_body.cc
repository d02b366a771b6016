#include "jackdawshunt/gateway/response_body.h"

#include <string>

namespace jackdawshunt::gateway {
namespace {

// Bodies up to this size are forwarded only when complete.
constexpr size_t kMaxKeptBytes = size_t{256} * 1024;
constexpr size_t kMaxDiscardedBytes = size_t{64} * 1024;
// Part of an event up to which the room that each request takes for its
// response suffices.
constexpr size_t kSmallEventBytes = size_t{32} * 1024;

class DiscardedBody final : public ResponseBody {
 public:
  std::string_view Feed(std::string_view data) override {
    bytes_ += data.size();
    return {};
  }
  State state() const override {
    return bytes_ > kMaxDiscardedBytes ? State::kNotNeeded : State::kOpen;
  }
  bool is_for_caller() const override { return false; }

 private:
  size_t bytes_ = 0;
};

class CollectedBody final : public ResponseBody {
 public:
  std::string_view Feed(std::string_view data) override {
    if (is_forwarded_) {
      return data;
    }
    kept_.append(data);
    if (kept_.size() <= kMaxKeptBytes && !stops_keeping_) {
      return {};
    }
    is_forwarded_ = true;
    return kept_;
  }
  void ReleaseReturned() override {
    if (is_forwarded_) {
      std::string().swap(kept_);
    }
  }
  size_t KeptWith(size_t more) const override {
    return is_forwarded_ ? 0 : kept_.size() + more;
  }
  void StopKeeping() override { stops_keeping_ = true; }
  std::optional<std::string_view> kept() const override {
    return is_forwarded_ ? std::nullopt
                         : std::optional<std::string_view>(kept_);
  }
  bool is_resumable() const override { return !is_forwarded_; }

 private:
  std::string kept_;
  bool stops_keeping_ = false;
  bool is_forwarded_ = false;
};

class EventBody final : public ResponseBody {
 public:
  explicit EventBody(std::optional<uint64_t> last_event_id)
      : splitter_(last_event_id) {}

  std::string_view Feed(std::string_view data) override {
    return splitter_.Feed(data);
  }
  void ReleaseReturned() override { splitter_.ReleaseReturned(); }
  State state() const override {
    return splitter_.is_out_of_order() ? State::kOutOfOrder : State::kOpen;
  }
  size_t KeptWith(size_t /*more*/) const override {
    const size_t kept = splitter_.partial().size();
    return kept > kSmallEventBytes ? kept : 0;
  }
  void StopKeeping() override {
    stops_keeping_ = true;
    splitter_.StopKeeping();
  }
  bool is_resumable() const override {
    return !stops_keeping_ && !splitter_.has_split_event();
  }
  const EventSplitter* events() const override { return &splitter_; }

 private:
  EventSplitter splitter_;
  bool stops_keeping_ = false;
};

}  // namespace

std::unique_ptr<ResponseBody> MakeDiscardedBody() {
  return std::make_unique<DiscardedBody>();
}

std::unique_ptr<ResponseBody> MakeCollectedBody() {
  return std::make_unique<CollectedBody>();
}

std::unique_ptr<ResponseBody> MakeEventBody(
    std::optional<uint64_t> last_event_id) {
  return std::make_unique<EventBody>(last_event_id);
}

}  // namespace jackdawshunt::gateway
