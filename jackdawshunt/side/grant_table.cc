#include "jackdawshunt/side/grant_table.h"

#include <algorithm>

namespace jackdawshunt::side {

uint64_t GrantTable::Issue(IssuedGrant grant, kernel::TimePoint now) {
  const uint64_t id = ++last_id_;
  outstanding_.emplace(id, Outstanding{std::move(grant), now + kGrantLifetime});
  return id;
}

absl::StatusOr<IssuedGrant> GrantTable::Use(uint64_t id,
                                            std::string_view entry,
                                            std::string_view request,
                                            kernel::TimePoint now) {
  DiscardOldUses(now);
  const auto found = outstanding_.find(id);
  if (found == outstanding_.end()) {
    return absl::FailedPreconditionError(
        used_.contains(id) ? "grant already used" : "grant unknown or expired");
  }
  if (found->second.grant.entry != entry) {
    return absl::FailedPreconditionError("grant issued to another entry");
  }
  if (now >= found->second.expires_at) {
    // VoidExpired() removes the grant, and its caller releases the slot.
    return absl::FailedPreconditionError("grant unknown or expired");
  }
  IssuedGrant grant = std::move(found->second.grant);
  outstanding_.erase(found);
  used_.emplace(id, request);
  used_order_.push_back({id, now});
  return grant;
}

std::optional<IssuedGrant> GrantTable::Void(uint64_t id) {
  const auto found = outstanding_.find(id);
  if (found == outstanding_.end()) {
    return std::nullopt;
  }
  IssuedGrant grant = std::move(found->second.grant);
  outstanding_.erase(found);
  return grant;
}

template <typename Predicate>
std::vector<IssuedGrant> GrantTable::VoidIf(Predicate predicate) {
  std::vector<IssuedGrant> removed;
  for (auto it = outstanding_.begin(); it != outstanding_.end();) {
    if (predicate(it->second)) {
      removed.push_back(std::move(it->second.grant));
      it = outstanding_.erase(it);
    } else {
      ++it;
    }
  }
  return removed;
}

std::vector<IssuedGrant> GrantTable::VoidEntry(std::string_view entry) {
  return VoidIf([entry](const Outstanding& outstanding) {
    return outstanding.grant.entry == entry;
  });
}

std::vector<IssuedGrant> GrantTable::VoidAll() {
  return VoidIf([](const Outstanding&) { return true; });
}

std::vector<IssuedGrant> GrantTable::VoidExpired(kernel::TimePoint now) {
  return VoidIf([now](const Outstanding& outstanding) {
    return now >= outstanding.expires_at;
  });
}

GrantUsage GrantTable::UsageOf(uint64_t id, std::string_view request) const {
  const auto found = used_.find(id);
  if (found != used_.end()) {
    return found->second == request ? GrantUsage::kUsed
                                    : GrantUsage::kNeverUsed;
  }
  return id <= highest_discarded_ ? GrantUsage::kUnknown
                                  : GrantUsage::kNeverUsed;
}

void GrantTable::DiscardOldUses(kernel::TimePoint now) {
  while (!used_order_.empty() &&
         now - used_order_.front().used_at > kGrantUsageRetention) {
    const uint64_t id = used_order_.front().id;
    highest_discarded_ = std::max(highest_discarded_, id);
    used_.erase(id);
    used_order_.pop_front();
  }
}

}  // namespace jackdawshunt::side
