// Entry point of the binary: parses the command line and runs one command.
#include <cmath>
#include <cstdint>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "CLI/CLI.hpp"
#include "jackdawshunt/cli/admin.h"
#include "jackdawshunt/cli/exit_code.h"
#include "jackdawshunt/cli/files.h"
#include "jackdawshunt/kernel/registry.h"
#include "jackdawshunt/kernel/role.h"
#include "jackdawshunt/object_api/address.h"
#include "jackdawshunt/records/records.h"

namespace jackdawshunt::cli {
namespace {

constexpr char kFooter[] = R"(
Exit codes:
  0  done
  1  failed: the platform or a port is not available, or the outcome is unknown
  2  invalid settings, record or arguments
  3  lost race: the object does not have the expected version; nothing written
  4  not in force at every live instance in time

A record file holds one record or a JSON array of records. Settings and record
files are JSON with comments; examples/reference/ has one of each kind.
)";

// Values of the options of all commands.
struct Options {
  std::string settings;
  std::string role;
  std::vector<std::string> files;
  std::string platform;
  std::string operator_token;
  std::string kind;
  std::string name;
  double wait_seconds = 0;
  uint64_t expect = 0;
  bool as_json = false;
  CLI::Option* wait_option = nullptr;
  CLI::Option* expect_option = nullptr;
};

int ToInt(ExitCode code) {
  return static_cast<int>(code);
}

int RunRole(const std::string& name, const Options& options) {
  const auto role = kernel::Registry<kernel::Role>::Create(name);
  if (role == nullptr) {
    std::cerr << "this binary has no role \"" << name << "\"\n";
    return ToInt(ExitCode::kFailed);
  }
  return role->Run(options.settings);
}

ExitCode Check(const Options& options) {
  size_t invalid_files = 0;
  for (const std::string& file : options.files) {
    const auto errors = CheckFile(file, protocol::ParseRole(options.role));
    for (const std::string& error : errors) {
      std::cerr << error << "\n";
    }
    invalid_files += errors.empty() ? 0 : 1;
  }
  if (invalid_files > 0) {
    std::cerr << invalid_files << " of " << options.files.size()
              << " files are invalid\n";
    return ExitCode::kInvalid;
  }
  std::cout << options.files.size() << " files are valid\n";
  return ExitCode::kDone;
}

// Runs a command that calls the platform.
template <typename Command>
ExitCode WithAdmin(const Options& options, const Command& command) {
  kernel::EventLoop loop;
  object_api::Client client(loop, *object_api::ParseAddress(options.platform));
  Admin admin(loop, client, std::cout, std::cerr);
  return command(admin);
}

WriteOptions ToWriteOptions(const Options& options) {
  constexpr double kMicrosecondsPerSecond = 1e6;
  WriteOptions write{.operator_token = options.operator_token};
  if (options.expect_option != nullptr && options.expect_option->count() > 0) {
    write.expect = options.expect;
  }
  if (options.wait_option != nullptr && options.wait_option->count() > 0) {
    write.wait = kernel::Duration(
        std::llround(options.wait_seconds * kMicrosecondsPerSecond));
  }
  return write;
}

ExitCode Apply(const Options& options) {
  std::vector<std::string> errors;
  std::vector<RecordText> records;
  for (const std::string& file : options.files) {
    for (RecordText& record : ReadRecordFile(file, errors)) {
      records.push_back(std::move(record));
    }
  }
  for (const std::string& error : errors) {
    std::cerr << error << "\n";
  }
  if (!errors.empty()) {
    return ExitCode::kInvalid;
  }
  return WithAdmin(options, [&](Admin& admin) {
    return admin.Apply(records, ToWriteOptions(options));
  });
}

ExitCode Get(const Options& options) {
  std::string key = "config/";
  if (!options.kind.empty()) {
    key += options.kind + "/";
  }
  key += options.name;
  return WithAdmin(options, [&](Admin& admin) { return admin.Get(key); });
}

ExitCode Delete(const Options& options) {
  return WithAdmin(options, [&](Admin& admin) {
    return admin.Delete("config/" + options.kind + "/" + options.name,
                        ToWriteOptions(options));
  });
}

ExitCode Status(const Options& options) {
  return WithAdmin(options, [&](Admin& admin) {
    return admin.Status(options.operator_token, options.as_json);
  });
}

std::string CheckAddress(const std::string& text) {
  const auto address = object_api::ParseAddress(text);
  return address.has_value() && address->port != 0
             ? ""
             : "must be IP:PORT, not a host name";
}

void AddPlatform(CLI::App& command, Options& options) {
  command
      .add_option("--platform", options.platform,
                  "Address of the platform's object API")
      ->required()
      ->type_name("IP:PORT")
      ->envname("JACKDAWSHUNT_PLATFORM")
      ->check(CLI::Validator(CheckAddress, ""));
}

void AddOperatorToken(CLI::App& command, Options& options) {
  command
      .add_option("--operator-token", options.operator_token,
                  "Bearer token for /status on the operator ports; the "
                  "environment variable keeps it out of the process list")
      ->type_name("TOKEN")
      ->envname("JACKDAWSHUNT_OPERATOR_TOKEN");
}

void AddWriteOptions(CLI::App& command, Options& options) {
  AddPlatform(command, options);
  AddOperatorToken(command, options);
  auto* wait =
      command
          .add_option("--wait", options.wait_seconds,
                      "Wait until the change is in force at every live "
                      "instance; exit code 4 when it is not by then")
          ->type_name("SECONDS")
          ->check(CLI::Range(0.0, 86400.0));
  auto* expect =
      command
          .add_option("--expect", options.expect,
                      "Version that the record must have, 0 when it must not "
                      "exist; default: the version read before the write")
          ->type_name("VERSION");
  // Both commands have these options; use those of the command that was parsed.
  command.callback([&options, wait, expect] {
    options.wait_option = wait;
    options.expect_option = expect;
  });
}

void AddKindAndName(CLI::App& command, Options& options, bool is_required) {
  command
      .add_option("KIND", options.kind, "workspace, model, upstream or policy")
      ->required(is_required)
      ->check(CLI::IsMember({"workspace", "model", "upstream", "policy"}));
  command.add_option("NAME", options.name, "Name of the record")
      ->required(is_required);
}

CLI::App* AddRole(CLI::App& app,
                  const std::string& name,
                  const std::string& description,
                  bool needs_settings,
                  Options& options) {
  CLI::App* command = app.add_subcommand(name, description);
  command->add_option("--settings", options.settings, "Settings file")
      ->required(needs_settings)
      ->type_name("FILE");
  return command;
}

void AddChecks(CLI::App& app, Options& options) {
  CLI::App* check = app.add_subcommand(
      "check",
      "Check settings and record files and print every error as "
      "FILE: JSON pointer: value: what is allowed");
  check
      ->add_option("--role", options.role,
                   "Role of the settings files; default: side for a file "
                   "with \"upstream\", else entry")
      ->check(CLI::IsMember({"entry", "side"}));
  check->add_option("FILE", options.files, "Settings or record files")
      ->required();
}

void AddAdministration(CLI::App& app, Options& options) {
  CLI::App* apply = app.add_subcommand(
      "apply",
      "Write records by conditional updates. Nothing is written when a file "
      "is invalid or two workspaces claim the same token; a record that is "
      "already stored with the same value is left unchanged");
  AddWriteOptions(*apply, options);
  apply->add_option("FILE", options.files, "Record files")->required();
  CLI::App* get = app.add_subcommand(
      "get", "Print one record, the records of a kind, or all");
  AddPlatform(*get, options);
  AddKindAndName(*get, options, /*is_required=*/false);
  CLI::App* remove =
      app.add_subcommand("delete", "Delete a record by a conditional update");
  AddWriteOptions(*remove, options);
  AddKindAndName(*remove, options, /*is_required=*/true);
  CLI::App* status = app.add_subcommand(
      "status",
      "Print the instances with their configuration revision and rejected "
      "records; exit code 1 when a live instance cannot be read");
  AddPlatform(*status, options);
  AddOperatorToken(*status, options);
  status->add_flag("--json", options.as_json, "Print JSON");
}

int RunCommand(const std::string& name, const Options& options) {
  using Command = ExitCode (*)(const Options&);
  static const std::map<std::string, Command> commands = {
      {"check", Check},   {"apply", Apply},   {"get", Get},
      {"delete", Delete}, {"status", Status},
  };
  if (name == "version") {
    std::cout << "jackdawshunt " << JACKDAWSHUNT_VERSION << "\n";
    return ToInt(ExitCode::kDone);
  }
  const auto found = commands.find(name);
  return found == commands.end() ? RunRole(name, options)
                                 : ToInt(found->second(options));
}

int Main(int argc, char** argv) {
  Options options;
  CLI::App app(
      "Routes requests from callers to model engines and plain services, with "
      "fair shares for workspaces.",
      "jackdawshunt");
  app.require_subcommand(1);
  app.footer(kFooter);
  AddRole(app, "entry",
          "Run the entry role: accept and queue requests of callers",
          /*needs_settings=*/true, options);
  AddRole(app, "gateway",
          "Run the gateway role: serve callers on the users' platform; without "
          "--settings the file is the one given by the platform",
          /*needs_settings=*/false, options);
  AddRole(app, "board",
          "Run the board role: report the load of the engine beside it to "
          "gateways; without --settings the file is the one given by the "
          "platform",
          /*needs_settings=*/false, options);
  AddRole(app, "side",
          "Run the side role: the only path to the upstream beside it",
          /*needs_settings=*/true, options);
  AddChecks(app, options);
  AddAdministration(app, options);
  app.add_subcommand("version", "Print the version");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? ToInt(ExitCode::kDone)
                                : ToInt(ExitCode::kInvalid);
  }
  return RunCommand(app.get_subcommands().front()->get_name(), options);
}

}  // namespace
}  // namespace jackdawshunt::cli

int main(int argc, char** argv) {
  return jackdawshunt::cli::Main(argc, argv);
}
