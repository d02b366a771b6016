#include "jackdawshunt/platform/settings.h"

#include <cstdlib>
#include <fstream>
#include <map>
#include <sstream>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "jackdawshunt/base/log.h"
#include "jackdawshunt/object_api/address.h"

namespace jackdawshunt::platform {
namespace {

constexpr char kPathVariable[] = "JACKDAWSHUNT_BOOT";
constexpr char kDefaultPath[] = "/etc/jackdawshunt/settings.conf";

// Reads typed fields of a settings text. status() is the first error.
class FieldReader {
 public:
  FieldReader(std::string_view text, std::string_view path) : path_(path) {
    for (const absl::string_view line :
         absl::StrSplit(absl::string_view(text.data(), text.size()), '\n')) {
      const std::pair<absl::string_view, absl::string_view> field =
          absl::StrSplit(absl::StripAsciiWhitespace(line),
                         absl::MaxSplits('=', 1));
      fields_[std::string(field.first)] = std::string(field.second);
    }
  }

  std::string Text(const std::string& name) const {
    const auto found = fields_.find(name);
    return found == fields_.end() ? std::string() : found->second;
  }

  std::string RequiredText(const std::string& name) {
    std::string value = Text(name);
    if (value.empty()) {
      Fail(name, value, "a text that is not empty");
    }
    return value;
  }

  void Number(const std::string& name, double& out) {
    const std::string value = Text(name);
    if (value.empty()) {
      return;
    }
    double number = 0;
    if (!absl::SimpleAtod(value, &number) || number < 0) {
      Fail(name, value, "a number of at least 0");
      return;
    }
    out = number;
  }

  void Boolean(const std::string& name, bool& out) {
    const std::string value = Text(name);
    if (value == "true" || value == "false") {
      out = value == "true";
    } else if (!value.empty()) {
      Fail(name, value, "true or false");
    }
  }

  void Milliseconds(const std::string& name, kernel::Duration& out) {
    Time(name, 1e3, out);
  }
  void Seconds(const std::string& name, kernel::Duration& out) {
    Time(name, 1e6, out);
  }

  std::optional<http::Address> Address(const std::string& name) {
    const std::string value = Text(name);
    if (value.empty()) {
      return std::nullopt;
    }
    auto address = object_api::ParseAddress(value);
    if (!address.has_value()) {
      Fail(name, value, "IP:PORT");
    }
    return address;
  }

  std::vector<std::string> List(const std::string& name) const {
    const std::string value = Text(name);
    return absl::StrSplit(value, ',', absl::SkipEmpty());
  }

  void Fail(const std::string& name,
            const std::string& value,
            std::string_view allowed) {
    if (status_.ok()) {
      status_ = absl::InvalidArgumentError(
          absl::StrCat(absl::string_view(path_.data(), path_.size()), ": ",
                       name, " is \"", value, "\", allowed is ",
                       absl::string_view(allowed.data(), allowed.size())));
    }
  }

  const absl::Status& status() const { return status_; }

 private:
  void Time(const std::string& name, double scale_us, kernel::Duration& out) {
    double number = -1;
    Number(name, number);
    if (number >= 0) {
      out = kernel::Duration(static_cast<int64_t>(number * scale_us));
    }
  }

