// Commands that call the platform and the operator ports of instances.
//
// Example:
//   cli::Admin admin(loop, client, std::cout, std::cerr);
//   cli::ExitCode code = admin.Apply(records, {});
#ifndef JACKDAWSHUNT_CLI_ADMIN_H_
#define JACKDAWSHUNT_CLI_ADMIN_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "jackdawshunt/cli/exit_code.h"
#include "jackdawshunt/cli/files.h"
#include "jackdawshunt/kernel/event_loop.h"
#include "jackdawshunt/object_api/client.h"
#include "nlohmann/json.hpp"

namespace jackdawshunt::cli {

struct WriteOptions {
  // Version that the object must have; 0 when it must not exist. When absent,
  // the version read just before the write is used.
  std::optional<uint64_t> expect;
  // Time within which the change must be in effect at every live instance. When
  // absent, the command does not wait for this.
  std::optional<kernel::Duration> wait;
  std::string operator_token;  // Used while waiting.
};

// Object versions by key.
using Versions = std::map<std::string, uint64_t>;

// Each call runs the loop until it is done. Results are written to `out`,
// errors to `err`. Not thread-safe.
class Admin {
 public:
  // The references must outlive the object.
  Admin(kernel::EventLoop& loop,
        object_api::Client& client,
        std::ostream& out,
        std::ostream& err);

  // Writes the records in order and stops at the first failure. Error:
  // kInvalid, with nothing written, when two workspaces claim the same token.
  ExitCode Apply(const std::vector<RecordText>& records,
                 const WriteOptions& options);
  // Deletes the object at `key`. Error: kFailed when it does not exist.
  ExitCode Delete(const std::string& key, const WriteOptions& options);
  // Prints the record at `key`, or every record with this prefix when `key`
  // ends in '/'.
  ExitCode Get(const std::string& key);
  // Prints the instances with their revision and rejected records. Error:
  // kFailed when the status of a live instance cannot be read.
  ExitCode Status(const std::string& operator_token, bool as_json);

 private:
  struct Write {
    std::string key;
    std::optional<std::string> value;  // Absent for a deletion.
  };
  struct InstanceStatus {
    object_api::Instance instance;
    absl::StatusOr<nlohmann::json> status;  // An error when it cannot be read.
  };

  template <typename T>
  absl::StatusOr<T> Await(
      const std::function<void(object_api::Callback<T>)>& start);
  // Returns the object at `key`, with version 0 when it does not exist.
  absl::StatusOr<object_api::Object> Read(const std::string& key);
  // Checks that no workspace of `records` claims a token of another workspace.
  ExitCode CheckTokens(const std::vector<RecordText>& records);
  ExitCode WriteOne(const Write& write,
                    std::optional<uint64_t> expect,
                    Versions& versions);
  absl::StatusOr<uint64_t> Send(const Write& write, uint64_t expected);
  // Completes a write whose answer was lost. Returns the version written.
  // Errors: Aborted when another version was written; Unknown when the outcome
  // is still unknown after a
  // time limit.
  absl::StatusOr<uint64_t> ResolveUnknownWrite(const Write& write,
                                               uint64_t expected);
  ExitCode ReportLostRace(const Write& write, uint64_t expected);
  ExitCode ReportFailure(const std::string& what, const absl::Status& status);
  // Returns one line for each live instance without `versions` in effect, with
  // the reason, and adds the other instances to `confirmed`. Sets `is_final`
  // when waiting longer cannot help.
  std::vector<std::string> PollInstances(const Versions& versions,
                                         const std::string& operator_token,
                                         std::set<std::string>& confirmed,
                                         bool& is_final);
  ExitCode WaitForInstances(const Versions& versions,
                            const WriteOptions& options);
  std::vector<InstanceStatus> ReadStatuses(
      const std::vector<object_api::Instance>& instances,
      const std::string& operator_token);
  void Pause(kernel::Duration time);

  kernel::EventLoop& loop_;
  object_api::Client& client_;
  std::ostream& out_;
  std::ostream& err_;
};

}  // namespace jackdawshunt::cli

#endif  // JACKDAWSHUNT_CLI_ADMIN_H_
