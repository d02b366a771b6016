// Names what the event loop of this thread works on, for the report of a loop
// that does not return (loop_watchdog.h).
//
// Example:
//   void OnReadable() {
//     const kernel::LoopWork work(kernel::LoopWorkKind::kConnection, peer_);
//     ...
//   }
#ifndef JACKDAWSHUNT_KERNEL_LOOP_WORK_H_
#define JACKDAWSHUNT_KERNEL_LOOP_WORK_H_

#include <netinet/in.h>

#include <cstdint>
#include <string_view>

namespace jackdawshunt::kernel {

enum class LoopWorkKind : uint8_t {
  kConnection,  // Input or output of a connected socket.
  kMessage,     // A datagram or response that was received whole.
};
std::string_view LoopWorkKindName(LoopWorkKind kind);

// Names the work from construction to destruction. Work within other work hides
// it for its time.
class LoopWork {
 public:
  // `peer` is the address of the other side; port 0 if it is unknown. It must
  // outlive the work.
  LoopWork(LoopWorkKind kind, const sockaddr_in& peer)
      : kind_(kind), peer_(peer), outer_(current_) {
    current_ = this;
  }
  ~LoopWork() { current_ = outer_; }
  LoopWork(const LoopWork&) = delete;
  LoopWork& operator=(const LoopWork&) = delete;

  // Returns what this thread works on; null if nothing is named. May be called
  // by a signal handler.
  static const LoopWork* current() { return current_; }

  LoopWorkKind kind() const { return kind_; }
  const sockaddr_in& peer() const { return peer_; }

 private:
  static inline constinit thread_local const LoopWork* volatile current_ =
      nullptr;

  const LoopWorkKind kind_;
  const sockaddr_in& peer_;
  const LoopWork* const outer_;
};

// Returns the address of the other side of a connected socket, to be kept for
// LoopWork, since it can no longer be read once the other side has left. Port 0
// if it is not an IPv4 address.
sockaddr_in PeerOf(int fd);

}  // namespace jackdawshunt::kernel

#endif  // JACKDAWSHUNT_KERNEL_LOOP_WORK_H_
