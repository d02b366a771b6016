// Commands that talk to the platform and to the operator ports.
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
  // Version that the object must have, 0: it must not exist. Absent: the
  // version that is read before the write.
  std::optional<uint64_t> expect;
  // Time until the change must be in force everywhere; absent: no wait.
  std::optional<kernel::Duration> wait;
  std::string operator_token;  // For the wait.
};

// Object versions by key.
using Versions = std::map<std::string, uint64_t>;

// Calls run the loop until they are done. Not thread-safe.
class Admin {
 public:
  // The references must outlive the object.
  Admin(kernel::EventLoop& loop,
        object_api::Client& client,
        std::ostream& out,
        std::ostream& err);

  // Writes the records in order and stops at the first that fails.
  ExitCode Apply(const std::vector<RecordText>& records,
                 const WriteOptions& options);
  ExitCode Delete(const std::string& key, const WriteOptions& options);
  // Prints the record at `key`, or every record below it when it ends in '/'.
  ExitCode Get(const std::string& key);
  // Prints the instances with their revision and rejected records.
  ExitCode Status(const std::string& operator_token, bool as_json);

 private:
  // nullopt value: delete.
  struct Write {
    std::string key;
    std::optional<std::string> value;
  };
  // Status of one instance; an error when it cannot be read.
  struct InstanceStatus {
    object_api::Instance instance;
    absl::StatusOr<nlohmann::json> status;
  };

  template <typename T>
  absl::StatusOr<T> Await(
      const std::function<void(object_api::Callback<T>)>& start);
  // The object at `key`; version 0 when it does not exist.
  absl::StatusOr<object_api::Object> Read(const std::string& key);
  ExitCode CheckTokens(const std::vector<RecordText>& records);
  ExitCode WriteOne(const Write& write,
                    std::optional<uint64_t> expect,
                    Versions& versions);
  absl::StatusOr<uint64_t> Send(const Write& write, uint64_t expected);
  absl::StatusOr<uint64_t> Settle(const Write& write, uint64_t expected);
  ExitCode ReportLostRace(const Write& write, uint64_t expected);
  ExitCode ReportFailure(const std::string& what, const absl::Status& status);
  // Returns why instances do not yet show `versions`, one line each; adds those
  // that do to `confirmed`.
  std::vector<std::string> PollInForce(const Versions& versions,
                                       const std::string& operator_token,
                                       std::set<std::string>& confirmed,
                                       bool& is_final);
  ExitCode WaitInForce(const Versions& versions, const WriteOptions& options);
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
