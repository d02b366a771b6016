// Processes beside those of a Fleet: members with settings of their own, and
// runs of the command line.
//
// Example:
//   auto entry = testing::StartMember(*fleet, folder.path(),
//       {.instance = "entry-9", .data_centre = "test-b"});
//   std::optional<nlohmann::json> status =
//       testing::ReadStatus(testing::OperatorAddress(**entry));
//
// Blocking; not thread-safe unless stated.
#ifndef JACKDAWSHUNT_TESTING_MEMBER_H_
#define JACKDAWSHUNT_TESTING_MEMBER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "jackdawshunt/http/http.h"
#include "jackdawshunt/testing/fleet.h"
#include "jackdawshunt/testing/process.h"
#include "nlohmann/json.hpp"

namespace jackdawshunt::testing {

// Bearer token for /status at all processes of a Fleet.
inline constexpr std::string_view kOperatorToken = "operator-token";

struct MemberOptions {
  std::string instance;
  std::string data_centre = "test-a";
  // Set for a side; a member without upstream is an entry.
  std::string upstream;
  http::Address upstream_address;
  http::Address platform;   // As this process sees it; absent: the fleet's.
  nlohmann::json settings;  // Merged over the defaults.
};

// Starts a process and registers it in the instance list; does not wait until
// it is ready. Errors: as Process::Start() and FetchJson().
absl::StatusOr<std::unique_ptr<Process>> StartMember(
    const Fleet& fleet,
    const std::string& folder,
    const MemberOptions& options);

http::Address OperatorAddress(const Process& process);

// /status of a process; absent when it does not answer within two seconds.
std::optional<nlohmann::json> ReadStatus(const http::Address& operator_address);

// Version of a key that a process reports; 0 when it has none or no answer.
uint64_t VersionAt(const http::Address& operator_address,
                   const std::string& key);

// Operator addresses of all entries and sides of a fleet.
std::vector<http::Address> AllOperatorAddresses(Fleet& fleet);

struct CommandResult {
  int exit_code = -1;
  std::string output;  // Standard output and standard error.
};

// Runs `jackdawshunt` with these arguments to its end. Thread-safe when the
// names differ; `name` names the output file in `folder`.
CommandResult RunMain(const std::string& folder,
                      const std::string& name,
                      const std::vector<std::string>& arguments);

}  // namespace jackdawshunt::testing

#endif  // JACKDAWSHUNT_TESTING_MEMBER_H_
