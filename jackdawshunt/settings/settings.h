// Reads and validates the settings of a process, a JSON file with comments.
//
// Example:
//   absl::StatusOr<settings::Settings> settings =
//       settings::Load("entry.json", protocol::Role::kEntry);
#ifndef JACKDAWSHUNT_SETTINGS_SETTINGS_H_
#define JACKDAWSHUNT_SETTINGS_SETTINGS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "jackdawshunt/http/http.h"
#include "jackdawshunt/protocol/messages.h"

namespace jackdawshunt::settings {

// The fields in the file have the names of the members, unless stated
// otherwise.
struct Settings {
  std::string instance;
  std::string region;
  std::string data_centre;
  std::string fleet_key;  // At least 16 characters.
  http::Address caller;   // Entry only. In the file as "127.0.0.1:8080".
  http::Address process;
  http::Address operator_address;  // "operator" in the file.
  std::string operator_token_sha256;
  http::Address platform;
  // Side only: the upstream that the side serves.
  std::string upstream;
  http::Address upstream_address;
  std::string log_level = "info";
  std::string ports_file;       // Optional; receives the bound ports as JSON.
  int64_t drain_lag_ms = 5000;  // Entry only.
  int64_t max_header_bytes = int64_t{16} * 1024;  // Entry only.
  int64_t max_body_bytes = int64_t{1024} * 1024;  // Entry only.
  int64_t stream_buffer_bytes = int64_t{256} * 1024;
};

// Returns all validation errors, each as "<file>: <JSON pointer>: <value>:
// <requirement>". Empty if the settings are valid for the role.
std::vector<std::string> ValidationErrors(std::string_view file,
                                          std::string_view text,
                                          protocol::Role role);

// Returns the settings, NotFound if the file cannot be read, or InvalidArgument
// with all validation errors, one a line.
absl::StatusOr<Settings> Load(const std::string& path, protocol::Role role);

}  // namespace jackdawshunt::settings

#endif  // JACKDAWSHUNT_SETTINGS_SETTINGS_H_
