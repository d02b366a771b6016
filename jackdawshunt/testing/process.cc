#include "jackdawshunt/testing/process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

#include "absl/strings/str_cat.h"

extern char** environ;

namespace jackdawshunt::testing {
namespace {

constexpr std::chrono::milliseconds kPollPeriod{5};

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

std::string StandInsBinary() {
  return STAND_INS_BINARY;
}

std::string MainBinary() {
  return MAIN_BINARY;
}

bool PollUntil(const std::function<bool()>& condition,
               std::chrono::milliseconds deadline) {
  const auto end = std::chrono::steady_clock::now() + deadline;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
  return true;
}

TemporaryFolder::TemporaryFolder() {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "jackdawshunt-XXXXXX").string();
  if (mkdtemp(pattern.data()) != nullptr) {
    path_ = pattern;
  }
}

TemporaryFolder::~TemporaryFolder() {
  if (!path_.empty() && std::getenv("JACKDAWSHUNT_KEEP_FOLDERS") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
}

std::string Process::PortsFile(const ProcessOptions& options) {
  return absl::StrCat(options.folder, "/", options.name, ".ports");
}

absl::StatusOr<std::unique_ptr<Process>> Process::Start(
    ProcessOptions options) {
  if (options.add_ports_argument && options.has_ports_file) {
    options.command.insert(options.command.end(),
                           {"--ports-file", PortsFile(options)});
  }
  std::error_code ignored;
  std::filesystem::remove(PortsFile(options), ignored);
  std::unique_ptr<Process> process(new Process(std::move(options)));
  if (const absl::Status status = process->Spawn(); !status.ok()) {
    return status;
  }
  if (process->options_.has_ports_file) {
    if (const absl::Status status = process->WaitForPorts(); !status.ok()) {
      return status;
    }
  }
  return process;
}

absl::Status Process::Spawn() {
  // "exec" replaces itself by the program, which then dies with this process.
  std::vector<std::string> command = {StandInsBinary(), "exec"};
  command.insert(command.end(), options_.command.begin(),
                 options_.command.end());
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (std::string& argument : command) {
    arguments.push_back(argument.data());
  }
  arguments.push_back(nullptr);
  const std::string log =
      absl::StrCat(options_.folder, "/", options_.name, ".log");
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null",
                                   O_RDONLY, 0);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int error = posix_spawn(&pid_, arguments[0], &actions, nullptr,
                                arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    pid_ = -1;
    return absl::InternalError(
        absl::StrCat("cannot start ", options_.command[0], ": error ", error));
  }
  return absl::OkStatus();
}

absl::Status Process::WaitForPorts() {
  const std::string path = PortsFile(options_);
  const bool is_decided = PollUntil([&] {
    ports_ = nlohmann::json::parse(ReadFile(path), nullptr,
                                   /*allow_exceptions=*/false);
    return ports_.is_object() || !is_running();
  });
  if (!is_decided) {
    return absl::DeadlineExceededError(absl::StrCat("no ports file ", path));
  }
  if (!ports_.is_object()) {
    return absl::AbortedError(absl::StrCat(options_.name, " exited with ",
                                           *exit_code_, ":\n", Log()));
  }
  return absl::OkStatus();
}

Process::~Process() {
  Kill();
}

uint16_t Process::Port(std::string_view name) const {
  const auto found = ports_.find(name);
  return found == ports_.end() ? 0 : found->get<uint16_t>();
}

std::string Process::Log() const {
  return ReadFile(absl::StrCat(options_.folder, "/", options_.name, ".log"));
}

void Process::Signal(int signal_number) {
  if (is_running()) {
    kill(pid_, signal_number);
  }
}

void Process::Kill() {
  Signal(SIGKILL);
  WaitForExit();
}

void Process::Pause() {
  Signal(SIGSTOP);
}

void Process::Continue() {
  Signal(SIGCONT);
}

void Process::Terminate() {
  Signal(SIGTERM);
}

void Process::Reap() {
  int status = 0;
  if (pid_ > 0 && !exit_code_.has_value() &&
      waitpid(pid_, &status, WNOHANG) == pid_) {
    exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }
}

bool Process::is_running() {
  Reap();
  return pid_ > 0 && !exit_code_.has_value();
}

std::optional<int> Process::WaitForExit(std::chrono::milliseconds deadline) {
  PollUntil([this] { return !is_running(); }, deadline);
  return exit_code_;
}

}  // namespace jackdawshunt::testing
