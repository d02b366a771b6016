// Settings of one process as the platform hands them out: lines "a.b=value",
// lists joined by commas.
//
// Example:
//   absl::StatusOr<platform::InstanceSettings> settings =
//       platform::LoadSettings(platform::SettingsPath());
//
// Unknown fields are ignored. Errors name the file, the field, the value and
// what is allowed.
#ifndef JACKDAWSHUNT_PLATFORM_SETTINGS_H_
#define JACKDAWSHUNT_PLATFORM_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "jackdawshunt/http/http.h"
#include "jackdawshunt/kernel/clock.h"

namespace jackdawshunt::platform {

// Time limits and rates that the operator of the installation promises to its
// users. The defaults are those of the smallest installation known.
struct Promises {
  // A machine keeps its promises once it has been undisturbed for so long.
  kernel::Duration contact = std::chrono::milliseconds(3000);
  // A leaving upstream gets no new request after this time.
  kernel::Duration drain = std::chrono::milliseconds(2000);
  // From SIGTERM to SIGKILL.
  kernel::Duration termination_grace = std::chrono::seconds(8);
  // A configuration change is in force within this time.
  kernel::Duration configuration = std::chrono::milliseconds(2000);
  // A revoked API key is refused after this time, by every process.
  kernel::Duration revocation = std::chrono::milliseconds(5000);
  bool is_revocation_strict = true;
  double retry_ratio = 0.1;
  kernel::Duration retry_window = std::chrono::seconds(10);
  double retry_slack = 0;
  // Workspaces are owed their shares in each such span.
  kernel::Duration share_window = std::chrono::seconds(4);
};

struct InstanceSettings {
  std::string instance;
  std::string data_centre;
  std::string ip;
  // Absent where the machine does not serve callers.
  std::optional<http::Address> callers;
  std::optional<http::Address> readiness;
  // Ports between processes of the system, the same on all machines.
  uint16_t first_internal_port = 0;
  uint16_t last_internal_port = 0;
  // Control addresses of up to three machines; may be stale.
  std::vector<http::Address> seeds;
  // The upstream on the same machine.
  std::optional<http::Address> local_upstream;
  http::Address store;
  // How often an upstream writes its entry.
  kernel::Duration heartbeat = std::chrono::milliseconds(1200);
  uint64_t memory_bytes = uint64_t{192} * 1024 * 1024;
  uint32_t file_descriptors = 1024;
  double cpu_share = 1.0;
  Promises promises;
};

// Path given by the platform's environment variable, else its default path.
std::string SettingsPath();

// Errors: NotFound when the file cannot be read, InvalidArgument.
absl::StatusOr<InstanceSettings> LoadSettings(const std::string& path);
absl::StatusOr<InstanceSettings> ParseSettings(std::string_view text,
                                               std::string_view path);

// As LoadSettings() for a process that starts: the platform's path when `path`
// is empty. Logs a fault and returns nothing.
std::optional<InstanceSettings> LoadForProcess(const std::string& path);

}  // namespace jackdawshunt::platform

#endif  // JACKDAWSHUNT_PLATFORM_SETTINGS_H_
