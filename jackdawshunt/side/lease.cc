#include "jackdawshunt/side/lease.h"

#include <utility>

#include "jackdawshunt/base/log.h"
#include "nlohmann/json.hpp"

namespace jackdawshunt::side {
namespace {

std::string ParseHolder(const object_api::Object& object) {
  const auto value = nlohmann::json::parse(object.value, nullptr,
                                           /*allow_exceptions=*/false);
  if (!value.is_object() || !value.contains("holder") ||
      !value["holder"].is_string()) {
    return {};
  }
  return value["holder"].get<std::string>();
}

std::string EncodeHolder(const std::string& holder) {
  return nlohmann::json{{"holder", holder}}.dump();
}

}  // namespace

Lease::Lease(kernel::EventLoop& loop,
             const kernel::Clock& clock,
             object_api::Client& client,
             std::string key,
             std::string holder,
             LeaseOptions options)
    : loop_(loop),
      clock_(clock),
      client_(client),
      key_(std::move(key)),
      holder_(std::move(holder)),
      options_(options) {}

void Lease::Start() {
  is_released_ = false;
  timer_ = loop_.Every(options_.duration / 3, [this] { Tick(); });
  Tick();
}

void Lease::Tick() {
  if (is_call_pending_ || is_released_) {
    return;
  }
  if (held_version_ != 0 && !unconfirmed_write_sent_at_.has_value()) {
    Write(held_version_);
  } else {
    Read();
  }
}

std::optional<uint64_t> Lease::FencingNumber(kernel::Duration margin) const {
  if (held_version_ == 0 || is_released_ ||
      clock_.Now() + margin >= valid_until_) {
    return std::nullopt;
  }
  return fencing_;
}

void Lease::Release() {
  is_released_ = true;
  timer_.Cancel();
  const uint64_t version = std::exchange(held_version_, 0);
  // When a renewal is pending, OnWritten() releases the version that it
  // returns.
  if (version != 0 && !is_call_pending_) {
    WriteRelease(version);
  }
}

void Lease::WriteRelease(uint64_t version) {
  client_.Put(key_, EncodeHolder(""), version,
              [](const absl::StatusOr<uint64_t>&) {});
}

void Lease::Read() {
  is_call_pending_ = true;
  client_.Get(key_, [this](const absl::StatusOr<object_api::Object>& object) {
    is_call_pending_ = false;
    if (object.ok()) {
      Observe(*object);
    } else if (absl::IsNotFound(object.status()) && !is_released_) {
      unconfirmed_write_sent_at_.reset();
      Write(/*expected=*/0);
    }
  });
}

void Lease::Observe(const object_api::Object& object) {
  const std::string holder = ParseHolder(object);
  if (is_released_) {
    return;
  }
  const std::optional<kernel::TimePoint> unconfirmed_sent_at =
      std::exchange(unconfirmed_write_sent_at_, std::nullopt);
  if (holder == holder_ && object.version == held_version_) {
    // The renewal had no effect: the other processes count the lease's duration
    // from the earlier write, and so does this one.
    Write(held_version_);
    return;
  }
  if (holder == holder_ && unconfirmed_sent_at.has_value()) {
    OnWritten(object.version, *unconfirmed_sent_at);
    return;
  }
  held_version_ = 0;
  if (object.version != observed_version_) {
    observed_version_ = object.version;
    observed_since_ = clock_.Now();
  }
  const bool has_expired = clock_.Now() - observed_since_ >=
                           options_.duration + options_.takeover_delay;
  if (holder.empty() || has_expired) {
    Write(object.version);
  }
}

void Lease::Write(uint64_t expected) {
  is_call_pending_ = true;
  const kernel::TimePoint sent_at = clock_.Now();
  client_.Put(key_, EncodeHolder(holder_), expected,
              [this, sent_at](const absl::StatusOr<uint64_t>& version) {
                is_call_pending_ = false;
                OnWritten(version, sent_at);
              });
}

void Lease::OnWritten(const absl::StatusOr<uint64_t>& version,
                      kernel::TimePoint sent_at) {
  if (version.ok() && is_released_) {
    WriteRelease(*version);
    return;
  }
  if (version.ok()) {
    if (held_version_ == 0) {
      fencing_ = *version;
      base::Log(base::LogLevel::kInfo, "lease_acquired",
                {{"key", key_}, {"fencing", fencing_}});
    }
    held_version_ = *version;
    // Counted from the send, since the write may have taken effect immediately.
    valid_until_ = sent_at + options_.duration;
    return;
  }
  if (absl::IsAborted(version.status())) {
    if (std::exchange(held_version_, 0) != 0) {
      base::Log(base::LogLevel::kWarning, "lease_lost", {{"key", key_}});
    }
  } else if (absl::IsUnknown(version.status())) {
    unconfirmed_write_sent_at_ = sent_at;
  }
}

}  // namespace jackdawshunt::side
