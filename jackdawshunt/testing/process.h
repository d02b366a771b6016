// Processes under test: start, signals, exit with a deadline, cleanup.
//
// Example:
//   testing::TemporaryFolder folder;
//   auto engine = testing::Process::Start(
//       {.command = {testing::StandInsBinary(), "engine"},
//        .folder = folder.path(), .name = "engine-0"});
//   (*engine)->Port("port");
//   (*engine)->Terminate();
//   std::optional<int> code = (*engine)->WaitForExit(std::chrono::seconds(30));
//
// Not thread-safe. Blocking calls are for tests only.
#ifndef JACKDAWSHUNT_TESTING_PROCESS_H_
#define JACKDAWSHUNT_TESTING_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "nlohmann/json.hpp"

namespace jackdawshunt::testing {

// Far above what any step of a test needs on a busy machine.
inline constexpr std::chrono::seconds kDeadline{60};

// Paths of the programs of this build.
std::string StandInsBinary();
std::string MainBinary();

// Evaluates `condition` every few milliseconds until it holds. Returns false
// when `deadline` has passed before.
bool PollUntil(const std::function<bool()>& condition,
               std::chrono::milliseconds deadline = kDeadline);

// A new empty folder, removed with its content on destruction. Failed tests
// keep theirs, with the logs, when JACKDAWSHUNT_KEEP_FOLDERS is set.
class TemporaryFolder {
 public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

struct ProcessOptions {
  std::vector<std::string> command;  // Program path and arguments.
  std::string folder;                // For the ports file and the logs.
  std::string name;                  // Of these files.
  // Appends "--ports-file <folder>/<name>.ports" to the command; otherwise the
  // settings of the process name the same file.
  bool add_ports_argument = true;
  // Whether the process writes a ports file, which Start() then waits for.
  bool has_ports_file = true;
};

// One child process; killed and waited for on destruction. It is also killed
// when this process dies.
class Process {
 public:
  // Starts the program and waits until it has written its ports file.
  // Errors: Internal when it cannot be started, Aborted when it exits before,
  // DeadlineExceeded.
  static absl::StatusOr<std::unique_ptr<Process>> Start(ProcessOptions options);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  pid_t pid() const { return pid_; }
  const std::string& name() const { return options_.name; }
  // Content of the ports file.
  const nlohmann::json& ports() const { return ports_; }
  // Returns a port by its name in the ports file; 0 when it has none.
  uint16_t Port(std::string_view name) const;
  // Content of standard output and standard error so far.
  std::string Log() const;

  void Signal(int signal_number);
  void Kill();       // SIGKILL, and waits for the exit.
  void Pause();      // SIGSTOP
  void Continue();   // SIGCONT
  void Terminate();  // SIGTERM
  bool is_running();
  // Returns the exit code, or minus the signal that ended the process; absent
  // when the deadline passed before.
  std::optional<int> WaitForExit(
      std::chrono::milliseconds deadline = kDeadline);

  // Path of the ports file for given options, for settings files.
  static std::string PortsFile(const ProcessOptions& options);

 private:
  explicit Process(ProcessOptions options) : options_(std::move(options)) {}

  absl::Status Spawn();
  absl::Status WaitForPorts();
  void Reap();

  ProcessOptions options_;
  pid_t pid_ = -1;
  std::optional<int> exit_code_;
  nlohmann::json ports_;
};

}  // namespace jackdawshunt::testing

#endif  // JACKDAWSHUNT_TESTING_PROCESS_H_
