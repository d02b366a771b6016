// A whole fleet of real processes for tests: stand-in platform, engines and
// services, a side for each of them, and entries.
//
// Example:
//   auto fleet = testing::FleetBuilder()
//                    .Entries(2)
//                    .Engines(3, {"--step-ms", "3"})
//                    .Service("holds")
//                    .Workspace("lodge", 1)
//                    .Start();
//   auto reply = testing::Fetch((*fleet)->EntryAddress(0),
//                               (*fleet)->ChatRequest("lodge", "hello", {}));
//
// All engines serve the model "writer". Blocking; not thread-safe.
#ifndef JACKDAWSHUNT_TESTING_FLEET_H_
#define JACKDAWSHUNT_TESTING_FLEET_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "jackdawshunt/http/http.h"
#include "jackdawshunt/testing/http_helper.h"
#include "jackdawshunt/testing/process.h"
#include "nlohmann/json.hpp"

namespace jackdawshunt::testing {

inline constexpr std::string_view kModel = "writer";

struct FleetOptions {
  int entries = 1;
  int engines = 1;
  std::vector<std::string> engine_arguments;
  std::vector<std::string> service_arguments;
  std::vector<std::string> platform_arguments;
  std::vector<std::string> services;         // Names.
  std::map<std::string, double> workspaces;  // Names and shares.
  int slots = 4;
  int short_slots = 0;
  nlohmann::json policy;  // Spec of the policy record; null: none.
  // Array of whole records. When present, the upstreams are taken from them,
  // and engines, services, workspaces, slots and policy are not used.
  nlohmann::json records;
  nlohmann::json entry_settings;  // Merged over the defaults.
  nlohmann::json side_settings;
  // Sends the connections between the sides and the fleet through a proxy, to
  // cut them in tests.
  bool proxy_sides = false;
};

// One upstream with its side process.
struct SideMember {
  std::string name;      // Of the upstream record.
  std::string instance;  // Of the side process.
  bool is_engine = true;
  std::unique_ptr<Process> upstream;
  std::unique_ptr<Process> side;
  std::unique_ptr<Process> proxy;  // With FleetOptions::proxy_sides.
};

class Fleet {
 public:
  // Returns after /readyz of all processes answers 200.
  static absl::StatusOr<std::unique_ptr<Fleet>> Start(FleetOptions options);

  Process& platform() { return *platform_; }
  size_t entry_count() const { return entries_.size(); }
  Process& entry(size_t i) { return *entries_[i]; }
  // Engines first, then services, in the order of the options.
  std::vector<SideMember>& sides() { return sides_; }
  SideMember& side(size_t i) { return sides_[i]; }

  http::Address PlatformAddress() const;
  http::Address EntryAddress(size_t i) const;  // Caller port.
  http::Address EntryOperatorAddress(size_t i) const;
  http::Address SideOperatorAddress(size_t i) const;
  http::Address UpstreamAddress(size_t i) const;  // Engine or service itself.

  // Bearer token of a workspace.
  static std::string Token(std::string_view workspace);

  // A chat completion request; `fields` are merged into the JSON body.
  http::Request ChatRequest(std::string_view workspace,
                            std::string_view prompt,
                            const nlohmann::json& fields) const;
  http::Request ServiceRequest(std::string_view workspace,
                               std::string_view service,
                               std::string_view path,
                               std::string_view body) const;

  // Writes config/<kind>/<name> at the platform, unconditionally.
  absl::Status PutRecord(std::string_view kind,
                         std::string_view name,
                         const nlohmann::json& spec);
  absl::Status DeleteRecord(std::string_view kind, std::string_view name);
  absl::Status PutWorkspace(std::string_view name, double share);

  // Posts faults to a stand-in's admin port.
  static absl::Status SetFaults(const Process& stand_in,
                                const nlohmann::json& faults);
  // Reads a JSON page, such as /admin/stats, from a stand-in's admin port.
  static absl::StatusOr<nlohmann::json> Admin(const Process& stand_in,
                                              std::string_view path);

  // Start a process again after its end, with new ports, and wait until it is
  // ready.
  absl::Status RestartEntry(size_t i);
  absl::Status RestartSide(size_t i);
  // Removes a process from the instance list, or marks it as leaving.
  absl::Status RemoveInstance(std::string_view instance);

  bool IsReady(const http::Address& operator_address) const;

 private:
  explicit Fleet(FleetOptions options) : options_(std::move(options)) {}

  absl::Status StartAll();
  absl::Status StartUpstreams();
  absl::Status StartUpstream(const std::string& name, bool is_engine);
  absl::Status StartSide(SideMember& member);
  absl::StatusOr<std::unique_ptr<Process>> StartEntry(size_t i);
  absl::Status WriteRecords();
  absl::Status WriteGivenRecords();
  absl::Status WaitUntilReady();
  nlohmann::json BaseSettings(const std::string& instance) const;
  absl::StatusOr<std::unique_ptr<Process>> StartMain(
      const std::string& role,
      const nlohmann::json& settings);
  absl::StatusOr<std::unique_ptr<Process>> StartStandIn(
      const std::string& name,
      const std::string& subcommand,
      const std::vector<std::string>& arguments);
  absl::Status Register(const std::string& instance,
                        std::string_view role,
                        const Process& process,
                        uint16_t process_port);

  FleetOptions options_;
  TemporaryFolder folder_;
  std::unique_ptr<Process> platform_;
  std::vector<SideMember> sides_;
  std::vector<std::unique_ptr<Process>> entries_;
};

// Collects FleetOptions; see the example at the top.
class FleetBuilder {
 public:
  FleetBuilder& Entries(int count);
  FleetBuilder& Engines(int count, std::vector<std::string> arguments = {});
  FleetBuilder& Service(std::string name,
                        std::vector<std::string> arguments = {});
  FleetBuilder& Workspace(std::string name, double share);
  FleetBuilder& Slots(int slots, int short_slots = 0);
  FleetBuilder& Policy(nlohmann::json spec);
  FleetBuilder& EntrySettings(nlohmann::json fields);
  FleetBuilder& SideSettings(nlohmann::json fields);
  FleetBuilder& PlatformArguments(std::vector<std::string> arguments);
  FleetBuilder& ProxySides();

  absl::StatusOr<std::unique_ptr<Fleet>> Start();

 private:
  FleetOptions options_;
};

}  // namespace jackdawshunt::testing

#endif  // JACKDAWSHUNT_TESTING_FLEET_H_