  const std::string path_;
  std::map<std::string, std::string> fields_;
  absl::Status status_;
};

void ReadPorts(FieldReader& reader, InstanceSettings& settings) {
  const std::vector<std::string> ports = reader.List("internalPorts");
  uint32_t first = 0;
  uint32_t last = 0;
  if (ports.size() != 2 || !absl::SimpleAtoi(ports[0], &first) ||
      !absl::SimpleAtoi(ports[1], &last) || first > last || last > 65535) {
    reader.Fail("internalPorts", reader.Text("internalPorts"),
                "two ports, the first not above the second");
    return;
  }
  settings.first_internal_port = static_cast<uint16_t>(first);
  settings.last_internal_port = static_cast<uint16_t>(last);
}

void ReadPromises(FieldReader& reader, Promises& promises) {
  reader.Milliseconds("bounds.contactMs", promises.contact);
  reader.Milliseconds("bounds.drainMs", promises.drain);
  reader.Seconds("bounds.graceS", promises.termination_grace);
  reader.Milliseconds("bounds.configurationMs", promises.configuration);
  reader.Milliseconds("bounds.revokeMs", promises.revocation);
  reader.Boolean("bounds.strictRevocation", promises.is_revocation_strict);
  if (!reader.Text("bounds.evacuateMs").empty()) {
    promises.evacuation.emplace();
    reader.Milliseconds("bounds.evacuateMs", *promises.evacuation);
  }
  reader.Number("bounds.coldOverage", promises.cold_overage);
  reader.Number("bounds.coldSlack", promises.cold_slack);
  reader.Number("bounds.budgetRatio", promises.retry_ratio);
  reader.Seconds("bounds.budgetWindowS", promises.retry_window);
  reader.Number("bounds.budgetSlack", promises.retry_slack);
  reader.Seconds("bounds.quotaWindowS", promises.share_window);
}

}  // namespace

std::string SettingsPath() {
  const char* const path = std::getenv(kPathVariable);
  return path == nullptr ? kDefaultPath : path;
}

absl::StatusOr<InstanceSettings> ParseSettings(std::string_view text,
                                               std::string_view path) {
  FieldReader reader(text, path);
  InstanceSettings settings;
  settings.instance = reader.RequiredText("node");
  settings.data_centre = reader.RequiredText("zone");
  settings.ip = reader.RequiredText("ip");
  settings.callers = reader.Address("listen.front");
  settings.readiness = reader.Address("listen.ready");
  settings.local_upstream = reader.Address("app");
  ReadPorts(reader, settings);
  for (const std::string& seed : reader.List("seeds")) {
    if (const auto address = object_api::ParseAddress(seed)) {
      settings.seeds.push_back(*address);
    } else {
      reader.Fail("seeds", seed, "IP:PORT, joined by commas");
    }
  }
  const auto store = reader.Address("platform.address");
  if (!store.has_value()) {
    reader.Fail("platform.address", "", "IP:PORT");
  } else {
    settings.store = *store;
  }
  reader.Milliseconds("heartbeatMs", settings.heartbeat);
  double memory_mb = 0;
  reader.Number("limits.memoryMb", memory_mb);
  if (memory_mb > 0) {
    settings.memory_bytes = static_cast<uint64_t>(memory_mb * 1024 * 1024);
  }
  double client_memory_mb = 0;
  reader.Number("limits.clientMemoryMb", client_memory_mb);
  if (client_memory_mb > 0) {
    settings.client_memory_bytes =
        static_cast<uint64_t>(client_memory_mb * 1024 * 1024);
  }
  double descriptors = 0;
  reader.Number("limits.fileDescriptors", descriptors);
  if (descriptors > 0) {
    settings.file_descriptors = static_cast<uint32_t>(descriptors);
  }
  reader.Number("limits.cpuShare", settings.cpu_share);
  ReadPromises(reader, settings.promises);
  if (!reader.status().ok()) {
    return reader.status();
  }
  return settings;
}

absl::StatusOr<InstanceSettings> LoadSettings(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return absl::NotFoundError(absl::StrCat(path, ": cannot be read"));
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ParseSettings(text.str(), path);
}

std::optional<InstanceSettings> LoadForProcess(const std::string& path) {
  auto settings = LoadSettings(path.empty() ? SettingsPath() : path);
  if (!settings.ok()) {
    base::Log(base::LogLevel::kError, "settings_invalid",
              {{"error", std::string(settings.status().message())}});
    return std::nullopt;
  }
  return *std::move(settings);
}

}  // namespace jackdawshunt::platform
