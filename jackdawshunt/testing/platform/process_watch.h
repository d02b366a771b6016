// Samples the memory and the open descriptors of a process.
//
// Example:
//   testing::ProcessWatch watch(gateway.pid(), "127.16.1.1");
//   // ... load ...
//   EXPECT_LE(watch.Stop().memory_bytes, uint64_t{64} << 20);
//
// Samples are taken on a thread of its own, every few milliseconds.
#ifndef JACKDAWSHUNT_TESTING_PLATFORM_PROCESS_WATCH_H_
#define JACKDAWSHUNT_TESTING_PLATFORM_PROCESS_WATCH_H_

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>

namespace jackdawshunt::testing {

// The highest values seen.
struct ProcessPeaks {
  // Resident memory and the bytes in the kernel's queues of the process's TCP
  // sockets, at the same time.
  uint64_t memory_bytes = 0;
  uint64_t descriptors = 0;
};

class ProcessWatch {
 public:
  // Watches the process, whose TCP sockets are all those bound to `ip`.
  ProcessWatch(pid_t pid, const std::string& ip);
  ~ProcessWatch();
  ProcessWatch(const ProcessWatch&) = delete;
  ProcessWatch& operator=(const ProcessWatch&) = delete;

  // Ends the watch, if it has not ended, and returns its result.
  ProcessPeaks Stop();

 private:
  void Run();

  const pid_t pid_;
  const std::string ip_;  // As in /proc/net/tcp.
  std::atomic<bool> is_stopping_ = false;
  ProcessPeaks peaks_;
  std::thread thread_;
};

}  // namespace jackdawshunt::testing

#endif  // JACKDAWSHUNT_TESTING_PLATFORM_PROCESS_WATCH_H_
