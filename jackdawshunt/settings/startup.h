// What every long-running role does at its start with its settings.
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

inline constexpr int kExitWrongSettings = 2;

// Loads the settings and sets the context and the level of the log. Prints
// every fault to standard error and returns nullopt when they are not valid.
std::optional<Settings> LoadForProcess(const std::string& path,
                                       protocol::Role role);

// Logs the bound ports and writes them to the ports file, if one is set.
void AnnouncePorts(const Settings& settings, const nlohmann::json& ports);

}  // namespace jackdawshunt::settings

#endif  // JACKDAWSHUNT_SETTINGS_STARTUP_H_
