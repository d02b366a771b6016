// Bounds the memory that the clients of a process hold, over all connections,
// and decides whose connection yields when there is no room. Performs no I/O.
//
// Example:
//   http1::ClientBudget budget({.capacity_bytes = uint64_t{128} << 20});
//   http1::ClientBudget::Client client(budget, owner, now);
//   client.BeginRequest(now);
//   if (!client.Resize(http1::ClientMemory::kInput, bytes, now)) {
//     // Refuse the request.
//   }
//
// - Clients that hold little have a part of the capacity for themselves, so
//   that a small request is accepted while large ones take the rest.
// - One workspace may take half of the part for large clients.
// - A request that is being received yields if it does not progress, or if its
//   workspace holds more than the one that needs room. A request that is being
//   served does not yield; its response does if the client does not read it.
//
// Not thread-safe.
#ifndef JACKDAWSHUNT_HTTP1_CLIENT_BUDGET_H_
#define JACKDAWSHUNT_HTTP1_CLIENT_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_set.h"
#include "jackdawshunt/kernel/clock.h"

namespace jackdawshunt::http1 {

// What a client's memory is used for.
enum class ClientMemory {
  kInput,    // Heads and bodies that are being received, and read-ahead.
  kRequest,  // The request that is being served.
  kAnswer,   // A response that is kept until it is complete.
  kOutput,   // Bytes that the client has not read.
};
inline constexpr size_t kClientMemoryKinds = 4;
// Returns the name of `use` for metrics.
std::string_view ClientMemoryName(ClientMemory use);

struct ClientBudgetOptions {
  // Bytes that all clients may hold.
  uint64_t capacity_bytes = uint64_t{96} * 1024 * 1024;
  // A client that holds no more than this is small.
  uint64_t small_bytes = uint64_t{64} * 1024;
  // Parts of the capacity that all large clients, and those of one workspace,
  // may take.
  double large_part = 0.75;
  double workspace_part = 0.375;
  // A request is stalled if fewer than `progress_bytes` of it arrive in
  // `stall_time`; a response if nothing of it is read in `unread_time`.
  uint64_t progress_bytes = uint64_t{4} * 1024;
  kernel::Duration stall_time = std::chrono::milliseconds(500);
  kernel::Duration unread_time = std::chrono::seconds(2);
};

class ClientBudget {
 public:
  class Client;

  explicit ClientBudget(ClientBudgetOptions options);
  ClientBudget(const ClientBudget&) = delete;
  ClientBudget& operator=(const ClientBudget&) = delete;

  // Returns whether clients hold so much that responses should not be buffered.
  bool is_under_pressure() const;
  // Returns the bytes that all clients hold.
  uint64_t held_bytes() const { return held_; }
  uint64_t held_bytes(ClientMemory use) const {
    return held_by_use_.at(static_cast<size_t>(use));
  }
  // Returns how many clients were told to yield, and how often there was no
  // room for one, so far.
  uint64_t reclaimed() const { return reclaimed_; }
  uint64_t refused() const { return refused_; }
  size_t clients() const { return clients_.size(); }

 private:
  // Why a client cannot grow.
  enum class Shortage { kNone, kCapacity, kLargePart, kWorkspacePart };

  uint64_t large_capacity() const;
  Shortage ShortageFor(const Client& client, uint64_t more) const;
  // Returns the client that yields to `client`, or null.
  Client* ChooseVictim(const Client& client,
                       uint64_t more,
                       Shortage shortage,
                       kernel::TimePoint now) const;
  void Apply(Client& client, ClientMemory use, uint64_t bytes);
  uint64_t LargeBytesOf(std::string_view workspace) const;

  const ClientBudgetOptions options_;
  absl::flat_hash_set<Client*> clients_;
  uint64_t held_ = 0;
  std::array<uint64_t, kClientMemoryKinds> held_by_use_{};
  uint64_t held_by_large_ = 0;
  // Of large clients; empty rows are removed.
  std::map<std::string, uint64_t, std::less<>> large_by_workspace_;
  uint64_t reclaimed_ = 0;
  uint64_t refused_ = 0;
};

// The memory of one connection.
class ClientBudget::Client {
 public:
  class Owner {
   public:
    // Called when the client must yield: the owner refuses the request or
    // closes the connection, and releases the memory before it returns. It must
    // not destroy the client.
    virtual void OnReclaimed() = 0;

   protected:
    ~Owner() = default;
  };

  // `budget` and `owner` must outlive the client.
  Client(ClientBudget& budget, Owner& owner, kernel::TimePoint now);
  // Releases all memory.
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Sets how much the client holds for `use`. Returns false, and leaves it
  // unchanged, if there is no room. Other clients may be told to yield.
  bool Resize(ClientMemory use, uint64_t bytes, kernel::TimePoint now);
  // As Resize(), for memory that is already in use.
  void Account(ClientMemory use, uint64_t bytes);
  void Clear();

  // Records that a request begins to arrive, that a part of it has arrived, and
  // that it is complete or was refused.
  void BeginRequest(kernel::TimePoint now);
  void OnReceived(uint64_t bytes, kernel::TimePoint now);
  void EndRequest();
  // Records that the client has read a part of a response.
  void OnRead(kernel::TimePoint now) { read_at_ = now; }
  // Returns whether a request is being received and does not progress.
  bool IsRequestStalled(kernel::TimePoint now) const;
  // Returns whether the client does not read its response.
  bool IsResponseStalled(kernel::TimePoint now) const;
  // Sets the workspace of the current request; empty if it is not known.
  void SetWorkspace(std::string_view workspace);

  uint64_t held_bytes() const { return held_; }
  uint64_t held_bytes(ClientMemory use) const {
    return uses_.at(static_cast<size_t>(use));
  }

 private:
  friend class ClientBudget;

  ClientBudget& budget_;
  Owner& owner_;
  std::array<uint64_t, kClientMemoryKinds> uses_{};
  uint64_t held_ = 0;
  bool is_large_ = false;
  std::string workspace_;
  bool is_receiving_ = false;
  bool is_yielding_ = false;  // Inside OnReclaimed().
  kernel::TimePoint began_at_{};
  kernel::TimePoint progressed_at_{};
  uint64_t received_ = 0;  // Since then.
  kernel::TimePoint read_at_;
};

}  // namespace jackdawshunt::http1

#endif  // JACKDAWSHUNT_HTTP1_CLIENT_BUDGET_H_
