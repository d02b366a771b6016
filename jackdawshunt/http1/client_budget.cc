#include "jackdawshunt/http1/client_budget.h"

#include <utility>

namespace jackdawshunt::http1 {
namespace {

constexpr std::array<std::string_view, kClientMemoryKinds> kMemoryNames = {
    "input", "request", "answer", "output"};
// Responses are not buffered beyond this part of the capacity.
constexpr double kPressurePart = 0.75;

uint64_t PartOf(uint64_t bytes, double part) {
  return static_cast<uint64_t>(static_cast<double>(bytes) * part);
}

}  // namespace

std::string_view ClientMemoryName(ClientMemory use) {
  return kMemoryNames.at(static_cast<size_t>(use));
}

ClientBudget::ClientBudget(ClientBudgetOptions options) : options_(options) {}

bool ClientBudget::is_under_pressure() const {
  return held_ > PartOf(options_.capacity_bytes, kPressurePart);
}

uint64_t ClientBudget::large_capacity() const {
  return PartOf(options_.capacity_bytes, options_.large_part);
}

uint64_t ClientBudget::LargeBytesOf(std::string_view workspace) const {
  const auto found = large_by_workspace_.find(workspace);
  return found == large_by_workspace_.end() ? 0 : found->second;
}

ClientBudget::Shortage ClientBudget::ShortageFor(const Client& client,
                                                 uint64_t more) const {
  if (held_ + more > options_.capacity_bytes) {
    return Shortage::kCapacity;
  }
  if (client.held_ + more <= options_.small_bytes) {
    return Shortage::kNone;
  }
  const uint64_t more_of_large = client.is_large_ ? more : client.held_ + more;
  if (held_by_large_ + more_of_large > large_capacity()) {
    return Shortage::kLargePart;
  }
  if (!client.workspace_.empty() &&
      LargeBytesOf(client.workspace_) + more_of_large >
          PartOf(options_.capacity_bytes, options_.workspace_part)) {
    return Shortage::kWorkspacePart;
  }
  return Shortage::kNone;
}

ClientBudget::Client* ClientBudget::ChooseVictim(const Client& client,
                                                 uint64_t more,
                                                 Shortage shortage,
                                                 kernel::TimePoint now) const {
  Client* stalled = nullptr;
  Client* unfair = nullptr;
  uint64_t most_of_workspace =
      LargeBytesOf(client.workspace_) + client.held_ + more;
  for (Client* const other : clients_) {
    if (other == &client || other->is_yielding_ || other->held_ == 0 ||
        (shortage == Shortage::kLargePart && !other->is_large_) ||
        (shortage == Shortage::kWorkspacePart &&
         (!other->is_large_ || other->workspace_ != client.workspace_))) {
      continue;
    }
    if (other->IsRequestStalled(now) || other->IsResponseStalled(now)) {
      if (stalled == nullptr || other->held_ > stalled->held_) {
        stalled = other;
      }
    } else if (other->is_receiving_ && other->is_large_ &&
               other->workspace_ != client.workspace_) {
      const uint64_t of_workspace = LargeBytesOf(other->workspace_);
      // The newest request of the workspace yields, so that its others are
      // completed.
      if (of_workspace > most_of_workspace ||
          (unfair != nullptr && unfair->workspace_ == other->workspace_ &&
           other->began_at_ > unfair->began_at_)) {
        most_of_workspace = of_workspace;
        unfair = other;
      }
    }
  }
  return stalled != nullptr ? stalled : unfair;
}

void ClientBudget::Apply(Client& client, ClientMemory use, uint64_t bytes) {
  uint64_t& held_for_use = client.uses_.at(static_cast<size_t>(use));
  if (client.is_large_) {
    held_by_large_ -= client.held_;
    const auto row = large_by_workspace_.find(client.workspace_);
    row->second -= client.held_;
    if (row->second == 0) {
      large_by_workspace_.erase(row);
    }
  }
  held_by_use_.at(static_cast<size_t>(use)) += bytes - held_for_use;
  held_ += bytes - held_for_use;
  client.held_ += bytes - held_for_use;
  held_for_use = bytes;
  client.is_large_ = client.held_ > options_.small_bytes;
  if (client.is_large_) {
    held_by_large_ += client.held_;
    large_by_workspace_[client.workspace_] += client.held_;
  }
}

ClientBudget::Client::Client(ClientBudget& budget,
                             Owner& owner,
                             kernel::TimePoint now)
    : budget_(budget), owner_(owner), read_at_(now) {
  budget_.clients_.insert(this);
}

ClientBudget::Client::~Client() {
  Clear();
  budget_.clients_.erase(this);
}

bool ClientBudget::Client::Resize(ClientMemory use,
                                  uint64_t bytes,
                                  kernel::TimePoint now) {
  while (bytes > held_bytes(use)) {
    const uint64_t more = bytes - held_bytes(use);
    const Shortage shortage = budget_.ShortageFor(*this, more);
    if (shortage == Shortage::kNone) {
      break;
    }
    Client* const victim = budget_.ChooseVictim(*this, more, shortage, now);
    if (victim == nullptr) {
      ++budget_.refused_;
      return false;
    }
    ++budget_.reclaimed_;
    victim->is_yielding_ = true;
    victim->owner_.OnReclaimed();
  }
  budget_.Apply(*this, use, bytes);
  return true;
}

void ClientBudget::Client::Account(ClientMemory use, uint64_t bytes) {
  if (bytes != held_bytes(use)) {
    budget_.Apply(*this, use, bytes);
  }
}

void ClientBudget::Client::Clear() {
  for (size_t use = 0; use < kClientMemoryKinds; ++use) {
    Account(static_cast<ClientMemory>(use), 0);
  }
  is_receiving_ = false;
}

void ClientBudget::Client::BeginRequest(kernel::TimePoint now) {
  is_receiving_ = true;
  is_yielding_ = false;
  began_at_ = now;
  progressed_at_ = now;
  received_ = 0;
}

void ClientBudget::Client::OnReceived(uint64_t bytes, kernel::TimePoint now) {
  received_ += bytes;
  if (received_ >= budget_.options_.progress_bytes) {
    received_ = 0;
    progressed_at_ = now;
  }
}

void ClientBudget::Client::EndRequest() {
  is_receiving_ = false;
}

void ClientBudget::Client::SetWorkspace(std::string_view workspace) {
  if (workspace == workspace_) {
    return;
  }
  if (is_large_) {
    const auto row = budget_.large_by_workspace_.find(workspace_);
    row->second -= held_;
    if (row->second == 0) {
      budget_.large_by_workspace_.erase(row);
    }
    budget_.large_by_workspace_[std::string(workspace)] += held_;
  }
  workspace_ = std::string(workspace);
}

bool ClientBudget::Client::IsRequestStalled(kernel::TimePoint now) const {
  return is_receiving_ && now - progressed_at_ >= budget_.options_.stall_time;
}

bool ClientBudget::Client::IsResponseStalled(kernel::TimePoint now) const {
  return held_bytes(ClientMemory::kOutput) > 0 &&
         now - read_at_ >= budget_.options_.unread_time;
}

}  // namespace jackdawshunt::http1
