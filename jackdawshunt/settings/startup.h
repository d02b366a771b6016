// Loads the settings and publishes the bound ports when a role starts.
//
// Example:
//   auto settings = settings::LoadForProcess(path, protocol::Role::kSide);
//   if (!settings.has_value()) return settings::kExitWrongSettings;
//   ...
//   settings::AnnouncePorts(*settings, {{"process", port}});
#ifndef JACKDAWSHUNT_SETTINGS_STARTUP_H_
#define JACKDAWSHUNT_SETTINGS_STARTUP_H_

#include <optional>
#include <string>

#include "jackdawshunt/protocol/messages.h"
#include "jackdawshunt/settings/settings.h"
#include "nlohmann/json.hpp"

namespace jackdawshunt::settings {

// Exit code of a process whose settings are missing or invalid.
inline constexpr int kExitWrongSettings = 2;

// Loads the settings and sets the context and the level of the log. If the
// settings cannot be read or are invalid, prints all errors to standard error
// and returns nullopt.
std::optional<Settings> LoadForProcess(const std::string& path,
                                       protocol::Role role);

// Logs the bound ports and writes them to `settings.ports_file` if it is set.
void AnnouncePorts(const Settings& settings, const nlohmann::json& ports);

}  // namespace jackdawshunt::settings

#endif  // JACKDAWSHUNT_SETTINGS_STARTUP_H_
