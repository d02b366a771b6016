#include "jackdawshunt/settings/startup.h"

#include <cstdio>
#include <fstream>
#include <iostream>
#include <utility>

#include "jackdawshunt/base/log.h"

namespace jackdawshunt::settings {

std::optional<Settings> LoadForProcess(const std::string& path,
                                       protocol::Role role) {
  auto settings = Load(path, role);
  if (!settings.ok()) {
    std::cerr << settings.status().message() << '\n';
    return std::nullopt;
  }
  base::SetLogContext(
      {{"instance", settings->instance}, {"role", protocol::RoleName(role)}});
  base::SetLogLevel(
      base::ParseLogLevel(settings->log_level).value_or(base::LogLevel::kInfo));
  return *std::move(settings);
}

void AnnouncePorts(const Settings& settings, const nlohmann::json& ports) {
  base::Log(base::LogLevel::kInfo, "listening", ports);
  if (settings.ports_file.empty()) {
    return;
  }
  // Renaming is atomic, so that a reader never sees a partly written file.
  const std::string partial = settings.ports_file + ".part";
  std::ofstream(partial) << ports.dump() << '\n';
  std::rename(partial.c_str(), settings.ports_file.c_str());
}

}  // namespace jackdawshunt::settings
