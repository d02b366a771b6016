#include "jackdawshunt/testing/platform/process_watch.h"

#include <arpa/inet.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <system_error>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace jackdawshunt::testing {
namespace {

constexpr std::chrono::milliseconds kPeriod{10};

// Returns the address as the kernel prints it: a hexadecimal number in the byte
// order of the machine.
std::string HexAddress(const std::string& ip) {
  in_addr address{};
  inet_pton(AF_INET, ip.c_str(), &address);
  return absl::StrFormat("%08X", address.s_addr);
}

uint64_t ResidentBytes(pid_t pid) {
  std::ifstream file(absl::StrCat("/proc/", pid, "/statm"));
  uint64_t total = 0;
  uint64_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<uint64_t>(sysconf(_SC_PAGESIZE));
}

uint64_t OpenDescriptors(pid_t pid) {
  std::error_code error;
  const std::filesystem::directory_iterator first(
      absl::StrCat("/proc/", pid, "/fd"), error);
  return error ? 0
               : static_cast<uint64_t>(std::distance(
                     first, std::filesystem::directory_iterator()));
}

// Returns the bytes that wait in the kernel, received or to be sent.
uint64_t QueuedBytes(const std::string& ip) {
  std::ifstream file("/proc/net/tcp");
  uint64_t sum = 0;
  std::string line;
  std::getline(file, line);
  while (std::getline(file, line)) {
    char local[9] = {};
    unsigned local_port = 0;
    unsigned remote_port = 0;
    unsigned state = 0;
    unsigned long to_send = 0;
    unsigned long received = 0;
    constexpr unsigned kListening = 0x0A;  // The queues hold connections.
    if (std::sscanf(line.c_str(),
                    " %*d: %8[0-9A-F]:%x %*8[0-9A-F]:%x %x %lx:%lx", local,
                    &local_port, &remote_port, &state, &to_send,
                    &received) == 6 &&
        ip == local && state != kListening) {
      sum += to_send + received;
    }
  }
  return sum;
}

}  // namespace

ProcessWatch::ProcessWatch(pid_t pid, const std::string& ip)
    : pid_(pid), ip_(HexAddress(ip)), thread_([this] { Run(); }) {}

ProcessWatch::~ProcessWatch() {
  Stop();
}

ProcessPeaks ProcessWatch::Stop() {
  is_stopping_ = true;
  if (thread_.joinable()) {
    thread_.join();
  }
  return peaks_;
}

void ProcessWatch::Run() {
  while (!is_stopping_) {
    peaks_.memory_bytes =
        std::max(peaks_.memory_bytes, ResidentBytes(pid_) + QueuedBytes(ip_));
    peaks_.descriptors = std::max(peaks_.descriptors, OpenDescriptors(pid_));
    std::this_thread::sleep_for(kPeriod);
  }
}

}  // namespace jackdawshunt::testing
