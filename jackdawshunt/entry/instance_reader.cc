#include "jackdawshunt/entry/instance_reader.h"

#include <algorithm>
#include <utility>

#include "jackdawshunt/base/log.h"

namespace jackdawshunt::entry {
namespace {

// Each entry reads the list, so the period grows with their number and the
// reads of the whole fleet stay below 20 per second. Heartbeats report earlier
// than the list that a side is draining.
constexpr kernel::Duration kReadPeriod = std::chrono::seconds(1);
constexpr kernel::Duration kPeriodPerEntry = std::chrono::milliseconds(50);
// Longest delay between reads while the platform is unavailable.
constexpr kernel::Duration kMaxRetryDelay = std::chrono::seconds(8);

}  // namespace

InstanceReader::InstanceReader(kernel::EventLoop& loop,
                               object_api::Client& client,
                               membership::View& view,
                               std::function<void()> on_update)
    : loop_(loop),
      client_(client),
      view_(view),
      on_update_(std::move(on_update)),
      read_delay_(kReadPeriod),
      self_(std::make_shared<InstanceReader*>(this)) {}

void InstanceReader::Start() {
  Read();
}

void InstanceReader::Read() {
  client_.Instances(
      [weak = std::weak_ptr<InstanceReader*>(self_)](
          absl::StatusOr<std::vector<object_api::Instance>> list) {
        if (const auto self = weak.lock()) {
          (*self)->OnList(std::move(list));
        }
      });
}

void InstanceReader::OnList(
    absl::StatusOr<std::vector<object_api::Instance>> list) {
  if (list.ok()) {
    view_.Update(*std::move(list));
    read_delay_ =
        std::max(kReadPeriod, static_cast<int64_t>(view_.LiveEntries().size()) *
                                  kPeriodPerEntry);
    on_update_();
  } else {
    read_delay_ = std::min(read_delay_ * 2, kMaxRetryDelay);
    base::Log(base::LogLevel::kWarning, "instance_list_unavailable",
              {{"why", list.status().ToString()}});
  }
  timer_ = loop_.After(read_delay_, [this] { Read(); });
}

}  // namespace jackdawshunt::entry
