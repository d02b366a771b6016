#include "jackdawshunt/testing/fleet.h"

#include <fstream>
#include <utility>

#include "absl/strings/str_cat.h"
#include "jackdawshunt/base/crypto.h"

namespace jackdawshunt::testing {
namespace {

using nlohmann::json;

constexpr std::string_view kFleetKey = "key-of-the-test-fleet-0123456789";
constexpr std::string_view kOperatorToken = "operator-token";

http::Address Loopback(uint16_t port) {
  return {"127.0.0.1", port};
}

std::string Text(std::string_view text) {
  return std::string(text);
}

// Gives names of services to a workspace along with the model.
json ModelNames(const FleetOptions& options) {
  json names = json::array({kModel});
  for (const std::string& service : options.services) {
    names.push_back(service);
  }
  return names;
}

absl::Status PutObject(const http::Address& platform,
                       const std::string& key,
                       const std::string& value) {
  return FetchJson(platform, {.method = "PUT",
                              .path = absl::StrCat("/objects/", key),
                              .body = value})
      .status();
}

}  // namespace

absl::StatusOr<std::unique_ptr<Fleet>> Fleet::Start(FleetOptions options) {
  std::unique_ptr<Fleet> fleet(new Fleet(std::move(options)));
  if (absl::Status status = fleet->StartAll(); !status.ok()) {
    return status;
  }
  return fleet;
}

absl::Status Fleet::StartAll() {
  auto platform =
      StartStandIn("platform", "platform", options_.platform_arguments);
  if (!platform.ok()) {
    return platform.status();
  }
  platform_ = *std::move(platform);
  if (absl::Status status = StartUpstreams(); !status.ok()) {
    return status;
  }
  if (absl::Status status = WriteRecords(); !status.ok()) {
    return status;
  }
  for (SideMember& member : sides_) {
    if (absl::Status status = StartSide(member); !status.ok()) {
      return status;
    }
  }
  for (int i = 0; i < options_.entries; ++i) {
    auto entry = StartEntry(static_cast<size_t>(i));
    if (!entry.ok()) {
      return entry.status();
    }
    entries_.push_back(*std::move(entry));
  }
  return WaitUntilReady();
}

absl::Status Fleet::StartUpstreams() {
  absl::Status status;
  for (const json& record : options_.records) {
    if (record["kind"] == "upstream") {
      status.Update(
          StartUpstream(record["name"], record["spec"]["driver"] == "engine"));
    }
  }
  if (!options_.records.is_null()) {
    return status;
  }
  for (int i = 0; i < options_.engines; ++i) {
    status.Update(StartUpstream(absl::StrCat("engine-", i), true));
  }
  for (const std::string& name : options_.services) {
    status.Update(StartUpstream(name, false));
  }
  return status;
}

absl::Status Fleet::StartUpstream(const std::string& name, bool is_engine) {
  auto upstream = StartStandIn(
      name, is_engine ? "engine" : "service",
      is_engine ? options_.engine_arguments : options_.service_arguments);
  if (!upstream.ok()) {
    return upstream.status();
  }
  sides_.push_back({.name = name,
                    .instance = absl::StrCat("side-", name),
                    .is_engine = is_engine,
                    .upstream = *std::move(upstream)});
  return absl::OkStatus();
}

absl::StatusOr<std::unique_ptr<Process>> Fleet::StartStandIn(
    const std::string& name,
    const std::string& subcommand,
    const std::vector<std::string>& arguments) {
  ProcessOptions options{.command = {StandInsBinary(), subcommand},
                         .folder = folder_.path(),
                         .name = name};
  options.command.insert(options.command.end(), arguments.begin(),
                         arguments.end());
  return Process::Start(std::move(options));
}

json Fleet::BaseSettings(const std::string& instance) const {
  return {{"instance", instance},
          {"region", "test-region"},
          {"data_centre", "test-a"},
          {"fleet_key", kFleetKey},
          {"process", "127.0.0.1:0"},
          {"operator", "127.0.0.1:0"},
          {"operator_token_sha256", base::Sha256Hex(kOperatorToken)},
          {"platform", PlatformAddress().ToString()}};
}

absl::StatusOr<std::unique_ptr<Process>> Fleet::StartMain(
    const std::string& role,
    const json& settings) {
  const std::string instance = settings["instance"];
  ProcessOptions options{
      .folder = folder_.path(), .name = instance, .add_ports_argument = false};
  const std::string path = absl::StrCat(folder_.path(), "/", instance, ".json");
  options.command = {MainBinary(), role, "--settings", path};
  json full = settings;
  full["ports_file"] = Process::PortsFile(options);
  std::ofstream(path) << full.dump(2) << '\n';
  return Process::Start(std::move(options));
}

absl::Status Fleet::StartSide(SideMember& member) {
  json settings = BaseSettings(member.instance);
  settings["upstream"] = member.name;
  settings["upstream_address"] =
      Loopback(member.upstream->Port("port")).ToString();
  if (!options_.side_settings.is_null()) {
    settings.merge_patch(options_.side_settings);
  }
  auto side = StartMain("side", settings);
  if (!side.ok()) {
    return side.status();
  }
  member.side = *std::move(side);
  uint16_t process_port = member.side->Port("process");
  if (options_.proxy_sides) {
    member.proxy.reset();
    auto proxy = StartStandIn(absl::StrCat("proxy-", member.name), "proxy",
                              {"--target", Loopback(process_port).ToString()});
    if (!proxy.ok()) {
      return proxy.status();
    }
    member.proxy = *std::move(proxy);
    process_port = member.proxy->Port("port");
  }
  return Register(member.instance, "side", *member.side, process_port);
}

absl::StatusOr<std::unique_ptr<Process>> Fleet::StartEntry(size_t i) {
  const std::string instance = absl::StrCat("entry-", i);
  json settings = BaseSettings(instance);
  settings["caller"] = "127.0.0.1:0";
  settings["drain_lag_ms"] = 200;
  if (!options_.entry_settings.is_null()) {
    settings.merge_patch(options_.entry_settings);
  }
  auto entry = StartMain("entry", settings);
  if (!entry.ok()) {
    return entry.status();
  }
  absl::Status registered =
      Register(instance, "entry", **entry, (*entry)->Port("process"));
  if (!registered.ok()) {
    return registered;
  }
  return entry;
}

absl::Status Fleet::Register(const std::string& instance,
                             std::string_view role,
                             const Process& process,
                             uint16_t process_port) {
  const json row = {{"instance", instance},
                    {"role", role},
                    {"region", "test-region"},
                    {"data_centre", "test-a"},
                    {"process", Loopback(process_port).ToString()},
                    {"operator", Loopback(process.Port("operator")).ToString()},
                    {"state", "live"}};
  return FetchJson(PlatformAddress(),
                   {.method = "PUT",
                    .path = absl::StrCat("/admin/instances/", instance),
                    .body = row.dump()})
      .status();
}

absl::Status Fleet::RemoveInstance(std::string_view instance) {
  return FetchJson(PlatformAddress(),
                   {.method = "DELETE",
                    .path = absl::StrCat("/admin/instances/", Text(instance))})
      .status();
}

absl::Status Fleet::WriteGivenRecords() {
  absl::Status status;
  for (const json& record : options_.records) {
    status.Update(
        PutObject(PlatformAddress(),
                  absl::StrCat("config/", record["kind"].get<std::string>(),
                               "/", record["name"].get<std::string>()),
                  record.dump()));
  }
  return status;
}

absl::Status Fleet::WriteRecords() {
  if (!options_.records.is_null()) {
    return WriteGivenRecords();
  }
  absl::Status status =
      PutRecord("model", kModel, {{"versions", json::array({"v1"})}});
  for (const std::string& service : options_.services) {
    status.Update(PutRecord(
        "model", service,
        {{"routes",
          json::array(
              {{{"method", "GET"}, {"path_prefix", "/"}, {"repeatable", true}},
               {{"method", "POST"},
                {"path_prefix", "/"},
                {"repeatable", false}}})}}));
  }
  for (const SideMember& side : sides_) {
    json spec = {
        {"driver", side.is_engine ? "engine" : "service"},
        {"models", json::array({side.is_engine ? Text(kModel) : side.name})},
        {"slots", options_.slots}};
    if (side.is_engine && options_.short_slots > 0) {
      spec["short_slots"] = options_.short_slots;
    }
    status.Update(PutRecord("upstream", side.name, spec));
  }
  if (!options_.policy.is_null()) {
    status.Update(PutRecord("policy", "fleet", options_.policy));
  }
  for (const auto& [name, share] : options_.workspaces) {
    status.Update(PutWorkspace(name, share));
  }
  return status;
}

absl::Status Fleet::PutWorkspace(std::string_view name, double share) {
  return PutRecord("workspace", name,
                   {{"share", share},
                    {"token_sha256", base::Sha256Hex(Token(name))},
                    {"models", ModelNames(options_)}});
}

absl::Status Fleet::PutRecord(std::string_view kind,
                              std::string_view name,
                              const json& spec) {
  const json record = {
      {"kind", kind}, {"schema", 1}, {"name", name}, {"spec", spec}};
  return PutObject(PlatformAddress(),
                   absl::StrCat("config/", Text(kind), "/", Text(name)),
                   record.dump());
}

absl::Status Fleet::DeleteRecord(std::string_view kind, std::string_view name) {
  return FetchJson(PlatformAddress(),
                   {.method = "DELETE",
                    .path = absl::StrCat("/objects/config/", Text(kind), "/",
                                         Text(name))})
      .status();
}

bool Fleet::IsReady(const http::Address& operator_address) const {
  const auto response = Fetch(operator_address, {.path = "/readyz"},
                              std::chrono::milliseconds(2000));
  return response.ok() && response->status == 200;
}

absl::Status Fleet::WaitUntilReady() {
  for (size_t i = 0; i < sides_.size(); ++i) {
    if (!PollUntil([&] { return IsReady(SideOperatorAddress(i)); })) {
      return absl::DeadlineExceededError(absl::StrCat(
          sides_[i].instance, " is not ready:\n", sides_[i].side->Log()));
    }
  }
  for (size_t i = 0; i < entries_.size(); ++i) {
    if (!PollUntil([&] { return IsReady(EntryOperatorAddress(i)); })) {
      return absl::DeadlineExceededError(
          absl::StrCat("entry-", i, " is not ready:\n", entries_[i]->Log()));
    }
  }
  return absl::OkStatus();
}

absl::Status Fleet::RestartEntry(size_t i) {
  entries_[i].reset();
  auto entry = StartEntry(i);
  if (!entry.ok()) {
    return entry.status();
  }
  entries_[i] = *std::move(entry);
  return WaitUntilReady();
}

absl::Status Fleet::RestartSide(size_t i) {
  sides_[i].side.reset();
  if (absl::Status status = StartSide(sides_[i]); !status.ok()) {
    return status;
  }
  return WaitUntilReady();
}

http::Address Fleet::PlatformAddress() const {
  return Loopback(platform_->Port("port"));
}

http::Address Fleet::EntryAddress(size_t i) const {
  return Loopback(entries_[i]->Port("caller"));
}

http::Address Fleet::EntryOperatorAddress(size_t i) const {
  return Loopback(entries_[i]->Port("operator"));
}

http::Address Fleet::SideOperatorAddress(size_t i) const {
  return Loopback(sides_[i].side->Port("operator"));
}

http::Address Fleet::UpstreamAddress(size_t i) const {
  return Loopback(sides_[i].upstream->Port("port"));
}

std::string Fleet::Token(std::string_view workspace) {
  return absl::StrCat("token-of-", Text(workspace));
}

http::Request Fleet::ChatRequest(std::string_view workspace,
                                 std::string_view prompt,
                                 const json& fields) const {
  json body = {
      {"model", kModel},
      {"messages", json::array({{{"role", "user"}, {"content", prompt}}})}};
  if (!fields.is_null()) {
    body.merge_patch(fields);
  }
  return {
      .method = "POST",
      .path = "/v1/chat/completions",
      .headers = {{"Authorization", absl::StrCat("Bearer ", Token(workspace))},
                  {"Content-Type", "application/json"}},
      .body = body.dump()};
}

http::Request Fleet::ServiceRequest(std::string_view workspace,
                                    std::string_view service,
                                    std::string_view path,
                                    std::string_view body) const {
  return {
      .method = "POST",
      .path = absl::StrCat("/services/", Text(service), Text(path)),
      .headers = {{"Authorization", absl::StrCat("Bearer ", Token(workspace))},
                  {"Content-Type", "application/json"}},
      .body = Text(body)};
}

absl::Status Fleet::SetFaults(const Process& stand_in, const json& faults) {
  return FetchJson(
             Loopback(stand_in.Port("admin_port")),
             {.method = "POST", .path = "/admin/faults", .body = faults.dump()})
      .status();
}

absl::StatusOr<json> Fleet::Admin(const Process& stand_in,
                                  std::string_view path) {
  return FetchJson(Loopback(stand_in.Port("admin_port")), {.path = Text(path)});
}

FleetBuilder& FleetBuilder::Entries(int count) {
  options_.entries = count;
  return *this;
}

FleetBuilder& FleetBuilder::Engines(int count,
                                    std::vector<std::string> arguments) {
  options_.engines = count;
  options_.engine_arguments = std::move(arguments);
  return *this;
}

FleetBuilder& FleetBuilder::Service(std::string name,
                                    std::vector<std::string> arguments) {
  options_.services.push_back(std::move(name));
  options_.service_arguments = std::move(arguments);
  return *this;
}

FleetBuilder& FleetBuilder::Workspace(std::string name, double share) {
  options_.workspaces[std::move(name)] = share;
  return *this;
}

FleetBuilder& FleetBuilder::Slots(int slots, int short_slots) {
  options_.slots = slots;
  options_.short_slots = short_slots;
  return *this;
}

FleetBuilder& FleetBuilder::Policy(json spec) {
  options_.policy = std::move(spec);
  return *this;
}

FleetBuilder& FleetBuilder::EntrySettings(json fields) {
  options_.entry_settings = std::move(fields);
  return *this;
}

FleetBuilder& FleetBuilder::SideSettings(json fields) {
  options_.side_settings = std::move(fields);
  return *this;
}

FleetBuilder& FleetBuilder::PlatformArguments(
    std::vector<std::string> arguments) {
  options_.platform_arguments = std::move(arguments);
  return *this;
}

FleetBuilder& FleetBuilder::ProxySides() {
  options_.proxy_sides = true;
  return *this;
}

absl::StatusOr<std::unique_ptr<Fleet>> FleetBuilder::Start() {
  return Fleet::Start(options_);
}

}  // namespace jackdawshunt::testing
