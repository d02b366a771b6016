// Parses the settings file that the platform writes for each process: lines
// "a.b=value", with lists separated by commas.
//
// Example:
//   absl::StatusOr<platform::InstanceSettings> settings =
//       platform::LoadSettings(platform::SettingsPath());
//
// Unknown fields are ignored. Errors name the file, the field, the value and
// the allowed values.
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

// Time limits and rates that the operator of the installation guarantees to its
// users. The defaults are those of the smallest known installation.
struct Promises {
  // The guarantees hold on a machine that has been undisturbed for this long.
  kernel::Duration contact = std::chrono::milliseconds(3000);
  // A draining upstream receives no new request after this time.
  kernel::Duration drain = std::chrono::milliseconds(2000);
  // Time from SIGTERM to SIGKILL.
  kernel::Duration termination_grace = std::chrono::seconds(8);
  // A configuration change is in effect within this time.
  kernel::Duration configuration = std::chrono::milliseconds(2000);
  // Every process refuses a revoked API key after this time.
  kernel::Duration revocation = std::chrono::milliseconds(5000);
  bool is_revocation_strict = true;
  // Nothing is sent to the upstreams of an evacuated data centre after this
  // time; absent where data centres are not evacuated.
  std::optional<kernel::Duration> evacuation;
  // In one second a cold upstream gets at most this factor of the rate that it
  // bears, and `cold_slack` requests.
  double cold_overage = 1.0;
  double cold_slack = 0;
  double retry_ratio = 0.1;
  kernel::Duration retry_window = std::chrono::seconds(10);
  double retry_slack = 0;
  // Each workspace is entitled to its share in every window of this length.
  kernel::Duration share_window = std::chrono::seconds(4);
};

struct InstanceSettings {
  std::string instance;
  std::string data_centre;
  std::string ip;
  // Addresses to listen on. Absent when the machine does not serve callers.
  std::optional<http::Address> callers;
  std::optional<http::Address> readiness;
  // Ports for connections between processes of the fleet, the same on all
  // machines.
  uint16_t first_internal_port = 0;
  uint16_t last_internal_port = 0;
  // Control addresses of up to three machines, possibly out of date.
  std::vector<http::Address> seeds;
  // The upstream on the same machine.
  std::optional<http::Address> local_upstream;
  http::Address store;
  // Period in which an upstream refreshes its record.
  kernel::Duration heartbeat = std::chrono::milliseconds(1200);
  uint64_t memory_bytes = uint64_t{192} * 1024 * 1024;
  // Memory that the requests and responses of callers may take together, in
  // bytes. Absent: half of `memory_bytes`.
  std::optional<uint64_t> client_memory_bytes;
  uint32_t file_descriptors = 1024;
  double cpu_share = 1.0;
  Promises promises;
};

// Returns the path in the environment variable JACKDAWSHUNT_BOOT, or the
// default path when it is not set.
std::string SettingsPath();

// Returns the settings in the file at `path`. Errors: NotFound when the file
// cannot be read; InvalidArgument when a field is missing or invalid.
absl::StatusOr<InstanceSettings> LoadSettings(const std::string& path);
// Parses `text`; errors name `path`. Error: InvalidArgument.
absl::StatusOr<InstanceSettings> ParseSettings(std::string_view text,
                                               std::string_view path);

// Loads the settings of a starting process from `path`, or from SettingsPath()
// when `path` is empty. Logs an error and returns nullopt when this fails.
std::optional<InstanceSettings> LoadForProcess(const std::string& path);

}  // namespace jackdawshunt::platform

#endif  // JACKDAWSHUNT_PLATFORM_SETTINGS_H_
