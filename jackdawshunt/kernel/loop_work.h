// Names what the event loop of this thread works on, for the report of a loop
// that does not return (loop_watchdog.h).
//
// Example:
//   void OnReadable() {
//     const auto work = kernel::LoopWork::OnConnection(fd_);
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
  // `fd` is only read for a report.
  static LoopWork OnConnection(int fd) { return {fd, nullptr}; }
  // `sender` must outlive the work.
  static LoopWork OnMessage(const sockaddr_in& sender) { return {-1, &sender}; }
  ~LoopWork() { current_ = outer_; }
  LoopWork(const LoopWork&) = delete;
  LoopWork& operator=(const LoopWork&) = delete;

  // Returns what this thread works on; null if nothing is named. May be called
  // by a signal handler.
  static const LoopWork* current() { return current_; }

  LoopWorkKind kind() const {
    return sender_ == nullptr ? LoopWorkKind::kConnection
                              : LoopWorkKind::kMessage;
  }
  // Returns the address of the other side, with port 0 if the connection was
  // closed meanwhile. May be called by a signal handler.
  sockaddr_in peer() const;

 private:
  LoopWork(int fd, const sockaddr_in* sender)
      : fd_(fd), sender_(sender), outer_(current_) {
    current_ = this;
  }

  static inline constinit thread_local const LoopWork* volatile current_ =
      nullptr;

  const int fd_;
  const sockaddr_in* const sender_;
  const LoopWork* const outer_;
};

}  // namespace jackdawshunt::kernel

#endif  // JACKDAWSHUNT_KERNEL_LOOP_WORK_H_
