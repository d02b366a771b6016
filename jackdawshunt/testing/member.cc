#include "jackdawshunt/testing/member.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <fstream>
#include <sstream>
#include <utility>

#include "absl/strings/str_cat.h"
#include "jackdawshunt/base/crypto.h"
#include "jackdawshunt/testing/http_helper.h"

extern char** environ;

namespace jackdawshunt::testing {
namespace {

using nlohmann::json;

// The key of all processes of a Fleet.
constexpr std::string_view kFleetKey = "key-of-the-test-fleet-0123456789";

json SettingsOf(const Fleet& fleet, const MemberOptions& options) {
  const bool is_side = !options.upstream.empty();
  const http::Address platform =
      options.platform.port == 0 ? fleet.PlatformAddress() : options.platform;
  json settings = {{"instance", options.instance},
                   {"region", "test-region"},
                   {"data_centre", options.data_centre},
                   {"fleet_key", kFleetKey},
                   {"process", "127.0.0.1:0"},
                   {"operator", "127.0.0.1:0"},
                   {"operator_token_sha256", base::Sha256Hex(kOperatorToken)},
                   {"platform", platform.ToString()}};
  if (is_side) {
    settings["upstream"] = options.upstream;
    settings["upstream_address"] = options.upstream_address.ToString();
  } else {
    settings["caller"] = "127.0.0.1:0";
    settings["drain_lag_ms"] = 0;
  }
  if (!options.settings.is_null()) {
    settings.merge_patch(options.settings);
  }
  return settings;
}

absl::Status Register(const Fleet& fleet,
                      const MemberOptions& options,
                      const Process& process) {
  const http::Address process_address{"127.0.0.1", process.Port("process")};
  const json row = {{"instance", options.instance},
                    {"role", options.upstream.empty() ? "entry" : "side"},
                    {"region", "test-region"},
                    {"data_centre", options.data_centre},
                    {"process", process_address.ToString()},
                    {"operator", OperatorAddress(process).ToString()},
                    {"state", "live"}};
  return FetchJson(fleet.PlatformAddress(),
                   {.method = "PUT",
                    .path = absl::StrCat("/admin/instances/", options.instance),
                    .body = row.dump()})
      .status();
}

}  // namespace

absl::StatusOr<std::unique_ptr<Process>> StartMember(
    const Fleet& fleet,
    const std::string& folder,
    const MemberOptions& options) {
  ProcessOptions process_options{
      .folder = folder, .name = options.instance, .add_ports_argument = false};
  const std::string path = absl::StrCat(folder, "/", options.instance, ".json");
  process_options.command = {MainBinary(),
                             options.upstream.empty() ? "entry" : "side",
                             "--settings", path};
  json settings = SettingsOf(fleet, options);
  settings["ports_file"] = Process::PortsFile(process_options);
  std::ofstream(path) << settings.dump(2) << '\n';
  auto process = Process::Start(std::move(process_options));
  if (!process.ok()) {
    return process.status();
  }
  if (absl::Status status = Register(fleet, options, **process); !status.ok()) {
    return status;
  }
  return process;
}

http::Address OperatorAddress(const Process& process) {
  return {"127.0.0.1", process.Port("operator")};
}

std::optional<json> ReadStatus(const http::Address& operator_address) {
  const auto response =
      Fetch(operator_address,
            {.path = "/status",
             .headers = {{"Authorization",
                          std::string("Bearer ").append(kOperatorToken)}}},
            std::chrono::milliseconds(2000));
  if (!response.ok() || response->status != 200) {
    return std::nullopt;
  }
  json status = json::parse(response->body, nullptr, false);
  return status.is_object() ? std::optional(std::move(status)) : std::nullopt;
}

uint64_t VersionAt(const http::Address& operator_address,
                   const std::string& key) {
  const auto status = ReadStatus(operator_address);
  return status.has_value() ? (*status)["versions"].value(key, uint64_t{0}) : 0;
}

std::vector<http::Address> AllOperatorAddresses(Fleet& fleet) {
  std::vector<http::Address> addresses;
  for (size_t i = 0; i < fleet.entry_count(); ++i) {
    addresses.push_back(fleet.EntryOperatorAddress(i));
  }
  for (size_t i = 0; i < fleet.sides().size(); ++i) {
    addresses.push_back(fleet.SideOperatorAddress(i));
  }
  return addresses;
}

CommandResult RunMain(const std::string& folder,
                      const std::string& name,
                      const std::vector<std::string>& arguments) {
  std::vector<std::string> command = {MainBinary()};
  command.insert(command.end(), arguments.begin(), arguments.end());
  std::vector<char*> raw;
  raw.reserve(command.size() + 1);
  for (std::string& argument : command) {
    raw.push_back(argument.data());
  }
  raw.push_back(nullptr);
  const std::string path = absl::StrCat(folder, "/", name, ".out");
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, path.c_str(),
                                   O_WRONLY | O_CREAT | O_TRUNC, 0600);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  pid_t pid = -1;
  const int error =
      posix_spawn(&pid, raw[0], &actions, nullptr, raw.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  CommandResult result;
  int status = 0;
  if (error == 0 && waitpid(pid, &status, 0) == pid && WIFEXITED(status)) {
    result.exit_code = WEXITSTATUS(status);
  }
  std::ostringstream text;
  text << std::ifstream(path).rdbuf();
  result.output = text.str();
  return result;
}

}  // namespace jackdawshunt::testing
